// Tests of the stages to which a scheduler accounts the waits of long-running
// tasks. Each wait is made of other stages, and its account has to name them
// with their times, while it lasts and when it ends.

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{1};
constexpr job_id kOtherJob{2};
constexpr task_ref kTask{.job = kJob};
/// Longest time between the passes of a test.
constexpr milliseconds kStep{20};

step_spec LongRunningStep(std::uint32_t count = 1,
                          std::int64_t millicores = 3000) {
  return {
      .count = count, .need = {.millicores = millicores}, .long_running = true};
}

void PassFor(scheduler_driver& driver, milliseconds time) {
  for (milliseconds passed{}; passed < time; passed += kStep) {
    driver.Pass(kStep);
  }
}

/// The only wait that has ended since the last call; nullopt for another
/// number.
std::optional<restart_stage_times> EndedWait(scheduler_driver& driver) {
  const restart_stage_report report = driver.scheduler.TakeRestartStages();
  return report.ended.size() == 1 ? std::optional(report.ended[0])
                                  : std::nullopt;
}

/// How long a task has waited in the stage that still waits.
milliseconds Waiting(const scheduler_driver& driver, restart_stage stage) {
  return std::chrono::floor<milliseconds>(
      driver.scheduler.LongestRestartStages(driver.now)[stage]);
}

/// A task on w0, the only worker.
void RunTask(scheduler_driver& driver) {
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(kJob, LongRunningStep());
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
}

/// A task that waits for its restart since its worker w0 drained. A task of
/// another job fills w1.
void WaitForRoom(scheduler_driver& driver) {
  RunTask(driver);
  driver.AddWorker("w1", 3000);
  driver.RunRounds();
  driver.Submit(kOtherJob, LongRunningStep());
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.DrainWorker("w0", 3000);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  // The pass after the report of the end is the first to look at the task.
  driver.Pass(kStep);
  driver.Pass(kStep);
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), 1U);
  ASSERT_EQ(driver.scheduler.AccountedRestarts(), 1U);
}

TEST(FleetSchedulerRestartStagesTest, AccountsTheRetryDelay) {
  scheduler_driver driver;
  RunTask(driver);
  driver.EndRun(driver.starts[0].run, run_end::kFailed);
  PassFor(driver, seconds(1));
  ASSERT_EQ(driver.starts.size(), 2U);
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_GE((*times)[restart_stage::kRetryDelay], milliseconds(50));
  EXPECT_LE((*times)[restart_stage::kRetryDelay],
            *LimitOf(restart_stage::kRetryDelay));
  EXPECT_EQ(times->Total(), (*times)[restart_stage::kRetryDelay]);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
}

// Guards against a task that waits without an end and that no metric shows, as
// only waits that have ended are recorded.
TEST(FleetSchedulerRestartStagesTest, ShowsAWaitForRoomWhileItLasts) {
  scheduler_driver driver;
  WaitForRoom(driver);
  PassFor(driver, seconds(5));
  EXPECT_EQ(Waiting(driver, restart_stage::kRoom), seconds(5));
  restart_stage_report report = driver.scheduler.TakeRestartStages();
  EXPECT_EQ(report.over_limit[static_cast<std::size_t>(restart_stage::kRoom)],
            1U);
  EXPECT_EQ(report.over_total, 0U);
  EXPECT_TRUE(report.ended.empty());
  PassFor(driver, seconds(2));
  EXPECT_EQ(driver.scheduler.TakeRestartStages().over_total, 1U);
  driver.AddWorker("w2", 3000);
  PassFor(driver, milliseconds(200));
  ASSERT_EQ(driver.starts.size(), 3U);
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_GE((*times)[restart_stage::kRoom], seconds(7));
  EXPECT_EQ(Waiting(driver, restart_stage::kRoom), seconds(0));
}

// Guards against log lines that say how long a task has waited, but not in
// which stage.
TEST(FleetSchedulerRestartStagesTest, NotesNameTheLongestStage) {
  scheduler_driver driver;
  WaitForRoom(driver);
  PassFor(driver, seconds(2));
  driver.AddWorker("w2", 3000);
  PassFor(driver, milliseconds(200));
  std::size_t delayed = 0;
  std::size_t started = 0;
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    if (note.event == scheduling_event::kRestartDelayed) {
      ++delayed;
      ASSERT_TRUE(note.longest_stage);
      EXPECT_EQ(note.longest_stage->stage, restart_stage::kRoom);
      EXPECT_GE(note.longest_stage->time, milliseconds(980));
    }
    if (note.restart_wait) {
      ++started;
      ASSERT_TRUE(note.longest_stage);
      EXPECT_EQ(note.longest_stage->stage, restart_stage::kRoom);
      EXPECT_GE(note.longest_stage->time, seconds(2));
      EXPECT_LE(note.longest_stage->time, *note.restart_wait);
    }
  }
  EXPECT_GE(delayed, 1U);
  EXPECT_EQ(started, 1U);
}

