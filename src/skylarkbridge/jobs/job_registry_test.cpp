#include "skylarkbridge/jobs/job_registry.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
constexpr job_id kJob{1};

// Guards against a cancellation that stays in the log for ever because its job
// was never accepted.
TEST(JobRegistryTest, ListsACancellationWithoutAJobAsEnded) {
  job_registry registry;
  EXPECT_FALSE(registry.Apply(job_cancelled{kJob}, kNow));
  registry.Apply(job_cancelled{kJob}, kNow + seconds(1));
  EXPECT_TRUE(registry.EndedBefore(kNow).empty());
  EXPECT_EQ(registry.EndedBefore(kNow + seconds(2)), std::vector<job_id>{kJob});
  registry.Apply(job_dropped{kJob});
  EXPECT_TRUE(registry.EndedBefore(kNow + seconds(2)).empty());
}

// Guards against removing the records of an open job from the log because an
// earlier job of the same id has ended.
TEST(JobRegistryTest, ListsNoOpenJobAsEnded) {
  job_registry registry;
  registry.Apply(job_cancelled{kJob}, kNow);
  registry.Apply(job_dropped{kJob});
  ASSERT_TRUE(registry.Apply(job_accepted{.job = kJob}, kNow));
  EXPECT_TRUE(registry.EndedBefore(kNow + seconds(2)).empty());
}

// Guards against a job that runs although it was cancelled before it was
// accepted.
TEST(JobRegistryTest, AcceptsACancelledJobAsEnded) {
  job_registry registry;
  registry.Apply(job_cancelled{kJob}, kNow);
  ASSERT_TRUE(registry.Apply(job_accepted{.job = kJob}, kNow));
  EXPECT_EQ(registry.ReportedState(kJob), reported_state::kCancelled);
}

/// Progress with the first task delegated to cell 2.
job_progress DelegatedProgress() {
  return {.started = true,
          .steps = {{.delegations = {{0, {.cell = 2, .first_run = 7}}}}}};
}

// Guards against a cell that does not know of the tasks delegated to it, or
// that removes the records of their job, which its log does not have.
TEST(JobRegistryTest, KnowsJobsOfDelegatedTasksAndDropsNone) {
  job_registry running(1);
  running.Apply(job_advanced{kJob, DelegatedProgress()}, kNow);
  ASSERT_TRUE(running.Apply(job_accepted{.job = kJob, .cell = 1}, kNow));
  const job_state& state = *running.Find(kJob);
  job_registry other(2);
  other.ApplyDelegated(kJob, state, kNow);
  ASSERT_NE(other.Find(kJob), nullptr);
  EXPECT_FALSE(other.RunsHere(*other.Find(kJob)));
  EXPECT_TRUE(other.HasTasksHere(*other.Find(kJob)));
  job_registry third(3);
  third.ApplyDelegated(kJob, state, kNow);
  EXPECT_FALSE(third.HasTasksHere(*third.Find(kJob)));

  running.Apply(job_cancelled{kJob}, kNow);
  other.ApplyDelegated(kJob, *running.Find(kJob), kNow);
  EXPECT_TRUE(other.Find(kJob)->Ended());
  EXPECT_TRUE(other.Find(kJob)->ended_at);
  EXPECT_TRUE(other.EndedBefore(kNow + seconds(2)).empty());
}

}  // namespace
}  // namespace skylarkbridge::jobs
