// Tests of runs that workers report and whose tasks the owner does not know
// yet.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{7};
constexpr job_id kKnownJob{8};
constexpr run_ref kRun{{kJob, 0, 0, 0}, 1};
const std::string kWorker = "w0";

/// An owner that has taken over, with one worker, while the log of another cell
/// can't be read.
class unread_log {
 public:
  unread_log() {
    driver.other_logs_read_until = driver.now;
    driver.Begin({kWorker});
    driver.AddWorker(kWorker, 4000);
  }
  void ReportEnd(const run_ref& run, run_end outcome) {
    std::vector<ended_task>& ends = driver.reported_ends[kWorker];
    ends.push_back({.number = ends.size() + 1, .run = run, .outcome = outcome});
  }
  job_accepted Accepted() const {
    return {.job = kJob,
            .queue = "batch",
            .spec = {.payload = "p",
                     .steps = {{.count = 1, .need = {.millicores = 1000}}}}};
  }
  std::uint64_t Acknowledged() { return driver.acknowledged[kWorker]; }
  void Wait() {
    for (int pass = 0; pass < 4; ++pass) {
      driver.Pass(milliseconds(500));
    }
  }

  scheduler_driver driver;
};

// Guards against a task that runs again although the end of its run was
// reported before its job was known (review/1).
TEST(UnmatchedRunsTest, AnEndIsKeptUntilItsJobIsKnown) {
  unread_log day;
  day.ReportEnd(kRun, run_end::kDone);
  day.Wait();
  EXPECT_EQ(day.Acknowledged(), 0U);
  day.driver.ReadInOtherLog(day.Accepted());
  day.Wait();
  EXPECT_TRUE(day.driver.starts.empty());
  EXPECT_EQ(day.Acknowledged(), 1U);
}

// Guards against the same when the worker restarts before the job is known: its
// next life does not list the end any more.
TEST(UnmatchedRunsTest, AnEndIsKeptAfterItsWorkerHasRestarted) {
  unread_log day;
  day.driver.start_times[kWorker] = worker_start_time(milliseconds(1));
  day.ReportEnd(kRun, run_end::kDone);
  day.Wait();
  day.driver.start_times[kWorker] = worker_start_time(milliseconds(2));
  day.driver.reported_ends[kWorker].clear();
  day.Wait();
  day.driver.ReadInOtherLog(day.Accepted());
  day.Wait();
  EXPECT_TRUE(day.driver.starts.empty());
}

// Guards against a worker that has to keep the ends of jobs that are gone: it
// reports a limited number of ends.
TEST(UnmatchedRunsTest, AnEndIsAcknowledgedOnceTheLogsShowThatItsJobIsGone) {
  unread_log day;
  day.ReportEnd(kRun, run_end::kDone);
  day.Wait();
  EXPECT_EQ(day.Acknowledged(), 0U);
  // A reading that began before the report shows nothing.
  day.driver.other_logs_read_until = day.driver.now - seconds(2);
  day.Wait();
  EXPECT_EQ(day.Acknowledged(), 0U);
  day.driver.other_logs_read_until = day.driver.now;
  day.Wait();
  EXPECT_EQ(day.Acknowledged(), 1U);
}

// Guards against known jobs that are held up by an end whose job is not known.
TEST(UnmatchedRunsTest, LaterEndsAreAppliedAtOnce) {
  unread_log day;
  day.driver.Submit(kKnownJob, {.count = 1, .need = {.millicores = 1000}});
  day.Wait();
  ASSERT_EQ(day.driver.starts.size(), 1U);
  const run_ref known = day.driver.starts[0].run;
  day.ReportEnd(kRun, run_end::kDone);
  day.driver.EndRun(known, run_end::kDone);
  day.Wait();
  EXPECT_EQ(day.driver.scheduler.Jobs().Find(kKnownJob), nullptr);
  EXPECT_EQ(day.Acknowledged(), 0U);
  day.driver.ReadInOtherLog(day.Accepted());
  day.Wait();
  EXPECT_EQ(day.Acknowledged(), 2U);
  EXPECT_EQ(day.driver.starts.size(), 1U);
}

// Guards against a failed attempt that is forgotten because its job was not
// known: the task ran once too often.
TEST(UnmatchedRunsTest, AFailedRunCountsOnceItsJobIsKnown) {
  unread_log day;
  for (run_number run = 1; run <= 3; ++run) {
    day.ReportEnd({kRun.task, run}, run_end::kFailed);
  }
  day.Wait();
  day.driver.ReadInOtherLog(day.Accepted());
  day.Wait();
  EXPECT_TRUE(day.driver.starts.empty());
}

