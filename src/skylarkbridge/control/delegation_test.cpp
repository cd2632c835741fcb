// Directed tests of long-running tasks that a full cell delegates to another
// cell: a task has one owner at any time, and never two runs.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0x20};
constexpr jobs::task_ref kTask{.job = kJob, .index = 0};
constexpr milliseconds kStep{20};
/// After this time the owner has given up the lease of a worker that crashed.
constexpr milliseconds kLeaseEnded{6500};

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// A VM that runs.
std::size_t RunningVm(const virtual_fleet& fleet) {
  std::size_t vm = 0;
  while (!fleet.Running(vm)) {
    ++vm;
  }
  return vm;
}

/// The cell that runs kJob, and the other one of two.
jobs::cell_id RunningCell(const virtual_fleet& fleet) {
  for (const jobs::cell_id cell : {0U, 1U}) {
    const jobs::job_registry& registry =
        fleet.Cell(RunningVm(fleet), cell).Registry();
    if (const jobs::job_state* state = registry.Find(kJob)) {
      return state->cell;
    }
  }
  ADD_FAILURE() << "the job is not known";
  return 0;
}
jobs::cell_id OtherCell(const virtual_fleet& fleet) {
  return 1 - RunningCell(fleet);
}

/// Whether the VM has read that kTask is delegated.
bool KnowsDelegation(const virtual_fleet& fleet, std::size_t vm) {
  const jobs::job_state* state =
      fleet.Cell(vm, RunningCell(fleet)).Registry().Find(kJob);
  return state != nullptr && !state->progress.steps.empty() &&
         state->progress.steps[0].delegations.contains(kTask.index);
}

/// Advances until the condition holds, for at most @p limit.
template <class Condition>
bool AdvanceUntil(virtual_fleet& fleet,
                  milliseconds limit,
                  const Condition& condition) {
  for (milliseconds waited{}; waited <= limit; waited += kStep) {
    if (condition()) {
      return true;
    }
    fleet.Advance(kStep);
  }
  return false;
}

bool RunsWithin(virtual_fleet& fleet, milliseconds limit) {
  return AdvanceUntil(fleet, limit,
                      [&] { return fleet.Checker().Running(kTask); });
}

/// A fleet of two cells with four workers each, of which kJob fills one. The
/// worker of kTask has just crashed. The list of machines can't be read before
/// its lease has ended, so that the delegation comes at the times around which
/// the tests place their faults.
std::unique_ptr<virtual_fleet> FleetAfterACrash() {
  auto fleet = std::make_unique<virtual_fleet>(
      virtual_fleet::options{.workers = 8, .cells = 2});
  fleet->Advance(kCalmTime + seconds(1));
  fleet->Submit(0, kJob, "-2000 600000 0 8");
  fleet->Advance(seconds(3));
  EXPECT_TRUE(fleet->Checker().Running(kTask));
  fleet->SetMachineListDown(true);
  fleet->ScheduleAfter(kLeaseEnded, [list_of = fleet.get()] {
    list_of->SetMachineListDown(false);
  });
  fleet->CrashWorker(fleet->Checker().WorkerOf(kTask));
  return fleet;
}

/// As above. Some VM has just read that kTask is delegated, and it does not run
/// yet.
std::unique_ptr<virtual_fleet> FleetWithDelegatedTask() {
  auto fleet = FleetAfterACrash();
  EXPECT_TRUE(AdvanceUntil(*fleet, seconds(10), [&] {
    return KnowsDelegation(*fleet, 0) || KnowsDelegation(*fleet, 1) ||
           KnowsDelegation(*fleet, 2);
  }));
  EXPECT_FALSE(fleet->Checker().Running(kTask));
  return fleet;
}

/// As above. The task runs in the other cell.
std::unique_ptr<virtual_fleet> FleetWithTaskInOtherCell() {
  auto fleet = FleetWithDelegatedTask();
  EXPECT_TRUE(RunsWithin(*fleet, seconds(2)));
  return fleet;
}

