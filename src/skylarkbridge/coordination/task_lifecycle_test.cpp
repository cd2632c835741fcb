#include "skylarkbridge/coordination/task_lifecycle.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace skylarkbridge::coordination {
namespace {

constexpr time_point kNow{std::chrono::hours(1)};
constexpr worker_id kWorker{7};
constexpr worker_id kOther{8};
const ballot kMine{3, {1}, {10}};
const ballot kEarlier{2, {2}, {20}};

open_task Task(std::uint64_t id, bool idempotent) {
  return {.task = {id}, .kind = "colour-match", .idempotent = idempotent};
}

template <class T>
std::vector<T> All(const lifecycle_commands& commands) {
  std::vector<T> found;
  for (const lifecycle_command& command : commands) {
    if (const T* match = std::get_if<T>(&command)) {
      found.push_back(*match);
    }
  }
  return found;
}

class TaskLifecycleTest : public testing::Test {
 protected:
  lifecycle_commands Own(
      const std::vector<open_task>& open,
      const std::vector<worker_inventory>& inventories = {}) {
    return tasks_.Own({.takeover = kMine, .inventories = inventories}, open,
                      kNow);
  }
  task_lifecycle tasks_;
};

// A task that a worker still runs must not be offered after a takeover.
TEST_F(TaskLifecycleTest, TakeoverOffersOnlyWhatNobodyRuns) {
  const auto offers = All<offer_task>(
      Own({Task(1, true), Task(2, true)}, {{kWorker, {{{1}, 4}}, {}}}));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].task, task_id{2});
}

// A claimed non-idempotent task that nobody runs may have run.
TEST_F(TaskLifecycleTest, ClaimedTaskEndsAsUnknownAfterTakeover) {
  open_task claimed = Task(1, false);
  claimed.start_claimed = true;
  const auto ends = All<record_end>(Own({claimed}));
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].outcome, task_outcome::kUnknown);
}

// A start before its claim is durable would run again after a takeover.
TEST_F(TaskLifecycleTest, NonIdempotentStartWaitsForItsClaim) {
  Own({Task(1, false)});
  lifecycle_commands out = tasks_.Start({1}, kWorker, kNow);
  EXPECT_EQ(All<claim_start>(out).size(), 1U);
  EXPECT_TRUE(All<run_attempt>(out).empty());
  out = tasks_.Claimed({1}, 1, kMine, kNow);
  EXPECT_EQ(All<run_attempt>(out).size(), 1U);
}

// The claim of an earlier owner may become visible only after the takeover.
TEST_F(TaskLifecycleTest, LateClaimOfEarlierOwnerEndsTaskAsUnknown) {
  Own({Task(1, false)});
  tasks_.Start({1}, kWorker, kNow);
  const auto out = tasks_.Claimed({1}, 1, kEarlier, kNow);
  ASSERT_EQ(All<record_end>(out).size(), 1U);
  EXPECT_TRUE(All<run_attempt>(tasks_.Claimed({1}, 1, kMine, kNow)).empty());
}

// Evicted work must resume once, from its checkpoint, even when the report of
// the stop arrives twice.
TEST_F(TaskLifecycleTest, EvictedTaskResumesOnce) {
  Own({Task(1, false)});
  tasks_.Start({1}, kWorker, kNow);
  tasks_.Claimed({1}, 1, kMine, kNow);
  tasks_.Started(kWorker, {{1}, 1}, kNow);
  EXPECT_EQ(All<stop_attempt>(tasks_.Evict({1}, kNow)).size(), 1U);
  const ended_attempt end{{1}, 1, attempt_end::kStopped, "c1"};
  const auto offers = All<offer_task>(tasks_.Ended(kWorker, end, kNow));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].checkpoint, "c1");
  tasks_.Start({1}, kOther, kNow);
  EXPECT_TRUE(All<offer_task>(tasks_.Ended(kWorker, end, kNow)).empty());
}

// A worker that may still run a task holds it until its lease has expired.
TEST_F(TaskLifecycleTest, UnreachableWorkerHoldsItsTask) {
  Own({Task(1, true)});
  tasks_.Start({1}, kWorker, kNow);
  EXPECT_TRUE(tasks_.Unreachable(kWorker, kNow).empty());
  EXPECT_TRUE(tasks_.Tick(kNow + std::chrono::seconds(9)).empty());
  const auto offers = All<offer_task>(tasks_.Expired(kWorker, kNow));
  ASSERT_EQ(offers.size(), 1U);
  EXPECT_EQ(offers[0].attempts, 1U);
}

// The end must be durable before the worker forgets it.
TEST_F(TaskLifecycleTest, AcknowledgesAfterTheEndIsDurable) {
  Own({Task(1, true)});
  tasks_.Start({1}, kWorker, kNow);
  const ended_attempt end{{1}, 1, attempt_end::kSucceeded, std::nullopt};
  EXPECT_TRUE(
      All<acknowledge_attempt>(tasks_.Ended(kWorker, end, kNow)).empty());
  EXPECT_TRUE(
      All<acknowledge_attempt>(tasks_.Ended(kWorker, end, kNow)).empty());
  EXPECT_EQ(All<acknowledge_attempt>(tasks_.Recorded({1}, kNow)).size(), 1U);
  EXPECT_EQ(tasks_.Open(), 0U);
}

// Seed 2000339: a stale entry of an earlier attempt hid the running one.
TEST_F(TaskLifecycleTest, RunningAttemptOutweighsStaleEntry) {
  const auto out = Own({Task(1, true)},
                       {{kWorker, {}, {{{1}, 1, attempt_end::kNotStarted, {}}}},
                        {kOther, {{{1}, 2}}, {}}});
  EXPECT_TRUE(All<offer_task>(out).empty());
  EXPECT_TRUE(All<stop_attempt>(out).empty());
}

// A task whose accepted record is not folded yet must not start a second time.
TEST_F(TaskLifecycleTest, UnknownRunningTaskIsAdoptedWhenAccepted) {
  Own({}, {{kWorker, {{{1}, 1}}, {}}});
  EXPECT_TRUE(tasks_.Accept(Task(1, true), kNow).empty());
  Own({}, {{kWorker, {{{1}, 1}}, {}}});
  EXPECT_EQ(All<stop_attempt>(tasks_.LogCurrent(kNow)).size(), 1U);
}

// A cancelled task must end without another start.
TEST_F(TaskLifecycleTest, CancelStopsRunningAndEndsWaitingTasks) {
  Own({Task(1, true), Task(2, true)});
  tasks_.Start({1}, kWorker, kNow);
  EXPECT_EQ(All<stop_attempt>(tasks_.Cancel({1}, kNow)).size(), 1U);
  EXPECT_EQ(All<record_end>(tasks_.Cancel({2}, kNow)).size(), 1U);
  const auto out = tasks_.Ended(
      kWorker, {{1}, 1, attempt_end::kStopped, std::nullopt}, kNow);
  ASSERT_EQ(All<record_end>(out).size(), 1U);
  EXPECT_EQ(All<record_end>(out)[0].outcome, task_outcome::kCancelled);
}

}  // namespace
}  // namespace skylarkbridge::coordination
