#include "skylarkbridge/scheduling/dispatcher.hpp"

#include <gtest/gtest.h>

#include <set>

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart = time_point(seconds(100));

time_point At(milliseconds offset) {
  return kStart + offset;
}

/// A dispatcher with two services, and helpers that build its events.
class dispatcher_fixture {
 public:
  explicit dispatcher_fixture(dispatcher_options options = {})
      : dispatcher_(options) {
    config_.teams = {{.name = "crew"}};
    config_.services = {
        {.name = "entries", .team = "crew", .claim = {500, 1000}},
        {.name = "heats", .team = "crew", .claim = {0, 800}}};
    dispatcher_.Configure(config_, kStart);
  }

  dispatcher& Get() { return dispatcher_; }
  void UpdateUpstream(std::uint64_t id,
                      std::int64_t slots,
                      upstream_status status = upstream_status::kLive,
                      time_point lease_deadline = time_point::max()) {
    dispatcher_.Update({.upstream = {id},
                        .status = status,
                        .data_centre = {1},
                        .slots = slots,
                        .connections = 64,
                        .lease_deadline = lease_deadline},
                       kStart);
  }
  request_commands Arrive(std::uint64_t id,
                          milliseconds now,
                          bool idempotent = false,
                          const std::string& service = "entries",
                          milliseconds deadline = seconds(1)) {
    return dispatcher_.Arrive({{id}, service, At(now) + deadline, idempotent},
                              At(now));
  }
  request_commands Finish(std::uint64_t id,
                          attempt_result result,
                          milliseconds now,
                          std::uint32_t attempt = 1) {
    return dispatcher_.Finish({{id}, attempt, result}, At(now));
  }
  /// Answers enough requests for a usable estimate of @p service_time.
  void TrainEstimate(const std::string& service, milliseconds service_time) {
    for (std::uint64_t id = 9000; id < 9030; ++id) {
      Arrive(id, milliseconds(0), false, service);
      Finish(id, attempt_result::kAnswered, service_time);
    }
  }

 private:
  declaration::configuration config_;
  dispatcher dispatcher_;
};

const start_attempt* FirstStart(const request_commands& commands) {
  return commands.empty() ? nullptr
                          : std::get_if<start_attempt>(&commands.front());
}

const finish_request* FirstFinish(const request_commands& commands) {
  return commands.empty() ? nullptr
                          : std::get_if<finish_request>(&commands.front());
}

// Guards against a retry of a non-idempotent request that may have run, which
// could then run twice.
TEST(DispatcherTest, NeverRetriesNonIdempotentThatMayHaveRun) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 1);
  fixture.UpdateUpstream(2, 1);
  ASSERT_TRUE(FirstStart(fixture.Arrive(1, milliseconds(0))));
  const request_commands ended =
      fixture.Finish(1, attempt_result::kUnknown, milliseconds(5));
  ASSERT_EQ(ended.size(), 1U);
  EXPECT_EQ(FirstFinish(ended)->outcome, request_outcome::kUnknown);
}

// Guards against a false kNotRun: it must not be reported when an earlier
// attempt may have run the request.
TEST(DispatcherTest, ReportsNotRunOnlyWhenNoAttemptMayHaveRun) {
  dispatcher_fixture fixture({.max_attempts = 2});
  fixture.UpdateUpstream(1, 2);
  fixture.UpdateUpstream(2, 2);
  fixture.Arrive(1, milliseconds(0), true);
  const start_attempt* retry = nullptr;
  const request_commands retried =
      fixture.Finish(1, attempt_result::kUnknown, milliseconds(5));
  ASSERT_TRUE(retry = FirstStart(retried));
  EXPECT_EQ(retry->attempt, 2U);
  EXPECT_EQ(FirstFinish(fixture.Finish(1, attempt_result::kNotStarted,
                                       milliseconds(6), 2))
                ->outcome,
            request_outcome::kUnknown);

  fixture.Arrive(2, milliseconds(10));
  ASSERT_TRUE(FirstStart(
      fixture.Finish(2, attempt_result::kNotStarted, milliseconds(11))));
  const request_commands ended =
      fixture.Finish(2, attempt_result::kNotStarted, milliseconds(12), 2);
  EXPECT_EQ(FirstFinish(ended)->outcome, request_outcome::kNotRun);
  EXPECT_EQ(FirstFinish(ended)->reason, refusal_reason::kUpstreamRefused);
  EXPECT_TRUE(FirstFinish(ended)->retry_at);
}

