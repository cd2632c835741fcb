// Tests of the account of the room that a cell keeps. Without it the log can't
// tell a cell without room from one that keeps its room.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kRestartingJob{1};
constexpr job_id kBatchJob{2};
constexpr std::int64_t kNeed = 3000;

void StartLongRunning(scheduler_driver& driver,
                      job_id job,
                      std::int64_t millicores) {
  driver.Submit(
      job,
      {.count = 1, .need = {.millicores = millicores}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.back().run.task.job, job);
}

/// Ends the run of the job with the worker.
void LoseWorker(scheduler_driver& driver,
                const std::string& worker,
                job_id job) {
  driver.DrainWorker(worker, kNeed);
  driver.RunRounds();
  driver.stops.clear();
  driver.EndRun(driver.LastRun({.job = job}), run_end::kStopped);
}

kept_room KeptIn(const scheduler_driver& driver) {
  return driver.scheduler.State(driver.now).kept;
}

/// Passes until a stop is ordered, for at most 4 s.
void PassUntilStop(scheduler_driver& driver) {
  for (int pass = 0; driver.stops.empty() && pass < 200; ++pass) {
    driver.Pass(milliseconds(20));
  }
  ASSERT_FALSE(driver.stops.empty());
}

TEST(FleetSchedulerKeptRoomTest, CountsReservationsAndStops) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", kNeed);
  driver.RunRounds();
  StartLongRunning(driver, kRestartingJob, kNeed);
  driver.AddWorker("w1", 4000);
  driver.RunRounds();
  driver.Submit(kBatchJob, {.count = 1, .need = {.millicores = 2500}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(KeptIn(driver).for_restarts, 0);
  LoseWorker(driver, "w0", kRestartingJob);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(KeptIn(driver).for_restarts, kNeed);
  EXPECT_EQ(KeptIn(driver).by_stops, 0);
  PassUntilStop(driver);
  EXPECT_EQ(KeptIn(driver).for_restarts, kNeed);
  EXPECT_EQ(KeptIn(driver).by_stops, 2500);
  driver.EndRun(driver.LastRun({.job = kBatchJob}), run_end::kStopped);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(KeptIn(driver).for_restarts, 0);
  EXPECT_EQ(KeptIn(driver).by_stops, 0);
}

TEST(FleetSchedulerKeptRoomTest, CountsTheTargetOfARelocation) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.AddWorker("w1", 4000);
  driver.RunRounds();
  // Two tasks on each worker leave 1500.
  StartLongRunning(driver, job_id{11}, 1500);
  StartLongRunning(driver, job_id{12}, 1500);
  StartLongRunning(driver, job_id{13}, 1000);
  StartLongRunning(driver, job_id{14}, 1000);
  driver.AddWorker("w2", kNeed);
  driver.RunRounds();
  StartLongRunning(driver, kRestartingJob, 2000);
  LoseWorker(driver, "w2", kRestartingJob);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(KeptIn(driver).for_relocations, 0);
  PassUntilStop(driver);
  const kept_room kept = KeptIn(driver);
  EXPECT_EQ(kept.for_relocations, 1000);
  EXPECT_EQ(kept.for_restarts, 2000);
  EXPECT_EQ(kept.by_stops, 1000);
  EXPECT_EQ(kept.for_other_tasks, 0);
}

TEST(FleetSchedulerKeptRoomTest, CountsWhatIsLeftForTasksOfASilentWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", kNeed);
  driver.RunRounds();
  StartLongRunning(driver, kRestartingJob, kNeed);
  driver.AddWorker("w1", 4000);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(KeptIn(driver).for_silent_workers, 0);
  driver.silent_worker = "w0";
  for (int pass = 0; pass < 25; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(KeptIn(driver).for_silent_workers, kNeed);
  EXPECT_EQ(KeptIn(driver).for_restarts, 0);
  driver.silent_worker.clear();
  for (int pass = 0; pass < 10; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(KeptIn(driver).for_silent_workers, 0);
}

// Guards against room that is counted as kept although no worker has it.
TEST(FleetSchedulerKeptRoomTest, CountsNoRoomThatIsNotThere) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", kNeed);
  driver.RunRounds();
  StartLongRunning(driver, kRestartingJob, kNeed);
  driver.AddWorker("w1", kNeed - 100);
  driver.Pass(milliseconds(100));
  driver.silent_worker = "w0";
  for (int pass = 0; pass < 25; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(KeptIn(driver).for_silent_workers, 0);
}

}  // namespace
}  // namespace skylarkbridge::jobs
