// A long-running task waits for its restart although the room that it needs is
// there in small pieces.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The job with the task that waits.
constexpr job_id kRestartingJob{1};
/// Two jobs with a large and two with a small long-running task.
constexpr job_id kLargeJobs[] = {job_id{2}, job_id{3}};
constexpr job_id kSmallJobs[] = {job_id{4}, job_id{5}};
constexpr job_id kNewerJob{6};
constexpr job_id kBatchJob{7};
constexpr job_id kFillingJob{8};
constexpr milliseconds kPassTime{20};
/// Time within which a long-running task has to run again.
constexpr seconds kMaxRestartTime{6};

task_ref SingleTask(job_id job) {
  return {job, 0, 0, 0};
}

step_spec LongRunning(std::int64_t millicores) {
  return {.count = 1, .need = {.millicores = millicores}, .long_running = true};
}

/// Number of tasks of a step that may be down at once.
struct disruption_budget {
  std::int32_t tasks = 0;
};

/// Two workers with 4000 millicores on each of which two long-running tasks
/// leave 1500, and a third one that drains. The workers report a stopped run as
/// ended in the next pass.
class restart_beside_small_pieces {
 public:
  /// @param small_need need of the smaller task on each worker.
  /// @param restarting_need need of the task that will wait.
  explicit restart_beside_small_pieces(std::int64_t small_need = 1000,
                                       std::int64_t restarting_need = 2000) {
    StartLargeTasks(2500 - small_need);
    for (const job_id job : kSmallJobs) {
      Start(job, LongRunning(small_need));
    }
    StartRestartingTask(restarting_need);
  }
  /// The smaller tasks are those of one step with the budget. The larger ones
  /// need as much as the task that will wait, so that they are not moved.
  explicit restart_beside_small_pieces(disruption_budget budget) {
    StartLargeTasks(2000);
    step_spec step = LongRunning(1000);
    step.count = 2;
    step.disruption_budget = budget.tasks;
    Start(kSmallJobs[0], step);
    StartRestartingTask(2000);
  }
  void StartLargeTasks(std::int64_t need) {
    driver.Begin();
    driver.AddWorker("w0", 4000);
    driver.AddWorker("w1", 4000);
    driver.RunRounds();
    for (const job_id job : kLargeJobs) {
      Start(job, LongRunning(need));
    }
  }
  void StartRestartingTask(std::int64_t need) {
    driver.AddWorker("w2", 4000);
    driver.RunRounds();
    Start(kRestartingJob, LongRunning(need));
  }
  void Start(job_id job, const step_spec& step) {
    driver.Submit(job, step);
    driver.RunRounds();
  }
  /// Ends the run of the restarting task on a worker that drains.
  void EndRestartingRun() {
    driver.DrainWorker("w2", 4000);
    driver.RunRounds();
    driver.stops.clear();
    driver.EndRun(driver.LastRun(SingleTask(kRestartingJob)),
                  run_end::kStopped);
  }
  /// Starts a task that fills a worker of its own.
  void StartNewerTask(std::int64_t need) {
    driver.AddWorker("w3", need);
    driver.RunRounds();
    Start(kNewerJob, LongRunning(need));
  }
  /// Ends its run on the worker, which drains.
  void EndNewerRun(std::int64_t need) {
    driver.EndRun(driver.LastRun(SingleTask(kNewerJob)), run_end::kStopped);
    driver.DrainWorker("w3", need);
  }
  /// Ends the runs whose stop was ordered. Returns their tasks.
  std::set<task_ref> EndStoppedRuns() {
    std::set<task_ref> tasks;
    for (const stop_order& stop : driver.stops) {
      if (tasks.insert(stop.run.task).second) {
        driver.EndRun(stop.run, run_end::kStopped);
      }
    }
    driver.stops.clear();
    return tasks;
  }
  /// Passes time, at most @p limit, until a stop is ordered.
  void PassUntilStop(milliseconds limit) {
    const time_point until = driver.now + limit;
    while (driver.stops.empty() && driver.now < until) {
      driver.Pass(kPassTime);
    }
  }
  /// Passes the time. Returns the tasks of the runs that were stopped.
  std::set<task_ref> PassFor(milliseconds time) {
    std::set<task_ref> stopped;
    for (milliseconds passed{0}; passed < time; passed += kPassTime) {
      driver.Pass(kPassTime);
      stopped.merge(EndStoppedRuns());
    }
    return stopped;
  }
  /// The last report on the restarting task since the last call; nullopt
  /// without one.
  std::optional<scheduling_note> LastReport() {
    std::optional<scheduling_note> last;
    for (scheduling_note& note : driver.scheduler.TakeNotes()) {
      if (note.event == scheduling_event::kRestartDelayed &&
          note.run.task == SingleTask(kRestartingJob)) {
        last = std::move(note);
      }
    }
    return last;
  }
  /// The worker of the task's present run; empty while it does not run.
  std::string WorkerOf(job_id job) const {
    const run_ref last = driver.LastRun(SingleTask(job));
    for (const start_order& start : driver.starts) {
      if (start.run == last && start.target.worker != "over") {
        return start.target.worker;
      }
    }
    return "";
  }

