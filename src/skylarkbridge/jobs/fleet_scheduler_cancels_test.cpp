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

constexpr job_id kJob{0xabc};

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

/// A long-running job with @p tasks tasks on one worker, which is cancelled.
void RunAndCancel(scheduler_driver& driver, std::uint32_t tasks) {
  driver.Begin();
  driver.AddWorker("w0", 40'000);
  driver.RunRounds();
  driver.Submit(
      kJob,
      {.count = tasks, .need = {.millicores = 1000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), tasks);
  driver.scheduler.TakeNotes();
  driver.registry.Apply(job_cancelled{kJob}, driver.now);
  driver.scheduler.JobCancelled(kJob, driver.now);
}

// Guards against tasks of a cancelled job that run on without a log line that
// tells why.
TEST(FleetSchedulerTest, ReportsARunOfACancelledJobThatIsNotStopped) {
  scheduler_driver driver;
  RunAndCancel(driver, 1);
  driver.Pass(milliseconds(900));
  EXPECT_TRUE(NotesOf(driver, scheduling_event::kCancelDelayed).empty());
  ASSERT_EQ(driver.stops.size(), 1U);
  driver.scheduler.Handle(
      stop_reply{"w0", driver.stops[0].run, order_result::kNoAnswer,
                 driver.stops[0].target.fence},
      driver.now);
  driver.Pass(milliseconds(200));
  driver.Pass(milliseconds(500));
  std::vector<scheduling_note> reports =
      NotesOf(driver, scheduling_event::kCancelDelayed);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_EQ(reports[0].run, driver.stops[0].run);
  EXPECT_EQ(reports[0].worker, "w0");
  EXPECT_TRUE(reports[0].detail.starts_with(
      "waited_ms 1100 phase running stop_wanted yes stops 1 under_way no "
      "last_result 10 "))
      << reports[0].detail;
  EXPECT_TRUE(reports[0].detail.ends_with(" may_order yes"))
      << reports[0].detail;
}

// Guards against a silent owner that can't confirm its ownership and therefore
// stops nothing.
TEST(FleetSchedulerTest, ReportsDelayedCancelsWhileItMayNotOrder) {
  scheduler_driver driver;
  RunAndCancel(driver, 1);
  driver.scheduler.AllowOrders(driver.now, driver.now);
  driver.now += milliseconds(1000);
  driver.RunRounds();
  const std::vector<scheduling_note> reports =
      NotesOf(driver, scheduling_event::kCancelDelayed);
  ASSERT_EQ(reports.size(), 1U);
  EXPECT_TRUE(reports[0].detail.ends_with(" may_order no"))
      << reports[0].detail;
}

// Guards against a log that fills up with the tasks of large cancelled jobs.
TEST(FleetSchedulerTest, ReportsAFewDelayedCancelsAtATime) {
  scheduler_driver driver;
  RunAndCancel(driver, 30);
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(NotesOf(driver, scheduling_event::kCancelDelayed).size(), 5U);
}

// Guards against a metric of stop times that misses runs or counts others.
TEST(FleetSchedulerTest, NotesHowLongACancelledRunWasOnItsWorker) {
  scheduler_driver driver;
  RunAndCancel(driver, 1);
  driver.now += milliseconds(250);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  driver.RunRounds();
  const std::vector<scheduling_note> ends =
      NotesOf(driver, scheduling_event::kRunEnded);
  ASSERT_EQ(ends.size(), 1U);
  EXPECT_EQ(ends[0].cancel_wait, milliseconds(250));
}

}  // namespace
}  // namespace skylarkbridge::jobs
