// Directed tests of the promise that a long-running task whose run ended runs
// again within kMaxRestartTime where the fleet has room for it.

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The body of a job is described at platform_fake::DecodeJob. A worker has 4000
// millicores, so that two tasks of 2000 fill it.

/// A job that is larger than its cell: some of its tasks never ran. Its id
/// sorts before kRestartingJob.
constexpr jobs::job_id kWaitingJob{0x10};
/// The job with the task whose run ends.
constexpr jobs::job_id kRestartingJob{0x20};
constexpr jobs::job_id kBatchJob{0x30};
/// A job with smaller tasks.
constexpr jobs::job_id kSmallJob{0x40};

jobs::task_ref Task(jobs::job_id job, std::uint32_t index) {
  return {.job = job, .index = index};
}

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// A fleet that has run long enough to have owners that have heard from all
/// workers, and to be calm.
std::unique_ptr<virtual_fleet> StartedFleet(
    const virtual_fleet::options& options) {
  auto fleet = std::make_unique<virtual_fleet>(options);
  fleet->Advance(kCalmTime + seconds(1));
  return fleet;
}

/// Submits a job and waits until its tasks have started, as far as they fit.
void SubmitAndStart(virtual_fleet& fleet,
                    jobs::job_id job,
                    const std::string& body) {
  fleet.Submit(0, job, body);
  fleet.Advance(seconds(1));
}

std::size_t CountRunning(const virtual_fleet& fleet,
                         jobs::job_id job,
                         std::uint32_t tasks) {
  std::size_t running = 0;
  for (std::uint32_t index = 0; index < tasks; ++index) {
    running += fleet.Checker().Running(Task(job, index)) ? 1 : 0;
  }
  return running;
}

/// Advances until the task runs, for at most @p limit.
testing::AssertionResult RunsWithin(virtual_fleet& fleet,
                                    const jobs::task_ref& task,
                                    milliseconds limit) {
  constexpr milliseconds kStep{20};
  for (milliseconds waited{}; waited <= limit; waited += kStep) {
    if (fleet.Checker().Running(task)) {
      return testing::AssertionSuccess();
    }
    fleet.Advance(kStep);
  }
  // The checker starts to count when it sees that the task waits.
  fleet.Advance(2 * kStep);
  return testing::AssertionFailure()
         << jobs::Format(task) << " does not run after " << limit.count()
         << " ms";
}

/// A fleet of one full cell in which one task of kRestartingJob and seven of
/// kWaitingJob run, while five of kWaitingJob have never run.
std::unique_ptr<virtual_fleet> FullFleet() {
  auto fleet = StartedFleet({});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 1");
  SubmitAndStart(*fleet, kWaitingJob, "-2000 600000 0 12");
  EXPECT_TRUE(fleet->Checker().Running(Task(kRestartingJob, 0)));
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 12), 7U);
  return fleet;
}

