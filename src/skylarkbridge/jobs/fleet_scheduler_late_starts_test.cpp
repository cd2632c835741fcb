// Tests of tasks whose start got no answer: the life of the worker that reports
// has not carried it out and refuses it, and a later life may carry it out.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <string>

#include "skylarkbridge/jobs/worker_lives_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kMaxOrderDelay =
    fleet_scheduler_options{}.max_order_delay;
constexpr milliseconds kMaxLease = fleet_scheduler_options{}.max_lease;

/// Two workers, and a task whose start on the first got no answer.
struct late_start_driver : lives_driver {
  /// @param refusing worker that refuses all further starts; empty for none.
  /// @param unanswering worker that answers no further start; empty for none.
  explicit late_start_driver(const step_spec& step,
                             const std::string& refusing = "",
                             const std::string& unanswering = "") {
    refusing_worker = refusing;
    unanswering_worker = unanswering;
    Join("w0", 1000);
    Submit(kJob, step);
    const sent_orders sent = RunUnanswered();
    EXPECT_EQ(sent.starts.size(), step.count);
    for (const start_order& start : sent.starts) {
      EXPECT_EQ(start.target.worker, "w0");
      Answer(start, order_result::kNoAnswer);
    }
    unanswered = sent.starts.front();
    Join("w1", 1000);
  }
  /// The number of starts on the worker that were answered.
  std::size_t StartsOn(const std::string& id) const {
    return static_cast<std::size_t>(std::count_if(
        starts.begin(), starts.end(),
        [&id](const start_order& start) { return start.target.worker == id; }));
  }
  /// The worker crashes with all its runs and is back as a new life.
  void Restart(const std::string& id) {
    for (start_order& start : starts) {
      if (start.target.worker == id) {
        start.target.worker = "over";
      }
    }
    start_times[id] = kSecondLife;
    List(id, kSecondLife, 1000);
  }

  start_order unanswered;
};

// Guards against two runs of one task: a life reported without the run, the
// task started elsewhere, and the next life of the worker carried the
// unanswered start out.
TEST(LateStartTest, ATaskStartsOnlyWhereItsStartMayStillArrive) {
  late_start_driver driver(Tasks(1, 600));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.StartsOn("w0"), 1U);
  driver.Restart("w0");
  driver.reported_runs["w0"] = {{.run = driver.unanswered.run}};
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(500));
  }
  EXPECT_EQ(driver.StartsOn("w0") + driver.StartsOn("w1"), 0U);
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
}

