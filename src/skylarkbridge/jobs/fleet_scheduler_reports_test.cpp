// Tests of what the notes on restarts and takeovers tell. Each restart waits
// for something else, and its note has to name that.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kRestartingJob{0x20};
constexpr job_id kOtherJob{0x10};
const task_ref kRestartingTask{.job = kRestartingJob};

step_spec LongRunningStep(std::int64_t millicores) {
  return {.count = 1, .need = {.millicores = millicores}, .long_running = true};
}

/// Passes twice, as a pass that finds no room delays the next, and returns the
/// cause in the last note of a start of the restarting task.
std::optional<restart_cause> CauseOfNextStart(scheduler_driver& driver) {
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  std::optional<restart_cause> cause;
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    if (note.event == scheduling_event::kStartOrdered &&
        note.run.task == kRestartingTask) {
      cause = note.restart_cause;
    }
  }
  return cause;
}

std::vector<scheduling_note> NotesOf(scheduler_driver& driver,
                                     scheduling_event event) {
  std::vector<scheduling_note> found;
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    if (note.event == event) {
      found.push_back(note);
    }
  }
  return found;
}

/// A task of 3000 millicores that waits for its restart since its worker w0,
/// which has left, drained. A task of another job fills w1.
void WaitForRoom(scheduler_driver& driver) {
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, LongRunningStep(3000));
  driver.RunRounds();
  driver.AddWorker("w1", 3000);
  driver.RunRounds();
  driver.Submit(kOtherJob, LongRunningStep(3000));
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.DrainWorker("w0", 3000);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), 1U);
}

TEST(FleetSchedulerReportsTest, NamesTheRetryDelay) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, LongRunningStep(3000));
  driver.RunRounds();
  EXPECT_EQ(CauseOfNextStart(driver), std::nullopt);
  driver.EndRun(driver.starts.at(0).run, run_end::kFailed);
  driver.RunRounds();
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kRetryDelay);
  EXPECT_EQ(cause->release, restart_release::kNone);
}

TEST(FleetSchedulerReportsTest, NamesTheCancelledRunThatMadeRoom) {
  scheduler_driver driver;
  WaitForRoom(driver);
  const run_ref cancelled = driver.starts[1].run;
  driver.registry.Apply(job_cancelled{kOtherJob}, driver.now);
  driver.scheduler.JobCancelled(kOtherJob, driver.now);
  driver.EndRun(cancelled, run_end::kStopped);
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kRoom);
  EXPECT_EQ(cause->release, restart_release::kCancelledRun);
  EXPECT_EQ(cause->removed_run, cancelled);
}

TEST(FleetSchedulerReportsTest, NamesAnEndedRunThatMadeRoom) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, LongRunningStep(3000));
  driver.Submit(kOtherJob, {.count = 1, .need = {.millicores = 1000}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  const run_ref batch_run = driver.LastRun({.job = kOtherJob});
  driver.EndRun(driver.LastRun(kRestartingTask), run_end::kStopped);
  driver.AddWorker("w0", 3000);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), 1U);
  driver.EndRun(batch_run, run_end::kDone);
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kRoom);
  EXPECT_EQ(cause->release, restart_release::kEndedRun);
  EXPECT_EQ(cause->removed_run, batch_run);
}

TEST(FleetSchedulerReportsTest, NamesANewWorker) {
  scheduler_driver driver;
  WaitForRoom(driver);
  driver.AddWorker("w2", 3000);
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kRoom);
  EXPECT_EQ(cause->release, restart_release::kNewWorker);
}

TEST(FleetSchedulerReportsTest, NamesAWorkerThatAnswersAgain) {
  scheduler_driver driver;
  WaitForRoom(driver);
  driver.AddWorker("w2", 2000);
  driver.RunRounds();
  driver.silent_worker = "w2";
  driver.Pass(seconds(2));
  driver.AddWorker("w2", 3000);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), 1U);
  driver.silent_worker.clear();
  driver.Pass(milliseconds(600));
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kRoom);
  EXPECT_EQ(cause->release, restart_release::kReturnedWorker);
}

TEST(FleetSchedulerReportsTest, NamesTheLackOfUsableWorkers) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, LongRunningStep(3000));
  driver.RunRounds();
  driver.DrainWorker("w0", 3000);
  driver.EndRun(driver.starts.at(0).run, run_end::kStopped);
  driver.Pass(milliseconds(100));
  driver.AddWorker("w1", 3000);
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kNoUsableWorker);
  EXPECT_EQ(cause->release, restart_release::kNewWorker);
}

