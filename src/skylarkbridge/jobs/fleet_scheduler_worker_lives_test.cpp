// Tests of what an owner assumes of a worker that starts again under its id,
// and of the orders that such a worker may still carry out.
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/jobs/worker_lives_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against two runs of one task and against room that is given twice: a
// start that the new life of a worker had answered counted as lost with the
// old life once the list showed the later start time.
TEST(WorkerLivesTest, AStartAnsweredByTheNewLifeIsNotLostWithTheOld) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  // The worker has restarted. Its new life carries out the order.
  driver.start_times["w0"] = kSecondLife;
  driver.Answer(start, order_result::kDone);
  driver.List("w0", kSecondLife, 1000);
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
}

// Guards against a second run of a task: an entry with a later start time,
// which may come from another writer, ends no run of the life that still
// reports.
TEST(WorkerLivesTest, AnEntryWithALaterStartTimeEndsNoRun) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Join("w1", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  const std::string worker = driver.starts[0].target.worker;
  driver.List(worker, kSecondLife, 1000);
  for (int pass = 0; pass < 20; ++pass) {
    EXPECT_EQ(driver.RunsOn(worker), 1U);
    driver.Pass(milliseconds(100));
  }
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against a task that stays lost with the old life of its worker.
TEST(WorkerLivesTest, ARunOfTheOldLifeStartsAgainOnceTheNewLifeReports) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.starts[0].target.worker = "over";
  driver.start_times["w0"] = kSecondLife;
  driver.List("w0", kSecondLife, 1000);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.run, driver.starts[0].run.run + 1);
}

/// Whether the records that are written now say that the job has started.
bool TakesStartedRecord(lives_driver& driver) {
  bool started = false;
  for (const log_record& record : driver.scheduler.TakeRecords(driver.now)) {
    const auto* const advanced = std::get_if<job_advanced>(&record);
    started |= advanced != nullptr && advanced->job == kJob &&
               advanced->progress.started;
  }
  driver.scheduler.RecordsStored(driver.scheduler.WriteNumber(), driver.now);
  return started;
}

// Guards against VMs that show too few jobs of a queue as pending (MIXED): a
// job counted as started once its first start was ordered, although the start
// got no answer and the report of the worker ruled it out.
TEST(WorkerLivesTest, AJobWhoseStartGotNoAnswerIsPending) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  EXPECT_FALSE(TakesStartedRecord(driver));
  driver.Answer(start, order_result::kNoAnswer);
  EXPECT_FALSE(TakesStartedRecord(driver));
  driver.now += milliseconds(100);
  for (const renew_order& renewal : driver.RunUnanswered().renewals) {
    driver.AnswerRenewal(renewal);
  }
  EXPECT_EQ(driver.RunsOn("w0"), 0U);
  EXPECT_FALSE(TakesStartedRecord(driver));
}

// Guards against a job that stays pending while a worker runs it.
TEST(WorkerLivesTest, AJobWhoseStartIsAnsweredHasStarted) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.Answer(start, order_result::kDone);
  EXPECT_TRUE(TakesStartedRecord(driver));
}

// As above, for a start without an answer that the worker carried out.
TEST(WorkerLivesTest, AJobWhoseRunIsReportedHasStarted) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.Answer(start, order_result::kNoAnswer);
  driver.reported_runs["w0"] = {{.run = start.run, .progress_percent = 1}};
  driver.now += milliseconds(100);
  for (const renew_order& renewal : driver.RunUnanswered().renewals) {
    driver.AnswerRenewal(renewal);
  }
  EXPECT_TRUE(TakesStartedRecord(driver));
}

// Guards against a start order that two lives of a worker carry out: it was
// sent a second time, with the same run number, when it got no answer.
TEST(WorkerLivesTest, AStartWithoutAnAnswerIsNotSentAgain) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.Answer(start, order_result::kNoAnswer);
  for (int pass = 0; pass < 10; ++pass) {
    driver.now += milliseconds(100);
    EXPECT_TRUE(driver.RunUnanswered().starts.empty());
  }
}

