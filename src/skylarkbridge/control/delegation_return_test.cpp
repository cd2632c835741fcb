// Directed tests of a delegated task that moves on: its second cell has no room
// for it any more, and another one states room. It has one owner at any time.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0x20};
constexpr jobs::task_ref kTask{.job = kJob, .index = 0};
constexpr jobs::cell_id kCells = 3;
constexpr std::size_t kVms = 3;
constexpr milliseconds kStep{20};
constexpr std::int64_t kFullCapacity = 4000;
/// Too small for a task of kJob.
constexpr std::int64_t kSmallCapacity = 1000;
/// Longest restart beside a takeover, which may wait for a worker that is gone.
constexpr seconds kMaxTakeoverRestart{24};
/// Times of the faults, from the time when another cell has room. The move is
/// over before the last one.
constexpr milliseconds kFaultInterval{200};
constexpr milliseconds kLastFault{4000};

/// A fleet of three cells with two workers each. A task of kJob was delegated
/// by the cell that runs the job, `first`, to `second`. It waits there, and no
/// cell has room for it.
struct waiting_fleet {
  std::unique_ptr<virtual_fleet> fleet;
  jobs::cell_id first = 0;
  jobs::cell_id second = 0;
  jobs::cell_id third = 0;
  /// A worker of `first` that is down, and those of the other cells.
  std::string first_worker;
  std::vector<std::string> second_workers;
  std::vector<std::string> third_workers;

  void GiveRoomToFirst() const { fleet->StartWorker(first_worker); }
  void GiveRoomToThird() const {
    fleet->SetCapacity(third_workers[0], kFullCapacity);
  }
  /// Undoes what made the second cell full.
  void GiveRoomToSecond() const {
    for (const std::string& worker : second_workers) {
      fleet->SetCapacity(worker, kFullCapacity);
      if (!fleet->Worker(worker).Up()) {
        fleet->StartWorker(worker);
      }
    }
  }
  bool RunsIn(const std::vector<std::string>& workers) const {
    return std::find(workers.begin(), workers.end(),
                     fleet->Checker().WorkerOf(kTask)) != workers.end();
  }
  bool RunsWithin(milliseconds limit) const {
    for (milliseconds waited{}; waited <= limit; waited += kStep) {
      if (fleet->Checker().Running(kTask)) {
        return true;
      }
      fleet->Advance(kStep);
    }
    return false;
  }
  /// Whether some VM has read that the second cell gave the task back.
  bool ReturnKnown() const {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (fleet->Running(vm) &&
          !fleet->Cell(vm, second).ReturnedTasks().empty()) {
        return true;
      }
    }
    return false;
  }
  std::string Violations() const {
    return absl::StrJoin(fleet->Checker().Violations(), "\n");
  }
};

std::vector<std::string> WorkersOf(const virtual_fleet& fleet,
                                   jobs::cell_id cell) {
  std::vector<std::string> workers;
  const auto owner = fleet.Owner(cell);
  EXPECT_TRUE(owner);
  for (const auto& [id, session] :
       fleet.Cell(owner.value_or(0), cell).Scheduler().Workers()) {
    workers.push_back(id);
  }
  return workers;
}

waiting_fleet FleetWithWaitingTask() {
  waiting_fleet waiting;
  waiting.fleet = std::make_unique<virtual_fleet>(
      virtual_fleet::options{.workers = 6, .cells = kCells});
  virtual_fleet& fleet = *waiting.fleet;
  fleet.Advance(kCalmTime + seconds(1));
  fleet.Submit(0, kJob, "-4000 600000 0 2");
  fleet.Advance(seconds(3));
  waiting.first_worker = fleet.Checker().WorkerOf(kTask);
  for (jobs::cell_id cell = 0; cell < kCells; ++cell) {
    const std::vector<std::string> workers = WorkersOf(fleet, cell);
    if (waiting.RunsIn(workers)) {
      waiting.first = cell;
    }
  }
  waiting.second = (waiting.first + 1) % kCells;
  waiting.third = (waiting.first + 2) % kCells;
  waiting.second_workers = WorkersOf(fleet, waiting.second);
  waiting.third_workers = WorkersOf(fleet, waiting.third);
  for (const std::string& worker : waiting.third_workers) {
    fleet.SetCapacity(worker, kSmallCapacity);
  }
  fleet.Advance(seconds(6));
  fleet.CrashWorker(waiting.first_worker);
  EXPECT_TRUE(waiting.RunsWithin(seconds(15)));
  EXPECT_TRUE(waiting.RunsIn(waiting.second_workers));
  const std::string in_second = fleet.Checker().WorkerOf(kTask);
  for (const std::string& worker : waiting.second_workers) {
    if (worker != in_second) {
      fleet.SetCapacity(worker, kSmallCapacity);
    }
  }
  fleet.Advance(seconds(6));
  fleet.CrashWorker(in_second);
  fleet.Advance(seconds(12));
  EXPECT_FALSE(fleet.Checker().Running(kTask));
  EXPECT_FALSE(waiting.ReturnKnown());
  return waiting;
}

