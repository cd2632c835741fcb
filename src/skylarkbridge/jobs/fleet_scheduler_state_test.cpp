// Tests of the state that an owner reports once a second. On the day of issue
// 67 the log could not tell why a cell with free room started few tasks.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kWorkerMillicores = 4000;
constexpr std::int64_t kTooLarge = 8000;

step_spec Step(std::int64_t millicores) {
  return {.count = 1, .need = {.millicores = millicores}};
}

/// A driver with one worker that can get tasks.
scheduler_driver DriverWithWorker() {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", kWorkerMillicores);
  driver.RunRounds();
  return driver;
}

TEST(FleetSchedulerStateTest, CountsJobsRunsAndRoom) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(job_id{1}, Step(1000));
  driver.Pass(milliseconds(100));
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.open_jobs, 1U);
  EXPECT_EQ(state.ready.tasks, 0U);
  EXPECT_EQ(state.runs.all, 1U);
  EXPECT_EQ(state.counts.starts, 1U);
  EXPECT_EQ(state.usable_workers, 1U);
  EXPECT_EQ(state.total_millicores, kWorkerMillicores);
  EXPECT_EQ(state.free_millicores, kWorkerMillicores - 1000);
  EXPECT_EQ(state.pass.ended_by, pass_end::kAllLookedAt);
}

TEST(FleetSchedulerStateTest, NamesThePassThatUnplacedStepsCutShort) {
  scheduler_driver driver = DriverWithWorker();
  const auto limit =
      static_cast<std::uint64_t>(fleet_scheduler_options().max_unplaced_steps);
  for (std::uint64_t job = 1; job <= limit + 2; ++job) {
    // No need shows that a later one has no room.
    driver.Submit(job_id{job}, Step(kTooLarge - static_cast<int>(job)));
  }
  driver.Pass(milliseconds(100));
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.ready.steps, limit + 2);
  EXPECT_EQ(state.pass.ended_by, pass_end::kUnplacedLimit);
  EXPECT_EQ(state.pass.not_reached, 2U);
  EXPECT_GT(state.counts.cut_by_unplaced_steps, 0U);
  EXPECT_EQ(state.counts.cut_by_start_limit, 0U);
  EXPECT_EQ(state.free_millicores, kWorkerMillicores);
}

TEST(FleetSchedulerStateTest, NamesThePassThatTheStartLimitCutShort) {
  scheduler_driver driver = DriverWithWorker();
  const std::size_t limit = driver.scheduler.StartLimit().Limit();
  for (std::uint64_t job = 1; job <= limit + 2; ++job) {
    driver.Submit(job_id{job}, Step(1));
  }
  // The orders are not answered.
  driver.scheduler.Run(driver.now, driver.wall);
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.pass.ended_by, pass_end::kStartLimit);
  EXPECT_EQ(state.pass.not_reached, 2U);
  EXPECT_EQ(state.starts_in_flight, limit);
  EXPECT_EQ(state.runs.unconfirmed, limit);
}

// A task that new ones keep passing shows as a growing age while starts go on.
TEST(FleetSchedulerStateTest, ReportsTheTaskThatWaitsLongest) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(job_id{1}, Step(kTooLarge));
  driver.Pass(seconds(1));
  driver.Submit(job_id{2}, Step(kTooLarge));
  driver.Submit(job_id{3}, Step(100));
  driver.Pass(seconds(1));
  driver.Pass(seconds(1));
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.ready.steps, 2U);
  EXPECT_EQ(state.ready.oldest.job, job_id{1});
  EXPECT_EQ(state.ready.oldest_wait, seconds(3));
  EXPECT_EQ(state.counts.starts, 1U);
}

TEST(FleetSchedulerStateTest, CountsFromTheEndOfTheLastRun) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(job_id{1}, Step(kWorkerMillicores));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Pass(seconds(2));
  driver.DrainWorker("w0", kWorkerMillicores);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  driver.Pass(seconds(1));
  driver.Pass(seconds(1));
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.ready.oldest.job, job_id{1});
  EXPECT_GE(state.ready.oldest_wait, seconds(1));
  EXPECT_LT(state.ready.oldest_wait, seconds(3));
  EXPECT_EQ(state.usable_workers, 0U);
  EXPECT_EQ(state.free_millicores, 0);
}

TEST(FleetSchedulerStateTest, CountsEndsThatAreNotDurable) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(job_id{1}, Step(1000));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.EndRun(driver.starts[0].run, run_end::kDone);
  driver.now += seconds(1);
  driver.AllowOrders(driver.now);
  driver.scheduler.Run(driver.now, driver.wall);
  for (const order& sent_order : driver.scheduler.TakeOrders()) {
    if (const auto* renewal = std::get_if<renew_order>(&sent_order)) {
      driver.AnswerRenewal(*renewal);
    }
  }
  EXPECT_EQ(driver.scheduler.State(driver.now).runs.unstored_ends, 1U);
  driver.RunRounds();
  EXPECT_EQ(driver.scheduler.State(driver.now).runs.unstored_ends, 0U);
}

// Guards against a cell that looks stuck although long-running tasks hold what
// its batch tasks wait for.
TEST(FleetSchedulerStateTest, TellsWhatLongRunningTasksHold) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(
      job_id{1},
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.Submit(job_id{2}, Step(500));
  driver.Submit(job_id{3}, Step(1000));
  driver.Pass(milliseconds(100));
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.long_running_millicores, 3000);
  EXPECT_EQ(state.ready.tasks, 1U);
}

TEST(FleetSchedulerStateTest, CountsWaitingRestarts) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(
      job_id{1},
      {.count = 1, .need = {.millicores = 1000}, .long_running = true});
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.DrainWorker("w0", kWorkerMillicores);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  driver.Pass(seconds(1));
  driver.Pass(seconds(2));
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.waiting_restarts, 1U);
  EXPECT_GE(state.longest_restart_wait, seconds(2));
}

TEST(FleetSchedulerStateTest, BeginsAnewWithTheNextOwnership) {
  scheduler_driver driver = DriverWithWorker();
  driver.Submit(job_id{1}, Step(1000));
  driver.Pass(milliseconds(100));
  driver.scheduler.EndOwnership();
  const owner_state state = driver.scheduler.State(driver.now);
  EXPECT_EQ(state.open_jobs, 0U);
  EXPECT_EQ(state.counts.passes, 0U);
  EXPECT_EQ(state.counts.starts, 0U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