// As above, with a worker that is silent after the start and stays listed: its
// run counts as lost when its lease ends, but the next life may carry out the
// order.
TEST(LateStartTest, ASilentWorkerKeepsTheTaskUntilTheStartCannotArrive) {
  late_start_driver driver(Tasks(1, 600));
  const time_point sent_at = driver.now;
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.StartsOn("w0"), 1U);
  driver.silent_worker = "w0";
  while (driver.now + milliseconds(500) <
         sent_at + kMaxOrderDelay + kMaxLease) {
    driver.Pass(milliseconds(500));
    ASSERT_EQ(driver.StartsOn("w1"), 0U);
  }
  for (int pass = 0; pass < 4; ++pass) {
    driver.Pass(milliseconds(500));
  }
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// Guards against a task that waits for a worker after its start can have no
// effect any more.
TEST(LateStartTest, ATaskStartsAnywhereOnceItsStartCannotArrive) {
  late_start_driver driver(Tasks(1, 600), "w0");
  const time_point sent_at = driver.now;
  while (driver.now + milliseconds(500) < sent_at + kMaxOrderDelay) {
    driver.Pass(milliseconds(500));
    ASSERT_EQ(driver.StartsOn("w1"), 0U);
  }
  driver.Pass(milliseconds(1000));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// Guards against two runs of one task: an answer that was on its way when the
// worker restarted and carried the start out counted as one of the new life.
TEST(LateStartTest, AnAnswerToAnEarlierRenewalDoesNotEndALateStart) {
  late_start_driver driver(Tasks(1, 600), "w0");
  const time_point arrives_by = driver.now + kMaxOrderDelay;
  while (driver.now + milliseconds(500) < arrives_by) {
    driver.Pass(milliseconds(500));
  }
  // The renewals that are under way now are answered after that time.
  driver.now = arrives_by - milliseconds(100);
  const sent_orders sent = driver.RunUnanswered();
  driver.now = arrives_by + milliseconds(100);
  for (const renew_order& renewal : sent.renewals) {
    driver.AnswerRenewal(renewal);
  }
  for (const start_order& start : driver.RunUnanswered().starts) {
    EXPECT_EQ(start.target.worker, "w0");
  }
}

// Guards against two runs of one task on one worker: its new life carried out
// the first of two unanswered starts, and the second one kept that run from
// being adopted, so that the task started again beside it.
TEST(LateStartTest, TheNewLifeKeepsTheFirstOfTwoUnansweredStarts) {
  lives_driver driver;
  driver.Join("w0", 2000);
  const start_order first = driver.SubmitOne();
  driver.Answer(first, order_result::kNoAnswer);
  for (const renew_order& renewal : driver.RunUnanswered().renewals) {
    driver.AnswerRenewal(renewal);
  }
  const sent_orders again = driver.RunUnanswered();
  ASSERT_EQ(again.starts.size(), 1U);
  driver.Answer(again.starts[0], order_result::kNoAnswer);
  driver.start_times["w0"] = kSecondLife;
  driver.List("w0", kSecondLife, 2000);
  driver.reported_runs["w0"] = {{.run = first.run}};
  for (int pass = 0; pass < 5; ++pass) {
    driver.Pass(milliseconds(200));
  }
  EXPECT_TRUE(driver.starts.empty());
  EXPECT_TRUE(driver.stops.empty());
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
}

// Guards against a task that waits for a worker which does not come back.
TEST(LateStartTest, ATaskLeavesAWorkerThatIsGone) {
  late_start_driver driver(Tasks(1, 600));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.StartsOn("w0"), 1U);
  driver.silent_worker = "w0";
  driver.scheduler.WorkerUnlisted("w0", driver.now);
  for (int pass = 0; pass < 14; ++pass) {
    driver.Pass(milliseconds(500));
  }
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// As above, for a worker that drains and ends.
TEST(LateStartTest, ATaskLeavesAWorkerThatDrains) {
  late_start_driver driver(Tasks(1, 600), "w0");
  driver.Pass(milliseconds(100));
  driver.scheduler.WorkerListed(
      {.worker = "w0",
       .service = "service",
       .address = "w0",
       .draining = true,
       .capacity = {.millicores = 1000, .memory_mb = 1000},
       .start_time = kFirstLife},
      driver.now);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// Guards against two runs of a long-running task, whose restarts have their own
// way through placement.
TEST(LateStartTest, ALongRunningTaskRestartsOnlyWhereItsStartMayStillArrive) {
  late_start_driver driver(
      {.count = 1, .need = {.millicores = 600}, .long_running = true});
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.StartsOn("w0"), 1U);
  driver.Restart("w0");
  for (int pass = 0; pass < 4; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.StartsOn("w0"), 1U);
  EXPECT_EQ(driver.StartsOn("w1"), 0U);
}

// Guards against two runs of a member of a gang.
TEST(LateStartTest, AMemberOfAGangStartsOnlyWhereItsStartMayStillArrive) {
  late_start_driver driver(
      {.count = 2, .need = {.millicores = 500}, .gang = true});
  for (int pass = 0; pass < 10; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.StartsOn("w0"), 2U);
  EXPECT_EQ(driver.StartsOn("w1"), 0U);
}

// Guards against work that another task's late start keeps from a worker, and
// against a task that loses its place to it.
TEST(LateStartTest, ATaskWithALateStartComesBeforeOthersOnItsWorker) {
  late_start_driver driver(Tasks(1, 600));
  driver.Submit(job_id{2}, Tasks(2, 600));
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(driver.LastRun({kJob, 0, 0, 0}).run, driver.unanswered.run.run + 1);
  EXPECT_EQ(driver.StartsOn("w0"), 1U);
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// Guards against a task that a worker keeps without end, as it answers renewals
// but no start: each start that the task was bound to was late again.
TEST(LateStartTest, ATaskLeavesAWorkerThatAnswersNoStart) {
  late_start_driver driver(Tasks(1, 600), "", "w0");
  ASSERT_EQ(driver.unanswered_starts.size(), 1U);
  const time_point last_sent_at = driver.now;
  while (driver.StartsOn("w1") == 0 &&
         driver.now < last_sent_at + kMaxOrderDelay + kMaxLease) {
    driver.Pass(milliseconds(500));
    if (driver.now < last_sent_at + kMaxOrderDelay) {
      ASSERT_EQ(driver.StartsOn("w1"), 0U);
    }
  }
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
  for (int pass = 0; pass < 120; ++pass) {
    driver.Pass(milliseconds(500));
  }
  EXPECT_EQ(driver.unanswered_starts.size(), 1U);
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// As above, for a long-running task that restarts. The worker still has the
// most room after its starts are over.
TEST(LateStartTest, ALongRunningTaskLeavesAWorkerThatAnswersNoStart) {
  lives_driver driver;
  driver.Join("w0", 2000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.unanswering_worker = "w0";
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  for (int pass = 0; pass < 10 && driver.unanswered_starts.size() < 2; ++pass) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.unanswered_starts.size(), 2U);
  const time_point last_sent_at = driver.now;
  driver.Join("w1", 1000);
  while (driver.starts.size() < 2 &&
         driver.now < last_sent_at + kMaxOrderDelay + kMaxLease) {
    driver.Pass(milliseconds(500));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts.back().target.worker, "w1");
  EXPECT_EQ(driver.unanswered_starts.size(), 2U);
}

// Guards against a worker that is chosen again every 500 ms although it answers
// no start.
TEST(LateStartTest, AWorkerThatAnswersNoStartIsChosenLessAndLessOften) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.unanswering_worker = "w0";
  driver.Submit(kJob, Tasks(100, 1000));
  for (int pass = 0; pass < 600; ++pass) {
    driver.Pass(milliseconds(100));
  }
  // Pauses of 0.5, 1, 2 and then 4 s, and one repeat for each task.
  EXPECT_LE(driver.unanswered_starts.size(), 40U);
  EXPECT_GE(driver.unanswered_starts.size(), 6U);
}

// Guards against a worker that stays unused after it has left some starts
// unanswered and then answers one.
TEST(LateStartTest, AnAnswerEndsTheGrowingPause) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.unanswering_worker = "w0";
  driver.Submit(kJob, Tasks(3, 300));
  for (int pass = 0; pass < 100; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.starts.size(), 0U);
  driver.unanswering_worker = "";
  driver.Submit(job_id{2}, Tasks(1, 100));
  for (int pass = 0; pass < 100 && driver.starts.empty(); ++pass) {
    driver.Pass(milliseconds(100));
  }
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(driver.starts.size(), 4U);
}

// Guards against a long-running task that waits until its start can't arrive
// any more (LOST after 15 s): in the pass that bound it to its worker, another
// restart took the room there.
TEST(LateStartTest, ABoundRestartKeepsItsRoomFromOtherRestarts) {
  lives_driver driver;
  driver.Join("w1", 1000);
  const step_spec lasting{
      .count = 1, .need = {.millicores = 600}, .long_running = true};
  driver.Submit(job_id{2}, lasting);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Join("w0", 1000);
  driver.Submit(kJob, lasting);
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), 1U);
  ASSERT_EQ(sent.starts[0].target.worker, "w0");
  for (const renew_order& renewal : sent.renewals) {
    driver.AnswerRenewal(renewal);
  }
  driver.Answer(sent.starts[0], order_result::kNoAnswer);
  // The other task has waited longer for room when w0 answers.
  driver.silent_worker = "w0";
  driver.List("w1", kFirstLife, 500);
  driver.EndRun(driver.starts.front().run, run_end::kFailed);
  for (int pass = 0; pass < 15; ++pass) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.silent_worker = "";
  for (int pass = 0; pass < 5; ++pass) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.LastRun({kJob, 0, 0, 0}).run, sent.starts[0].run.run + 1);
}