// Guards against a second run of a task while an unanswered start order for the
// first may still be carried out. Only a report with a higher fencing token
// than that of the order shows that it will not be.
TEST(WorkerLivesTest, ATaskWaitsForAReportThatRulesItsStartOut) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Join("w1", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  const sent_orders first = driver.RunUnanswered();
  ASSERT_EQ(first.starts.size(), 1U);
  const start_order unanswered = first.starts[0];
  // These were sent before, so their reports rule nothing out.
  for (const renew_order& renewal : first.renewals) {
    driver.AnswerRenewal(renewal);
  }
  driver.Answer(unanswered, order_result::kNoAnswer);
  const sent_orders second = driver.RunUnanswered();
  EXPECT_TRUE(second.starts.empty());
  EXPECT_TRUE(second.stops.empty());
  const auto renewal =
      std::find_if(second.renewals.begin(), second.renewals.end(),
                   [&unanswered](const renew_order& candidate) {
                     return candidate.target.worker == unanswered.target.worker;
                   });
  ASSERT_NE(renewal, second.renewals.end());
  EXPECT_GT(renewal->target.fence, unanswered.target.fence);
  EXPECT_EQ(renewal->acknowledged, 0U);
  EXPECT_FALSE(renewal->lease_until);
  driver.AnswerRenewal(*renewal);
  const sent_orders third = driver.RunUnanswered();
  ASSERT_EQ(third.starts.size(), 1U);
  EXPECT_EQ(third.starts[0].run.run, unanswered.run.run + 1);
}

// Guards against stopping, or starting again, a run whose start order was
// carried out although its answer was lost.
TEST(WorkerLivesTest, ARunThatIsReportedAfterALostAnswerGoesOn) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.Answer(start, order_result::kNoAnswer);
  driver.starts.push_back(start);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(1000));
  EXPECT_EQ(driver.starts.size(), 1U);
  EXPECT_TRUE(driver.stops.empty());
  EXPECT_EQ(driver.scheduler.Workers().at("w0").runs.begin()->second.phase,
            run_phase::kRunning);
}

// Guards against a task that starts elsewhere while a worker that no longer
// answers, but stays listed, may start again and carry out its order.
TEST(WorkerLivesTest, ATaskWaitsForTheEndOfItsOrderWhileTheWorkerIsListed) {
  const fleet_scheduler_options options;
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.silent_worker = "w0";
  driver.Answer(start, order_result::kNoAnswer);
  driver.Join("w1", 1000);
  // The worker may grant a lease when it carries the order out.
  const time_point over_at =
      driver.now + options.max_order_delay + options.max_lease;
  while (driver.now + milliseconds(500) < over_at) {
    driver.Pass(milliseconds(500));
    ASSERT_TRUE(driver.starts.empty());
  }
  driver.Pass(milliseconds(1000));
  driver.Pass(milliseconds(1000));
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].target.worker, "w1");
}

// Guards against starts on a worker that may have restarted since its last
// answer: its room is then not known.
TEST(WorkerLivesTest, NothingStartsOnAWorkerAfterAFailedRenewal) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const sent_orders first = driver.RunUnanswered();
  ASSERT_EQ(first.renewals.size(), 1U);
  driver.Fail(first.renewals[0]);
  driver.Submit(kJob, Tasks(1, 600));
  driver.now += milliseconds(150);
  const sent_orders second = driver.RunUnanswered();
  EXPECT_TRUE(second.starts.empty());
  ASSERT_EQ(second.renewals.size(), 1U);
  EXPECT_GT(second.renewals[0].target.fence, first.renewals[0].target.fence);
  driver.AnswerRenewal(second.renewals[0]);
  driver.now += fleet_scheduler_options{}.pass_interval;
  EXPECT_EQ(driver.RunUnanswered().starts.size(), 1U);
}

// Guards against more work than the worker has room for: the life that reports
// may have another capacity than the one that wrote the listed entry.
TEST(WorkerLivesTest, NothingStartsBeforeTheNewLifeHasStatedItsCapacity) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.start_times["w0"] = kSecondLife;
  driver.Pass(milliseconds(100));
  driver.Submit(kJob, Tasks(2, 600));
  driver.Pass(milliseconds(1000));
  EXPECT_TRUE(driver.starts.empty());
  driver.List("w0", kSecondLife, 700);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against a second run of a task that is done. A renewal without an
