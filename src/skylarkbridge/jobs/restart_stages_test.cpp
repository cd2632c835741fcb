#include "skylarkbridge/jobs/restart_stages.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <vector>

#include "skylarkbridge/jobs/fleet_scheduler_options.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr task_ref kTask{.job = job_id{1}};
constexpr task_ref kOtherTask{.job = job_id{2}};
constexpr time_point kBegin{seconds(1000)};

std::size_t Number(restart_stage stage) {
  return static_cast<std::size_t>(stage);
}

/// Sum of the limits of the stages that can follow one another in calm time.
milliseconds CalmLimits() {
  milliseconds sum{};
  for (const restart_stage_bound& bound : kRestartStageBounds) {
    sum += bound.in_calm_time ? bound.limit.value() : milliseconds(0);
  }
  return sum;
}

/// Sets the outcome of all tasks.
void UpdateAll(restart_stages& stages,
               time_point now,
               restart_wait_outcome outcome) {
  stages.Update(now, [outcome](const task_ref&) { return outcome; });
}

// Guards against a limit that is looked up under another stage.
TEST(RestartStageBoundsTest, FollowTheOrderOfTheStages) {
  for (std::size_t index = 0; index < kRestartStageCount; ++index) {
    EXPECT_EQ(Number(kRestartStageBounds[index].stage), index);
  }
  EXPECT_EQ(Number(restart_stage::kStartOrder) + 1, kRestartStageCount);
}

// Guards against stages that keep their own limits and together exceed the
// time within which a long-running task has to run again.
TEST(RestartStageBoundsTest, StayWithinTheWholeWaitInCalmTime) {
  EXPECT_LE(CalmLimits(), kMaxRestartWait) << CalmLimits().count();
}

// Names the waits that are not bounded by kMaxRestartWait: guards against a
// further stage without a limit that nobody has noticed.
TEST(RestartStageBoundsTest, NameWhatTheWholeWaitDoesNotBound) {
  std::vector<restart_stage> without_limit;
  std::vector<restart_stage> after_faults;
  for (const restart_stage_bound& bound : kRestartStageBounds) {
    if (!bound.limit) {
      without_limit.push_back(bound.stage);
    } else if (!bound.in_calm_time) {
      after_faults.push_back(bound.stage);
    }
  }
  EXPECT_EQ(without_limit,
            (std::vector<restart_stage>{
                restart_stage::kOwnership, restart_stage::kWorker,
                restart_stage::kPlacementPolicy, restart_stage::kIsolation,
                restart_stage::kGang}));
  EXPECT_EQ(after_faults,
            (std::vector<restart_stage>{restart_stage::kFirstStart,
                                        restart_stage::kTakeover,
                                        restart_stage::kLateStart}));
  // Each of them exceeds it together with the stages of calm time.
  for (const restart_stage stage : after_faults) {
    EXPECT_GT(CalmLimits() + *LimitOf(stage), kMaxRestartWait) << Number(stage);
  }
}

// Guards against a limit that a delay of the scheduler exceeds by itself.
TEST(RestartStageBoundsTest, LeaveTimeForTheDelaysOfTheScheduler) {
  const fleet_scheduler_options options;
  constexpr milliseconds kLongestStop{900};
  constexpr milliseconds kLongestPassInterval{100};
  EXPECT_GE(*LimitOf(restart_stage::kFirstStart),
            options.first_start_patience + kLongestPassInterval);
  EXPECT_GE(*LimitOf(restart_stage::kRetryDelay),
            options.jobs.retry_delay + kLongestPassInterval);
  EXPECT_GE(*LimitOf(restart_stage::kRoom),
            options.relocation_delay + 2 * kLongestStop);
  EXPECT_GE(*LimitOf(restart_stage::kLateStart),
            options.bound_restart_limit + kLongestPassInterval);
}

