#include "skylarkbridge/jobs/job_limits.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

/// Two steps of two tasks, the second after the first.
job_spec Job() {
  return {.steps = {{.count = 2}, {.count = 2, .depends_on = {0}}}};
}

job_spec Repeated(std::uint32_t count,
                  milliseconds first_due,
                  milliseconds interval) {
  job_spec spec = Job();
  spec.repeat_count = count;
  spec.first_due = wall_time(first_due);
  spec.interval = interval;
  return spec;
}

// Guards against limits that refuse a job which can be run.
TEST(JobLimitsTest, AcceptsJobsUpToTheLimits) {
  EXPECT_EQ(FindFault(Job()), std::nullopt);
  job_spec largest = Job();
  largest.steps[0].count = kMaxTasksPerJob - 2;
  largest.steps[0].need = {kMaxAmount, kMaxAmount, kMaxAmount};
  largest.steps[0].estimate = kMaxEstimate;
  largest.steps[0].latency_target = kMaxEstimate;
  EXPECT_EQ(FindFault(largest), std::nullopt);
  EXPECT_EQ(FindFault(Repeated(1000, std::chrono::years(60), milliseconds(1))),
            std::nullopt);
  EXPECT_EQ(FindFault(Repeated(2, milliseconds(0), kMaxDueTime / 2)),
            std::nullopt);
}

// Guards against arithmetic that overflows, and against steps that are read
// beyond their end.
TEST(JobLimitsTest, RejectsStepsOutOfRange) {
  std::vector<job_spec> specs(13, Job());
  specs[0].steps.clear();
  specs[1].steps[0].count = 0;
  specs[2].steps[0].count = kMaxTasksPerJob + 1;
  specs[3].steps[0].count = kMaxTasksPerJob - 1;
  specs[4].steps[0].need.millicores = -1;
  specs[5].steps[0].need.memory_mb = kMaxAmount + 1;
  specs[6].steps[0].need.accelerators = kMaxAmount + 1;
  specs[7].steps[0].estimate = milliseconds(-1);
  specs[8].steps[0].estimate = kMaxEstimate + milliseconds(1);
  specs[9].steps[0].latency_target = milliseconds::max();
  specs[10].steps[1].depends_on = {1};
  specs[11].steps[0].depends_on = {4'000'000'000};
  specs[12].steps[0].estimate = kMaxEstimate;
  specs[12].steps[1].estimate = milliseconds(1);
  for (std::size_t index = 0; index < specs.size(); ++index) {
    EXPECT_NE(FindFault(specs[index]), std::nullopt) << index;
  }
}

// Guards against due times that overflow, and against a job that creates
// billions of tasks at once.
TEST(JobLimitsTest, RejectsSchedulesOutOfRange) {
  const milliseconds year = std::chrono::years(1);
  EXPECT_NE(FindFault(Repeated(1, milliseconds(-1), year)), std::nullopt);
  EXPECT_NE(FindFault(Repeated(1, kMaxDueTime + year, year)), std::nullopt);
  EXPECT_NE(FindFault(Repeated(2, milliseconds(0), milliseconds(-1))),
            std::nullopt);
  EXPECT_NE(FindFault(Repeated(1000, milliseconds(0), year)), std::nullopt);
  EXPECT_NE(FindFault(Repeated(2, milliseconds(0), milliseconds::max())),
            std::nullopt);
  EXPECT_NE(
      FindFault(Repeated(4'000'000'000, milliseconds(0), milliseconds(0))),
      std::nullopt);
}

// Guards against a job that is accepted and whose progress then outgrows a
// record.
TEST(JobLimitsTest, LimitsTheLongRunningTasksOfAJob) {
  job_spec spec{.steps = {{.count = 4000, .long_running = true}}};
  EXPECT_FALSE(FindStorageFault(spec));
  spec.steps[0].count = 4001;
  EXPECT_TRUE(FindStorageFault(spec));
  spec.steps[0].long_running = false;
  EXPECT_FALSE(FindStorageFault(spec));
  spec.steps[0] = {.count = 200, .long_running = true};
  spec.repeat_count = 21;
  EXPECT_TRUE(FindStorageFault(spec));
}

}  // namespace
}  // namespace skylarkbridge::jobs
