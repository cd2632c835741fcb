#include "skylarkbridge/control/job_invariant_checker_fake.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>
#include <vector>

namespace skylarkbridge::control {
namespace {

constexpr jobs::run_ref kRun{{.job = jobs::job_id{1}}, 1};

/// Starts a run of the job and returns the violations.
std::vector<std::string> StartRun(job_invariant_checker& checker) {
  checker.RunStarted("w1", kRun, {}, time_point(std::chrono::seconds(100)));
  return checker.Violations();
}

// Guards against a checker that accepts runs of a job whose submissions were
// all refused.
TEST(JobInvariantCheckerTest, ReportsARunOfARefusedJob) {
  job_invariant_checker checker(3);
  for (int submission = 0; submission < 2; ++submission) {
    checker.JobSubmitted(kRun.task.job, {.steps = {{.count = 1}}});
    checker.JobRefused(kRun.task.job);
  }
  EXPECT_EQ(StartRun(checker),
            std::vector<std::string>{"REFUSED: 0000000000000001.0.0.0/1 every "
                                     "submission attempt was refused"});
}

// Guards against taking a repeat without an answer, which may be stored, for
// a refused one.
TEST(JobInvariantCheckerTest, AcceptsARunWhileARepeatHasNoAnswer) {
  job_invariant_checker checker(3);
  checker.JobSubmitted(kRun.task.job, {.steps = {{.count = 1}}});
  checker.JobRefused(kRun.task.job);
  checker.JobSubmitted(kRun.task.job, {.steps = {{.count = 1}}});
  EXPECT_TRUE(StartRun(checker).empty());
}

}  // namespace
}  // namespace skylarkbridge::control
