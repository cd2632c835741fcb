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

/// A checker of a fleet whose caller submitted one task of 600 millicores.
job_invariant_checker CheckerOfOneTask() {
  job_invariant_checker checker(3);
  checker.JobSubmitted(kRun.task.job,
                       {.steps = {{.count = 1, .need = {.millicores = 600}}}});
  return checker;
}
constexpr jobs::resources kRoom{.millicores = 1000};
constexpr jobs::resources kLittleRoom{.millicores = 400};
constexpr time_point kNow{std::chrono::seconds(100)};
constexpr jobs::run_ref kSecondRun{kRun.task, 2};

// Guards against counting the one known kind of second runs as another, and
// against counting it as none.
TEST(JobInvariantCheckerTest, CountsRunsOfUnknownLivesApart) {
  job_invariant_checker checker = CheckerOfOneTask();
  checker.ExpectRunOfUnknownLife("w1", kRun);
  checker.RunStarted("w1", kRun, kLittleRoom, kNow);
  checker.RunStarted("w2", kSecondRun, kRoom, kNow);
  EXPECT_TRUE(checker.Violations().empty());
  EXPECT_EQ(checker.ViolationsOfUnknownLives(),
            (std::vector<std::string>{
                "LIMIT: 0000000000000001.0.0.0/1 no room on w1",
                "TWICE: 0000000000000001.0.0.0/2 already runs on w1"}));
}

// Guards against a second run that is excused by a run of an unknown life that
// has ended, or that was refused.
TEST(JobInvariantCheckerTest, ReportsASecondRunAfterOneOfAnUnknownLife) {
  job_invariant_checker checker = CheckerOfOneTask();
  checker.ExpectRunOfUnknownLife("w2", kSecondRun);
  checker.LateStartRefused("w2", kSecondRun);
  checker.ExpectRunOfUnknownLife("w1", kRun);
  checker.RunStarted("w1", kRun, kRoom, kNow);
  checker.RunEnded("w1", kRun, end_cause::kStopped, kNow);
  checker.RunStarted("w2", kSecondRun, kRoom, kNow);
  checker.RunStarted("w3", {kRun.task, 3}, kRoom, kNow);
  EXPECT_EQ(checker.Violations(),
            std::vector<std::string>{
                "TWICE: 0000000000000001.0.0.0/3 already runs on w2"});
  EXPECT_TRUE(checker.ViolationsOfUnknownLives().empty());
}

// Guards against a checker that takes a task for gone when one of two runs on
// the same worker ends: it missed further runs and reported a restart as due.
TEST(JobInvariantCheckerTest, TheEndOfOneOfTwoRunsOnAWorkerLeavesTheOther) {
  job_invariant_checker checker = CheckerOfOneTask();
  checker.ExpectRunOfUnknownLife("w1", kRun);
  checker.RunStarted("w1", kRun, kRoom, kNow);
  checker.RunStarted("w1", kSecondRun, kRoom, kNow);
  checker.RunEnded("w1", kRun, end_cause::kStopped, kNow);
  EXPECT_EQ(checker.WorkerOf(kRun.task), "w1");
  EXPECT_TRUE(checker.Violations().empty());
  checker.RunStarted("w2", {kRun.task, 3}, kRoom, kNow);
  EXPECT_EQ(checker.Violations(),
            std::vector<std::string>{
                "TWICE: 0000000000000001.0.0.0/3 already runs on w1"});
}

}  // namespace
}  // namespace skylarkbridge::control