// answer may reach the worker after a restart, which keeps the worker's id and
// numbers its ended runs from 1 again. If the worker accepted it, its
// acknowledgement would delete ends that are not durable yet.
TEST(WorkerLivesTest, ALateAcknowledgementDeletesNoEndsOfARestartedWorker) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.EndRun(driver.starts[0].run, run_end::kDone);
  const renew_order unanswered = driver.ReportEnds();
  ASSERT_GT(unanswered.acknowledged, 0U);
  driver.Fail(unanswered);

  driver.reported_ends.clear();
  driver.start_times["w0"] = kSecondLife;
  driver.List("w0", kSecondLife, 1000);
  driver.Submit(job_id{2}, Tasks(1, 600));
  // What the worker accepts before the start cannot delete its end, and what
  // comes after has to carry the token of the start.
  for (int pass = 0; pass < 20 && driver.starts.size() == 1; ++pass) {
    driver.now += milliseconds(100);
    const sent_orders sent = driver.RunUnanswered();
    for (const renew_order& renewal : sent.renewals) {
      EXPECT_EQ(renewal.acknowledged, 0U);
      driver.AnswerRenewal(renewal);
    }
    for (const start_order& start : sent.starts) {
      EXPECT_GT(start.target.fence, unanswered.target.fence);
      driver.Answer(start, order_result::kDone);
    }
  }
  EXPECT_EQ(driver.starts.size(), 2U);
}

// Guards against an owner that steps down because a worker refused an order
// that it had itself overtaken, and against one that stays after a later owner.
TEST(WorkerLivesTest, OnlyTheTokenOfALaterOwnerEndsTheOwnership) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(2, 400));
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), 2U);
  driver.Answer(sent.starts[0], order_result::kNoAnswer);
  driver.Answer(sent.starts[1], order_result::kFenced);
  EXPECT_FALSE(driver.scheduler.Fenced());
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
  const sent_orders next = driver.RunUnanswered();
  ASSERT_EQ(next.renewals.size(), 1U);
  driver.scheduler.Handle(
      renew_reply{.worker = "w0",
                  .renewal_number = next.renewals[0].renewal_number,
                  .result = order_result::kFenced,
                  .fence = next.renewals[0].target.fence},
      driver.now);
  EXPECT_TRUE(driver.scheduler.Fenced());
}

// Guards against late orders to a worker that was removed and comes back under
// its id: it has to refuse those that were sent before.
TEST(WorkerLivesTest, AWorkerThatIsListedAgainGetsAHigherToken) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const fencing_token before = driver.scheduler.Workers().at("w0").fence;
  driver.silent_worker = "w0";
  driver.scheduler.WorkerUnlisted("w0", driver.now);
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(500));
  }
  ASSERT_TRUE(driver.scheduler.Workers().empty());
  driver.silent_worker.clear();
  driver.Join("w0", 1000);
  EXPECT_GT(driver.scheduler.Workers().at("w0").fence, before);
}

// Guards against two runs of one task: the report that answered a renewal of an
// earlier ownership counted as one of the current ownership, whose renewals are
// numbered from 1 again. The worker had not seen the new token, and runs that
// it started after that report were taken for lost.
TEST(WorkerLivesTest, AReportToAnEarlierOwnershipDoesNotCount) {
  lives_driver driver;
  driver.List("w0", kFirstLife, 1000);
  const sent_orders earlier = driver.RunUnanswered();
  ASSERT_EQ(earlier.renewals.size(), 1U);
  driver.Begin(3);
  driver.List("w0", kFirstLife, 1000);
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.renewals.size(), 1U);
  ASSERT_EQ(sent.renewals[0].renewal_number,
            earlier.renewals[0].renewal_number);
  driver.AnswerRenewal(earlier.renewals[0]);
  EXPECT_FALSE(driver.scheduler.Workers().at("w0").has_reported);
  driver.AnswerRenewal(sent.renewals[0]);
  EXPECT_TRUE(driver.scheduler.Workers().at("w0").has_reported);
}

// As above, for a missing answer: it raised the token of the current ownership
// and kept new tasks from the worker for a while.
TEST(WorkerLivesTest, AnUnansweredStartOfAnEarlierOwnershipDoesNotCount) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  const sent_orders earlier = driver.RunUnanswered();
  ASSERT_EQ(earlier.starts.size(), 1U);
  driver.Begin(3);
  driver.Join("w0", 1000);
  const fencing_token before = driver.scheduler.Workers().at("w0").fence;
  driver.Answer(earlier.starts[0], order_result::kNoAnswer);
  EXPECT_EQ(driver.scheduler.Workers().at("w0").fence, before);
}