TEST(FleetSchedulerReportsTest, NamesThePlacementPolicy) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, LongRunningStep(3000), "restricted");
  driver.RunRounds();
  driver.scheduler.TakeNotes();
  ASSERT_EQ(driver.permit_requests.size(), 1U);
  driver.scheduler.Handle(permit_reply{.step = driver.permit_requests[0].step,
                                       .result = order_result::kDone,
                                       .eligible = {{"w0", "ticket"}},
                                       .validity = milliseconds(1500)},
                          driver.now);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  driver.scheduler.TakeNotes();
  driver.Pass(seconds(3));
  driver.Pass(seconds(1));
  std::optional<restart_cause> reported;
  for (const scheduling_note& note :
       NotesOf(driver, scheduling_event::kRestartDelayed)) {
    reported = note.restart_cause;
  }
  ASSERT_TRUE(reported);
  EXPECT_EQ(reported->obstacle, restart_obstacle::kPlacementPolicy);
}

// Guards against gangs whose lines name nothing that they wait for.
TEST(FleetSchedulerReportsTest, NamesWhatAGangLacks) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.AddWorker("w1", 3000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, {.count = 2,
                                 .need = {.millicores = 2000},
                                 .gang = true,
                                 .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.DrainWorker("w0", 3000);
  for (const start_order& start : std::vector(driver.starts)) {
    driver.EndRun(start.run, run_end::kStopped);
  }
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(100));
  }
  const std::vector<scheduling_note> delays =
      NotesOf(driver, scheduling_event::kRestartDelayed);
  ASSERT_EQ(delays.size(), 2U);
  for (const scheduling_note& note : delays) {
    ASSERT_TRUE(note.restart_cause);
    EXPECT_EQ(note.restart_cause->obstacle, restart_obstacle::kRoom);
  }
  driver.AddWorker("w2", 3000);
  const auto cause = CauseOfNextStart(driver);
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kRoom);
}

TEST(FleetSchedulerReportsTest, NamesTheUnreportedWorkersOfAnEarlierOwner) {
  scheduler_driver driver;
  driver.registry.Apply(
      job_accepted{.job = kRestartingJob,
                   .queue = "batch",
                   .spec = {.payload = "p", .steps = {LongRunningStep(3000)}}},
      driver.now);
  job_progress progress;
  progress.started = true;
  progress.steps.push_back({.started = {true}});
  driver.registry.Apply(job_advanced{kRestartingJob, progress}, driver.now);
  driver.Begin({"w0", "w1"}, seconds(3));
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  EXPECT_EQ(driver.scheduler.UnreportedWorkers(), 1U);
  for (int pass = 0; pass < 50; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.scheduler.TakeoverWait(driver.now), seconds(5));
  const std::vector<scheduling_note> delays =
      NotesOf(driver, scheduling_event::kTakeoverDelayed);
  ASSERT_EQ(delays.size(), 5U);
  EXPECT_EQ(delays[0].worker, "w1");
  EXPECT_TRUE(delays[0].detail.starts_with("waited_ms 1000 unreported 1 "))
      << delays[0].detail;
  for (int pass = 0; pass < 60; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.scheduler.UnreportedWorkers(), 0U);
  EXPECT_EQ(driver.scheduler.TakeoverWait(driver.now), milliseconds(0));
  std::optional<restart_cause> cause;
  std::string released;
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    if (note.event == scheduling_event::kStartOrdered) {
      cause = note.restart_cause;
    }
    if (note.event == scheduling_event::kUnaccountedReleased) {
      released = note.worker + " " + note.detail;
    }
  }
  ASSERT_TRUE(cause);
  EXPECT_EQ(cause->obstacle, restart_obstacle::kUnreportedWorkers);
  EXPECT_TRUE(released.starts_with("w1 waited_ms ")) << released;
  EXPECT_TRUE(released.ends_with("unreported 1 restarts 1")) << released;
}

TEST(FleetSchedulerReportsTest, SumsTheFreeRoomOfTheUsableWorkers) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(kRestartingJob, LongRunningStep(1000));
  driver.Submit(kOtherJob, {.count = 1, .need = {.millicores = 2500}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.AddWorker("w1", 2000);
  driver.DrainWorker("w2", 9000);
  driver.RunRounds();
  const cell_room room = driver.scheduler.FreeRoom(driver.now);
  EXPECT_EQ(room.largest, 2000);
  EXPECT_EQ(room.total, 2500);
  EXPECT_EQ(room.largest_preemptible, 3000);
  EXPECT_EQ(room.total_preemptible, 5000);
}

}  // namespace
}  // namespace skylarkbridge::jobs
