#include "skylarkbridge/control/restart_invariant_fake.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::run_ref kRun{{.job = jobs::job_id{1}}, 1};

/// Feeds one ended run to the invariant.
class ended_run {
 public:
  ended_run() { invariant_.RunEnded(kRun, end_cause::kFailed, now_); }

  /// Shows the fleet to the invariant at an interval of 100 ms.
  void Observe(const fleet_view& fleet, milliseconds time) {
    for (const time_point end = now_ + time; now_ < end;) {
      now_ += milliseconds(100);
      for (const restart_violation& violation : invariant_.Observe(
               fleet, [](jobs::job_id /*job*/) { return true; },
               [this](const jobs::task_ref& /*task*/)
                   -> const jobs::step_spec& { return step_; },
               now_)) {
        violations.push_back(Format(violation));
      }
    }
  }

  restart_invariant& Invariant() { return invariant_; }
  std::vector<std::string> violations;

 private:
  const jobs::step_spec step_{.need = {.millicores = 1000},
                              .max_per_worker = 1};
  time_point now_{seconds(100)};
  restart_invariant invariant_;
};

fleet_view Fleet(const std::vector<std::int64_t>& room,
                 bool disrupted = false) {
  fleet_view fleet{.disrupted = disrupted};
  for (const std::int64_t millicores : room) {
    fleet.workers.push_back(
        {.worker = "w", .room = {.millicores = millicores}});
  }
  return fleet;
}

// Guards against a checker that finds nothing.
TEST(RestartInvariantTest, ReportsATaskThatWaitsOnceInACalmFleetWithRoom) {
  ended_run run;
  run.Observe(Fleet({1000, 1500, 500}), kMaxRestartTime);
  EXPECT_TRUE(run.violations.empty());
  run.Observe(Fleet({1000, 1500, 500}), seconds(60));
  EXPECT_EQ(run.violations,
            std::vector<std::string>{
                "RESTART: 0000000000000001.0.0.0/1 failed, waits 6200 ms, "
                "room: w=1000 w=1500"});
}

TEST(RestartInvariantTest, AcceptsATaskThatRunsAgain) {
  ended_run run;
  run.Observe(Fleet({1000, 1000}), kMaxRestartTime);
  run.Invariant().RunStarted(kRun.task);
  run.Observe(Fleet({1000, 1000}), seconds(60));
  EXPECT_TRUE(run.violations.empty());
}

// Guards against judging a wait for room that the fleet did not have all along.
TEST(RestartInvariantTest, CountsNoTimeWithoutRoomTwiceOver) {
  ended_run run;
  for (int round = 0; round < 5; ++round) {
    run.Observe(Fleet({1000, 1000}), kMaxRestartTime);
    // max_per_worker is 1.
    run.Observe(Fleet({4000, 900}), seconds(1));
  }
  EXPECT_TRUE(run.violations.empty());
}

// Guards against judging the time around a fault.
TEST(RestartInvariantTest, CountsNoTimeAroundAFault) {
  ended_run run;
  for (int round = 0; round < 5; ++round) {
    run.Observe(Fleet({1000, 1000}, true), seconds(1));
    run.Observe(Fleet({1000, 1000}), kCalmTime + kMaxRestartTime);
  }
  EXPECT_TRUE(run.violations.empty());
  run.Observe(Fleet({1000, 1000}), seconds(1));
  EXPECT_EQ(run.violations.size(), 1U);
}

}  // namespace
}  // namespace skylarkbridge::control
