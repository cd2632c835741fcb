// Directed tests of a task that two cells offer each other while it waits: the
// place that its wait gives it in the queue of each cell.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0x20};
constexpr jobs::task_ref kTask{.job = kJob};
constexpr milliseconds kStep{2};
constexpr std::int64_t kFullCapacity = 4000;
/// Too small for the task.
constexpr std::int64_t kSmallCapacity = 1000;
/// Longest time from room in another cell to the delegation.
constexpr seconds kMaxDelegation{6};
/// An owner learns of the end of a run, and converts times, within this time.
constexpr milliseconds kTolerance{100};

/// Two cells of one worker each. A cell has room for the task only while its
/// worker has its full capacity.
class task_between_cells {
 public:
  task_between_cells() {
    fleet.Advance(kCalmTime + seconds(1));
    for (jobs::cell_id cell = 0; cell < kCells; ++cell) {
      workers_.push_back(WorkerIn(cell));
    }
    fleet.Submit(0, kJob, "-4000 600000 0 1");
    fleet.Advance(seconds(3));
    first = fleet.Checker().WorkerOf(kTask) == workers_[0] ? 0 : 1;
    second = 1 - first;
    SetRoom(first, false);
    SetRoom(second, false);
    fleet.Advance(kShrinkDelay + seconds(2));
  }

  /// Ends the run of the task. Returns the time.
  time_point FailRun() {
    fleet.FailRun(kTask);
    return fleet.Now();
  }
  void SetRoom(jobs::cell_id cell, bool room) {
    fleet.SetCapacity(workers_[cell], room ? kFullCapacity : kSmallCapacity);
  }
  /// Gives room to a cell until the other one has offered it the task. The
  /// room is gone when its owner learns of that. Returns whether the task waits
  /// there.
  bool OfferTo(jobs::cell_id cell) {
    SetRoom(cell, true);
    if (!AdvanceUntil([&] { return !WaitsSince(1 - cell); })) {
      return false;
    }
    SetRoom(cell, false);
    return AdvanceUntil([&] { return WaitsSince(cell).has_value(); });
  }
  /// The beginning of the task's wait by the owner of the cell; nullopt when it
  /// does not wait there.
  std::optional<time_point> WaitsSince(jobs::cell_id cell) const {
    const std::optional<std::size_t> owner = fleet.Owner(cell);
    if (!owner) {
      return std::nullopt;
    }
    for (const jobs::waiting_restart& restart :
         fleet.Cell(*owner, cell).Scheduler().Jobs().WaitingRestarts()) {
      if (restart.task == kTask) {
        return restart.since;
      }
    }
    return std::nullopt;
  }

  static constexpr jobs::cell_id kCells = 2;
  virtual_fleet fleet{{.workers = kCells, .cells = kCells}};
  jobs::cell_id first = 0;
  jobs::cell_id second = 0;

 private:
  std::string WorkerIn(jobs::cell_id cell) const {
    const auto& sessions =
        fleet.Cell(*fleet.Owner(cell), cell).Scheduler().Workers();
    return sessions.empty() ? std::string() : sessions.begin()->first;
  }
  template <class Condition>
  bool AdvanceUntil(const Condition& condition) {
    for (milliseconds waited{}; waited <= kMaxDelegation; waited += kStep) {
      if (condition()) {
        return true;
      }
      fleet.Advance(kStep);
    }
    return false;
  }

  std::vector<std::string> workers_;
};

/// Whether the task waits in the cell since about @p since.
testing::AssertionResult WaitsSince(const task_between_cells& task,
                                    jobs::cell_id cell,
                                    time_point since) {
  const std::optional<time_point> stated = task.WaitsSince(cell);
  if (!stated) {
    return testing::AssertionFailure() << "does not wait there";
  }
  const auto late =
      std::chrono::duration_cast<milliseconds>(*stated - since).count();
  if (late < 0 || late > kTolerance.count()) {
    return testing::AssertionFailure()
           << "its wait begins " << late << " ms after the end of its run";
  }
  return testing::AssertionSuccess();
}

// Guards against a task that falls behind newer restarts each time that it is
// offered to another cell, although it has waited longest.
TEST(DelegationWaitTest, AWaitKeepsItsBeginningOverADelegationAndItsReturn) {
  task_between_cells task;
  ASSERT_TRUE(task.fleet.Checker().Running(kTask));
  const time_point ended = task.FailRun();
  task.fleet.Advance(seconds(2));
  ASSERT_TRUE(WaitsSince(task, task.first, ended));
  ASSERT_TRUE(task.OfferTo(task.second));
  EXPECT_TRUE(WaitsSince(task, task.second, ended));
  task.fleet.Advance(seconds(2));
  ASSERT_TRUE(task.OfferTo(task.first));
  EXPECT_TRUE(WaitsSince(task, task.first, ended));
  EXPECT_FALSE(task.fleet.Checker().Running(kTask));
}

}  // namespace
}  // namespace skylarkbridge::control
