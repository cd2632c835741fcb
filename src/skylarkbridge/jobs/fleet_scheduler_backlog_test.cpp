#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr job_id kLastJob{1'000'000};
constexpr worker_start_time kFirstLife{std::chrono::seconds(1)};
constexpr worker_start_time kSecondLife{std::chrono::seconds(2)};

/// A worker with 1,000 millicores and 1,000 MB, and many jobs. All are equally
/// urgent, so that those with smaller ids come first.
class BacklogTest : public testing::Test {
 protected:
  static constexpr std::int64_t kCapacity = 1000;
  static constexpr std::uint64_t kManySteps = 60;

  BacklogTest() {
    driver_.start_times["w0"] = kFirstLife;
    driver_.Begin();
    driver_.AddWorker("w0", kCapacity);
    driver_.RunRounds();
  }
  void SubmitLast(const std::string& queue = "batch") {
    driver_.Submit(kLastJob, {.count = 1, .need = {.millicores = 100}}, queue);
  }
  /// Runs @p count passes and returns whether the last job has started.
  bool StartsLastWithin(std::uint64_t count) {
    for (std::uint64_t pass = 0; pass < count; ++pass) {
      driver_.Pass(options_.pass_interval);
    }
    return Started(kLastJob);
  }
  bool Started(job_id job) const {
    return std::any_of(
        driver_.starts.begin(), driver_.starts.end(),
        [job](const start_order& start) { return start.run.task.job == job; });
  }
  /// The passes within which each of @p steps waiting steps is looked at.
  std::uint64_t PassesToSee(std::uint64_t steps) const {
    const std::uint64_t behind =
        options_.max_unplaced_steps - options_.max_unplaced_in_front;
    return (steps + behind - 1) / behind;
  }

  const fleet_scheduler_options options_;
  scheduler_driver driver_;
};

// The tests below guard against work that never starts on free workers, because
// steps before it that can't start now end each placement pass.
TEST_F(BacklogTest, StepsThatFitNoWorkerDoNotHideOneThatFits) {
  for (std::uint64_t job = 1; job <= kManySteps; ++job) {
    driver_.Submit(job_id{job},
                   {.count = 1, .need = {.millicores = 2 * kCapacity}});
  }
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(1));
}

TEST_F(BacklogTest, EachStepIsLookedAtWithinTheStatedNumberOfPasses) {
  constexpr std::uint64_t kSteps = 400;
  for (std::uint64_t job = 1; job <= kSteps; ++job) {
    // No need shows that a later one has no room.
    const auto smaller = static_cast<std::int64_t>(job);
    driver_.Submit(
        job_id{job},
        {.count = 1, .need = {.millicores = 2 * kCapacity - smaller}});
  }
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(PassesToSee(kSteps + 1)));
}

TEST_F(BacklogTest, BatchStepsWithoutIdleProcessorsDoNotHideOneThatFits) {
  driver_.Submit(job_id{1}, {.count = 1, .need = {.millicores = 600}});
  driver_.RunRounds();
  ASSERT_TRUE(Started(job_id{1}));
  for (std::uint64_t job = 2; job <= kManySteps; ++job) {
    driver_.Submit(job_id{job}, {.count = 1,
                                 .need = {.millicores = kCapacity},
                                 .image = std::to_string(job),
                                 .best_effort = true});
  }
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(PassesToSee(kManySteps)));
  EXPECT_EQ(driver_.starts.size(), 2U);
}

TEST_F(BacklogTest, SuspectedTasksDoNotHideOneThatFits) {
  for (std::uint64_t job = 1; job <= kManySteps; ++job) {
    driver_.Submit(job_id{job}, {.count = 1, .need = {.millicores = 10}});
  }
  driver_.RunRounds();
  ASSERT_EQ(driver_.starts.size(), kManySteps);
  driver_.starts.clear();
  driver_.start_times["w0"] = kSecondLife;
  driver_.Pass(milliseconds(600));
  ASSERT_EQ(driver_.starts.size(), 1U);
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(PassesToSee(kManySteps)));
}

// The tests below guard against passing over a step that fits because another
// one does not.
TEST_F(BacklogTest, ALimitOfTasksPerWorkerDoesNotApplyToOtherSteps) {
  driver_.Submit(
      job_id{1},
      {.count = 2, .need = {.millicores = 100}, .max_per_worker = 1});
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(1));
}

TEST_F(BacklogTest, AGangWithoutRoomDoesNotKeepASingleTaskFromStarting) {
  driver_.Submit(job_id{1},
                 {.count = 11, .need = {.millicores = 100}, .gang = true});
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(1));
}

TEST_F(BacklogTest, AStepWithoutAPermitDoesNotKeepOthersFromStarting) {
  driver_.Submit(job_id{1}, {.count = 1, .need = {.millicores = 100}},
                 "restricted");
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(1));
}

TEST_F(BacklogTest, ATaskThatIsBoundToAWorkerDoesNotKeepOthersFromStarting) {
  driver_.unanswering_worker = "w0";
  driver_.Submit(job_id{1}, {.count = 1, .need = {.millicores = 100}});
  driver_.RunRounds();
  ASSERT_FALSE(driver_.unanswered_starts.empty());
  driver_.AddWorker("w1", kCapacity);
  driver_.RunRounds();
  SubmitLast();
  EXPECT_TRUE(StartsLastWithin(1));
}

// Guards against a permit that is never requested.
TEST_F(BacklogTest, AStepThatNeedsAPermitIsNotPassedOver) {
  driver_.Submit(job_id{1}, {.count = 1, .need = {.millicores = kCapacity}});
  driver_.RunRounds();
  driver_.Submit(job_id{2}, {.count = 1, .need = {.millicores = 100}});
  SubmitLast("restricted");
  driver_.Pass(options_.pass_interval);
  EXPECT_EQ(driver_.permit_requests.size(), 1U);
}

// Guards against a pass whose cost grows with the backlog.
TEST_F(BacklogTest, APassSearchesTheWorkersOnceForEqualSteps) {
  constexpr std::uint64_t kSteps = 10'000;
  for (std::uint64_t job = 1; job <= kSteps; ++job) {
    driver_.Submit(job_id{job},
                   {.count = 1, .need = {.millicores = 2 * kCapacity}});
  }
  driver_.RunRounds();
  const placement_summary& pass = driver_.scheduler.LastPass();
  EXPECT_EQ(pass.looked_at, kSteps);
  EXPECT_EQ(pass.unplaced, kSteps);
  EXPECT_EQ(pass.known_without_room, kSteps - 1);
  EXPECT_EQ(pass.ended_by, pass_end::kAllLookedAt);
}

TEST_F(BacklogTest, APassMakesABoundedNumberOfSearches) {
  constexpr std::uint64_t kSteps = 1000;
  for (std::uint64_t job = 1; job <= kSteps; ++job) {
    const auto smaller = static_cast<std::int64_t>(job);
    driver_.Submit(
        job_id{job},
        {.count = 1, .need = {.millicores = 3 * kCapacity - smaller}});
  }
  for (int count = 0; count < 10; ++count) {
    driver_.Pass(options_.pass_interval);
    const placement_summary& pass = driver_.scheduler.LastPass();
    EXPECT_EQ(pass.looked_at - pass.known_without_room,
              options_.max_unplaced_steps);
    EXPECT_EQ(pass.ended_by, pass_end::kUnplacedLimit);
  }
}

}  // namespace
}  // namespace skylarkbridge::jobs