/// Plays the fault at each time around the move and checks that the task has
/// one run at the end, also when its earlier cells have room again.
template <class Fault>
void PlayFaultsAroundTheMove(const Fault& fault) {
  for (milliseconds at{}; at <= kLastFault; at += kFaultInterval) {
    SCOPED_TRACE(testing::Message() << "fault after " << at.count() << " ms");
    const waiting_fleet waiting = FleetWithWaitingTask();
    waiting.GiveRoomToThird();
    waiting.fleet->Advance(at);
    fault(waiting);
    EXPECT_TRUE(waiting.RunsWithin(kMaxTakeoverRestart));
    waiting.GiveRoomToSecond();
    waiting.GiveRoomToFirst();
    waiting.fleet->Advance(seconds(10));
    EXPECT_TRUE(waiting.fleet->Checker().Running(kTask));
    EXPECT_EQ(waiting.Violations(), "");
  }
}

// Guards against a task that waits in a full cell while a third one has room.
TEST(DelegationReturnTest, ATaskMovesToAThirdCell) {
  const waiting_fleet waiting = FleetWithWaitingTask();
  waiting.GiveRoomToThird();
  EXPECT_TRUE(waiting.RunsWithin(kMaxRestartTime));
  EXPECT_TRUE(waiting.RunsIn(waiting.third_workers));
  EXPECT_EQ(waiting.Violations(), "");
}

// Guards against a task that waits in a full cell while the one that runs its
// job has room again.
TEST(DelegationReturnTest, ATaskMovesBackToItsFirstCell) {
  const waiting_fleet waiting = FleetWithWaitingTask();
  waiting.GiveRoomToFirst();
  EXPECT_TRUE(waiting.RunsWithin(kMaxRestartTime));
  EXPECT_EQ(waiting.fleet->Checker().WorkerOf(kTask), waiting.first_worker);
  EXPECT_EQ(waiting.Violations(), "");
}

// Guards against a cell that refuses a task which it has given back before, and
// against runs of the first stay that are taken for those of the second.
TEST(DelegationReturnTest, ATaskMovesToTheSameCellAgain) {
  const waiting_fleet waiting = FleetWithWaitingTask();
  waiting.GiveRoomToThird();
  ASSERT_TRUE(waiting.RunsWithin(kMaxRestartTime));
  waiting.GiveRoomToSecond();
  waiting.fleet->Advance(kCalmTime + seconds(2));
  waiting.fleet->SetCapacity(waiting.third_workers[0], kSmallCapacity);
  waiting.fleet->CrashWorker(waiting.fleet->Checker().WorkerOf(kTask));
  EXPECT_TRUE(waiting.RunsWithin(seconds(15)));
  EXPECT_TRUE(waiting.RunsIn(waiting.second_workers));
  EXPECT_EQ(waiting.Violations(), "");
}

/// A fleet of two cells with one worker each that can run a task of kJob, and
/// one that is too small. A worker that a task crashed is away for longer than
/// its lease, so that the task moves to the other cell.
std::unique_ptr<virtual_fleet> FleetOfTwoLargeWorkers() {
  auto fleet = std::make_unique<virtual_fleet>(virtual_fleet::options{
      .workers = 4, .cells = 2, .crash_return = seconds(9)});
  fleet->Advance(kCalmTime + seconds(1));
  for (jobs::cell_id cell = 0; cell < 2; ++cell) {
    fleet->SetCapacity(WorkersOf(*fleet, cell)[0], kSmallCapacity);
  }
  fleet->Advance(seconds(3));
  return fleet;
}

