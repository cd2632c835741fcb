// Tests of delegated tasks that are given back and taken back.

#include <gtest/gtest.h>

#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
constexpr wall_time kWall{seconds(1'700'000'000)};
constexpr task_ref kTask{.job = job_id{1}, .index = 0};
constexpr cell_id kFirstCell = 0;
constexpr cell_id kSecondCell = 1;
/// Number of the first run in the second cell.
constexpr run_number kDelegatedRun = 20'006;

/// A job of one task that the first cell has delegated to the second one.
job_state DelegatedJob() {
  job_state state;
  state.spec.steps.push_back({.count = 1, .long_running = true});
  state.progress = {
      .started = true,
      .steps = {{.started = {true},
                 .delegations = {
                     {0, {.cell = kSecondCell, .first_run = kDelegatedRun}}}}}};
  return state;
}

/// The table of an owner that no worker has to report to.
job_table TableOf(cell_id cell, const job_state& state) {
  job_table table({}, cell);
  table.Add(kTask.job, state, false, kNow, kWall);
  return table;
}

job_progress TakeProgress(job_table& table) {
  const std::vector<job_advanced> changes = table.TakeChanges();
  return changes.empty() ? job_progress() : changes[0].progress;
}

// Guards against a task that both cells start, and against run numbers that
// both use.
TEST(JobTableReturnsTest, AReturnedTaskIsNotStartedHereAgain) {
  job_table second = TableOf(kSecondCell, DelegatedJob());
  second.RecordStart({kTask, kDelegatedRun}, "w");
  EXPECT_FALSE(second.CanReturn(kTask));
  second.RecordLoss({kTask, kDelegatedRun}, kNow);
  ASSERT_TRUE(second.CanReturn(kTask));
  const returned_task returned = second.Return(kTask, 2);
  EXPECT_EQ(returned.first_run, kDelegatedRun);
  EXPECT_EQ(returned.next_run, kDelegatedRun + 10'000);
  EXPECT_TRUE(second.WaitingRestarts().empty());
  EXPECT_TRUE(second.ReadyTasks(StepOf(kTask), kNow).empty());
  EXPECT_FALSE(second.CanAdopt({kTask, kDelegatedRun}));
  // The delegation is read again from the first cell's log.
  second.AddDelegatedTasks(kTask.job, DelegatedJob(), false, kNow);
  EXPECT_TRUE(second.WaitingRestarts().empty());
}

// Guards against a successor that starts the task, and against one that keeps a
// later delegation from starting.
TEST(JobTableReturnsTest, ASuccessorKeepsToTheReturn) {
  const returned_task returned{
      .task = kTask, .first_run = kDelegatedRun, .next_run = 30'006};
  job_table successor({}, kSecondCell);
  successor.Add(kTask.job, DelegatedJob(), true, kNow, kWall);
  successor.ApplyReturn(returned);
  successor.AllowUnreportedTasks(3);
  EXPECT_TRUE(successor.WaitingRestarts().empty());

  job_state again = DelegatedJob();
  again.progress.steps[0].delegations[0].first_run = 40'001;
  successor.AddDelegatedTasks(kTask.job, again, false, kNow);
  successor.ApplyReturn(returned);
  ASSERT_EQ(successor.WaitingRestarts().size(), 1U);
  EXPECT_FALSE(successor.CanAdopt({kTask, kDelegatedRun}));
  EXPECT_EQ(successor.NextRun(kTask, 1), 40'001U);
}

// Guards against a task that starts in the first cell before that is stored, or
// under a number that the second cell has used.
TEST(JobTableReturnsTest, ATaskTakenBackStartsOnceThatIsStored) {
  job_table first = TableOf(kFirstCell, DelegatedJob());
  const returned_task returned{
      .task = kTask, .first_run = kDelegatedRun, .next_run = 30'006};
  ASSERT_TRUE(first.TakeBack(kSecondCell, returned, kNow));
  EXPECT_TRUE(first.HasChanges());
  EXPECT_TRUE(first.ReadyTasks(StepOf(kTask), kNow).empty());
  job_state stored = DelegatedJob();
  stored.progress = TakeProgress(first);
  first.ChangesStored(1);
  EXPECT_EQ(first.ReadyTasks(StepOf(kTask), kNow).size(), 1U);
  EXPECT_EQ(first.NextRun(kTask, 1), 30'006U);
  EXPECT_FALSE(first.TakeBack(kSecondCell, returned, kNow));

  job_table successor({}, kFirstCell);
  successor.Add(kTask.job, stored, true, kNow, kWall);
  EXPECT_TRUE(successor.WaitingRestarts().empty());
  EXPECT_TRUE(successor.CanAdopt({kTask, 30'006}));
  successor.AllowUnreportedTasks(2);
  EXPECT_EQ(successor.WaitingRestarts().size(), 1U);
  EXPECT_EQ(successor.NextRun(kTask, 2), 40'006U);
}

// Guards against a return of an earlier delegation, or by another cell, that
// takes the task from the cell that runs it.
TEST(JobTableReturnsTest, OnlyTheReturnOfThePresentDelegationCounts) {
  job_table first = TableOf(kFirstCell, DelegatedJob());
  EXPECT_FALSE(first.TakeBack(
      kSecondCell, {.task = kTask, .first_run = 7, .next_run = 30'006}, kNow));
  EXPECT_FALSE(first.TakeBack(
      2, {.task = kTask, .first_run = kDelegatedRun, .next_run = 30'006},
      kNow));
  EXPECT_FALSE(first.TakeBack(kSecondCell,
                              {.task = {.job = job_id{9}, .index = 3},
                               .first_run = kDelegatedRun,
                               .next_run = 30'006},
                              kNow));
  EXPECT_FALSE(first.HasChanges());
  EXPECT_TRUE(first.WaitingRestarts().empty());
}

/// Records a run in the second cell whose worker crashed.
void CrashRun(job_table& second, run_number number) {
  const run_ref run{kTask, number};
  second.RecordStart(run, "w");
  second.RecordCrash(run, crash_evidence::kBlamed, crash_proof::kProved);
  second.RecordLoss(run, kNow);
}

// Guards against crashes in the second cell that the first one doesn't count,
// and against a task that they keep in the second cell.
TEST(JobTableReturnsTest, AReturnCarriesTheCrashes) {
  job_state stored = DelegatedJob();
  stored.progress.steps[0].crashes = {{0, {{1, crash_evidence::kSuspected}}}};
  job_table second = TableOf(kSecondCell, stored);
  CrashRun(second, kDelegatedRun);
  ASSERT_TRUE(second.CanReturn(kTask));
  const returned_task returned = second.Return(kTask, 2);
  const crashed_runs crashes = {{1, crash_evidence::kSuspected},
                                {kDelegatedRun, crash_evidence::kBlamed}};
  EXPECT_EQ(returned.crashes, crashes);

  job_table first = TableOf(kFirstCell, stored);
  ASSERT_TRUE(first.TakeBack(kSecondCell, returned, kNow));
  EXPECT_TRUE(first.GiveUpIfCrashing(kTask).empty());
  EXPECT_EQ(first.Find(kTask)->suspected_crashes, 2U);
  EXPECT_EQ(TakeProgress(first).steps[0].crashes.at(0), crashes);
}

// Guards against crashes that the first cell holds against a task which has run
// on without one in the second cell.
TEST(JobTableReturnsTest, AReturnWithoutCrashesClearsThem) {
  job_state stored = DelegatedJob();
  stored.progress.steps[0].crashes = {{0, {{1, crash_evidence::kBlamed}}}};
  job_table first = TableOf(kFirstCell, stored);
  ASSERT_TRUE(first.TakeBack(
      kSecondCell,
      {.task = kTask, .first_run = kDelegatedRun, .next_run = 30'006}, kNow));
  EXPECT_EQ(first.Find(kTask)->suspected_crashes, 0U);
  EXPECT_TRUE(TakeProgress(first).steps[0].crashes.empty());
}

// Guards against a task that stays stopped in the second cell, which can't fail
// the job, after it has crashed too many workers there.
TEST(JobTableReturnsTest, ATaskThatCrashesWorkersInTheSecondCellIsGivenUp) {
  job_table second = TableOf(kSecondCell, DelegatedJob());
  CrashRun(second, kDelegatedRun);
  CrashRun(second, kDelegatedRun + 1);
  EXPECT_TRUE(second.TasksToGiveUp().empty());
  CrashRun(second, kDelegatedRun + 2);
  ASSERT_EQ(second.TasksToGiveUp(), std::vector<task_ref>{kTask});
  const returned_task returned = second.Return(kTask, 2);
  EXPECT_TRUE(second.TasksToGiveUp().empty());

  job_table first = TableOf(kFirstCell, DelegatedJob());
  ASSERT_TRUE(first.TakeBack(kSecondCell, returned, kNow));
  first.GiveUpIfCrashing(kTask);
  EXPECT_EQ(first.Find(kTask.job), nullptr);
  EXPECT_EQ(TakeProgress(first).status, job_status::kFailed);
}

// Guards against a successor that takes the end of an early run for that of the
// last one: the numbers of a task that was taken back begin higher.
TEST(JobTableReturnsTest, AnEndOfAnEarlierEpochReleasesNoTask) {
  job_state stored = DelegatedJob();
  stored.progress.steps[0].delegations[0] = {.cell = kFirstCell,
                                             .first_run = 30'006};
  job_table successor({}, kFirstCell);
  successor.SetEndsStoredFrom(3);
  successor.Add(kTask.job, stored, true, kNow, kWall);
  successor.RecordEnd({kTask, 40'006}, run_end::kFailed, "", 3, kNow);
  EXPECT_TRUE(successor.WaitingRestarts().empty());
  successor.RecordEnd({kTask, 50'006}, run_end::kFailed, "", 3, kNow);
  EXPECT_EQ(successor.WaitingRestarts().size(), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
