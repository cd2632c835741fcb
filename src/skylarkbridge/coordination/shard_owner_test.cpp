#include "skylarkbridge/coordination/shard_owner.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <vector>

#include "skylarkbridge/coordination/shard_map.hpp"

namespace skylarkbridge::coordination {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{std::chrono::hours(1)};

// Two processes that draw the same ballot would both be obeyed.
TEST(BallotTest, IsUniqueAndAboveWhatWasSeen) {
  ballot_source first({1}, {10});
  ballot_source restarted({1}, {11});
  EXPECT_NE(first.Next(), restarted.Next());
  restarted.Observe({7, {2}, {20}});
  EXPECT_GT(restarted.Next(), (ballot{7, {2}, {20}}));
}

// A holder that trusts its lease longer than the worker does starts work that
// the successor starts too; clock rates may differ by 1%.
TEST(LeaseTest, HolderEndsBeforeWorkerAndSuccessorWaitsLonger) {
  const lease_options options;
  const auto slow = options.duration * 99 / 100;
  EXPECT_LE(HolderDeadline(kStart, options.duration, options) - kStart, slow);
  EXPECT_GE(SurelyExpired(kStart, options.duration, options) - kStart,
            (options.duration + options.max_command_age) * 101 / 100);
}

// A VM's death must move only the shards that it owned, and a shard must not
// depend on the order in which members are listed.
TEST(ShardMapTest, RendezvousMovesOnlyTheShardsOfTheDead) {
  const std::vector<entry_vm_id> all{{1}, {2}, {3}, {4}};
  const std::vector<entry_vm_id> left{{4}, {3}, {1}};
  std::set<entry_vm_id> owners;
  for (std::uint64_t shard = 0; shard < 64; ++shard) {
    const auto before = ExpectedOwner({shard}, all);
    owners.insert(*before);
    if (before != entry_vm_id{2}) {
      EXPECT_EQ(ExpectedOwner({shard}, left), before);
    }
  }
  EXPECT_EQ(owners.size(), 4U);
  EXPECT_EQ(ExpectedOwner({1}, {}), std::nullopt);
}

class ShardOwnerTest : public testing::Test {
 protected:
  ShardOwnerTest()
      : owner_({.vm = {1}, .incarnation = {10}}), workers_{{1}, {2}, {3}} {}

  /// Answers fences and renewals of the workers in @p answering.
  owner_commands Answer(const owner_commands& commands,
                        const std::set<worker_id>& answering) {
    owner_commands out;
    for (const owner_command& command : commands) {
      owner_commands more;
      if (const auto* fence = std::get_if<fence_worker>(&command);
          fence != nullptr && answering.contains(fence->worker)) {
        more = owner_.Fenced({.fence = fence->fence,
                              .sent = fence->sent,
                              .obeyed = fence->fence,
                              .displaced = displaced_,
                              .up_for = up_for_,
                              .worker_set = stored_[fence->worker],
                              .inventory = {.worker = fence->worker}},
                             now_);
      } else if (const auto* renew = std::get_if<renew_lease>(&command);
                 renew != nullptr && answering.contains(renew->worker)) {
        std::uint64_t& stored = stored_[renew->worker];
        stored = renew->worker_set == 0 ? stored : renew->worker_set;
        more = owner_.Renewed({.worker = renew->worker,
                               .lease = renew->lease,
                               .sent = renew->sent,
                               .granted = renew->granted,
                               .accepted = true,
                               .obeyed = renew->lease,
                               .up_for = up_for_,
                               .worker_set = stored},
                              now_);
      } else {
        out.push_back(command);
      }
      const owner_commands rest = more.empty() ? more : Answer(more, answering);
      out.insert(out.end(), rest.begin(), rest.end());
    }
    return out;
  }

  /// Ticks every 50 ms for @p length; returns what is not answered.
  owner_commands Run(milliseconds length,
                     const std::set<worker_id>& answering) {
    owner_commands out;
    for (milliseconds passed{0}; passed < length; passed += milliseconds(50)) {
      now_ += milliseconds(50);
      const owner_commands more = Answer(owner_.Tick(now_), answering);
      // A deadline that has passed would make the control thread spin.
      EXPECT_GT(owner_.NextDeadline().value_or(time_point::max()), now_);
      out.insert(out.end(), more.begin(), more.end());
    }
    return out;
  }

  template <class T>
  static int Count(const owner_commands& commands) {
    int count = 0;
    for (const owner_command& command : commands) {
      count += std::holds_alternative<T>(command) ? 1 : 0;
    }
    return count;
  }

  void TakeOver() {
    Answer(owner_.SetWorkers(workers_, now_), {});
    Answer(owner_.SetExpected(true, now_), {});
    Run(seconds(3), {{1}, {2}, {3}});
    ASSERT_EQ(owner_.State(), ownership::kOwner);
  }