// Guards against a task that nobody starts, or that two owners start, when the
// owner of the other cell dies before it starts the task.
TEST(DelegationTest, SurvivesATakeoverOfTheOtherCellBeforeTheStart) {
  auto fleet = FleetWithDelegatedTask();
  fleet->KillVm(*fleet->Owner(OtherCell(*fleet)));
  EXPECT_TRUE(RunsWithin(*fleet, kCalmTime + kMaxRestartTime));
  fleet->Advance(seconds(10));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a successor that stops the run of a delegated task, or starts
// it a second time, and against one that does not start it again later.
TEST(DelegationTest, SurvivesATakeoverOfTheOtherCellAfterTheStart) {
  auto fleet = FleetWithTaskInOtherCell();
  fleet->KillVm(*fleet->Owner(OtherCell(*fleet)));
  for (int second = 0; second < 10; ++second) {
    fleet->Advance(seconds(1));
    EXPECT_TRUE(fleet->Checker().Running(kTask));
  }
  fleet->FailRun(kTask);
  EXPECT_TRUE(RunsWithin(*fleet, kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a successor of the first owner that starts the task again.
TEST(DelegationTest, SurvivesATakeoverOfTheFirstCell) {
  auto fleet = FleetWithDelegatedTask();
  fleet->KillVm(*fleet->Owner(RunningCell(*fleet)));
  EXPECT_TRUE(RunsWithin(*fleet, kCalmTime + kMaxRestartTime));
  const std::string worker = fleet->Checker().WorkerOf(kTask);
  // The first cell has room again.
  for (int index = 0; index < 8; ++index) {
    fleet->StartWorker(absl::StrCat("w", index));
  }
  fleet->Advance(seconds(15));
  EXPECT_EQ(fleet->Checker().WorkerOf(kTask), worker);
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, while the answers to the first owner's writes are lost, so that it
// does not know whether its delegation is stored.
TEST(DelegationTest, SurvivesALostAnswerToTheDelegation) {
  for (const milliseconds cut : {milliseconds(6000), milliseconds(6800),
                                 milliseconds(7000), milliseconds(7200)}) {
    SCOPED_TRACE(testing::Message() << "lost from " << cut.count() << " ms");
    auto fleet = FleetAfterACrash();
    fleet->Advance(cut);
    fleet->SetLostAnswerShare(1);
    fleet->Advance(seconds(1));
    if (const auto owner = fleet->Owner(RunningCell(*fleet))) {
      fleet->KillVm(*owner);
    }
    fleet->SetLostAnswerShare(0);
    EXPECT_TRUE(RunsWithin(*fleet, seconds(16)));
    fleet->Advance(seconds(10));
    EXPECT_EQ(Violations(*fleet), "");
  }
}

// Guards against two owners of a task when the first owner is cut off from the
// store around the time of the delegation, and its cell has a successor.
TEST(DelegationTest, SurvivesACutBetweenTheFirstOwnerAndTheStore) {
  for (milliseconds cut{6000}; cut <= milliseconds(7600);
       cut += milliseconds(100)) {
    SCOPED_TRACE(testing::Message() << "cut after " << cut.count() << " ms");
    auto fleet = FleetAfterACrash();
    fleet->Advance(cut);
    const auto owner = fleet->Owner(RunningCell(*fleet));
    ASSERT_TRUE(owner);
    fleet->CutFromStore(*owner, true);
    fleet->Advance(seconds(8));
    fleet->CutFromStore(*owner, false);
    EXPECT_TRUE(RunsWithin(*fleet, kCalmTime + kMaxRestartTime));
    fleet->Advance(seconds(5));
    EXPECT_EQ(Violations(*fleet), "");
  }
}

// Guards against a start of a delegated task of a cancelled job.
TEST(DelegationTest, ACancelBeforeTheStartReachesTheOtherCell) {
  auto fleet = FleetWithDelegatedTask();
  fleet->Send(RunningVm(*fleet), caller_method::kCancel, kJob);
  fleet->Advance(seconds(10));
  EXPECT_FALSE(fleet->Checker().Running(kTask));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a run of a cancelled job that goes on in the other cell.
TEST(DelegationTest, ACancelStopsTheRunInTheOtherCell) {
  auto fleet = FleetWithTaskInOtherCell();
  fleet->Send(RunningVm(*fleet), caller_method::kCancel, kJob);
  fleet->Advance(seconds(3));
  EXPECT_FALSE(fleet->Checker().Running(kTask));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a VM that starts later and reads the logs from snapshots: it
// has to learn of the delegated task and its cancellation in any order.
TEST(DelegationTest, ANewVmKnowsTheDelegatedTask) {
  auto fleet = FleetWithTaskInOtherCell();
  const jobs::cell_id other = OtherCell(*fleet);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet->KillVm(vm);
  }
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet->StartVm(vm);
  }
  fleet->Advance(seconds(8));
  EXPECT_TRUE(fleet->Checker().Running(kTask));
  const jobs::job_state* state = fleet->Cell(0, other).Registry().Find(kJob);
  ASSERT_NE(state, nullptr);
  EXPECT_TRUE(fleet->Cell(0, other).Registry().HasTasksHere(*state));
  fleet->Send(0, caller_method::kCancel, kJob);
  fleet->Advance(seconds(3));
  EXPECT_FALSE(fleet->Checker().Running(kTask));
  EXPECT_EQ(Violations(*fleet), "");
}

}  // namespace
}  // namespace skylarkbridge::control
