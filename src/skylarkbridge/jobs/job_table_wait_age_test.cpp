// Tests of the beginning of a long-running task's wait, which a delegation, its
// return and a takeover keep.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart{seconds(100)};
constexpr wall_time kWall{seconds(1'700'000'000)};
constexpr task_ref kTask{.job = job_id{1}};
constexpr cell_id kFirstCell = 0;
constexpr cell_id kSecondCell = 1;

/// A table in a cell, and what it has stored of its only job.
class table_of_cell {
 public:
  /// @param clock_ahead how far the clock of this process is ahead of that of
  /// the others, which started at another time.
  explicit table_of_cell(cell_id cell, seconds clock_ahead = {})
      : table({}, cell, 1), clock_ahead_(clock_ahead) {
    stored.cell = kFirstCell;
    stored.spec.steps.push_back({.count = 1, .long_running = true});
  }
  /// The clock of this process when that of the others shows @p time.
  time_point Local(time_point time) const { return time + clock_ahead_; }
  void Pass(time_point time) {
    table.SetClocks({.now = Local(time), .wall = kWall + (time - kStart)});
  }
  void Add(const job_state& state, bool maybe_running, time_point time) {
    table.Add(kTask.job, state, maybe_running, Local(time),
              kWall + (time - kStart));
  }
  void Store() {
    for (const job_advanced& change : table.TakeChanges()) {
      stored.progress = change.progress;
    }
    table.ChangesStored(++writes_);
  }
  /// How long the only waiting task has waited, in milliseconds.
  milliseconds Waited(time_point time) const {
    const std::vector<waiting_restart> waiting = table.WaitingRestarts();
    return waiting.size() == 1
               ? std::chrono::ceil<milliseconds>(Local(time) - waiting[0].since)
               : milliseconds(-1);
  }

  job_table table;
  job_state stored;

 private:
  const seconds clock_ahead_;
  std::uint64_t writes_ = 0;
};

/// The first cell, in which the task has run until kStart.
table_of_cell CellWithEndedRun() {
  table_of_cell first(kFirstCell);
  first.Add(first.stored, false, kStart - seconds(5));
  first.table.RecordStart({kTask, 1}, "w");
  first.Pass(kStart);
  first.table.RecordEnd({kTask, 1}, run_end::kStopped, "", 3, kStart);
  first.Store();
  return first;
}

// Guards against a task that falls to the end of the queue each time it is
// offered to another cell: it may then wait for ever behind newer ones.
TEST(WaitAgeTest, ADelegationAndItsReturnKeepTheBeginningOfAWait) {
  table_of_cell first = CellWithEndedRun();
  first.Pass(kStart + seconds(2));
  first.table.Delegate(kTask, kSecondCell, 1, 1);
  first.Store();

  table_of_cell second(kSecondCell, seconds(1000));
  second.Add(first.stored, false, kStart + seconds(3));
  EXPECT_EQ(second.Waited(kStart + seconds(3)), seconds(3));
  second.Pass(kStart + seconds(4));
  const returned_task returned = second.table.Return(kTask, 1);

  first.Pass(kStart + seconds(5));
  ASSERT_TRUE(first.table.TakeBack(kSecondCell, returned, kStart + seconds(5)));
  EXPECT_EQ(first.Waited(kStart + seconds(5)), seconds(5));
  // The owner has known of it since its return only.
  EXPECT_EQ(first.table.WaitingRestarts()[0].known_since, kStart + seconds(5));
}

// Guards against a successor for which all waits begin anew.
TEST(WaitAgeTest, ATakeoverKeepsTheBeginningOfAWait) {
  const table_of_cell first = CellWithEndedRun();
  table_of_cell successor(kFirstCell, seconds(77));
  successor.Add(first.stored, true, kStart + seconds(3));
  successor.table.AllowUnreportedTasks(2);
  EXPECT_EQ(successor.Waited(kStart + seconds(4)), seconds(4));
}

// Guards against a wait that seems to be as old as the last one: the task has
// run since.
TEST(WaitAgeTest, ARunEndsTheWait) {
  const table_of_cell first = CellWithEndedRun();
  table_of_cell successor(kFirstCell);
  successor.Add(first.stored, true, kStart + seconds(3));
  successor.table.RecordStart({kTask, 2}, "w");
  successor.Pass(kStart + seconds(4));
  successor.table.RecordLoss({kTask, 2}, kStart + seconds(4));
  EXPECT_EQ(successor.Waited(kStart + seconds(5)), seconds(1));
  successor.table.RecordStart({kTask, 3}, "w");
  successor.Store();
  EXPECT_TRUE(successor.stored.progress.steps[0].waiting_since.empty());
}

// As above, where the run is not known to the successor before its end is
// reported: the stored wait is that before the run.
TEST(WaitAgeTest, AReportedEndOfALaterRunEndsTheStoredWait) {
  const table_of_cell first = CellWithEndedRun();
  table_of_cell successor(kFirstCell);
  successor.table.SetEndsStoredFrom(1);
  successor.Add(first.stored, true, kStart + seconds(60));
  successor.Pass(kStart + seconds(61));
  successor.table.RecordEnd({kTask, 2}, run_end::kStopped, "", 3,
                            kStart + seconds(61));
  EXPECT_EQ(successor.Waited(kStart + seconds(62)), seconds(2));
}

// Guards against a task that has never run and comes back from another cell
// before restarts, as if it had run.
TEST(WaitAgeTest, AReturnedTaskThatHasNeverRunIsNoRestart) {
  table_of_cell first(kFirstCell);
  first.Add(first.stored, false, kStart);
  first.table.WaitAsRestart(kTask, kStart);
  first.table.Delegate(kTask, kSecondCell, 1, 1);
  first.Store();
  table_of_cell second(kSecondCell);
  second.Add(first.stored, false, kStart + seconds(1));
  const returned_task returned = second.table.Return(kTask, 1);
  ASSERT_TRUE(first.table.TakeBack(kSecondCell, returned, kStart + seconds(2)));
  ASSERT_EQ(first.table.WaitingRestarts().size(), 1U);
  EXPECT_FALSE(first.table.WaitingRestarts()[0].has_run);
}

// Guards against a wait that begins in the future, or long ago, since the time
// of day of another VM is wrong.
TEST(WaitAgeTest, AWrongClockOfAnotherVmIsBounded) {
  const table_of_cell first = CellWithEndedRun();
  job_state odd = first.stored;
  odd.progress.steps[0].waiting_since[0] = kWall + std::chrono::hours(1);
  table_of_cell ahead(kFirstCell);
  ahead.Add(odd, true, kStart + seconds(3));
  ahead.table.AllowUnreportedTasks(2);
  EXPECT_EQ(ahead.Waited(kStart + seconds(3)), seconds(0));

  odd.progress.steps[0].waiting_since[0] = kWall - std::chrono::hours(24);
  table_of_cell behind(kFirstCell);
  behind.Add(odd, true, kStart + seconds(3));
  behind.table.AllowUnreportedTasks(2);
  EXPECT_EQ(behind.Waited(kStart + seconds(3)), std::chrono::minutes(10));
}

}  // namespace
}  // namespace skylarkbridge::jobs
