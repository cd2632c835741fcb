#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{1};

/// Starts a long-running task on the only worker, w0.
void StartTask(scheduler_driver& driver) {
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 100}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
}

void Cancel(scheduler_driver& driver) {
  driver.registry.Apply(job_cancelled{kJob}, driver.now);
  driver.scheduler.JobCancelled(kJob, driver.now);
  driver.RunRounds();
}

/// Answers the last stop order.
void AnswerStop(scheduler_driver& driver, order_result result) {
  ASSERT_FALSE(driver.stops.empty());
  driver.scheduler.Handle(
      stop_reply{driver.stops.back().target.worker, driver.stops.back().run,
                 result, driver.stops.back().target.fence},
      driver.now);
}

/// Advances by @p time, in passes of 100 ms.
void PassTime(scheduler_driver& driver, milliseconds time) {
  for (milliseconds passed{}; passed < time; passed += milliseconds(100)) {
    driver.Pass(milliseconds(100));
  }
}

// Guards against a run of a cancelled job that stays because its stop order was
// refused, or had no answer.
TEST(FleetSchedulerStopsTest, RepeatsAStopThatWasNotCarriedOut) {
  for (const order_result result :
       {order_result::kNoAnswer, order_result::kNotSent,
        order_result::kUnhealthy, order_result::kWrongWorker,
        order_result::kInvalid}) {
    scheduler_driver driver;
    StartTask(driver);
    Cancel(driver);
    for (std::size_t attempt = 1; attempt <= 5; ++attempt) {
      ASSERT_EQ(driver.stops.size(), attempt) << static_cast<int>(result);
      AnswerStop(driver, result);
      PassTime(driver, milliseconds(200));
    }
  }
}

// Guards against a run of a cancelled job that stays because its worker
// acknowledged the stop order without ending the run: the order was sent only
// once, and the owner kept the lease of the run alive.
TEST(FleetSchedulerStopsTest, RepeatsAStopAfterWhichTheRunIsStillListed) {
  for (const order_result result :
       {order_result::kDone, order_result::kStaleRun}) {
    scheduler_driver driver;
    StartTask(driver);
    Cancel(driver);
    ASSERT_EQ(driver.stops.size(), 1U);
    AnswerStop(driver, result);
    PassTime(driver, seconds(2));
    EXPECT_GE(driver.stops.size(), 2U) << static_cast<int>(result);
  }
}

// Guards against repeating a stop while the worker may still be stopping the
// task.
TEST(FleetSchedulerStopsTest, LeavesAStoppedRunItsTimeToEnd) {
  scheduler_driver driver;
  StartTask(driver);
  Cancel(driver);
  AnswerStop(driver, order_result::kDone);
  PassTime(driver, fleet_scheduler_options{}.stop_timeout);
  EXPECT_EQ(driver.stops.size(), 1U);
}

// Guards against a run of a cancelled job that starts late on a worker that has
// restarted under its id: the answer to a stop order from the worker's life
// before counted as an answer of the new one, which was never told to stop.
TEST(FleetSchedulerStopsTest, AStopAnsweredBeforeARestartDoesNotCountAfterIt) {
  scheduler_driver driver;
  driver.start_times["w0"] = worker_start_time(seconds(1));
  StartTask(driver);
  const start_order start = driver.starts[0];
  // The start order was sent twice. The one without an answer is carried out
  // by the restarted worker.
  driver.scheduler.Handle(
      start_reply{"w0", start.run, order_result::kNoAnswer, start.target.fence},
      driver.now);
  Cancel(driver);
  ASSERT_EQ(driver.stops.size(), 1U);
  driver.starts.clear();
  driver.start_times["w0"] = worker_start_time(seconds(2));
  driver.Pass(milliseconds(50));
  AnswerStop(driver, order_result::kDone);
  driver.starts.push_back(start);
  PassTime(driver, seconds(2));
  EXPECT_GE(driver.stops.size(), 2U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