// Guards against giving the room of a failed run away: first starts of another
// job took it during the retry delay, and the task waited until other
// long-running work ended.
TEST(RestartTest, FirstStartsOfAnotherJobDoNotTakeTheRoomOfAFailedRun) {
  auto fleet = FullFleet();
  fleet->FailRun(Task(kRestartingJob, 0));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, with the first starts of the tasks of the same job.
TEST(RestartTest, FirstStartsOfTheSameJobDoNotTakeTheRoomOfAFailedRun) {
  auto fleet = StartedFleet({});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 12");
  ASSERT_EQ(CountRunning(*fleet, kRestartingJob, 12), 8U);
  ASSERT_TRUE(fleet->Checker().Running(Task(kRestartingJob, 3)));
  fleet->FailRun(Task(kRestartingJob, 3));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 3), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// As the first test, with a takeover: the owner dies right after the run has
// ended.
TEST(RestartTest, FirstStartsDoNotTakeTheRoomOfAFailedRunAfterATakeover) {
  auto fleet = FullFleet();
  fleet->FailRun(Task(kRestartingJob, 0));
  fleet->KillVm(*fleet->Owner());
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against giving the room of a restarted worker to tasks that have never
// run, while those that it lost wait.
TEST(RestartTest, FirstStartsDoNotTakeTheRoomOfARestartedWorker) {
  auto fleet = FullFleet();
  const std::string worker = fleet->Checker().WorkerOf(Task(kRestartingJob, 0));
  fleet->CrashWorker(worker);
  fleet->Advance(milliseconds(500));
  fleet->StartWorker(worker);
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, with a takeover: the owner dies together with the worker, so that
// its successor has to learn which tasks have run.
TEST(RestartTest, FirstStartsDoNotTakeTheRoomOfTasksLostInATakeover) {
  auto fleet = FullFleet();
  const std::string worker = fleet->Checker().WorkerOf(Task(kRestartingJob, 0));
  fleet->KillVm(*fleet->Owner());
  fleet->CrashWorker(worker);
  fleet->Advance(milliseconds(500));
  fleet->StartWorker(worker);
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, for tasks that started long after their job, which the owner writes
// later. The other job comes first because its queue is more urgent.
TEST(RestartTest, FirstStartsDoNotTakeTheRoomOfLateStartersLostInATakeover) {
  auto fleet = StartedFleet({.workers = 5});
  fleet->CrashWorker("w4");
  fleet->Advance(seconds(10));
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 10");
  ASSERT_EQ(CountRunning(*fleet, kRestartingJob, 10), 8U);
  fleet->StartWorker("w4");
  fleet->Advance(seconds(1));
  ASSERT_EQ(fleet->Checker().WorkerOf(Task(kRestartingJob, 9)), "w4");
  SubmitAndStart(*fleet, kWaitingJob, "-2000 600000 0 2 queue=serving");
  ASSERT_EQ(CountRunning(*fleet, kWaitingJob, 2), 0U);
  fleet->KillVm(*fleet->Owner());
  fleet->CrashWorker("w4");
  fleet->Advance(milliseconds(500));
  fleet->StartWorker("w4");
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 9), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against giving the room of a new worker to tasks that have never run,
// while those of a draining worker wait for it.
TEST(RestartTest, FirstStartsDoNotTakeTheRoomThatReplacesADrainingWorker) {
  auto fleet = StartedFleet({.workers = 5});
  fleet->CrashWorker("w4");
  fleet->Advance(seconds(10));
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 1");
  SubmitAndStart(*fleet, kWaitingJob, "-2000 600000 0 12");
  ASSERT_EQ(CountRunning(*fleet, kWaitingJob, 12), 7U);
  // The time left is too short for the task to wait for room on the worker.
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     milliseconds(900));
  fleet->Advance(milliseconds(500));
  ASSERT_FALSE(fleet->Checker().Running(Task(kRestartingJob, 0)));
  fleet->StartWorker("w4");
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

/// A full cell of ten workers. The tasks of kRestartingJob take a third, those
/// of kWaitingJob two thirds of a worker, so that each worker runs one of both.
std::unique_ptr<virtual_fleet> FullFleetOfTen() {
  auto fleet = StartedFleet({.workers = 11});
  fleet->CrashWorker("w10");
  fleet->Advance(seconds(10));
  SubmitAndStart(*fleet, kRestartingJob, "-1300 600000 0 10 max_per_worker=1");
  SubmitAndStart(*fleet, kWaitingJob, "-2600 600000 0 10 max_per_worker=1");
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 10), 10U);
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 10), 10U);
  return fleet;
}

// Guards against stopping the tasks of a draining worker before there is room
// for them elsewhere: they waited although the worker went on for seconds.
TEST(RestartTest, TasksRunOnADrainingWorkerUntilThereIsRoomElsewhere) {
  auto fleet = FullFleetOfTen();
  fleet->DrainWorker("w3", seconds(5));
  fleet->Advance(seconds(2));
  ASSERT_EQ(CountRunning(*fleet, kRestartingJob, 10), 10U);
  ASSERT_EQ(CountRunning(*fleet, kWaitingJob, 10), 10U);
  fleet->StartWorker("w10");
  fleet->Advance(seconds(1));
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 10), 10U);
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 10), 10U);
  for (std::uint32_t index = 0; index < 10; ++index) {
    EXPECT_NE(fleet->Checker().WorkerOf(Task(kRestartingJob, index)), "w3");
    EXPECT_NE(fleet->Checker().WorkerOf(Task(kWaitingJob, index)), "w3");
  }
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a task that is still on the worker when it leaves: its end is
// then known only when the worker's lease has expired, after 6 s.
TEST(RestartTest, TasksWithoutRoomElsewhereAreStoppedBeforeTheWorkerLeaves) {
  auto fleet = FullFleetOfTen();
  fleet->DrainWorker("w3", seconds(3));
  fleet->Advance(milliseconds(2500));
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 10), 9U);
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 10), 9U);
  fleet->Advance(seconds(1));
  fleet->StartWorker("w10");
  fleet->Advance(seconds(1));
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 10), 10U);
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 10), 10U);
  EXPECT_EQ(Violations(*fleet), "");
}

