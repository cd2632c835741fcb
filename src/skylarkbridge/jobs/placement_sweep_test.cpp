#include "skylarkbridge/jobs/placement_sweep.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

constexpr search_limits kLimits{.total = 8, .in_front = 5};

step_ref Step(std::uint64_t job) {
  return {.job = job_id{job}};
}

/// Looks at these steps, none of which finds room, and returns those that were
/// looked at.
std::vector<step_ref> Pass(placement_sweep& sweep,
                           const std::vector<step_ref>& steps) {
  std::vector<step_ref> looked_at;
  sweep.BeginPass(steps.size());
  for (const step_ref& step : steps) {
    if (sweep.LimitReached()) {
      return looked_at;
    }
    if (sweep.PassesOver(step)) {
      continue;
    }
    sweep.LookedAt(step);
    sweep.SearchedInVain();
    looked_at.push_back(step);
  }
  sweep.ReachedEnd();
  return looked_at;
}

std::vector<step_ref> Steps(std::uint64_t count) {
  std::vector<step_ref> steps;
  for (std::uint64_t job = 1; job <= count; ++job) {
    steps.push_back(Step(job));
  }
  return steps;
}

// Guards against steps in front that hide all others for good.
TEST(PlacementSweepTest, LooksAtEachStepWithinTheStatedNumberOfPasses) {
  constexpr std::uint64_t kSteps = 100;
  constexpr std::uint64_t kPasses = 34;  // ceil(100 / (8 - 5))
  placement_sweep sweep(kLimits);
  std::vector<step_ref> missing = Steps(kSteps);
  for (std::uint64_t pass = 0; pass < kPasses; ++pass) {
    std::vector<step_ref> steps = Steps(kSteps);
    // The order changes from pass to pass.
    std::rotate(steps.begin(),
                steps.begin() + static_cast<std::ptrdiff_t>(7 * pass % kSteps),
                steps.end());
    for (const step_ref& step : Pass(sweep, steps)) {
      std::erase(missing, step);
    }
  }
  EXPECT_TRUE(missing.empty());
}

// Guards against room that goes past the most urgent steps.
TEST(PlacementSweepTest, EachPassLooksAtTheStepsInFront) {
  placement_sweep sweep(kLimits);
  for (int pass = 0; pass < 10; ++pass) {
    std::vector<step_ref> looked_at = Pass(sweep, Steps(50));
    ASSERT_GE(looked_at.size(), kLimits.in_front);
    looked_at.resize(kLimits.in_front);
    EXPECT_EQ(looked_at, Steps(kLimits.in_front));
  }
}

TEST(PlacementSweepTest, APassMakesNoMoreSearchesThanTheLimit) {
  placement_sweep sweep(kLimits);
  for (int pass = 0; pass < 20; ++pass) {
    EXPECT_LE(Pass(sweep, Steps(50)).size(), kLimits.total);
  }
}

// Guards against a step that is looked at once only.
TEST(PlacementSweepTest, ANewSweepLooksAtAllStepsAgain) {
  placement_sweep sweep(kLimits);
  EXPECT_EQ(Pass(sweep, Steps(6)), Steps(6));
  EXPECT_EQ(Pass(sweep, Steps(6)), Steps(6));
}

// Guards against a step of high rank that is left out for as long as the limit
// on starts ends each pass before the last step.
TEST(PlacementSweepTest, ASweepThatDoesNotReachTheEndBeginsAnew) {
  constexpr std::uint64_t kSteps = 9;
  constexpr int kPasses = 2 * (9 / 3 + 1);
  const step_ref skipped = Step(kSteps);
  placement_sweep sweep(kLimits);
  sweep.BeginPass(kSteps);
  sweep.LookedAt(skipped);
  bool considered = false;
  for (int pass = 0; pass < kPasses; ++pass) {
    sweep.BeginPass(kSteps);
    for (std::size_t search = 0; search < kLimits.in_front; ++search) {
      sweep.SearchedInVain();
    }
    considered |= !sweep.PassesOver(skipped);
  }
  EXPECT_TRUE(considered);
}

}  // namespace
}  // namespace skylarkbridge::jobs
