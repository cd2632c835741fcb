// Directed tests of waits that the explorer of waits has found
// (wait_explorer_test.cpp), each with one cause.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"
#include "skylarkbridge/control/wait_observer_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kSmallJob{0x10};
constexpr jobs::job_id kLargeJob{0x20};
constexpr jobs::task_ref kLargeTask{.job = kLargeJob};
constexpr std::int64_t kSmallNeed = 500;
constexpr std::int64_t kLargeNeed = 2000;
/// Long enough for a wait to be judged.
constexpr milliseconds kJudgedWait = kCalmTime + kMaxRestartTime + seconds(4);

/// A cell of four workers. w0 has room for one large task and for no small one.
/// The other three share the small tasks evenly.
class small_cell {
 public:
  explicit small_cell(std::uint32_t small_tasks) {
    fleet.SetCapacity("w0", kSmallNeed / 2);
    observer.Advance(kCalmTime + seconds(1));
    Submit(kSmallJob, kSmallNeed, small_tasks);
    fleet.SetCapacity("w0", kLargeNeed);
    observer.Advance(seconds(2));
  }

  void Submit(jobs::job_id job, std::int64_t need, std::uint32_t count) {
    observer.JobSubmitted(job, {.millicores = need}, count);
    fleet.Submit(0, job, absl::StrCat("-", need, " 600000 0 ", count));
    observer.Advance(seconds(1));
  }
  std::string Violations() {
    observer.Finish();
    return absl::StrJoin(observer.Waits().Violations(), "\n",
                         [](std::string* text, const wait_violation& wait) {
                           absl::StrAppend(text, wait.text);
                         });
  }

  virtual_fleet fleet{virtual_fleet::options{}};
  wait_observer observer{fleet, 1};
};

// Guards against a restart that waits without end where two runs have to move
// off one worker: each of the three workers has 1000 millicores free.
TEST(LongWaitTest, ARestartGetsTheRoomOfTwoSmallerRuns) {
  small_cell cell(18);
  cell.Submit(kLargeJob, kLargeNeed, 1);
  ASSERT_EQ(cell.fleet.Checker().WorkerOf(kLargeTask), "w0");
  cell.fleet.DrainWorker("w0", seconds(2));
  cell.observer.Advance(kJudgedWait);
  EXPECT_TRUE(cell.fleet.Checker().Running(kLargeTask));
  EXPECT_EQ(cell.Violations(), "");
}

// Guards against a task that has never run, of a job that has begun, and waits
// without end where the move of one run makes its room: each of the three
// workers has 1500 millicores free.
TEST(LongWaitTest, AFirstStartGetsTheRoomOfASmallerRun) {
  small_cell cell(15);
  cell.Submit(kLargeJob, kLargeNeed, 2);
  cell.observer.Advance(kJudgedWait);
  EXPECT_TRUE(cell.fleet.Checker().Running(kLargeTask));
  EXPECT_TRUE(cell.fleet.Checker().Running({.job = kLargeJob, .index = 1}));
  EXPECT_EQ(cell.Violations(), "");
}

// Guards against a wait for a takeover and for a worker that leaves starts
// unanswered which together are too long, whenever the owner dies.
TEST(LongWaitTest, ATakeoverLeavesLessTimeForAnUnansweredStart) {
  for (milliseconds killed_after{}; killed_after <= seconds(3);
       killed_after += milliseconds(250)) {
    SCOPED_TRACE(testing::Message()
                 << "killed after " << killed_after.count() << " ms");
    small_cell cell(12);
    const jobs::task_ref task{.job = kSmallJob};
    const std::string worker = cell.fleet.Checker().WorkerOf(task);
    cell.fleet.SetLateOrders({.share = 1, .starts_only = true}, {worker});
    cell.observer.StartsUnanswered(worker, cell.fleet.Now() + kJudgedWait);
    cell.observer.RunFailed(task);
    cell.fleet.FailRun(task);
    cell.observer.Advance(killed_after);
    ASSERT_TRUE(cell.fleet.Owner());
    cell.fleet.KillVm(*cell.fleet.Owner());
    cell.observer.Fault(cell.fleet.Now());
    cell.observer.Advance(kJudgedWait);
    EXPECT_TRUE(cell.fleet.Checker().Running(task));
    EXPECT_EQ(cell.Violations(), "");
  }
}

}  // namespace
}  // namespace skylarkbridge::control