// Guards against a run that is stopped because its job is not known yet.
TEST(UnmatchedRunsTest, ARunIsAdoptedOnceItsJobIsKnown) {
  unread_log day;
  day.driver.reported_runs[kWorker] = {{.run = kRun, .progress_percent = 10}};
  day.Wait();
  day.driver.ReadInOtherLog(day.Accepted());
  day.Wait();
  EXPECT_TRUE(day.driver.stops.empty());
  EXPECT_TRUE(day.driver.starts.empty());
  const task_state* task = day.driver.scheduler.Jobs().Find(kRun.task);
  ASSERT_NE(task, nullptr);
  EXPECT_EQ(task->phase, task_phase::kActive);
}

// Guards against an adopted run that keeps the whole worker, which was reserved
// while its need was not known.
TEST(UnmatchedRunsTest, AnAdoptedRunTakesOnlyItsRoom) {
  unread_log day;
  day.driver.reported_runs[kWorker] = {{.run = kRun, .progress_percent = 10}};
  day.Wait();
  day.driver.Submit(kKnownJob, {.count = 3, .need = {.millicores = 1000}});
  day.Wait();
  EXPECT_TRUE(day.driver.starts.empty());
  day.driver.ReadInOtherLog(day.Accepted());
  day.Wait();
  EXPECT_EQ(day.driver.starts.size(), 3U);
}

// Guards against a run that goes on although its job is gone.
TEST(UnmatchedRunsTest, ARunIsStoppedOnceTheLogsShowThatItsJobIsGone) {
  unread_log day;
  day.driver.reported_runs[kWorker] = {{.run = kRun, .progress_percent = 10}};
  day.Wait();
  EXPECT_TRUE(day.driver.stops.empty());
  day.driver.other_logs_read_until = day.driver.now;
  day.Wait();
  EXPECT_FALSE(day.driver.stops.empty());
}

/// A job whose second occurrence is due 4 s after the owner's time of day.
job_accepted RepeatingJob() {
  return {.job = kJob,
          .queue = "batch",
          .spec = {.payload = "p",
                   .steps = {{.count = 1, .need = {.millicores = 1000}}},
                   .repeat_count = 2,
                   .first_due = scheduler_driver::kWall - seconds(6),
                   .interval = seconds(10)}};
}
constexpr run_ref kSecondRun{{kJob, 1, 0, 0}, 1};

// Guards against an occurrence that runs again because the clock of the dead
// owner, which started it, was ahead of the successor's.
TEST(UnmatchedRunsTest, AnEndIsKeptUntilItsOccurrenceIsDue) {
  scheduler_driver driver;
  driver.registry.Apply(RepeatingJob(), driver.now);
  driver.Begin({kWorker});
  driver.AddWorker(kWorker, 4000);
  driver.reported_ends[kWorker] = {
      {.number = 1, .run = {{kJob, 0, 0, 0}, 1}, .outcome = run_end::kDone},
      {.number = 2, .run = kSecondRun, .outcome = run_end::kDone}};
  driver.Pass(milliseconds(500));
  driver.Pass(milliseconds(500));
  EXPECT_EQ(driver.acknowledged[kWorker], 1U);
  driver.wall += seconds(5);
  driver.Pass(milliseconds(500));
  driver.Pass(milliseconds(500));
  EXPECT_TRUE(driver.starts.empty());
  EXPECT_EQ(driver.acknowledged[kWorker], 2U);
}

// Guards against a run of such an occurrence that is stopped.
TEST(UnmatchedRunsTest, ARunIsAdoptedOnceItsOccurrenceIsDue) {
  scheduler_driver driver;
  driver.registry.Apply(RepeatingJob(), driver.now);
  driver.Begin({kWorker});
  driver.AddWorker(kWorker, 4000);
  driver.reported_ends[kWorker] = {
      {.number = 1, .run = {{kJob, 0, 0, 0}, 1}, .outcome = run_end::kDone}};
  driver.reported_runs[kWorker] = {{.run = kSecondRun}};
  driver.Pass(milliseconds(500));
  driver.wall += seconds(5);
  driver.Pass(milliseconds(500));
  driver.Pass(milliseconds(500));
  EXPECT_TRUE(driver.stops.empty());
  EXPECT_TRUE(driver.starts.empty());
}

// Guards against an end that is kept for good, as its occurrence is complete
// and its state was dropped.
TEST(UnmatchedRunsTest, AnEndOfACompleteOccurrenceIsAcknowledged) {
  scheduler_driver driver;
  driver.registry.Apply(RepeatingJob(), driver.now);
  driver.Begin({kWorker});
  driver.AddWorker(kWorker, 4000);
  driver.reported_ends[kWorker] = {
      {.number = 1, .run = {{kJob, 0, 0, 0}, 1}, .outcome = run_end::kDone},
      {.number = 2, .run = {{kJob, 0, 0, 0}, 2}, .outcome = run_end::kStopped}};
  driver.Pass(milliseconds(500));
  driver.Pass(milliseconds(500));
  EXPECT_EQ(driver.acknowledged[kWorker], 2U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