// Guards against time that is lost from the account while a start order is
// under way, and against a wait that begins anew with each order.
TEST(FleetSchedulerRestartStagesTest, AccountsUnansweredStartsAndTheirWorker) {
  scheduler_driver driver;
  RunTask(driver);
  driver.unanswering_worker = "w0";
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  PassFor(driver, seconds(2));
  ASSERT_GE(driver.unanswered_starts.size(), 1U);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 1U);
  EXPECT_TRUE(driver.scheduler.TakeRestartStages().ended.empty());
  EXPECT_GT(Waiting(driver, restart_stage::kLateStart), milliseconds(0));
  const time_point before = driver.now;
  driver.unanswering_worker.clear();
  driver.AddWorker("w1", 3000);
  while (driver.starts.size() < 2 && driver.now < before + seconds(20)) {
    driver.Pass(kStep);
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_GT((*times)[restart_stage::kLateStart], milliseconds(100));
  EXPECT_GE(times->Total(), driver.now - before + seconds(1));
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
}

// Guards against a refused start that ends the account of a wait that goes on.
TEST(FleetSchedulerRestartStagesTest, ARefusedStartContinuesTheWait) {
  scheduler_driver driver;
  RunTask(driver);
  driver.refusing_worker = "w0";
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  PassFor(driver, seconds(2));
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 1U);
  EXPECT_TRUE(driver.scheduler.TakeRestartStages().ended.empty());
  driver.refusing_worker.clear();
  PassFor(driver, seconds(2));
  ASSERT_EQ(driver.starts.size(), 2U);
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_GE(times->Total(), milliseconds(1900));
}

// Guards against accounts that stay for ever.
TEST(FleetSchedulerRestartStagesTest, ACancelledTaskLeavesTheAccount) {
  scheduler_driver driver;
  WaitForRoom(driver);
  driver.registry.Apply(job_cancelled{kJob}, driver.now);
  driver.scheduler.JobCancelled(kJob, driver.now);
  driver.Pass(kStep);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
  EXPECT_TRUE(driver.scheduler.TakeRestartStages().ended.empty());
  EXPECT_EQ(Waiting(driver, restart_stage::kRoom), seconds(0));
}

TEST(FleetSchedulerRestartStagesTest, ATaskThatIsGivenUpLeavesTheAccount) {
  scheduler_driver driver;
  WaitForRoom(driver);
  ASSERT_TRUE(driver.scheduler.FailJobWithoutProgress(kJob));
  driver.Pass(kStep);
  EXPECT_EQ(driver.scheduler.Jobs().Find(kTask), nullptr);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
  EXPECT_TRUE(driver.scheduler.TakeRestartStages().ended.empty());
}

TEST(FleetSchedulerRestartStagesTest, ADelegatedTaskLeavesTheAccount) {
  scheduler_driver driver;
  WaitForRoom(driver);
  driver.scheduler.SetRoomInOtherCells(
      {{.cell = 1,
        .pieces = {{"service", {{.millicores = 4000}}}},
        .valid_until = driver.now + seconds(60)}});
  PassFor(driver, seconds(3));
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), 0U);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_GE((*times)[restart_stage::kRoom], milliseconds(480));
}

TEST(FleetSchedulerRestartStagesTest, TheEndOfTheOwnershipEmptiesTheAccount) {
  scheduler_driver driver;
  WaitForRoom(driver);
  driver.scheduler.EndOwnership();
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
  EXPECT_EQ(Waiting(driver, restart_stage::kRoom), seconds(0));
}

// Guards against tasks that have never run, and whose wait before they count as
// restarts no metric shows.
TEST(FleetSchedulerRestartStagesTest, AccountsTasksThatHaveNeverRun) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(kJob, LongRunningStep(3));
  PassFor(driver, seconds(4));
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 2U);
  EXPECT_GE(Waiting(driver, restart_stage::kFirstStart), milliseconds(1400));
  EXPECT_LE(Waiting(driver, restart_stage::kFirstStart),
            *LimitOf(restart_stage::kFirstStart));
  EXPECT_GE(Waiting(driver, restart_stage::kRoom), seconds(2));
  driver.AddWorker("w1", 3000);
  PassFor(driver, milliseconds(200));
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_GE(times->Total(), seconds(4));
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 1U);
}

