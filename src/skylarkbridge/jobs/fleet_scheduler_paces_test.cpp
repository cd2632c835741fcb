#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTarget{100};
constexpr milliseconds kFarBelowTarget{10};
constexpr milliseconds kJustBelowTarget{95};
constexpr milliseconds kOverTarget{180};
constexpr milliseconds kReportInterval{100};
/// Time over the target after which the batch task is paused.
constexpr milliseconds kPauseDelay{1500};

constexpr milliseconds kMaxPause = fleet_scheduler_options{}.max_pause;
constexpr milliseconds kMaxPauseBeforeStop =
    fleet_scheduler_options{}.max_pause_before_stop;

/// One worker with a serving task and a batch task that fills beside it.
class PaceTest : public testing::Test {
 protected:
  static constexpr job_id kServingJob{7};
  static constexpr job_id kBatchJob{8};

  static step_spec Batch() {
    return {.count = 1,
            .need = {.millicores = 3000},
            .checkpoints = true,
            .image = "batch",
            .best_effort = true};
  }
  void StartTasks(const step_spec& batch) {
    driver_.Begin();
    driver_.AddWorker("w0", 8000);
    driver_.RunRounds();
    driver_.Submit(kServingJob, {.count = 1,
                                 .need = {.millicores = 3000},
                                 .long_running = true,
                                 .image = "serving",
                                 .latency_target = kTarget});
    driver_.RunRounds();
    driver_.Submit(kBatchJob, batch);
    driver_.RunRounds();
    ASSERT_EQ(driver_.starts.size(), 2U);
    serving_run_ = driver_.starts[0].run;
    batch_run_ = driver_.starts[1].run;
    driver_.starts.clear();
  }
  /// Lets the worker report @p tail for @p time.
  void Report(milliseconds tail, milliseconds time) {
    driver_.reported_runs["w0"] = {{.run = serving_run_,
                                    .progress_percent = 100,
                                    .measurement = tail.count()},
                                   {.run = batch_run_,
                                    .progress_percent = batch_progress_percent_,
                                    .measurement = 3000}};
    for (milliseconds elapsed{0}; elapsed < time; elapsed += kReportInterval) {
      driver_.Pass(kReportInterval);
    }
  }
  /// Another owner takes over; the first report that it gets states @p tail.
  void TakeOver(milliseconds tail) {
    driver_.paces.clear();
    driver_.Begin(epoch{3});
    driver_.AddWorker("w0", 8000);
    Report(tail, kReportInterval);
  }
  /// The share that was ordered last; empty for none.
  std::optional<int> LastShare() const {
    return driver_.paces.empty()
               ? std::nullopt
               : std::optional(driver_.paces.back().speed_percent);
  }
  bool BatchRunIsStopped() const {
    for (const stop_order& stop : driver_.stops) {
      if (stop.run == batch_run_) {
        return true;
      }
    }
    return false;
  }

  scheduler_driver driver_;
  run_ref serving_run_;
  run_ref batch_run_;
  /// Too far to be evicted at the start of a violation.
  int batch_progress_percent_ = 80;
};

// Guards against a successor that supposes that an adopted run works: one that
// the earlier owner had paused stood until the end of its job.
TEST_F(PaceTest, AnAdoptedRunThatWasPausedIsResumed) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  ASSERT_EQ(LastShare(), 0);
  TakeOver(kFarBelowTarget);
  EXPECT_EQ(LastShare(), 100);
}

// Guards against a successor that lets an adopted run disturb a task over its
// target for as long again as the earlier owner did.
TEST_F(PaceTest, AnAdoptedRunBesideAViolatedTargetIsPausedAtOnce) {
  StartTasks(Batch());
  Report(kOverTarget, milliseconds(1000));
  TakeOver(kOverTarget);
  EXPECT_EQ(LastShare(), 0);
}

// Guards against a resume of such a run while the target is still violated.
TEST_F(PaceTest, AnAdoptedRunStaysPausedWhileTheTargetIsViolated) {
  StartTasks(Batch());
  TakeOver(kOverTarget);
  Report(kOverTarget, milliseconds(3000));
  EXPECT_EQ(driver_.paces.size(), 1U);
}

