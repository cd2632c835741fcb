#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kTarget{100};
constexpr milliseconds kFarBelowTarget{10};
constexpr milliseconds kJustBelowTarget{95};
constexpr milliseconds kOverTarget{180};
constexpr milliseconds kReportInterval{100};
/// Time over the target after which all best-effort tasks are paused.
constexpr milliseconds kPauseDelay{2200};

/// One worker with a serving task and a batch task that fills beside it.
class PaceTest : public testing::Test {
 protected:
  static constexpr job_id kServingJob{7};
  static constexpr job_id kBatchJob{8};

  void StartTasks(bool checkpoints) {
    driver_.Begin();
    driver_.AddWorker("w0", 8000);
    driver_.RunRounds();
    driver_.Submit(kServingJob, {.count = 1,
                                 .need = {.millicores = 3000},
                                 .long_running = true,
                                 .image = "serving",
                                 .latency_target = kTarget});
    driver_.RunRounds();
    SubmitBatch(kBatchJob, checkpoints);
    driver_.RunRounds();
    ASSERT_EQ(driver_.starts.size(), 2U);
    serving_run_ = driver_.starts[0].run;
    batch_run_ = driver_.starts[1].run;
    driver_.starts.clear();
  }
  void SubmitBatch(job_id id, bool checkpoints) {
    driver_.Submit(id, {.count = 1,
                        .need = {.millicores = 3000},
                        .checkpoints = checkpoints,
                        .image = "batch",
                        .best_effort = true});
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
  StartTasks(true);
  Report(kOverTarget, kPauseDelay + kReportInterval);
  ASSERT_EQ(LastShare(), 0);
  TakeOver(kFarBelowTarget);
  EXPECT_EQ(LastShare(), 100);
}

// Guards against a successor that lets an adopted run disturb a task over its
// target for as long again as the earlier owner did.
TEST_F(PaceTest, AnAdoptedRunBesideAViolatedTargetIsPausedAtOnce) {
  StartTasks(true);
  Report(kOverTarget, milliseconds(1000));
  TakeOver(kOverTarget);
  EXPECT_EQ(LastShare(), 0);
}

// Guards against a resume of such a run while the target is still violated.
TEST_F(PaceTest, AnAdoptedRunStaysPausedWhileTheTargetIsViolated) {
  StartTasks(true);
  TakeOver(kOverTarget);
  Report(kOverTarget, milliseconds(3000));
  EXPECT_EQ(driver_.paces.size(), 1U);
}

// Guards against orders on pace for runs that are not paced.
TEST_F(PaceTest, AnAdoptedServingRunIsNotPaced) {
  StartTasks(true);
  TakeOver(kFarBelowTarget);
  for (const pace_order& pace : driver_.paces) {
    EXPECT_NE(pace.run, serving_run_);
  }
}

// Guards against an order on pace for each report once the share is known.
TEST_F(PaceTest, TheShareOfAnAdoptedRunIsOrderedOnce) {
  StartTasks(true);
  TakeOver(kFarBelowTarget);
  Report(kFarBelowTarget, milliseconds(2000));
  EXPECT_EQ(driver_.paces.size(), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