// Guards against a second run of a task that is done: a repeated
// acknowledgement deletes the ends of a new incarnation, which numbers them
// from 1 again.
TEST(WorkerLivesTest, EndsAreAcknowledgedOnce) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.EndRun(driver.starts[0].run, run_end::kDone);
  const renew_order first = driver.ReportEnds();
  EXPECT_EQ(first.acknowledged, 1U);
  driver.reported_ends.clear();
  driver.AnswerRenewal(first);
  const sent_orders second = driver.RunUnanswered();
  ASSERT_EQ(second.renewals.size(), 1U);
  EXPECT_EQ(second.renewals[0].acknowledged, 0U);
}

// Guards against a second run of a task that is done but whose end the report
// has no place for.
TEST(WorkerLivesTest, AFullListOfEndsRulesNoRunOut) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(1, 600));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.starts[0].target.worker = "over";
  for (std::uint64_t end = 1; end <= worker_report::kMaxEnds; ++end) {
    driver.reported_ends["w0"].push_back(
        {.number = end, .run = {{job_id{99}, 0, 0, 0}, end}});
  }
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
  driver.reported_ends["w0"] = {{.number = worker_report::kMaxEnds + 1,
                                 .run = driver.starts[0].run,
                                 .outcome = run_end::kDone}};
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.RunsOn("w0"), 0U);
}

// Guards against a task that starts elsewhere while the lease of its run still
// lasts: the worker counts it from the time at which it carries out the order.
TEST(WorkerLivesTest, ALeaseCountsFromTheAnswerToTheStart) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.silent_worker = "w0";
  driver.now += milliseconds(600);
  driver.Answer(start, order_result::kDone);
  EXPECT_GE(driver.scheduler.Workers().at("w0").lease.ExpiresAt(),
            driver.now + fleet_scheduler_options{}.max_lease);
}

// Guards against freeing a task whose start may still be carried out because a
// stop of its run was answered, which a later incarnation knows nothing of.
TEST(WorkerLivesTest, AnAnsweredStopDoesNotRuleOutALateStart) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  driver.silent_worker = "w0";
  driver.Answer(start, order_result::kNoAnswer);
  driver.scheduler.JobCancelled(kJob, driver.now);
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.stops.size(), 1U);
  driver.scheduler.Handle(stop_reply{.worker = "w0",
                                     .run = start.run,
                                     .result = order_result::kDone,
                                     .fence = sent.stops[0].target.fence},
                          driver.now);
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(500));
    EXPECT_EQ(driver.RunsOn("w0"), 1U);
  }
}

// Guards against giving up a sound job: a run that the new incarnation may have
// started did not crash the old one.
TEST(WorkerLivesTest, ARunOfTheNewLifeIsNotBlamedForTheCrash) {
  lives_driver driver;
  driver.Join("w0", 1000);
  const start_order start = driver.SubmitOne();
  // The renewal that is under way was answered before the start.
  driver.Answer(start, order_result::kDone);
  driver.starts.clear();
  driver.start_times["w0"] = kSecondLife;
  driver.scheduler.TakeNotes();
  const worker_session& session = driver.scheduler.Workers().at("w0");
  driver.AnswerRenewal({.target = {.worker = "w0", .fence = session.fence},
                        .renewal_number = session.last_renewal});
  EXPECT_EQ(driver.RunsOn("w0"), 1U);
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    EXPECT_NE(note.event, scheduling_event::kCrashSuspected);
  }
}

// Guards against a renewal for each of several starts that were sent with one
// token, and against starts that are refused because of it.
TEST(WorkerLivesTest, SeveralUnansweredStartsRaiseTheTokenOnce) {
  lives_driver driver;
  driver.Join("w0", 1000);
  driver.Submit(kJob, Tasks(2, 400));
  const sent_orders sent = driver.RunUnanswered();
  ASSERT_EQ(sent.starts.size(), 2U);
  driver.Answer(sent.starts[0], order_result::kNoAnswer);
  driver.Pass(milliseconds(100));
  const fencing_token raised = driver.scheduler.Workers().at("w0").fence;
  EXPECT_GT(raised, sent.starts[1].target.fence);
  driver.Answer(sent.starts[1], order_result::kNoAnswer);
  EXPECT_EQ(driver.scheduler.Workers().at("w0").fence, raised);
}

}  // namespace
}  // namespace skylarkbridge::jobs