/// A fleet of one cell in which kRestartingJob holds half of each worker, and
/// tasks of kBatchJob hold the other half. More of them wait.
/// @param batch_time run time of a batch task.
std::unique_ptr<virtual_fleet> FleetSharedWithBatch(milliseconds batch_time) {
  auto fleet = StartedFleet({});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 4 max_per_worker=2");
  SubmitAndStart(*fleet, kBatchJob,
                 absl::StrCat("1000 ", batch_time.count(), " 0 200"));
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 4), 4U);
  EXPECT_EQ(CountRunning(*fleet, kBatchJob, 200), 8U);
  return fleet;
}

// Guards against a task that does not move off a crashed worker while short
// batch work holds the rest of the cell.
TEST(RestartTest, MovesTheTasksOfACrashedWorkerToRoomOfShortBatchWork) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->CrashWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)));
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, with a draining worker.
TEST(RestartTest, MovesTheTasksOfADrainingWorkerToRoomOfShortBatchWork) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     seconds(5));
  fleet->Advance(milliseconds(100));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a takeover that keeps a failed task from running again.
TEST(RestartTest, ATakeoverDoesNotDelayARestart) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->FailRun(Task(kRestartingJob, 0));
  fleet->KillVm(*fleet->Owner());
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a successor that waits for a worker that has left: until the
// last order and the last lease of the earlier owner have expired there, 12 s,
// none of the tasks of earlier owners ran again.
TEST(RestartTest, ATakeoverDoesNotWaitForAWorkerThatLeft) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     milliseconds(200));
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(milliseconds(300));
  ASSERT_FALSE(fleet->Checker().Running(Task(kRestartingJob, 0)));
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a wait without an end when the platform serves no list of
// machines: the leases on the worker end at the latest 12 s after the last
// order of the earlier owner.
TEST(RestartTest, ATakeoverWithoutAListOfMachinesWaitsForTheLease) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->SetMachineListDown(true);
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     milliseconds(200));
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(milliseconds(300));
  EXPECT_FALSE(RunsWithin(*fleet, Task(kRestartingJob, 0), seconds(9)));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), seconds(5)));
}

// Guards against readings of the list, which are priced, while all workers of
// the earlier owner report.
TEST(RestartTest, ATakeoverOfLivingWorkersReadsNoListOfMachines) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(seconds(15));
  EXPECT_TRUE(fleet->Checker().Running(Task(kRestartingJob, 0)));
  EXPECT_EQ(fleet->MachinePagesServed(), 0);
}

// Guards against a second run of a task: a worker that is cut off from all VMs
// stays in the list and runs its tasks until their lease ends.
TEST(RestartTest, ATakeoverWaitsForAWorkerThatIsCutOff) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  const std::string worker = fleet->Checker().WorkerOf(Task(kRestartingJob, 0));
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet->CutFromWorker(vm, worker, true);
  }
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(seconds(20));
  EXPECT_GT(fleet->MachinePagesServed(), 0);
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, for a task whose end another worker reports to the successor.
TEST(RestartTest, AReportedEndDoesNotWaitForAWorkerThatLeft) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  ASSERT_NE(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
            fleet->Checker().WorkerOf(Task(kRestartingJob, 1)));
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     milliseconds(200));
  fleet->KillVm(*fleet->Owner());
  fleet->FailRun(Task(kRestartingJob, 1));
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 1), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a wait for a worker that left which each takeover starts anew.
TEST(RestartTest, ASecondTakeoverDoesNotStartTheWaitForAWorkerAnew) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     milliseconds(200));
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(seconds(6));
  ASSERT_FALSE(fleet->Checker().Running(Task(kRestartingJob, 0)));
  fleet->KillVm(*fleet->Owner());
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), seconds(8)));
}

// Guards against a successor that waits for a worker of the list that no VM has
// ever reached, and on which no task can have been started.
TEST(RestartTest, ATakeoverDoesNotWaitForAWorkerThatNeverReported) {
  auto fleet = FleetSharedWithBatch(milliseconds(700));
  fleet->ListUnreachableWorker("unreachable");
  fleet->Advance(seconds(1));
  fleet->FailRun(Task(kRestartingJob, 0));
  fleet->KillVm(*fleet->Owner());
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a task that waits for batch work to end, for which nothing
// bounds the time.
TEST(RestartTest, MovesTheTasksOfACrashedWorkerToRoomOfLongBatchWork) {
  auto fleet = FleetSharedWithBatch(seconds(60));
  fleet->CrashWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)));
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, with a draining worker.
TEST(RestartTest, MovesTheTasksOfADrainingWorkerToRoomOfLongBatchWork) {
  auto fleet = FleetSharedWithBatch(seconds(60));
  fleet->DrainWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)),
                     seconds(5));
  fleet->Advance(milliseconds(100));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a task that waits without a bound because its cell has the