  shard_owner owner_;
  std::vector<worker_id> workers_;
  time_point now_ = kStart;
  ballot displaced_;
  std::chrono::nanoseconds up_for_ = seconds(60);
  std::map<worker_id, std::uint64_t> stored_;
};

// Without a known worker set an earlier owner may use workers that this VM does
// not list; ready must wait for its leases.
TEST_F(ShardOwnerTest, FirstTakeoverWaitsAndNextOneDoesNot) {
  Answer(owner_.SetWorkers(workers_, now_), {});
  Answer(owner_.SetExpected(true, now_), {});
  EXPECT_EQ(Count<ready>(Run(milliseconds(2000), {{1}, {2}, {3}})), 0);
  EXPECT_EQ(Count<ready>(Run(milliseconds(200), {{1}, {2}, {3}})), 1);
  Run(milliseconds(500), {{1}, {2}, {3}});
  shard_owner next({.vm = {2}, .incarnation = {20}});
  owner_ = next;
  Answer(owner_.SetWorkers(workers_, now_), {});
  Answer(owner_.SetExpected(true, now_), {});
  EXPECT_EQ(Count<ready>(Run(milliseconds(100), {{1}, {2}, {3}})), 1);
}

// A minority of workers must not give ownership: the rest may obey another VM.
TEST_F(ShardOwnerTest, MinorityIsNotEnough) {
  Answer(owner_.SetWorkers(workers_, now_), {});
  Answer(owner_.SetExpected(true, now_), {});
  EXPECT_EQ(Count<ready>(Run(seconds(10), {{1}})), 0);
}

// A restarted worker has forgotten the successor's ballot and must not help an
// earlier owner to keep its majority.
TEST_F(ShardOwnerTest, RestartedWorkerDoesNotCountAtOnce) {
  up_for_ = seconds(1);
  Answer(owner_.SetWorkers(workers_, now_), {});
  Answer(owner_.SetExpected(true, now_), {});
  EXPECT_EQ(Count<ready>(Run(seconds(10), {{1}, {2}, {3}})), 0);
}

// An owner that was paused past its leases must not command anything.
TEST_F(ShardOwnerTest, PausedOwnerHasNoPermissionAndStepsDown) {
  TakeOver();
  EXPECT_TRUE(owner_.MayCommand({1}, now_));
  now_ += seconds(2);
  EXPECT_FALSE(owner_.MayCommand({1}, now_));
  EXPECT_FALSE(owner_.Holds(now_));
  EXPECT_EQ(Count<step_down>(owner_.Tick(now_)), 1);
}

// An owner that loses the majority must give up before its successor starts
// tasks, even if one worker still answers it.
TEST_F(ShardOwnerTest, LosesShardWithoutMajority) {
  TakeOver();
  const time_point cut = now_;
  EXPECT_GE(Count<step_down>(Run(seconds(2), {{1}})), 1);
  EXPECT_FALSE(owner_.MayCommand({1}, cut + milliseconds(1800)));
}

TEST_F(ShardOwnerTest, StepsDownForHigherBallot) {
  TakeOver();
  EXPECT_EQ(Count<step_down>(owner_.Refused({99, {2}, {20}}, now_)), 1);
  EXPECT_EQ(owner_.State(), ownership::kLost);
}

// The fence that brings a worker back must not undo a later owner's.
TEST_F(ShardOwnerTest, StepsDownWhenItDisplacedLaterOwner) {
  TakeOver();
  Run(seconds(2), {{1}, {2}});
  displaced_ = {owner_.Takeover().round + 1, {2}, {20}};
  EXPECT_GE(Count<step_down>(Run(seconds(1), {{1}, {2}, {3}})), 1);
}

// Tasks of a lost worker are freed only when its lease has surely expired.
TEST_F(ShardOwnerTest, WorkerExpiresAfterItsLease) {
  TakeOver();
  const owner_commands early = Run(milliseconds(2000), {{1}, {2}});
  EXPECT_EQ(Count<worker_unreachable>(early), 1);
  EXPECT_EQ(Count<worker_expired>(early), 0);
  EXPECT_EQ(Count<worker_expired>(Run(seconds(1), {{1}, {2}})), 1);
  EXPECT_EQ(Count<worker_joined>(Run(seconds(1), {{1}, {2}, {3}})), 1);
}

// Renewals of all workers at the same instant would make bursts, and random
// jitter would make runs differ.
TEST_F(ShardOwnerTest, JitterIsDeterministicAndWithinTenPercent) {
  TakeOver();
  shard_owner copy = owner_;
  EXPECT_EQ(copy.NextDeadline(), owner_.NextDeadline());
  std::set<time_point> sent;
  for (int i = 0; i < 400; ++i) {
    now_ += milliseconds(5);
    for (const owner_command& command : owner_.Tick(now_)) {
      Answer({command}, {{1}, {2}, {3}});
      if (const auto* renew = std::get_if<renew_lease>(&command)) {
        sent.insert(renew->sent);
      }
    }
  }
  // 3 workers, 2 s, every 360 to 400 ms.
  EXPECT_GE(sent.size(), 10U);
  EXPECT_LE(sent.size(), 18U);
}

}  // namespace
}  // namespace skylarkbridge::coordination