// Guards against a takeover that no stage shows: before it ends it is not known
// which of the tasks run.
TEST(FleetSchedulerRestartStagesTest, AccountsTheTakeover) {
  scheduler_driver driver;
  driver.registry.Apply(
      job_accepted{.job = kJob,
                   .queue = "batch",
                   .spec = {.payload = "p", .steps = {LongRunningStep()}}},
      driver.now);
  job_progress progress;
  progress.started = true;
  progress.steps.push_back({.started = {true}});
  driver.registry.Apply(job_advanced{kJob, progress}, driver.now);
  driver.Begin({"w0", "w1"}, seconds(3));
  const time_point begin = driver.now;
  driver.AddWorker("w0", 3000);
  PassFor(driver, seconds(5));
  EXPECT_EQ(Waiting(driver, restart_stage::kTakeover), seconds(5));
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
  while (driver.starts.empty() && driver.now < begin + seconds(20)) {
    driver.Pass(kStep);
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  const auto times = EndedWait(driver);
  ASSERT_TRUE(times);
  EXPECT_EQ(times->Total(), driver.now - begin);
  EXPECT_GE((*times)[restart_stage::kTakeover] + milliseconds(100),
            times->Total());
}

// Guards against a wait for the store that counts as a wait for what the last
// pass before it lacked.
TEST(FleetSchedulerRestartStagesTest, AccountsAnOwnerThatMayGiveNoOrders) {
  scheduler_driver driver;
  WaitForRoom(driver);
  PassFor(driver, seconds(1));
  const milliseconds room = Waiting(driver, restart_stage::kRoom);
  driver.scheduler.AllowOrders(driver.now, driver.now);
  driver.scheduler.Run(driver.now, driver.wall);
  driver.now += seconds(3);
  driver.scheduler.Run(driver.now, driver.wall);
  EXPECT_EQ(Waiting(driver, restart_stage::kOwnership), seconds(3));
  EXPECT_EQ(Waiting(driver, restart_stage::kRoom), room);
  PassFor(driver, seconds(1));
  EXPECT_GE(Waiting(driver, restart_stage::kRoom), room + milliseconds(900));
  EXPECT_LE(Waiting(driver, restart_stage::kOwnership), milliseconds(3100));
}

// Guards against gangs that wait in no stage: a pass recorded nothing of what
// they lack.
TEST(FleetSchedulerRestartStagesTest, AccountsTheMembersOfAGang) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.AddWorker("w1", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 2,
                       .need = {.millicores = 800},
                       .gang = true,
                       .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.DrainWorker("w0", 1000);
  driver.EndRun(driver.starts[0].run, run_end::kStopped);
  driver.Pass(kStep);
  driver.EndRun(driver.starts[1].run, run_end::kStopped);
  driver.Pass(kStep);
  PassFor(driver, seconds(2));
  ASSERT_EQ(driver.scheduler.WaitingRestarts(), 2U);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 2U);
  EXPECT_GE(Waiting(driver, restart_stage::kRoom), milliseconds(1900));
  driver.AddWorker("w2", 1000);
  PassFor(driver, milliseconds(200));
  EXPECT_EQ(driver.starts.size(), 4U);
  EXPECT_EQ(driver.scheduler.TakeRestartStages().ended.size(), 2U);
  EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
}

// Guards against more accounts than tasks that wait.
TEST(FleetSchedulerRestartStagesTest, AccountsNoMoreTasksThanWait) {
  scheduler_driver driver;
  driver.Begin();
  for (const char* const worker : {"w0", "w1", "w2"}) {
    driver.AddWorker(worker, 3000);
  }
  driver.RunRounds();
  driver.Submit(kJob, LongRunningStep(3));
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 3U);
  for (int round = 0; round < 2; ++round) {
    for (const start_order& start : std::vector(driver.starts)) {
      if (start.target.worker != "over") {
        driver.EndRun(start.run, run_end::kStopped);
      }
    }
    driver.Pass(kStep);
    EXPECT_LE(driver.scheduler.AccountedRestarts(), 3U);
    PassFor(driver, seconds(1));
    EXPECT_EQ(driver.scheduler.AccountedRestarts(), 0U);
  }
  EXPECT_EQ(driver.scheduler.TakeRestartStages().ended.size(), 6U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