// Guards against orders on pace for runs that are not paced.
TEST_F(PaceTest, AnAdoptedServingRunIsNotPaced) {
  StartTasks(Batch());
  TakeOver(kFarBelowTarget);
  for (const pace_order& pace : driver_.paces) {
    EXPECT_NE(pace.run, serving_run_);
  }
}

// Guards against an order on pace for each report once the share is known.
TEST_F(PaceTest, TheShareOfAnAdoptedRunIsOrderedOnce) {
  StartTasks(Batch());
  TakeOver(kFarBelowTarget);
  Report(kFarBelowTarget, milliseconds(2000));
  EXPECT_EQ(driver_.paces.size(), 1U);
}

// Guards against an owner that takes an order on pace without an answer for one
// that was not carried out: a run whose pause got no answer stood until the end
// of its job.
TEST_F(PaceTest, ARunWhosePauseGotNoAnswerIsResumed) {
  StartTasks(Batch());
  driver_.pace_result = order_result::kNoAnswer;
  Report(kOverTarget, kPauseDelay + kReportInterval);
  ASSERT_EQ(LastShare(), 0);
  Report(kFarBelowTarget, kReportInterval);
  driver_.pace_result = order_result::kDone;
  driver_.paces.clear();
  Report(kFarBelowTarget, milliseconds(1000));
  EXPECT_EQ(LastShare(), 100);
}

// Guards against an unanswered order on pace that is carried out after newer
// ones: it paused a run for good.
TEST_F(PaceTest, EachUnansweredPaceIsRefusedBeforeTheNextIsSent) {
  StartTasks(Batch());
  driver_.pace_result = order_result::kNoAnswer;
  Report(kOverTarget, kPauseDelay + kReportInterval);
  driver_.pace_result = order_result::kDone;
  Report(kFarBelowTarget, milliseconds(1000));
  ASSERT_GE(driver_.paces.size(), 3U);
  for (std::size_t index = 1; index < driver_.paces.size() - 1; ++index) {
    EXPECT_LT(driver_.paces[index - 1].target.fence,
              driver_.paces[index].target.fence);
  }
}

// Guards against an order on pace that is sent while an earlier one may still
// be carried out.
TEST_F(PaceTest, NoPaceIsOrderedWhileAnUnansweredOneMayBeCarriedOut) {
  StartTasks(Batch());
  driver_.pace_result = order_result::kNoAnswer;
  Report(kOverTarget, kPauseDelay + kReportInterval);
  driver_.silent_worker = "w0";
  driver_.Pass(kReportInterval);
  const std::size_t ordered = driver_.paces.size();
  for (int pass = 0; pass < 10; ++pass) {
    driver_.Pass(kReportInterval);
  }
  EXPECT_EQ(driver_.paces.size(), ordered);
}

// Guards against an answer to an earlier ownership of the same VM that counts
// as one to the current ownership.
TEST_F(PaceTest, AnAnswerToAnEarlierOwnershipDoesNotChangeTheShare) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  const fencing_token earlier_fence = driver_.paces.back().target.fence;
  TakeOver(kOverTarget);
  ASSERT_EQ(LastShare(), 0);
  driver_.scheduler.Handle(
      pace_reply{"w0", batch_run_, 100, order_result::kDone, earlier_fence},
      driver_.now);
  Report(kFarBelowTarget, milliseconds(1000));
  EXPECT_EQ(LastShare(), 100);
}

// Guards against a resume that waits for a predicted tail latency which need
// not come: a run beside a task just below its target stood until the end.
TEST_F(PaceTest, ARunBesideATailJustBelowItsTargetIsResumed) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  Report(kJustBelowTarget, kMaxPause - kReportInterval);
  ASSERT_EQ(driver_.paces.size(), 1U);
  ASSERT_EQ(LastShare(), 0);
  Report(kJustBelowTarget, 2 * kReportInterval);
  EXPECT_EQ(LastShare(), 100);
  EXPECT_FALSE(BatchRunIsStopped());
}

