// Two tasks of different jobs lose their runs 5.5 s apart on different workers,
// wait long, and then start in one placement pass. Each test releases them in
// another way and asserts that the metric of the restarts names that way, as
// the detail of their start_ordered lines does.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kHoldingJob{0x10};
constexpr jobs::job_id kFirstJob{0x20};
constexpr jobs::job_id kSecondJob{0x21};
constexpr jobs::job_id kLeavingJob{0x30};
const jobs::task_ref kFirstTask{.job = kFirstJob};
const jobs::task_ref kSecondTask{.job = kSecondJob};

/// Time between the ends of the two runs.
constexpr milliseconds kBetweenEnds{5500};
/// Starts of one placement pass reach their workers within this time.
constexpr milliseconds kSamePass{26};
/// First run number of the second epoch of a cell.
constexpr jobs::run_number kFirstRunOfSecondEpoch = 10'001;

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// Number of restarts with this cause so far, over all VMs.
std::uint64_t CountRestarts(virtual_fleet& fleet,
                            jobs::restart_obstacle obstacle,
                            jobs::restart_release release) {
  return fleet.Metrics()
      .Counter("skylarkbridge_restarts_total", "",
               {{"waited_for", std::string(Name(obstacle))},
                {"released_by", std::string(Name(release))}})
      .Value();
}

/// Number of waits over the limit of the stage so far, over all VMs.
std::uint64_t CountOverLimit(virtual_fleet& fleet, const std::string& stage) {
  return fleet.Metrics()
      .Counter("skylarkbridge_restart_stage_exceeded_total", "",
               {{"stage", stage}})
      .Value();
}

void SubmitAndStart(virtual_fleet& fleet,
                    jobs::job_id job,
                    const std::string& body) {
  fleet.Submit(0, job, body);
  fleet.Advance(seconds(1));
  ASSERT_TRUE(fleet.Checker().Running({.job = job}));
}

/// How long each of the two tasks has still waited.
struct remaining_waits {
  milliseconds first{};
  milliseconds second{};

  milliseconds Longest() const { return std::max(first, second); }
  milliseconds Difference() const { return std::chrono::abs(first - second); }
};

/// Advances until both tasks run, for at most @p limit.
remaining_waits WaitForBoth(virtual_fleet& fleet, milliseconds limit) {
  constexpr milliseconds kStep{2};
  remaining_waits waits;
  for (milliseconds waited{}; waited <= limit; waited += kStep) {
    const bool first_runs = fleet.Checker().Running(kFirstTask);
    const bool second_runs = fleet.Checker().Running(kSecondTask);
    if (first_runs && second_runs) {
      break;
    }
    fleet.Advance(kStep);
    waits.first = first_runs ? waits.first : waited + kStep;
    waits.second = second_runs ? waits.second : waited + kStep;
  }
  return waits;
}

/// A fleet of one cell without free room, whose worker w4 is away. w2 and w3
/// have 4000 millicores, and a task of kHoldingJob on each; w0 and w1 have
/// 2000, and one of the two tasks on each.
std::unique_ptr<virtual_fleet> FullFleet() {
  auto fleet =
      std::make_unique<virtual_fleet>(virtual_fleet::options{.workers = 5});
  fleet->CrashWorker("w4");
  fleet->SetCapacity("w0", 2000);
  fleet->SetCapacity("w1", 2000);
  fleet->Advance(seconds(10));
  SubmitAndStart(*fleet, kHoldingJob, "-4000 600000 0 2");
  SubmitAndStart(*fleet, kFirstJob, "-2000 600000 0 1");
  SubmitAndStart(*fleet, kSecondJob, "-2000 600000 0 1");
  return fleet;
}

/// Lets the workers of the two tasks leave, one after the other, and waits for
/// longer than kMaxRestartTime.
void LoseBothRuns(virtual_fleet& fleet) {
  fleet.DrainWorker(fleet.Checker().WorkerOf(kFirstTask), seconds(1));
  fleet.Advance(kBetweenEnds);
  fleet.DrainWorker(fleet.Checker().WorkerOf(kSecondTask), seconds(1));
  fleet.Advance(seconds(10));
  ASSERT_FALSE(fleet.Checker().Running(kFirstTask));
  ASSERT_FALSE(fleet.Checker().Running(kSecondTask));
}

// Guards against a common release by a cancelled job that no log line tells
// from the others: "waited_for room released_by cancelled_run" with the run of
// the cancelled job.
TEST(RestartReleaseTest, ACancelledJobReleasesBoth) {
  auto fleet = FullFleet();
  LoseBothRuns(*fleet);
  fleet->Send(0, caller_method::kCancel, kHoldingJob);
  const remaining_waits waits = WaitForBoth(*fleet, kMaxRestartTime);
  EXPECT_LT(waits.Longest(), seconds(2));
  EXPECT_LE(waits.Difference(), kSamePass);
  EXPECT_EQ(CountRestarts(*fleet, jobs::restart_obstacle::kRoom,
                          jobs::restart_release::kCancelledRun),
            2U);
  EXPECT_EQ(CountOverLimit(*fleet, "room"), 2U);
  EXPECT_EQ(CountOverLimit(*fleet, "all"), 2U);
  EXPECT_EQ(CountOverLimit(*fleet, "takeover"), 0U);
  EXPECT_EQ(Violations(*fleet), "");
}

