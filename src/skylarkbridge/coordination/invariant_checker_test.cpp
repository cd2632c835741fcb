#include "skylarkbridge/coordination/invariant_checker.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::coordination {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{std::chrono::hours(1)};
constexpr worker_id kWorker{7};
constexpr worker_id kOther{8};

// A checker that misses a violation makes every test that relies on it pass.
class InvariantCheckerTest : public testing::Test {
 protected:
  InvariantCheckerTest() {
    checker_.WorkerAdded(kWorker, {.slots = 2, .connections = 2});
    checker_.WorkerAdded(kOther, {.slots = 2, .connections = 2});
  }
  void StartTask(std::uint64_t task,
                 worker_id worker,
                 std::optional<std::string> checkpoint = std::nullopt) {
    checker_.TaskStarted({.task = {task},
                          .worker = worker,
                          .checkpoint = std::move(checkpoint),
                          .takes = {.slots = 1}},
                         kNow);
  }
  void StartRequest(std::uint64_t request, const std::string& key) {
    checker_.RequestStarted({{request}, kWorker, key, false, {.slots = 1}},
                            kNow);
  }
  void ExpectOnly(int invariant) {
    ASSERT_EQ(checker_.Violations().size(), 1U);
    EXPECT_TRUE(checker_.Violations()[0].starts_with(
        "invariant " + std::to_string(invariant) + ":"))
        << checker_.Violations()[0];
  }
  invariant_checker checker_;
};

TEST_F(InvariantCheckerTest, FindsWorkerOverCapacity) {
  for (std::uint64_t task = 1; task <= 3; ++task) {
    StartTask(task, kWorker);
  }
  ExpectOnly(1);
}

TEST_F(InvariantCheckerTest, FindsTaskInTwoPlaces) {
  checker_.TaskStarted({.task = {1}, .worker = kWorker, .idempotent = true},
                       kNow);
  checker_.TaskStarted({.task = {1}, .worker = kOther, .idempotent = true},
                       kNow);
  ExpectOnly(2);
}

TEST_F(InvariantCheckerTest, FindsEvictedTaskThatDoesNotResume) {
  StartTask(1, kWorker);
  checker_.TaskEnded({1}, kWorker, attempt_end::kStopped, "c1");
  checker_.CheckSettled();
  ExpectOnly(3);
}

TEST_F(InvariantCheckerTest, FindsSecondResumeFromOneCheckpoint) {
  StartTask(1, kWorker);
  checker_.TaskEnded({1}, kWorker, attempt_end::kStopped, "c1");
  StartTask(1, kOther, "c1");
  EXPECT_TRUE(checker_.Violations().empty());
  checker_.TaskEnded({1}, kOther, attempt_end::kFailed);
  StartTask(1, kOther, "c1");
  EXPECT_EQ(checker_.Violations().size(), 2U);  // Invariants 6 and 3.
}

TEST_F(InvariantCheckerTest, FindsForeignAnswer) {
  StartRequest(1, "a");
  checker_.RequestEnded({1}, kWorker, "answer a");
  checker_.CallerTold({2}, told_outcome::kDone, "answer a");
  ExpectOnly(4);
}

TEST_F(InvariantCheckerTest, FindsFalseNotRun) {
  StartRequest(1, "a");
  checker_.CallerTold({1}, told_outcome::kNotRun);
  ExpectOnly(5);
}

TEST_F(InvariantCheckerTest, FindsRunAfterNotRun) {
  checker_.CallerTold({1}, told_outcome::kNotRun);
  StartRequest(1, "a");
  ExpectOnly(5);
}

TEST_F(InvariantCheckerTest, FindsSecondRunOfKey) {
  StartRequest(1, "a");
  StartRequest(2, "a");
  ExpectOnly(6);
}

TEST_F(InvariantCheckerTest, FindsNewWorkOnLeavingUpstream) {
  checker_.UpstreamLeaving(kWorker, kNow - seconds(4));
  StartTask(1, kWorker);
  ExpectOnly(7);
}

TEST_F(InvariantCheckerTest, FindsInterruptedRequest) {
  checker_.PlannedStopInterrupted({1}, {5});
  ExpectOnly(8);
}

TEST_F(InvariantCheckerTest, FindsRevertedConfiguration) {
  checker_.ConfigurationInForce({1}, 5, kNow);
  checker_.ConfigurationInForce({1}, 4, kNow);
  ExpectOnly(9);
}

TEST_F(InvariantCheckerTest, FindsLateConfiguration) {
  checker_.ConfigurationInForce({1}, 4, kNow);
  checker_.ConfigurationAccepted(5, kNow);
  checker_.CheckTime(kNow + seconds(19));
  EXPECT_TRUE(checker_.Violations().empty());
  checker_.CheckTime(kNow + seconds(20));
  ExpectOnly(9);
}

}  // namespace
}  // namespace skylarkbridge::coordination