TEST(RestartStagesTest, CountsTheTimeOfEachStage) {
  restart_stages stages;
  stages.Begin(kTask, kBegin, restart_stage::kNextPass);
  stages.Enter(kTask, restart_stage::kRetryDelay, kBegin + milliseconds(10));
  stages.Enter(kTask, restart_stage::kRoom, kBegin + milliseconds(60));
  stages.Enter(kTask, restart_stage::kStartOrder, kBegin + milliseconds(560));
  stages.Enter(kTask, restart_stage::kRoom, kBegin + milliseconds(660));
  UpdateAll(stages, kBegin + seconds(1), restart_wait_outcome::kEnded);
  const restart_stage_report report = stages.Take();
  ASSERT_EQ(report.ended.size(), 1U);
  const restart_stage_times& times = report.ended[0];
  EXPECT_EQ(times[restart_stage::kNextPass], milliseconds(10));
  EXPECT_EQ(times[restart_stage::kRetryDelay], milliseconds(50));
  EXPECT_EQ(times[restart_stage::kRoom], milliseconds(840));
  EXPECT_EQ(times[restart_stage::kStartOrder], milliseconds(100));
  EXPECT_EQ(times.Total(), seconds(1));
  EXPECT_EQ(stages.Size(), 0U);
}

// Guards against a histogram over ended waits that hides the longest one.
TEST(RestartStagesTest, ShowsTheTasksThatStillWait) {
  restart_stages stages;
  stages.Begin(kTask, kBegin, restart_stage::kRoom);
  stages.Begin(kOtherTask, kBegin + seconds(1), restart_stage::kRoom);
  stages.Enter(kOtherTask, restart_stage::kLateStart, kBegin + seconds(3));
  const restart_stage_times longest = stages.LongestWaits(kBegin + seconds(7));
  EXPECT_EQ(longest[restart_stage::kRoom], seconds(7));
  EXPECT_EQ(longest[restart_stage::kLateStart], seconds(4));
  EXPECT_EQ(longest[restart_stage::kTakeover], seconds(0));
}

// Guards against a wait that is counted as over its limit at each pass, or only
// when it ends.
TEST(RestartStagesTest, CountsAWaitOverALimitOnceAndWhileItWaits) {
  restart_stages stages;
  stages.Begin(kTask, kBegin, restart_stage::kRoom);
  const auto limit = *LimitOf(restart_stage::kRoom);
  UpdateAll(stages, kBegin + limit, restart_wait_outcome::kWaits);
  EXPECT_EQ(stages.Take().over_limit[Number(restart_stage::kRoom)], 0U);
  for (const milliseconds over : {milliseconds(1), milliseconds(100)}) {
    UpdateAll(stages, kBegin + limit + over, restart_wait_outcome::kWaits);
  }
  const restart_stage_report report = stages.Take();
  EXPECT_EQ(report.over_limit[Number(restart_stage::kRoom)], 1U);
  EXPECT_EQ(report.over_total, 0U);
  EXPECT_TRUE(report.ended.empty());
}

// Guards against a wait of many short stages that no counter shows.
TEST(RestartStagesTest, CountsAWaitOverTheLimitOfAllStagesOnce) {
  restart_stages stages;
  stages.Begin(kTask, kBegin, restart_stage::kWorker);
  UpdateAll(stages, kBegin + kMaxRestartWait, restart_wait_outcome::kWaits);
  EXPECT_EQ(stages.Take().over_total, 0U);
  UpdateAll(stages, kBegin + seconds(7), restart_wait_outcome::kWaits);
  UpdateAll(stages, kBegin + seconds(8), restart_wait_outcome::kWaits);
  EXPECT_EQ(stages.Take().over_total, 1U);
}

