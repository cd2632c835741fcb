// Tests of long-running tasks that a late start binds to its worker: how long
// they wait for it.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/jobs/worker_lives_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a long-running task that is sent to the same worker again and
// again (a wait of 8.3 s): each start of it got no answer, and each time the
// worker confirmed a start of another task.
TEST(BoundRestartTest, ABoundRestartLeavesAWorkerThatConfirmsOtherStarts) {
  constexpr milliseconds kOrderTimeout{700};
  lives_driver driver;
  driver.Join("w0", 20'000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Join("w1", 700);
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  const time_point ended_at = driver.now;
  std::vector<std::pair<time_point, start_order>> under_way;
  std::string last_worker;
  std::uint64_t jobs = 1;
  while (last_worker != "w1" && driver.now < ended_at + seconds(6)) {
    driver.now += milliseconds(50);
    // Only w0 has room for it.
    driver.Submit(job_id{++jobs}, Tasks(1, 710));
    const sent_orders sent = driver.RunUnanswered();
    driver.scheduler.TakeRecords(driver.now);
    driver.scheduler.RecordsStored(driver.scheduler.WriteNumber(), driver.now);
    for (const renew_order& renewal : sent.renewals) {
      driver.AnswerRenewal(renewal);
    }
    for (const start_order& start : sent.starts) {
      if (start.run.task.job == kJob) {
        last_worker = start.target.worker;
        under_way.emplace_back(driver.now + kOrderTimeout, start);
      } else {
        driver.Answer(start, order_result::kDone);
      }
    }
    while (!under_way.empty() && driver.now >= under_way.front().first) {
      driver.Answer(under_way.front().second, order_result::kNoAnswer);
      under_way.erase(under_way.begin());
    }
  }
  EXPECT_EQ(last_worker, "w1");
}

// Guards against a long-running task that waits for a silent worker as long
// after a takeover or a wait for room as without one.
TEST(BoundRestartTest, ABoundRestartWaitsForWhatIsLeftOfItsTime) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.List("w0", kFirstLife, 500);
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  const time_point ended_at = driver.now;
  while (driver.now < ended_at + milliseconds(4500)) {
    driver.Pass(milliseconds(100));
  }
  driver.unanswering_worker = "w2";
  driver.Join("w2", 1000);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.unanswered_starts.size(), 1U);
  driver.Join("w1", 1000);
  while (driver.starts.size() < 2 && driver.now < ended_at + seconds(10)) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.unanswered_starts.size(), 1U);
  EXPECT_EQ(driver.starts.back().target.worker, "w1");
  EXPECT_LT(driver.now, ended_at + seconds(6));
}

// Guards against two runs of one task: the time that a restart could wait for
// its worker passed while the task ran there, so that its next restart was not
// bound to the worker any more.
TEST(BoundRestartTest, ALateStartBindsTheNextRestartToo) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), 1U);
  driver.List("w0", kFirstLife, 500);
  driver.Answer(sent.starts[0], order_result::kNoAnswer);
  driver.Pass(milliseconds(500));
  driver.List("w0", kFirstLife, 1000);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Pass(seconds(5));
  driver.Join("w1", 2000);
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts.back().target.worker, "w0");
}

// Guards against waits for room that begin only when the time of a restart is
// used up: the task has left a silent worker, and batch work holds the room at
// the other one.
TEST(BoundRestartTest, ABoundRestartThatLeavesTakesTheRoomOfBatchWorkAtOnce) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Join("w1", 1000);
  driver.Submit(job_id{2}, Tasks(1, 1000));
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.unanswering_worker = "w0";
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  const time_point ended_at = driver.now;
  while (driver.stops.empty() && driver.now < ended_at + seconds(6)) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.unanswered_starts.size(), 2U);
  ASSERT_FALSE(driver.stops.empty());
  EXPECT_LT(driver.now, ended_at + milliseconds(4500));
}

// Guards against a task of a begun step for which no room is reserved after it
// has left a silent worker, as this is done for restarts only.
TEST(BoundRestartTest, AFirstStartThatLeavesWaitsAsARestart) {
  lives_driver driver;
  driver.Join("w0", 700);
  driver.Submit(
      kJob, {.count = 2, .need = {.millicores = 600}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.unanswering_worker = "w1";
  driver.Join("w1", 1000);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  const time_point sent_at = driver.now;
  ASSERT_EQ(driver.unanswered_starts.size(), 2U);
  driver.Submit(job_id{2}, Tasks(1, 1000));
  driver.Join("w2", 1000);
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 2U);
  while (driver.stops.empty() && driver.now < sent_at + seconds(8)) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_FALSE(driver.stops.empty());
}

// Guards against runs that are stopped one after the other for a task that has
// left their worker and does not choose it again yet, so that it gets nothing.
TEST(BoundRestartTest, NoRunIsRelocatedOnAWorkerThatTheTaskHasLeft) {
  lives_driver driver;
  driver.Join("w0", 2000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Submit(
      job_id{2},
      {.count = 1, .need = {.millicores = 300}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  // It has room for the smaller task only.
  driver.Join("w1", 400);
  driver.unanswering_worker = "w0";
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  for (int pass = 0; pass < 100; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_GE(driver.unanswered_starts.size(), 2U);
  EXPECT_TRUE(driver.stops.empty());
}

}  // namespace
}  // namespace skylarkbridge::jobs