// Guards against a retry on the upstream that has just failed, where it would
// probably fail again.
TEST(DispatcherTest, RetriesOnAnotherUpstream) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    dispatcher_fixture fixture({.seed = seed});
    fixture.UpdateUpstream(1, 8);
    fixture.UpdateUpstream(2, 8);
    const request_commands first = fixture.Arrive(1, milliseconds(0), true);
    const request_commands second =
        fixture.Finish(1, attempt_result::kNotStarted, milliseconds(1));
    ASSERT_TRUE(FirstStart(second)) << "seed " << seed;
    EXPECT_NE(FirstStart(first)->upstream, FirstStart(second)->upstream)
        << "seed " << seed;
  }
}

// Guards against a late or repeated report that releases a slot twice or
// finishes a request that is being retried.
TEST(DispatcherTest, IgnoresReportsOfOldAttempts) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 1);
  fixture.UpdateUpstream(2, 1);
  fixture.Arrive(1, milliseconds(0), true);
  fixture.Finish(1, attempt_result::kNotStarted, milliseconds(1));
  EXPECT_TRUE(
      fixture.Finish(1, attempt_result::kAnswered, milliseconds(2)).empty());
  ASSERT_TRUE(FirstStart(fixture.Arrive(2, milliseconds(3))));
  EXPECT_TRUE(fixture.Arrive(3, milliseconds(3)).empty());
}

// Guards against more attempts on an upstream than its slots, connections and
// leases allow, which would overload its worker.
TEST(DispatcherTest, RespectsSlotsConnectionsAndLeases) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 2);
  fixture.Get().Update({.upstream = {2}, .slots = 8, .connections = 1}, kStart);
  fixture.UpdateUpstream(3, 8, upstream_status::kLive, At(milliseconds(10)));
  fixture.UpdateUpstream(4, 8, upstream_status::kLeaving);
  std::multiset<std::uint64_t> used;
  for (std::uint64_t id = 1; id <= 5; ++id) {
    const request_commands commands = fixture.Arrive(id, milliseconds(10));
    if (const start_attempt* start = FirstStart(commands)) {
      used.insert(start->upstream.value);
    }
  }
  EXPECT_EQ(used, (std::multiset<std::uint64_t>{1, 1, 2}));
}

// Guards against giving freed slots to another service while one below its
// minimum has queued requests, so that its guaranteed share is not restored. It
// must come first even when the other one has many queued requests with earlier
// deadlines.
TEST(DispatcherTest, StartsServiceBelowItsMinimumFirst) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 10);
  for (std::uint64_t id = 1; id <= 40; ++id) {
    fixture.Arrive(id, milliseconds(0), false, "heats", milliseconds(500));
  }
  // "heats" stays at its cap of 800 permille although two slots are free.
  ASSERT_TRUE(FirstStart(fixture.Arrive(100, milliseconds(1))));
  ASSERT_TRUE(FirstStart(fixture.Arrive(101, milliseconds(1))));
  for (std::uint64_t id = 102; id <= 104; ++id) {
    ASSERT_TRUE(fixture.Arrive(id, milliseconds(1)).empty());
  }
  for (std::uint64_t id = 1; id <= 3; ++id) {
    const request_commands freed =
        fixture.Finish(id, attempt_result::kAnswered, milliseconds(9));
    ASSERT_EQ(freed.size(), 2U);
    EXPECT_EQ(std::get<start_attempt>(freed[1]).request.value, 101 + id);
  }
}

// Guards against admitting requests that will miss their deadline. They would
// take slots from requests that can still meet theirs.
TEST(DispatcherTest, RefusesRequestsThatCannotMeetTheirDeadline) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 1);
  fixture.TrainEstimate("entries", milliseconds(100));
  EXPECT_EQ(FirstFinish(fixture.Arrive(1, milliseconds(200), false, "entries",
                                       milliseconds(50)))
                ->reason,
            refusal_reason::kDeadlineTooClose);
  fixture.Arrive(2, milliseconds(200));
  for (std::uint64_t id = 3; id <= 11; ++id) {
    EXPECT_TRUE(fixture.Arrive(id, milliseconds(200)).empty()) << id;
  }
  const request_commands refused = fixture.Arrive(20, milliseconds(200));
  ASSERT_TRUE(FirstFinish(refused));
  EXPECT_EQ(FirstFinish(refused)->outcome, request_outcome::kNotRun);
  EXPECT_GT(FirstFinish(refused)->retry_at, At(milliseconds(600)));
}