// As above, where the room is gone in another way: the task waited 15 s for it
// while another worker had room.
TEST(LateStartTest, ABoundRestartLeavesAWorkerWithoutRoom) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 600}, .long_running = true});
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), 1U);
  driver.Answer(sent.starts[0], order_result::kNoAnswer);
  const time_point lost_at = driver.now;
  driver.List("w0", kFirstLife, 500);
  driver.Join("w1", 1000);
  // A short wait is worth it, as the start may still arrive.
  while (driver.now < lost_at + seconds(2)) {
    ASSERT_TRUE(driver.starts.empty());
    driver.Pass(milliseconds(100));
  }
  while (driver.starts.empty() && driver.now < lost_at + seconds(6)) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].target.worker, "w1");
}

// Guards against a long-running task that waits 15 s more for a worker which
// has left two of its starts unanswered.
TEST(LateStartTest, ABoundRestartLeavesAfterTwoUnansweredStarts) {
  late_start_driver driver(
      {.count = 1, .need = {.millicores = 600}, .long_running = true}, "",
      "w0");
  const time_point lost_at = driver.now;
  while (driver.StartsOn("w1") == 0 && driver.now < lost_at + seconds(6)) {
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.unanswered_starts.size(), 1U);
  EXPECT_EQ(driver.StartsOn("w1"), 1U);
}

// Guards against a gang that waits 15 s as a member that may start anywhere is
// put on the only worker of one that a late start binds.
TEST(LateStartTest, AFreeMemberOfAGangLeavesTheRoomOfABoundOne) {
  lives_driver driver;
  driver.Join("w0", 1100);
  driver.Join("w1", 1000);
  driver.Submit(kJob, {.count = 2, .need = {.millicores = 600}, .gang = true});
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), 2U);
  ASSERT_EQ(sent.starts[0].target.worker, "w0");
  for (const renew_order& renewal : sent.renewals) {
    driver.AnswerRenewal(renewal);
  }
  driver.Answer(sent.starts[0], order_result::kDone);
  driver.Answer(sent.starts[1], order_result::kNoAnswer);
  // So the first member prefers the idle worker of the other one.
  driver.Submit(job_id{2}, {.count = 1, .need = {.millicores = 100}});
  driver.Pass(milliseconds(100));
  // A worker ends a member that waits for the others in vain.
  driver.EndRun(sent.starts[0].run, run_end::kGangIncomplete);
  for (int pass = 0; pass < 10; ++pass) {
    driver.Pass(milliseconds(500));
  }
  EXPECT_EQ(driver.starts.size(), 4U);
  EXPECT_EQ(driver.LastRun({kJob, 0, 0, 1}).run, sent.starts[1].run.run + 1);
}

}  // namespace
}  // namespace skylarkbridge::jobs
