// Tests of the reports on a backlog of restarts. The log of two tasks that
// waited too long did not name them, as it told of the five of some 60 that had
// waited longest.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kWaitingJobs = 12;
constexpr std::int64_t kLargestNeed = 2000;
constexpr std::int64_t kSmallestNeed = 900;
constexpr std::int64_t kNeedStep = 100;

task_ref TaskOfJob(std::uint64_t job) {
  return {.job = job_id{job}};
}

/// Twelve tasks, of the jobs 1 to 12, whose runs have ended in this order with
/// the worker w0, while w1 has too little room for each of them. Those that
/// have waited longest need most.
void WaitInOrder(scheduler_driver& driver) {
  driver.Begin();
  driver.AddWorker("w0", 40'000);
  driver.RunRounds();
  std::int64_t need = kLargestNeed;
  for (std::uint64_t job = 1; job <= kWaitingJobs; ++job) {
    driver.Submit(
        job_id{job},
        {.count = 1, .need = {.millicores = need}, .long_running = true});
    need -= kNeedStep;
  }
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), kWaitingJobs);
  driver.DrainWorker("w0", 40'000);
  driver.AddWorker("w1", kSmallestNeed - kNeedStep);
  for (std::uint64_t job = 1; job <= kWaitingJobs; ++job) {
    driver.EndRun(driver.LastRun(TaskOfJob(job)), run_end::kStopped);
    driver.Pass(milliseconds(50));
  }
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), kWaitingJobs);
}

/// Passes until all tasks have waited for a report, and returns the notes on
/// delayed restarts of the last one.
std::vector<scheduling_note> LastReport(scheduler_driver& driver) {
  std::vector<scheduling_note> last;
  for (int pass = 0; pass < 30; ++pass) {
    driver.Pass(milliseconds(100));
    std::vector<scheduling_note> notes = driver.scheduler.TakeNotes();
    std::erase_if(notes, [](const scheduling_note& note) {
      return note.event != scheduling_event::kRestartDelayed;
    });
    if (!notes.empty()) {
      last = std::move(notes);
    }
  }
  return last;
}

// Guards against a log that does not show the tasks which should find room
// first, because many larger ones have waited longer.
TEST(FleetSchedulerRestartReportsTest, ReportsTheOldestAndTheSmallestOnce) {
  scheduler_driver driver;
  WaitInOrder(driver);
  const std::vector<scheduling_note> report = LastReport(driver);
  std::vector<std::uint64_t> jobs;
  jobs.reserve(report.size());
  for (const scheduling_note& note : report) {
    jobs.push_back(note.run.task.job.value);
  }
  EXPECT_EQ(jobs,
            (std::vector<std::uint64_t>{1, 2, 3, 4, 5, 8, 9, 10, 11, 12}));
}

// Guards against a line that does not say how many tasks come before this one.
TEST(FleetSchedulerRestartReportsTest, NamesThePlaceInTheQueue) {
  scheduler_driver driver;
  WaitInOrder(driver);
  const std::vector<scheduling_note> report = LastReport(driver);
  ASSERT_FALSE(report.empty());
  for (const scheduling_note& note : report) {
    ASSERT_TRUE(note.queue_place);
    EXPECT_EQ(note.queue_place->place, note.run.task.job.value);
    EXPECT_EQ(note.queue_place->tasks, kWaitingJobs);
  }
}

// Guards against a shortage that leaves out the tasks before a small one which
// are not reported themselves.
TEST(FleetSchedulerRestartReportsTest, TheShortageCountsAllTasksBefore) {
  scheduler_driver driver;
  WaitInOrder(driver);
  const std::vector<scheduling_note> report = LastReport(driver);
  ASSERT_FALSE(report.empty());
  const std::int64_t needed =
      (kLargestNeed + kSmallestNeed) * std::int64_t{kWaitingJobs} / 2;
  const std::string shortage =
      " shortage " + std::to_string(needed - (kSmallestNeed - kNeedStep));
  EXPECT_TRUE(report.back().detail.ends_with(shortage))
      << report.back().detail << " instead of" << shortage;
}

// Guards against a backlog of which the log shows only the tasks that it names.
TEST(FleetSchedulerRestartReportsTest, TheBacklogCountsAllTasks) {
  scheduler_driver driver;
  WaitInOrder(driver);
  LastReport(driver);
  const auto report = driver.scheduler.TakeRestartReport();
  ASSERT_TRUE(report);
  const restart_group& all = report->backlog.all;
  EXPECT_EQ(all.tasks, kWaitingJobs);
  EXPECT_EQ(all.need_millicores,
            (kLargestNeed + kSmallestNeed) * std::int64_t{kWaitingJobs} / 2);
  EXPECT_EQ(all.smallest_need_millicores, kSmallestNeed);
  EXPECT_GE(all.longest_wait, seconds(2));
  ASSERT_EQ(report->backlog.by_obstacle.size(), 1U);
  EXPECT_EQ(report->backlog.by_obstacle.begin()->first,
            restart_obstacle::kRoom);
  EXPECT_FALSE(driver.scheduler.TakeRestartReport());
}

// Guards against a task of which no line tells why it waits.
TEST(FleetSchedulerRestartReportsTest, ListsTheTasksThatAreNotReportedInFull) {
  scheduler_driver driver;
  WaitInOrder(driver);
  LastReport(driver);
  const auto report = driver.scheduler.TakeRestartReport();
  ASSERT_TRUE(report);
  ASSERT_EQ(report->others.size(), 2U);
  for (const queued_restart& other : report->others) {
    EXPECT_EQ(other.place.place, other.run.task.job.value);
    EXPECT_EQ(other.obstacle, restart_obstacle::kRoom);
    EXPECT_GE(other.waited, seconds(2));
  }
  EXPECT_EQ(report->others[0].run.task, TaskOfJob(6));
  EXPECT_EQ(report->others[1].run.task, TaskOfJob(7));
}

// Guards against a line each second on waits that are as short as usual.
TEST(FleetSchedulerRestartReportsTest, ReportsNoBacklogOfShortWaits) {
  scheduler_driver driver;
  WaitInOrder(driver);
  EXPECT_FALSE(driver.scheduler.TakeRestartReport());
}

}  // namespace
}  // namespace skylarkbridge::jobs
