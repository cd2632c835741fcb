// Directed tests of the room that the owner counts on a worker.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{1};
constexpr job_id kLaterJob{2};
constexpr worker_start_time kLowTime{seconds(1)};
constexpr worker_start_time kHighTime{seconds(1'000'000)};
/// Room that one task of kLaterJob fills.
constexpr std::int64_t kCapacity = 1000;

void List(scheduler_driver& driver,
          std::optional<worker_start_time> start_time,
          std::int64_t millicores) {
  driver.scheduler.WorkerListed(
      {.worker = "w0",
       .service = "service",
       .address = "w0",
       .capacity = {.millicores = millicores, .memory_mb = 1000},
       .start_time = start_time},
      driver.now);
}

/// Starts a driver whose only worker reports @p start_time.
void Join(scheduler_driver& driver, worker_start_time start_time) {
  driver.Begin();
  List(driver, start_time, kCapacity);
  driver.start_times["w0"] = start_time;
  driver.RunRounds();
}

void SubmitTaskOfWholeCapacity(scheduler_driver& driver, job_id job) {
  driver.Submit(job, {.count = 1, .need = {.millicores = kCapacity}});
}

// Guards against a worker that gets no tasks for longer than until its next own
// entry, after another writer left one with a later start time.
TEST(FleetSchedulerCapacityTest, AnEntryWithALaterStartTimeHoldsUntilTheNext) {
  scheduler_driver driver;
  Join(driver, kLowTime);
  List(driver, kHighTime, kCapacity);
  SubmitTaskOfWholeCapacity(driver, kJob);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(900));
  EXPECT_TRUE(driver.starts.empty());
  List(driver, kLowTime, kCapacity);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against a worker without a start time in its entry that gets no tasks.
TEST(FleetSchedulerCapacityTest, AnEntryWithoutAStartTimeIsUsed) {
  scheduler_driver driver;
  Join(driver, kLowTime);
  List(driver, std::nullopt, kCapacity);
  SubmitTaskOfWholeCapacity(driver, kJob);
  driver.RunRounds();
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against a restarted worker whose clock went back: it gets no tasks by
// the entry of its life before, and some by its own, whatever comes first.
TEST(FleetSchedulerCapacityTest, ANewLifeWithAnEarlierStartTimeIsUsed) {
  for (const bool report_first : {true, false}) {
    scheduler_driver driver;
    Join(driver, kHighTime);
    SubmitTaskOfWholeCapacity(driver, kJob);
    driver.RunRounds();
    ASSERT_EQ(driver.starts.size(), 1U);
    driver.starts[0].target.worker = "over";
    if (report_first) {
      driver.start_times["w0"] = kLowTime;
      driver.Pass(milliseconds(100));
      driver.Pass(milliseconds(1000));
      EXPECT_EQ(driver.starts.size(), 1U);
      List(driver, kLowTime, kCapacity);
    } else {
      List(driver, kLowTime, kCapacity);
      driver.RunRounds();
      EXPECT_EQ(driver.starts.size(), 1U);
      driver.start_times["w0"] = kLowTime;
    }
    driver.Pass(milliseconds(100));
    driver.Pass(milliseconds(1000));
    EXPECT_EQ(driver.starts.size(), 2U) << report_first;
  }
}

// Guards against starts in the room of a cancelled run whose end is not
// reported, and against room that stays taken after it.
TEST(FleetSchedulerCapacityTest, ACancelledRunKeepsItsRoomUntilItsEnd) {
  scheduler_driver driver;
  Join(driver, kLowTime);
  SubmitTaskOfWholeCapacity(driver, kJob);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  const run_ref run = driver.starts[0].run;
  driver.scheduler.JobCancelled(kJob, driver.now);
  SubmitTaskOfWholeCapacity(driver, kLaterJob);
  driver.Pass(milliseconds(100));
  ASSERT_FALSE(driver.stops.empty());
  driver.scheduler.Handle(
      stop_reply{.worker = "w0", .run = run, .result = order_result::kDone},
      driver.now);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
  driver.EndRun(run, run_end::kStopped);
  driver.Pass(milliseconds(1000));
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(driver.starts.size(), 2U);
}

// Guards against starts beside a run whose need is not known, after the
// capacity has grown.
TEST(FleetSchedulerCapacityTest, ARunOfUnknownNeedKeepsAWorkerThatGrows) {
  constexpr run_ref kUnknown{{job_id{9}, 0, 0, 0}, 1};
  scheduler_driver driver;
  driver.Begin();
  // The run was started before the capacity shrank.
  List(driver, kLowTime, kCapacity / 10);
  driver.start_times["w0"] = kLowTime;
  driver.reported_runs["w0"] = {{.run = kUnknown, .progress_percent = 10}};
  driver.RunRounds();
  List(driver, kLowTime, 2 * kCapacity);
  SubmitTaskOfWholeCapacity(driver, kJob);
  driver.Pass(milliseconds(100));
  EXPECT_TRUE(driver.starts.empty());
  driver.reported_runs["w0"].clear();
  driver.reported_ends["w0"] = {
      {.number = 1, .run = kUnknown, .outcome = run_end::kStopped}};
  driver.Pass(milliseconds(1000));
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against starts on a worker that is listed again with less room while
// its earlier runs hold it.
TEST(FleetSchedulerCapacityTest, AWorkerThatComesBackSmallerKeepsItsRuns) {
  scheduler_driver driver;
  Join(driver, kLowTime);
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 500}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.scheduler.WorkerUnlisted("w0", driver.now);
  driver.Submit(kLaterJob, {.count = 1, .need = {.millicores = 300}});
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
  List(driver, kLowTime, 700);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
  List(driver, kLowTime, 800);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 2U);
}

// Guards against a gang whose members fit only without each other.
TEST(FleetSchedulerCapacityTest, AGangStartsOnlyInRoomForAllMembers) {
  scheduler_driver driver;
  Join(driver, kLowTime);
  driver.Submit(kJob, {.count = 2, .need = {.millicores = 600}, .gang = true});
  driver.Pass(milliseconds(100));
  EXPECT_TRUE(driver.starts.empty());
  List(driver, kLowTime, 1200);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 2U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