TEST(RestartStagesTest, NamesTheLongestStage) {
  restart_stages stages;
  EXPECT_FALSE(stages.Longest(kTask));
  stages.Begin(kTask, kBegin, restart_stage::kTakeover);
  stages.Enter(kTask, restart_stage::kRoom, kBegin + milliseconds(2500));
  stages.Enter(kTask, restart_stage::kStartOrder, kBegin + seconds(4));
  const auto longest = stages.Longest(kTask);
  ASSERT_TRUE(longest);
  EXPECT_EQ(longest->stage, restart_stage::kTakeover);
  EXPECT_EQ(longest->time, milliseconds(2500));
}

// Guards against a second wait that begins with the times of the first, when
// the run between them ended before the owner knew that it had begun.
TEST(RestartStagesTest, ALaterEndBeginsAnotherWait) {
  restart_stages stages;
  stages.Begin(kTask, kBegin, restart_stage::kRoom);
  stages.Begin(kTask, kBegin, restart_stage::kNextPass);
  stages.Enter(kTask, restart_stage::kStartOrder, kBegin + seconds(1));
  stages.Begin(kTask, kBegin + seconds(3), restart_stage::kNextPass);
  UpdateAll(stages, kBegin + seconds(4), restart_wait_outcome::kEnded);
  const restart_stage_report report = stages.Take();
  ASSERT_EQ(report.ended.size(), 2U);
  EXPECT_EQ(report.ended[0][restart_stage::kRoom], seconds(1));
  EXPECT_EQ(report.ended[0][restart_stage::kStartOrder], seconds(2));
  EXPECT_EQ(report.ended[1].Total(), seconds(1));
}

// Guards against a task that has never run and whose wait begins anew when it
// counts as a restart.
TEST(RestartStagesTest, AFirstStartKeepsItsTimeWhenItWaitsAsARestart) {
  restart_stages stages;
  stages.EnterFirstStart(kTask, kBegin);
  stages.EnterFirstStart(kTask, kBegin + seconds(1));
  stages.ContinueAsRestart(kTask, kBegin + seconds(2));
  stages.Begin(kTask, kBegin + seconds(2), restart_stage::kNextPass);
  stages.Enter(kTask, restart_stage::kRoom, kBegin + seconds(2));
  UpdateAll(stages, kBegin + seconds(5), restart_wait_outcome::kEnded);
  const restart_stage_report report = stages.Take();
  ASSERT_EQ(report.ended.size(), 1U);
  EXPECT_EQ(report.ended[0][restart_stage::kFirstStart], seconds(2));
  EXPECT_EQ(report.ended[0][restart_stage::kRoom], seconds(3));
}

// Guards against an earlier time that turns a count negative, and against
// accounts of tasks that were never begun.
TEST(RestartStagesTest, IgnoresEarlierTimesAndUnknownTasks) {
  restart_stages stages;
  stages.Enter(kTask, restart_stage::kRoom, kBegin);
  stages.ContinueAsRestart(kTask, kBegin);
  EXPECT_EQ(stages.Size(), 0U);
  stages.Begin(kTask, kBegin, restart_stage::kRoom);
  stages.Enter(kTask, restart_stage::kWorker, kBegin - seconds(1));
  const restart_stage_times longest = stages.LongestWaits(kBegin - seconds(1));
  EXPECT_EQ(longest.Total(), seconds(0));
  UpdateAll(stages, kBegin - seconds(1), restart_wait_outcome::kEnded);
  EXPECT_EQ(stages.Take().ended.at(0).Total(), seconds(0));
}

// Guards against a cancelled task in the histogram, and against accounts that
// are never removed.
TEST(RestartStagesTest, DroppedWaitsCountForNothing) {
  restart_stages stages;
  stages.Begin(kTask, kBegin, restart_stage::kRoom);
  UpdateAll(stages, kBegin + seconds(9), restart_wait_outcome::kDropped);
  EXPECT_EQ(stages.Size(), 0U);
  const restart_stage_report report = stages.Take();
  EXPECT_TRUE(report.ended.empty());
  EXPECT_EQ(report.over_total, 0U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
