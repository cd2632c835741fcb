// Directed test of the cell that a waiting task is delegated to: the largest
// room that a cell states may be of no use to the task.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0x20};
constexpr jobs::task_ref kTask{.job = kJob, .index = 0};
constexpr jobs::task_ref kSibling{.job = kJob, .index = 1};
constexpr milliseconds kStep{20};
/// Too small for a task of the job.
constexpr std::int64_t kSmallCapacity = 1000;
/// Room for one, but less than beside the sibling.
constexpr std::int64_t kMediumCapacity = 2000;

/// The one of three workers that runs no task of the job.
std::string OtherWorker(const virtual_fleet& fleet) {
  for (const char* const worker : {"w0", "w1", "w2"}) {
    if (worker != fleet.Checker().WorkerOf(kTask) &&
        worker != fleet.Checker().WorkerOf(kSibling)) {
      return worker;
    }
  }
  return "";
}

bool RunsWithin(virtual_fleet& fleet,
                const jobs::task_ref& task,
                milliseconds limit) {
  for (milliseconds waited{}; waited <= limit; waited += kStep) {
    if (fleet.Checker().Running(task)) {
      return true;
    }
    fleet.Advance(kStep);
  }
  return false;
}

// Guards against a task that two cells offer each other while a third one has
// the only place for it: one worker runs no two tasks of the step, and the cell
// with the largest room has it on the worker of the other task.
TEST(DelegationChoiceTest, ATaskReachesTheCellThatCanRunIt) {
  virtual_fleet fleet({.workers = 3, .cells = 3});
  fleet.Advance(kCalmTime + seconds(1));
  fleet.Submit(0, kJob, "-1500 600000 0 2 max_per_worker=1");
  ASSERT_TRUE(RunsWithin(fleet, kTask, seconds(3)));
  ASSERT_TRUE(RunsWithin(fleet, kSibling, seconds(10)));
  const std::string other = OtherWorker(fleet);
  fleet.SetCapacity(fleet.Checker().WorkerOf(kTask), kSmallCapacity);
  fleet.SetCapacity(other, kMediumCapacity);
  fleet.Advance(kShrinkDelay + seconds(2));
  fleet.FailRun(kTask);
  EXPECT_TRUE(RunsWithin(fleet, kTask, kMaxRestartTime));
  EXPECT_EQ(fleet.Checker().WorkerOf(kTask), other);
  EXPECT_EQ(absl::StrJoin(fleet.Checker().Violations(), "\n"), "");
}

}  // namespace
}  // namespace skylarkbridge::control