  scheduler_driver driver;
};

// Guards against a task that waits without a bound although its cell has the
// room in small pieces.
TEST(RelocationSchedulerTest, ATaskGetsRoomThatIsThereInSmallPieces) {
  restart_beside_small_pieces fleet;
  ASSERT_EQ(fleet.WorkerOf(kRestartingJob), "w2");
  ASSERT_NE(fleet.WorkerOf(kSmallJobs[0]), fleet.WorkerOf(kSmallJobs[1]));
  fleet.EndRestartingRun();
  const std::set<task_ref> stopped = fleet.PassFor(kMaxRestartTime);
  ASSERT_EQ(stopped.size(), 1U);
  const job_id moved = stopped.begin()->job;
  EXPECT_TRUE(moved == kSmallJobs[0] || moved == kSmallJobs[1]);
  EXPECT_NE(fleet.WorkerOf(kRestartingJob), "");
  EXPECT_NE(fleet.WorkerOf(moved), "");
  EXPECT_NE(fleet.WorkerOf(moved), fleet.WorkerOf(kRestartingJob));
}

// Guards against the stop of a run whose task would then wait itself.
TEST(RelocationSchedulerTest, StopsNoRunWithoutRoomForItsTask) {
  restart_beside_small_pieces fleet(1600, 2800);
  fleet.EndRestartingRun();
  EXPECT_TRUE(fleet.PassFor(kMaxRestartTime).empty());
  EXPECT_EQ(fleet.WorkerOf(kRestartingJob), "");
}

// Guards against a move in the cell before other cells were asked.
TEST(RelocationSchedulerTest, ATaskIsDelegatedBeforeARunIsRelocated) {
  restart_beside_small_pieces fleet;
  fleet.EndRestartingRun();
  EXPECT_TRUE(fleet.PassFor(seconds(2)).empty());
  fleet.driver.scheduler.SetRoomInOtherCells(
      {{.cell = 1,
        .pieces = {{"service", {{.millicores = 4000}}}},
        .valid_until = fleet.driver.now + seconds(60)}});
  EXPECT_TRUE(fleet.PassFor(kMaxRestartTime).empty());
}

// Guards against a relocated task that waits because a newer restart has taken
// the room that was reserved for it.
TEST(RelocationSchedulerTest, ANewerRestartLeavesTheRoomOfARelocatedTask) {
  restart_beside_small_pieces fleet;
  fleet.StartNewerTask(1200);
  fleet.EndRestartingRun();
  fleet.PassUntilStop(kMaxRestartTime);
  ASSERT_EQ(fleet.driver.stops.size(), 1U);
  const job_id moved = fleet.driver.stops.front().run.task.job;
  fleet.EndNewerRun(1200);
  fleet.driver.Pass(kPassTime);
  fleet.EndStoppedRuns();
  for (int pass = 0; pass < 3; ++pass) {
    fleet.driver.Pass(kPassTime);
  }
  EXPECT_NE(fleet.WorkerOf(kRestartingJob), "");
  EXPECT_NE(fleet.WorkerOf(moved), "");
  EXPECT_EQ(fleet.WorkerOf(kNewerJob), "");
}

// Guards against a task that waits because batch work holds the small pieces.
TEST(RelocationSchedulerTest, BatchWorkLeavesTheRoomOfARelocatedTask) {
  restart_beside_small_pieces fleet;
  fleet.driver.DrainWorker("w2", 4000);
  fleet.Start(kBatchJob, {.count = 6, .need = {.millicores = 500}});
  fleet.EndRestartingRun();
  fleet.PassFor(kMaxRestartTime);
  EXPECT_NE(fleet.WorkerOf(kRestartingJob), "");
  for (const job_id job : kSmallJobs) {
    EXPECT_NE(fleet.WorkerOf(job), "");
  }
}

/// As above, with both smaller tasks in one step that allows @p budget of them
/// to be down at once. Returns the tasks whose runs are stopped.
std::set<task_ref> StoppedWithBudget(std::int32_t budget,
                                     int progress_percent) {
  restart_beside_small_pieces fleet(disruption_budget{budget});
  fleet.driver.progress_percent = progress_percent;
  fleet.EndRestartingRun();
  return fleet.PassFor(kMaxRestartTime);
}

