#include "skylarkbridge/jobs/preemption.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace skylarkbridge::jobs {
namespace {

preemptible_run Preemptible(std::uint64_t job,
                            resources held,
                            int priority,
                            double lost_work) {
  return {.run = {{job_id{job}, 0, 0, 0}, 1},
          .held = held,
          .priority = priority,
          .lost_work = lost_work};
}

std::vector<std::uint64_t> Jobs(const std::vector<run_ref>& runs) {
  std::vector<std::uint64_t> jobs;
  jobs.reserve(runs.size());
  for (const run_ref& run : runs) {
    jobs.push_back(run.task.job.value);
  }
  return jobs;
}

// Guards against stopping urgent work, or work that is nearly done, first.
TEST(PreemptionTest, StopsTheLeastUrgentRunsThatLoseTheLeast) {
  const std::vector<preemptible_run> runs{
      Preemptible(1, {.millicores = 1000}, 0, 0),
      Preemptible(2, {.millicores = 1000}, 2, 9),
      Preemptible(3, {.millicores = 1000}, 2, 1)};
  EXPECT_EQ(Jobs(ChooseRunsToPreempt(runs, {.millicores = 500})),
            std::vector<std::uint64_t>{3});
  EXPECT_EQ(Jobs(ChooseRunsToPreempt(runs, {.millicores = 1500})),
            (std::vector<std::uint64_t>{3, 2}));
}

// Guards against stopping runs whose room does not help.
TEST(PreemptionTest, StopsOnlyWhatIsNeeded) {
  const std::vector<preemptible_run> runs{
      Preemptible(1, {.millicores = 200}, 0, 0),
      Preemptible(2, {.millicores = 1000}, 0, 1),
      Preemptible(3, {.memory_mb = 5000}, 0, 0),
  };
  EXPECT_EQ(Jobs(ChooseRunsToPreempt(runs, {.millicores = 900})),
            std::vector<std::uint64_t>{2});
  EXPECT_EQ(
      Jobs(ChooseRunsToPreempt(runs, {.millicores = -100, .memory_mb = 4000})),
      std::vector<std::uint64_t>{3});
}

// Guards against losing work for a restart that gets no room by it.
TEST(PreemptionTest, StopsNothingWhenTheRoomWouldNotSuffice) {
  EXPECT_TRUE(ChooseRunsToPreempt({Preemptible(1, {.millicores = 1000}, 0, 0)},
                                  {.millicores = 2000})
                  .empty());
  EXPECT_TRUE(ChooseRunsToPreempt({Preemptible(1, {.millicores = 1000}, 0, 0)},
                                  {.millicores = 0})
                  .empty());
}

}  // namespace
}  // namespace skylarkbridge::jobs