// Guards against a request that stays queued past its latest start, and against
// a NextDeadline that does not advance after a tick.
TEST(DispatcherTest, RefusesOverdueRequestsOnTick) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 1);
  fixture.Arrive(1, milliseconds(0));
  fixture.Arrive(2, milliseconds(0), false, "entries", milliseconds(300));
  ASSERT_EQ(fixture.Get().NextDeadline(), At(milliseconds(300)));
  const request_commands refused = fixture.Get().Tick(At(milliseconds(300)));
  ASSERT_TRUE(FirstFinish(refused));
  EXPECT_EQ(FirstFinish(refused)->outcome, request_outcome::kNotRun);
  EXPECT_EQ(fixture.Get().NextDeadline(), std::nullopt);
}

// Guards against retries that multiply the load while upstreams fail.
TEST(DispatcherTest, RetryBudgetBoundsAttempts) {
  dispatcher_fixture fixture;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    fixture.UpdateUpstream(id, 8);
  }
  std::size_t attempts = 0;
  for (std::uint64_t id = 1; id <= 1000; ++id) {
    request_commands commands = fixture.Arrive(id, milliseconds(id), true);
    while (const start_attempt* start = FirstStart(commands)) {
      ++attempts;
      commands = fixture.Finish(id, attempt_result::kNotStarted,
                                milliseconds(id), start->attempt);
    }
  }
  EXPECT_GT(attempts, 1050U);
  EXPECT_LE(attempts, 1100U);
}

// Guards against a hedge on the same upstream or with a repeated attempt
// number, and against releasing the slot of the slower attempt before it ends.
TEST(DispatcherTest, HedgesSlowIdempotentRequests) {
  dispatcher_fixture fixture({.retry = {.hedging = true}});
  fixture.UpdateUpstream(1, 1);
  fixture.UpdateUpstream(2, 1);
  fixture.TrainEstimate("entries", milliseconds(10));
  const request_commands first = fixture.Arrive(1, milliseconds(100), true);
  const request_commands hedge = fixture.Get().Tick(At(milliseconds(130)));
  ASSERT_TRUE(FirstStart(hedge));
  EXPECT_EQ(FirstStart(hedge)->attempt, 2U);
  EXPECT_NE(FirstStart(hedge)->upstream, FirstStart(first)->upstream);
  EXPECT_EQ(FirstFinish(fixture.Finish(1, attempt_result::kAnswered,
                                       milliseconds(135), 2))
                ->outcome,
            request_outcome::kDone);
  EXPECT_TRUE(FirstStart(fixture.Arrive(2, milliseconds(136))));
  EXPECT_TRUE(fixture.Arrive(3, milliseconds(136)).empty());
  EXPECT_TRUE(FirstStart(
      fixture.Finish(1, attempt_result::kUnknown, milliseconds(140), 1)));
}

// Guards against requests in another data centre when their service does not
// allow it, or when the additional round trip would miss the deadline.
TEST(DispatcherTest, SpillsOnlyWhenAllowedAndInTime) {
  dispatcher spilling({.upstreams = {.data_centre = data_centre_id{1}}});
  declaration::configuration config;
  config.services = {{.name = "a", .spill = true}, {.name = "b"}};
  spilling.Configure(config, kStart);
  spilling.Update({{1}, upstream_status::kLive, {1}, 1, 1}, kStart);
  spilling.Update({{2}, upstream_status::kLive, {2}, 2, 2}, kStart);
  const time_point later = kStart + seconds(1);
  EXPECT_EQ(
      FirstStart(spilling.Arrive({{1}, "b", later}, kStart))->upstream.value,
      1U);
  EXPECT_TRUE(spilling.Arrive({{2}, "b", later}, kStart).empty());
  const request_commands spilled = spilling.Arrive({{3}, "a", later}, kStart);
  ASSERT_TRUE(FirstStart(spilled));
  EXPECT_EQ(FirstStart(spilled)->upstream.value, 2U);
  EXPECT_TRUE(
      spilling.Arrive({{4}, "a", kStart + milliseconds(2)}, kStart).empty());
}

// Guards against starting a cancelled request, and against releasing the slot
// of a cancelled request that is still running.
TEST(DispatcherTest, CancelledRequestsDoNotStart) {
  dispatcher_fixture fixture;
  fixture.UpdateUpstream(1, 1);
  fixture.Arrive(1, milliseconds(0), true);
  fixture.Arrive(2, milliseconds(0));
  EXPECT_EQ(FirstFinish(fixture.Get().Cancel({2}, kStart))->reason,
            refusal_reason::kCancelled);
  EXPECT_TRUE(fixture.Get().Cancel({1}, kStart).empty());
  const request_commands ended =
      fixture.Finish(1, attempt_result::kUnknown, milliseconds(5));
  ASSERT_TRUE(FirstFinish(ended));
  EXPECT_EQ(FirstFinish(ended)->outcome, request_outcome::kUnknown);
}

}  // namespace
}  // namespace skylarkbridge::scheduling