// Guards against the stop of a healthy run beyond the number of tasks of its
// step that may be unavailable at once.
TEST(RelocationSchedulerTest, KeepsToTheDisruptionBudgetOfAStep) {
  constexpr int kAvailable = 100;
  constexpr int kStarting = 50;
  EXPECT_TRUE(StoppedWithBudget(0, kAvailable).empty());
  EXPECT_EQ(StoppedWithBudget(1, kAvailable).size(), 1U);
  EXPECT_TRUE(StoppedWithBudget(1, kStarting).empty());
  EXPECT_EQ(StoppedWithBudget(2, kStarting).size(), 1U);
}

// As above: the run of a silent worker is listed until its lease ends.
TEST(RelocationSchedulerTest, ATaskOnASilentWorkerIsUnavailable) {
  restart_beside_small_pieces fleet(disruption_budget{1});
  fleet.driver.progress_percent = 100;
  fleet.driver.AddWorker("w3", 1000);
  fleet.driver.RunRounds();
  fleet.driver.silent_worker = "w1";
  fleet.EndRestartingRun();
  EXPECT_TRUE(fleet.PassFor(seconds(4)).empty());
}

/// What the fleet reports about the restarting task after the time.
relocation_refusal RefusalAfter(restart_beside_small_pieces& fleet,
                                milliseconds time) {
  fleet.driver.progress_percent = 100;
  fleet.EndRestartingRun();
  fleet.PassFor(time);
  const std::optional<scheduling_note> report = fleet.LastReport();
  return report && report->relocation_refusal ? *report->relocation_refusal
                                              : relocation_refusal{};
}

// Guards against a wait whose cause an operator cannot tell: no other worker
// has room for any of the smaller tasks.
TEST(RelocationSchedulerTest, ReportsThatASmallerTaskHasNoOtherRoom) {
  restart_beside_small_pieces fleet(1600, 2800);
  const relocation_refusal refusal = RefusalAfter(fleet, seconds(5));
  EXPECT_EQ(refusal.obstacle, relocation_obstacle::kNoTarget);
  EXPECT_EQ(refusal.runs, (std::map<relocation_obstacle, std::size_t>{
                              {relocation_obstacle::kTooLittleRoom, 2},
                              {relocation_obstacle::kNoTarget, 2}}));
}

// The same where the steps allow no stop.
TEST(RelocationSchedulerTest, ReportsThatABudgetKeepsTheRunsInPlace) {
  restart_beside_small_pieces fleet(disruption_budget{0});
  const relocation_refusal refusal = RefusalAfter(fleet, seconds(5));
  EXPECT_EQ(refusal.obstacle, relocation_obstacle::kDisruptionBudget);
  EXPECT_EQ(refusal.runs, (std::map<relocation_obstacle, std::size_t>{
                              {relocation_obstacle::kDisruptionBudget, 2}}));
}

// Guards against an operator who looks for a move where the cell is too small.
TEST(RelocationSchedulerTest, ReportsAShortageOnlyWhereTheCellLacksRoom) {
  restart_beside_small_pieces pieces(1600, 2800);
  RefusalAfter(pieces, seconds(5));
  pieces.PassFor(seconds(1));
  EXPECT_EQ(pieces.LastReport()->detail.find("shortage"), std::string::npos);
  restart_beside_small_pieces shortage(1600, 3400);
  RefusalAfter(shortage, seconds(5));
  shortage.PassFor(seconds(1));
  EXPECT_NE(shortage.LastReport()->detail.find(" total_room 3000 shortage 400"),
            std::string::npos);
}

// Guards against a task that is stopped again and again for others.
TEST(RelocationSchedulerTest, ATaskIsNotRelocatedTwiceWithinTheInterval) {
  restart_beside_small_pieces fleet;
  fleet.StartNewerTask(1500);
  fleet.EndRestartingRun();
  EXPECT_EQ(fleet.PassFor(kMaxRestartTime),
            std::set<task_ref>{SingleTask(kSmallJobs[0])});
  // Both smaller tasks are on one worker now. On the other, 1400 are left.
  fleet.driver.scheduler.JobCancelled(kRestartingJob, fleet.driver.now);
  fleet.PassFor(seconds(1));
  fleet.Start(kFillingJob, LongRunning(1100));
  fleet.EndNewerRun(1500);
  const std::set<task_ref> stopped = fleet.PassFor(kMaxRestartTime);
  EXPECT_FALSE(stopped.contains(SingleTask(kSmallJobs[0])));
  EXPECT_TRUE(stopped.contains(SingleTask(kSmallJobs[1])));
  EXPECT_NE(fleet.WorkerOf(kNewerJob), "");
}

}  // namespace
}  // namespace skylarkbridge::jobs