testing::AssertionResult RunsWithin(virtual_fleet& fleet, milliseconds limit) {
  for (milliseconds waited{}; waited <= limit; waited += kStep) {
    if (fleet.Checker().Running(kTask)) {
      return testing::AssertionSuccess();
    }
    fleet.Advance(kStep);
  }
  return testing::AssertionFailure() << "not running";
}

// Guards against a task that waits in a full cell, while another one has room,
// because two of its workers crashed shortly after its starts.
TEST(DelegationReturnTest, ATaskSuspectedOfTwoCrashesMoves) {
  const auto fleet = FleetOfTwoLargeWorkers();
  fleet->Submit(0, kJob, "-4000 600000 0 1");
  ASSERT_TRUE(RunsWithin(*fleet, seconds(3)));
  const std::string in_first = fleet->Checker().WorkerOf(kTask);
  std::string in_second;
  for (jobs::cell_id cell = 0; cell < 2; ++cell) {
    const std::string large = WorkersOf(*fleet, cell)[1];
    in_second = large == in_first ? in_second : large;
  }
  fleet->SetCapacity(in_second, kSmallCapacity);
  fleet->Advance(seconds(6));
  for (int crashes = 0; crashes < 2; ++crashes) {
    fleet->CrashWorker(in_first);
    fleet->Advance(seconds(2));
    fleet->StartWorker(in_first);
    ASSERT_TRUE(RunsWithin(*fleet, seconds(15)));
    fleet->Advance(milliseconds(100));
  }
  fleet->CrashWorker(in_first);
  fleet->Advance(seconds(12));
  ASSERT_FALSE(fleet->Checker().Running(kTask));
  fleet->SetCapacity(in_second, kFullCapacity);
  EXPECT_TRUE(RunsWithin(*fleet, kMaxRestartTime));
  EXPECT_EQ(fleet->Checker().WorkerOf(kTask), in_second);
  EXPECT_EQ(absl::StrJoin(fleet->Checker().Violations(), "\n"), "");
}

// Guards against a task that crashes workers of both cells and is started more
// often than in one cell, and against one that stays stopped in the cell that
// can't fail its job.
TEST(DelegationReturnTest, ATaskThatCrashesWorkersOfTwoCellsIsGivenUp) {
  const auto fleet = FleetOfTwoLargeWorkers();
  fleet->Submit(0, kJob, "-4000 600000 0 1 crash=300");
  std::set<std::string> workers;
  for (milliseconds waited{}; waited <= seconds(120); waited += kStep) {
    if (fleet->Checker().Running(kTask)) {
      workers.insert(fleet->Checker().WorkerOf(kTask));
    }
    fleet->Advance(kStep);
  }
  EXPECT_EQ(workers.size(), 2U);
  EXPECT_LE(fleet->Checker().Crashes(kTask), 4);
  const std::uint64_t token = fleet->Send(0, caller_method::kQuery, kJob);
  fleet->Advance(seconds(3));
  const caller_answer* const answer = fleet->AnswerTo(token);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->state, jobs::reported_state::kFailed);
  EXPECT_EQ(absl::StrJoin(fleet->Checker().Violations(), "\n"), "");
}

// Guards against a task that stays stopped in the cell that can't fail its job,
// after it has crashed too many workers there.
TEST(DelegationReturnTest, ATaskThatCrashesWorkersOfTheSecondCellIsGivenUp) {
  const auto fleet = FleetOfTwoLargeWorkers();
  fleet->Submit(0, kJob, "-4000 600000 0 1 crash=300");
  ASSERT_TRUE(RunsWithin(*fleet, seconds(3)));
  const std::string in_first = fleet->Checker().WorkerOf(kTask);
  for (milliseconds waited{};
       waited <= seconds(20) && fleet->Checker().Crashes(kTask) < 2;
       waited += kStep) {
    fleet->Advance(kStep);
  }
  // Then the first worker is back.
  fleet->Advance(seconds(3));
  fleet->SetCapacity(in_first, kSmallCapacity);
  fleet->Advance(seconds(30));
  EXPECT_EQ(fleet->Checker().Crashes(kTask), 3);
  const std::uint64_t token = fleet->Send(0, caller_method::kQuery, kJob);
  fleet->Advance(seconds(3));
  const caller_answer* const answer = fleet->AnswerTo(token);
  ASSERT_NE(answer, nullptr);
  EXPECT_EQ(answer->state, jobs::reported_state::kFailed);
  EXPECT_EQ(absl::StrJoin(fleet->Checker().Violations(), "\n"), "");
}

