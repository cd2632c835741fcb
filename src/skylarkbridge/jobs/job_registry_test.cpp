#include "skylarkbridge/jobs/job_registry.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
constexpr job_id kJob{1};
constexpr std::size_t kMaxCount = 10;

// Guards against a cancellation that stays in the log for ever because its job
// was never accepted.
TEST(JobRegistryTest, ListsACancellationWithoutAJobAsEnded) {
  job_registry registry;
  EXPECT_FALSE(registry.Apply(job_cancelled{kJob}, kNow));
  registry.Apply(job_cancelled{kJob}, kNow + seconds(1));
  EXPECT_TRUE(registry.EndedBefore(kNow, kMaxCount).empty());
  EXPECT_EQ(registry.EndedBefore(kNow + seconds(2), kMaxCount),
            std::vector<job_id>{kJob});
  registry.Apply(job_dropped{kJob});
  EXPECT_TRUE(registry.EndedBefore(kNow + seconds(2), kMaxCount).empty());
}

// Guards against removing the records of an open job from the log because an
// earlier job of the same id has ended.
TEST(JobRegistryTest, ListsNoOpenJobAsEnded) {
  job_registry registry;
  registry.Apply(job_cancelled{kJob}, kNow);
  registry.Apply(job_dropped{kJob});
  ASSERT_TRUE(registry.Apply(job_accepted{.job = kJob}, kNow));
  EXPECT_TRUE(registry.EndedBefore(kNow + seconds(2), kMaxCount).empty());
}

// Guards against a job that runs although it was cancelled before it was
// accepted.
TEST(JobRegistryTest, AcceptsACancelledJobAsEnded) {
  job_registry registry;
  registry.Apply(job_cancelled{kJob}, kNow);
  ASSERT_TRUE(registry.Apply(job_accepted{.job = kJob}, kNow));
  EXPECT_EQ(registry.ReportedState(kJob), reported_state::kCancelled);
}

}  // namespace
}  // namespace skylarkbridge::jobs