// room that it needs in small pieces only.
TEST(RestartTest, MovesASmallerTaskWhenTheRoomIsThereInSmallPieces) {
  auto fleet = StartedFleet({.workers = 3});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 1");
  SubmitAndStart(*fleet, kWaitingJob, "-1500 600000 0 2");
  SubmitAndStart(*fleet, kSmallJob, "-1000 600000 0 2");
  const std::string leaving =
      fleet->Checker().WorkerOf(Task(kRestartingJob, 0));
  fleet->DrainWorker(leaving, seconds(2));
  fleet->Advance(seconds(2));
  ASSERT_FALSE(fleet->Checker().Running(Task(kRestartingJob, 0)));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  fleet->Advance(kMaxRestartTime);
  EXPECT_EQ(CountRunning(*fleet, kSmallJob, 2), 2U);
  EXPECT_EQ(Violations(*fleet), "");
}

/// A fleet of two cells with four workers each. kRestartingJob fills its cell;
/// the other is empty.
/// @param tasks number of tasks of kRestartingJob, of which eight run.
std::unique_ptr<virtual_fleet> FleetWithOneFullCell(std::uint32_t tasks) {
  auto fleet = StartedFleet({.workers = 8, .cells = 2});
  SubmitAndStart(*fleet, kRestartingJob,
                 absl::StrCat("-2000 600000 0 ", tasks));
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, tasks), 8U);
  return fleet;
}

// As the second test, with room for the task in another cell.
TEST(RestartTest, FirstStartsDoNotKeepAFailedRunFromRoomInAnotherCell) {
  auto fleet = FleetWithOneFullCell(12);
  fleet->FailRun(Task(kRestartingJob, 0));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a task that waits for room in its cell while another cell has
// room for it.
TEST(RestartTest, MovesTheTasksOfACrashedWorkerToAnotherCell) {
  auto fleet = FleetWithOneFullCell(8);
  fleet->CrashWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)));
  EXPECT_TRUE(
      RunsWithin(*fleet, Task(kRestartingJob, 0), kCalmTime + kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

/// A fleet of two cells with eight workers each. The first ten tasks of
/// kRestartingJob, which fills its cell, run on five workers; the other cell is
/// empty.
std::unique_ptr<virtual_fleet> FleetWithOneLargeFullCell() {
  auto fleet = StartedFleet({.workers = 16, .cells = 2});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 16");
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 16), 16U);
  return fleet;
}

/// The workers of the first tasks of a job with 16 tasks.
std::set<std::string> FirstWorkers(const virtual_fleet& fleet,
                                   jobs::job_id job,
                                   std::size_t count) {
  std::set<std::string> workers;
  for (std::uint32_t index = 0; workers.size() < count && index < 16; ++index) {
    workers.insert(fleet.Checker().WorkerOf(Task(job, index)));
  }
  return workers;
}

// Guards against tasks that wait for their turn while the other cell has room
// on several workers.
TEST(RestartTest, MovesTheTasksOfCrashedWorkersToSeveralWorkersAtOnce) {
  auto fleet = FleetWithOneLargeFullCell();
  for (const std::string& worker : FirstWorkers(*fleet, kRestartingJob, 5)) {
    fleet->CrashWorker(worker);
  }
  fleet->Advance(kCalmTime + kMaxRestartTime);
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 16), 16U);
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against two cells that fill the same room of a third one: tasks
// without room there would wait, also when their own cell has room again.
TEST(RestartTest, TwoCellsShareTheRoomOfAThird) {
  auto fleet = StartedFleet({.workers = 24, .cells = 3});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 16");
  SubmitAndStart(*fleet, kWaitingJob, "-2000 600000 0 16");
  std::set<std::string> crashed;
  for (const jobs::job_id job : {kRestartingJob, kWaitingJob}) {
    ASSERT_EQ(CountRunning(*fleet, job, 16), 16U);
    crashed.merge(FirstWorkers(*fleet, job, 6));
  }
  for (const std::string& worker : crashed) {
    fleet->CrashWorker(worker);
  }
  // The third cell has room for 16 of 24 tasks.
  fleet->Advance(kCalmTime + kMaxRestartTime);
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 16), 12U);
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 16), 12U);
  for (const std::string& worker : crashed) {
    fleet->StartWorker(worker);
  }
  fleet->Advance(kMaxRestartTime);
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 16), 16U);
  EXPECT_EQ(CountRunning(*fleet, kWaitingJob, 16), 16U);
  EXPECT_EQ(Violations(*fleet), "");
}