// The same for a worker that joins: "waited_for room released_by new_worker".
TEST(RestartReleaseTest, AJoiningWorkerReleasesBoth) {
  auto fleet = FullFleet();
  LoseBothRuns(*fleet);
  fleet->StartWorker("w4");
  const remaining_waits waits = WaitForBoth(*fleet, kMaxRestartTime);
  EXPECT_LT(waits.Longest(), seconds(2));
  EXPECT_LE(waits.Difference(), kSamePass);
  EXPECT_EQ(CountRestarts(*fleet, jobs::restart_obstacle::kRoom,
                          jobs::restart_release::kNewWorker),
            2U);
  EXPECT_EQ(Violations(*fleet), "");
}

// The same for a worker to which the owner's link is restored: "waited_for room
// released_by returned_worker".
TEST(RestartReleaseTest, ARestoredLinkReleasesBoth) {
  auto fleet = FullFleet();
  fleet->CutFromWorker(*fleet->Owner(), "w4", true);
  fleet->StartWorker("w4");
  fleet->Advance(seconds(1));
  fleet->CutFromWorker(*fleet->Owner(), "w4", false);
  fleet->Advance(seconds(1));
  fleet->CutFromWorker(*fleet->Owner(), "w4", true);
  fleet->Advance(seconds(3));
  LoseBothRuns(*fleet);
  fleet->CutFromWorker(*fleet->Owner(), "w4", false);
  const remaining_waits waits = WaitForBoth(*fleet, kMaxRestartTime);
  EXPECT_LT(waits.Longest(), seconds(2));
  EXPECT_LE(waits.Difference(), kSamePass);
  EXPECT_EQ(CountRestarts(*fleet, jobs::restart_obstacle::kRoom,
                          jobs::restart_release::kReturnedWorker),
            2U);
  EXPECT_EQ(Violations(*fleet), "");
}

/// A fleet of one cell with free room, and a worker that leaves as its owner
/// dies. The first task's run ends at the same time, before a successor hears
/// from its worker.
std::unique_ptr<virtual_fleet> FleetInATakeover() {
  auto fleet =
      std::make_unique<virtual_fleet>(virtual_fleet::options{.vms = 4});
  fleet->Advance(seconds(5));
  SubmitAndStart(*fleet, kLeavingJob, "-3000 600000 0 1");
  SubmitAndStart(*fleet, kFirstJob, "-3000 600000 0 1");
  SubmitAndStart(*fleet, kSecondJob, "-3000 600000 0 1");
  fleet->DrainWorker(fleet->Checker().WorkerOf({.job = kLeavingJob}),
                     milliseconds(200));
  fleet->KillVm(*fleet->Owner());
  fleet->FailRun(kFirstTask);
  return fleet;
}

/// Whether the last run of the task was ordered after a takeover.
bool StartedAfterTakeover(const virtual_fleet& fleet,
                          const jobs::task_ref& task) {
  const jobs::task_state* const state =
      fleet.Cell(*fleet.Owner()).Scheduler().Jobs().Find(task);
  return state != nullptr && state->last_run >= kFirstRunOfSecondEpoch;
}

// Guards against two takeovers in a row that hold both tasks back, the second
// for as long again as the first, because a worker has left. The line of its
// own task says "waited_for unreported_workers", and takeover_delayed names it.
TEST(RestartReleaseTest, TakeoversBesideAWorkerThatLeftReleaseBothInTime) {
  auto fleet = FleetInATakeover();
  fleet->Advance(kBetweenEnds);
  fleet->KillVm(*fleet->Owner());
  fleet->FailRun(kSecondTask);
  const remaining_waits waits = WaitForBoth(*fleet, seconds(20));
  EXPECT_LE(waits.Longest(), kCalmTime + kMaxRestartTime);
  // Only the task of the worker that left waits for that worker.
  fleet->Advance(seconds(8));
  EXPECT_EQ(CountRestarts(*fleet, jobs::restart_obstacle::kUnreportedWorkers,
                          jobs::restart_release::kNone),
            1U);
  EXPECT_TRUE(StartedAfterTakeover(*fleet, kFirstTask));
  EXPECT_TRUE(StartedAfterTakeover(*fleet, kSecondTask));
  EXPECT_EQ(Violations(*fleet), "");
}

}  // namespace
}  // namespace skylarkbridge::control