// Guards against a successor in the second cell that starts a task which was
// given back, and against a return that is lost with its owner.
TEST(DelegationReturnTest, SurvivesATakeoverOfTheSecondCell) {
  PlayFaultsAroundTheMove([](const waiting_fleet& waiting) {
    if (const auto owner = waiting.fleet->Owner(waiting.second)) {
      waiting.fleet->KillVm(*owner);
    }
  });
}

// Guards against a successor in the first cell that doesn't take the task back,
// or starts it although it was delegated on.
TEST(DelegationReturnTest, SurvivesATakeoverOfTheFirstCell) {
  PlayFaultsAroundTheMove([](const waiting_fleet& waiting) {
    if (const auto owner = waiting.fleet->Owner(waiting.first)) {
      waiting.fleet->KillVm(*owner);
    }
  });
}

// As the two above, while the answers to writes are lost before the takeover.
TEST(DelegationReturnTest, SurvivesLostAnswersAndTakeovers) {
  PlayFaultsAroundTheMove([](const waiting_fleet& waiting) {
    waiting.fleet->SetLostAnswerShare(1);
    waiting.fleet->Advance(milliseconds(500));
    if (const auto owner = waiting.fleet->Owner(waiting.second)) {
      waiting.fleet->KillVm(*owner);
    }
    waiting.fleet->SetLostAnswerShare(0);
  });
}

// Guards against an owner that is cut off from the store and starts a task that
// it has given back, or that was taken from it.
TEST(DelegationReturnTest, SurvivesACutBetweenAnOwnerAndTheStore) {
  for (const bool of_first : {false, true}) {
    SCOPED_TRACE(of_first ? "first cell" : "second cell");
    PlayFaultsAroundTheMove([of_first](const waiting_fleet& waiting) {
      const auto owner =
          waiting.fleet->Owner(of_first ? waiting.first : waiting.second);
      ASSERT_TRUE(owner);
      waiting.fleet->CutFromStore(*owner, true);
      waiting.fleet->Advance(seconds(8));
      waiting.fleet->CutFromStore(*owner, false);
    });
  }
}

// Guards against a start of a task that moves when its job was cancelled.
TEST(DelegationReturnTest, ACancelStopsTheMove) {
  for (milliseconds at{}; at <= kLastFault; at += kFaultInterval) {
    SCOPED_TRACE(testing::Message() << "cancel after " << at.count() << " ms");
    const waiting_fleet waiting = FleetWithWaitingTask();
    waiting.GiveRoomToThird();
    waiting.fleet->Advance(at);
    waiting.fleet->Send(0, caller_method::kCancel, kJob);
    waiting.fleet->Advance(seconds(4));
    EXPECT_FALSE(waiting.fleet->Checker().Running(kTask));
    waiting.GiveRoomToSecond();
    waiting.GiveRoomToFirst();
    waiting.fleet->Advance(seconds(6));
    EXPECT_FALSE(waiting.fleet->Checker().Running(kTask));
    EXPECT_EQ(waiting.Violations(), "");
  }
}

// Guards against VMs that start during the move and read the logs from
// snapshots: they have to learn of the return and the delegation in any order.
TEST(DelegationReturnTest, NewVmsKnowTheMove) {
  PlayFaultsAroundTheMove([](const waiting_fleet& waiting) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      waiting.fleet->KillVm(vm);
    }
    waiting.fleet->TrimStore();
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      waiting.fleet->StartVm(vm);
    }
  });
}

}  // namespace
}  // namespace skylarkbridge::control