// Guards against a run that disturbs a task over its target for 4 s on end
// because it was resumed after the longest pause.
TEST_F(PaceTest, AResumedRunIsPausedAgainBesideAViolatedTarget) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  Report(kJustBelowTarget, kMaxPause + 2 * kReportInterval);
  ASSERT_EQ(LastShare(), 100);
  Report(kOverTarget, kPauseDelay + kReportInterval);
  EXPECT_EQ(LastShare(), 0);
}

// Guards against a paused run that stands for as long as its worker's target is
// violated, while its task could go on elsewhere.
TEST_F(PaceTest, APausedRunBesideAViolatedTargetIsStopped) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  Report(kOverTarget, kMaxPause - kReportInterval);
  ASSERT_FALSE(BatchRunIsStopped());
  Report(kOverTarget, 2 * kReportInterval);
  EXPECT_TRUE(BatchRunIsStopped());
}

// Guards against a single report below the target after which a run is resumed
// for a moment, and its pause begins anew.
TEST_F(PaceTest, OneReportBelowTheTargetDoesNotEndAPause) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  Report(kOverTarget, kMaxPause - kReportInterval);
  Report(kJustBelowTarget, kReportInterval);
  Report(kOverTarget, kReportInterval);
  EXPECT_EQ(driver_.paces.size(), 1U);
  EXPECT_TRUE(BatchRunIsStopped());
}

// Guards against lost work of a run that could go on where it is after a short
// wait, and against one without checkpoints that stands for good.
TEST_F(PaceTest, ARunWithoutCheckpointsIsStoppedLater) {
  step_spec batch = Batch();
  batch.checkpoints = false;
  StartTasks(batch);
  Report(kOverTarget, kPauseDelay + kReportInterval);
  Report(kOverTarget, kMaxPauseBeforeStop - kReportInterval);
  ASSERT_FALSE(BatchRunIsStopped());
  Report(kOverTarget, 2 * kReportInterval);
  EXPECT_TRUE(BatchRunIsStopped());
}

// Guards against a run that stands for good on a worker that refuses orders on
// pace.
TEST_F(PaceTest, ARunThatCannotBeResumedIsStopped) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  driver_.pace_result = order_result::kUnhealthy;
  Report(kFarBelowTarget, kMaxPauseBeforeStop + kReportInterval);
  EXPECT_TRUE(BatchRunIsStopped());
}

// Guards against a stop of a run that works because its worker refused to pause
// it.
TEST_F(PaceTest, ARunThatWasNotPausedIsNotStopped) {
  StartTasks(Batch());
  driver_.pace_result = order_result::kUnhealthy;
  Report(kOverTarget, 2 * kMaxPauseBeforeStop);
  EXPECT_FALSE(BatchRunIsStopped());
}

// Guards against a pause that begins anew with each takeover and never ends.
TEST_F(PaceTest, AnAdoptedRunBesideAViolatedTargetIsStopped) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  TakeOver(kOverTarget);
  Report(kOverTarget, kMaxPause + kReportInterval);
  EXPECT_TRUE(BatchRunIsStopped());
}

// Guards against a stop that uses up the disruption budget of a long-running
// step.
TEST_F(PaceTest, APausedLongRunningTaskIsNotStopped) {
  step_spec batch = Batch();
  batch.long_running = true;
  StartTasks(batch);
  Report(kOverTarget, kPauseDelay + 2 * kMaxPauseBeforeStop);
  EXPECT_FALSE(BatchRunIsStopped());
}

// Guards against new batch work that keeps the tail latency up beside a run
// that waits to be resumed.
TEST_F(PaceTest, NoBatchTaskStartsBesideAPausedRun) {
  StartTasks(Batch());
  Report(kOverTarget, kPauseDelay + kReportInterval);
  Report(kJustBelowTarget, milliseconds(1000));
  step_spec other = Batch();
  other.image = "other";
  other.need.millicores = 500;
  driver_.Submit(job_id{9}, other);
  Report(kJustBelowTarget, milliseconds(1000));
  ASSERT_EQ(LastShare(), 0);
  EXPECT_TRUE(driver_.starts.empty());
  Report(kJustBelowTarget, kMaxPause);
  EXPECT_EQ(LastShare(), 100);
  EXPECT_EQ(driver_.starts.size(), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