// As above, with workers that leave. Their tasks end before the workers do.
TEST(RestartTest, MovesTheTasksOfDrainingWorkersToSeveralWorkersAtOnce) {
  constexpr seconds kNotice{5};
  auto fleet = FleetWithOneLargeFullCell();
  for (const std::string& worker : FirstWorkers(*fleet, kRestartingJob, 5)) {
    fleet->DrainWorker(worker, kNotice);
  }
  std::map<std::uint32_t, milliseconds> waited;
  constexpr milliseconds kStep{20};
  for (milliseconds elapsed{}; elapsed < kNotice + kMaxRestartTime;
       elapsed += kStep) {
    fleet->Advance(kStep);
    for (std::uint32_t index = 0; index < 16; ++index) {
      const bool running =
          fleet->Checker().Running(Task(kRestartingJob, index));
      waited[index] = running ? milliseconds(0) : waited[index] + kStep;
      EXPECT_LE(waited[index], kMaxRestartTime) << "task " << index;
    }
  }
  EXPECT_EQ(CountRunning(*fleet, kRestartingJob, 16), 16U);
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against reserving room on a worker that long-running tasks without a
// latency target fill: it never comes free there.
TEST(RestartTest, WaitsForNoRoomThatLongRunningTasksHold) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    auto fleet = StartedFleet({.workers = 6, .seed = seed});
    SubmitAndStart(*fleet, kWaitingJob, "-4000 600000 0 3");
    SubmitAndStart(*fleet, kRestartingJob, "-3000 600000 0 1");
    ASSERT_EQ(CountRunning(*fleet, kWaitingJob, 3), 3U);
    // Each batch job runs one task after the other, each of another length, so
    // that the tasks of a worker rarely end at the same time.
    const std::string tasks = absl::StrJoin(std::vector<int>(40, 1), " ");
    for (std::uint64_t job = 0; job < 14; ++job) {
      fleet->Submit(0, jobs::job_id{kBatchJob.value + job},
                    absl::StrCat("1000 ", 700 + 70 * job, " 0 ", tasks));
    }
    fleet->Advance(seconds(2));
    fleet->CrashWorker(fleet->Checker().WorkerOf(Task(kRestartingJob, 0)));
    EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0),
                           kCalmTime + kMaxRestartTime));
    EXPECT_EQ(Violations(*fleet), "");
  }
}

// Guards against batch work of a more urgent queue that takes all room that
// comes free.
TEST(RestartTest, MoreUrgentBatchWorkDoesNotDelayARestart) {
  auto fleet = StartedFleet({});
  SubmitAndStart(*fleet, kRestartingJob, "-2000 600000 0 1");
  SubmitAndStart(*fleet, kBatchJob, "1000 700 0 400 queue=serving");
  fleet->FailRun(Task(kRestartingJob, 0));
  EXPECT_TRUE(RunsWithin(*fleet, Task(kRestartingJob, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a placement pass that ends before it comes to the task,
// because many steps before it find no room.
TEST(RestartTest, StepsWithoutRoomDoNotHideARestart) {
  auto fleet = StartedFleet({.worker_millicores = 8000});
  const jobs::job_id restarting_job{100};
  SubmitAndStart(*fleet, restarting_job, "-1000 600000 0 1");
  ASSERT_TRUE(fleet->Checker().Running(Task(restarting_job, 0)));
  // One task of each job never finds a worker. The number of jobs is above
  // fleet_scheduler_options::max_unplaced_steps.
  for (std::uint64_t job = 1; job <= 45; ++job) {
    fleet->Submit(0, jobs::job_id{job}, "-100 600000 0 5 max_per_worker=1");
  }
  fleet->Advance(seconds(2));
  fleet->FailRun(Task(restarting_job, 0));
  EXPECT_TRUE(RunsWithin(*fleet, Task(restarting_job, 0), kMaxRestartTime));
  EXPECT_EQ(Violations(*fleet), "");
}

}  // namespace
}  // namespace skylarkbridge::control
