#include "skylarkbridge/jobs/job_table.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
constexpr time_point kTakeover{seconds(200)};
constexpr wall_time kWall{seconds(1'700'000'000)};
constexpr job_id kJob{1};
constexpr std::uint32_t kMaxAttempts = 3;
constexpr epoch kSuccessorEpoch = 2;

run_ref FirstRun(std::uint32_t index) {
  return {.task = {.job = kJob, .index = index}, .run = 1};
}

/// A job of one step of three tasks.
job_state Job(bool long_running, job_progress progress = {}) {
  job_state state;
  state.spec.steps.push_back({.count = 3, .long_running = long_running});
  state.progress = std::move(progress);
  return state;
}

/// The table of the first owner of the job.
job_table FirstOwner(bool long_running = true) {
  job_table table{{}};
  table.Add(kJob, Job(long_running), false, kNow, kWall);
  return table;
}

/// The table of a successor, which has heard from no worker.
job_table Successor(const job_progress& progress) {
  job_table table{{}};
  table.Add(kJob, Job(true, progress), true, kTakeover, kWall);
  return table;
}

/// The progress that is written now; nullopt without a change.
std::optional<job_progress> TakeProgress(job_table& table) {
  const std::vector<job_advanced> changes = table.TakeChanges();
  return changes.empty() ? std::nullopt
                         : std::optional<job_progress>(changes[0].progress);
}

std::vector<bool> Started(const std::optional<job_progress>& progress) {
  return progress && !progress->steps.empty() ? progress->steps[0].started
                                              : std::vector<bool>();
}

// Guards against a write for each start: in a burst of starts they exceed the
// store's write rate.
TEST(JobTableTest, LaterStartsWaitForTheNextWrite) {
  job_table table = FirstOwner();
  table.RecordStart(FirstRun(0), "w");
  table.RecordConfirmedStart(kJob);
  EXPECT_TRUE(table.HasChanges());
  EXPECT_EQ(Started(TakeProgress(table)),
            std::vector<bool>({true, false, false}));
  table.RecordStart(FirstRun(2), "w");
  EXPECT_FALSE(table.HasChanges());
  EXPECT_EQ(Started(TakeProgress(table)),
            std::vector<bool>({true, false, true}));
  EXPECT_EQ(TakeProgress(table), std::nullopt);
}

// Guards against more than one write for each run of a long-running task: its
// end is written, once, and its next start changes nothing.
TEST(JobTableTest, ARestartWritesOnlyTheEndBeforeIt) {
  job_table table = FirstOwner();
  table.RecordStart(FirstRun(0), "w");
  table.TakeChanges();
  table.RecordEnd(FirstRun(0), run_end::kFailed, "", kMaxAttempts, kNow);
  const auto progress = TakeProgress(table);
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->steps[0].last_ended_runs,
            (std::map<std::uint32_t, run_number>{{0, 1}}));
  table.RecordEnd(FirstRun(0), run_end::kFailed, "", kMaxAttempts, kNow);
  EXPECT_EQ(TakeProgress(table), std::nullopt);
  table.RecordStart({FirstRun(0).task, 2}, "w");
  EXPECT_EQ(TakeProgress(table), std::nullopt);
}

// Guards against a job that no VM shows as pending although no worker has begun
// it: a start without an answer, which a report ruled out, counted for good.
TEST(JobTableTest, AJobIsPendingUntilAStartIsConfirmed) {
  job_table table = FirstOwner(false);
  table.RecordStart(FirstRun(0), "w");
  EXPECT_EQ(TakeProgress(table), std::nullopt);
  table.RecordRejectedStart(FirstRun(0), kNow);
  EXPECT_EQ(TakeProgress(table), std::nullopt);
  table.RecordStart({FirstRun(0).task, 2}, "w");
  table.RecordConfirmedStart(kJob);
  EXPECT_TRUE(table.HasChanges());
  const auto progress = TakeProgress(table);
  ASSERT_TRUE(progress);
  EXPECT_TRUE(progress->started);
  table.RecordConfirmedStart(kJob);
  EXPECT_FALSE(table.HasChanges());
}

// As above, for an end that is reported before the answer to the start.
TEST(JobTableTest, AReportedEndConfirmsTheStart) {
  job_table table = FirstOwner(false);
  table.RecordStart(FirstRun(0), "w");
  table.RecordEnd(FirstRun(0), run_end::kDone, "", kMaxAttempts, kNow);
  const auto progress = TakeProgress(table);
  ASSERT_TRUE(progress);
  EXPECT_TRUE(progress->started);
}

// Guards against larger records of batch jobs, which have many more tasks.
TEST(JobTableTest, StartsOfBatchTasksAreNotWritten) {
  job_table table = FirstOwner(false);
  table.RecordStart(FirstRun(0), "w");
  table.RecordConfirmedStart(kJob);
  const auto progress = TakeProgress(table);
  ASSERT_TRUE(progress);
  EXPECT_TRUE(Started(progress).empty());
  table.RecordStart(FirstRun(1), "w");
  EXPECT_EQ(TakeProgress(table), std::nullopt);
}

// Guards against a task that counts as started although its worker refused to
// start it.
TEST(JobTableTest, ARefusedStartIsTakenBack) {
  job_table table = FirstOwner();
  table.RecordStart(FirstRun(0), "w");
  table.RecordStart(FirstRun(1), "w");
  table.RecordRejectedStart(FirstRun(1), kNow);
  EXPECT_EQ(Started(TakeProgress(table)),
            std::vector<bool>({true, false, false}));
}

// As above, for a task that has run before and has to keep its record.
TEST(JobTableTest, ARefusedRestartIsNotTakenBack) {
  job_table table =
      Successor({.started = true, .steps = {{.started = {true}}}});
  table.AllowUnreportedTasks(kSuccessorEpoch);
  table.TakeChanges();
  table.RecordStart(FirstRun(0), "w");
  table.RecordRejectedStart(FirstRun(0), kTakeover);
  EXPECT_EQ(TakeProgress(table), std::nullopt);
  ASSERT_EQ(table.WaitingRestarts().size(), 1U);
}

// Guards against a successor that takes the tasks of its predecessor for tasks
// that have never run, and gives their room away.
TEST(JobTableTest, ATaskThatAnEarlierOwnerStartedWaitsSinceTheTakeover) {
  job_table table = Successor(
      {.started = true, .steps = {{.started = {false, true, false}}}});
  EXPECT_TRUE(table.WaitingRestarts().empty());
  table.AllowUnreportedTasks(kSuccessorEpoch);
  const std::vector<waiting_restart> waiting = table.WaitingRestarts();
  ASSERT_EQ(waiting.size(), 1U);
  EXPECT_EQ(waiting[0].task, FirstRun(1).task);
  EXPECT_EQ(waiting[0].since, kTakeover);
}

// Guards against the same for a run that a worker reports as ended while
// nothing has been written about it.
TEST(JobTableTest, ATaskWhoseEndASuccessorHearsOfWaitsForItsRestart) {
  const time_point reported_at = kTakeover + milliseconds(20);
  job_table table = Successor({.started = true});
  table.RecordEnd(FirstRun(1), run_end::kFailed, "", kMaxAttempts, reported_at);
  table.AllowUnreportedTasks(kSuccessorEpoch);
  const std::vector<waiting_restart> waiting = table.WaitingRestarts();
  ASSERT_EQ(waiting.size(), 1U);
  EXPECT_EQ(waiting[0].task, FirstRun(1).task);
  EXPECT_EQ(waiting[0].since, reported_at);
  EXPECT_EQ(Started(TakeProgress(table)),
            std::vector<bool>({false, true, false}));
}

// Guards against a report of a run that a successor has adopted as a task that
// waits.
TEST(JobTableTest, AnAdoptedRunDoesNotWaitForARestart) {
  job_table table =
      Successor({.started = true, .steps = {{.started = {true}}}});
  ASSERT_TRUE(table.CanAdopt(FirstRun(0)));
  table.RecordStart(FirstRun(0), "w");
  table.AllowUnreportedTasks(kSuccessorEpoch);
  EXPECT_TRUE(table.WaitingRestarts().empty());
  const time_point lost_at = kTakeover + seconds(1);
  table.RecordLoss(FirstRun(0), lost_at);
  ASSERT_EQ(table.WaitingRestarts().size(), 1U);
  EXPECT_EQ(table.WaitingRestarts()[0].since, lost_at);
}

// Guards against a task that waits for all workers of an earlier owner although
// the end of its last run is known, and against its start before that is
// stored.
TEST(JobTableTest, AReportedEndReleasesATaskOnceItIsStored) {
  job_table table = Successor({.started = true});
  table.SetEndsStoredFrom(1);
  table.RecordEnd(FirstRun(1), run_end::kFailed, "", kMaxAttempts, kTakeover);
  ASSERT_EQ(table.WaitingRestarts().size(), 1U);
  EXPECT_EQ(table.WaitingRestarts()[0].task, FirstRun(1).task);
  EXPECT_FALSE(table.WaitingRestarts()[0].end_stored);
  const step_ref step{.job = kJob};
  EXPECT_TRUE(table.ReadyTasks(step, kTakeover + seconds(1)).empty());
  const auto progress = TakeProgress(table);
  ASSERT_TRUE(progress);
  EXPECT_EQ(progress->steps[0].last_ended_runs,
            (std::map<std::uint32_t, run_number>{{1, 1}}));
  table.ChangesStored(1);
  EXPECT_TRUE(table.WaitingRestarts()[0].end_stored);
  EXPECT_EQ(table.ReadyTasks(step, kTakeover + seconds(1)),
            std::vector<std::uint32_t>{1});
}

// Guards against a second run of a task: its end may be reported again by a
// worker, while a later run is on one that has not reported.
TEST(JobTableTest, AnEndThatIsNotTheLastReleasesNoTask) {
  job_table stored =
      Successor({.started = true, .steps = {{.last_ended_runs = {{1, 1}}}}});
  stored.SetEndsStoredFrom(1);
  stored.RecordEnd(FirstRun(1), run_end::kFailed, "", kMaxAttempts, kTakeover);
  EXPECT_TRUE(stored.WaitingRestarts().empty());
  for (const epoch stored_from : {epoch{0}, epoch{2}}) {
    job_table unknown = Successor({.started = true});
    unknown.SetEndsStoredFrom(stored_from);
    unknown.RecordEnd(FirstRun(1), run_end::kFailed, "", kMaxAttempts,
                      kTakeover);
    EXPECT_TRUE(unknown.WaitingRestarts().empty());
  }
}

// Guards against a second run of a task after a second takeover: this owner
// starts the task again after the wait, without having known the run.
TEST(JobTableTest, TheEndOfTheWaitCountsAsTheEndOfAllEarlierRuns) {
  job_table table = Successor({.started = true});
  table.AllowUnreportedTasks(kSuccessorEpoch);
  EXPECT_TRUE(table.ReadyTasks({.job = kJob}, kTakeover).empty());
  const auto progress = TakeProgress(table);
  ASSERT_TRUE(progress);
  ASSERT_EQ(progress->steps[0].last_ended_runs.size(), 3U);
  EXPECT_GT(progress->steps[0].last_ended_runs.at(1), FirstRun(1).run);
  table.ChangesStored(1);
  EXPECT_EQ(table.ReadyTasks({.job = kJob}, kTakeover).size(), 3U);
}

// Guards against an attempt too many of a batch task: its run 1 failed on a
// worker that has not reported to the new owner, which adopts run 4 and sees
// runs 2 to 4 fail. It has to know of the earlier ends before the next start.
TEST(JobTableTest, ABatchTaskThatFailsInATakeoverWaitsForAllReports) {
  constexpr std::uint32_t kFourAttempts = 4;
  const step_ref step{.job = kJob};
  const task_ref task = FirstRun(0).task;
  job_table table{{}};
  table.Add(kJob, Job(false), true, kTakeover, kWall);
  table.RecordStart({task, 4}, "w");
  for (const run_number run : {2U, 3U, 4U}) {
    table.RecordEnd({task, run}, run_end::kFailed, "", kFourAttempts,
                    kTakeover);
  }
  EXPECT_TRUE(table.ReadyTasks(step, kTakeover + seconds(9)).empty());
  table.RecordEnd(FirstRun(0), run_end::kFailed, "", kFourAttempts, kTakeover);
  EXPECT_EQ(table.Find(kJob), nullptr);
}

// As above, for an adopted run that is lost, and the end of the wait.
TEST(JobTableTest, ABatchTaskThatIsLostInATakeoverWaitsForAllReports) {
  const step_ref step{.job = kJob};
  const task_ref task = FirstRun(0).task;
  job_table table{{}};
  table.Add(kJob, Job(false), true, kTakeover, kWall);
  table.RecordStart({task, 2}, "w");
  table.RecordLossInRestart({task, 2}, kTakeover);
  EXPECT_TRUE(table.ReadyTasks(step, kTakeover).empty());
  table.AllowUnreportedTasks(kSuccessorEpoch);
  EXPECT_EQ(table.ReadyTasks(step, kTakeover).size(), 3U);
  // No worker is left whose ends are not known.
  table.RecordStart({task, 10'001}, "w");
  table.RecordLossInRestart({task, 10'001}, kTakeover);
  EXPECT_EQ(table.ReadyTasks(step, kTakeover).size(), 3U);
}

// Guards against needless waits: no run comes before the first one, and
// long-running tasks have no limit of attempts.
TEST(JobTableTest, ATaskWithoutEarlierAttemptsDoesNotWaitInATakeover) {
  const step_ref step{.job = kJob};
  for (const auto& [long_running, run] :
       {std::pair(false, run_number{1}), std::pair(true, run_number{4})}) {
    const run_ref adopted{FirstRun(0).task, run};
    job_table table{{}};
    table.Add(kJob, Job(long_running), true, kTakeover, kWall);
    table.RecordStart(adopted, "w");
    table.RecordLossInRestart(adopted, kTakeover);
    EXPECT_EQ(table.ReadyTasks(step, kTakeover), std::vector<std::uint32_t>{0});
  }
}

/// Records a run of the first task of a job whose worker then crashes.
/// @return whether the task has been given up.
bool CrashRun(job_table& table, run_number run, crash_evidence evidence) {
  const run_ref crashed{.task = FirstRun(0).task, .run = run};
  table.RecordStart(crashed, "w");
  table.RecordCrash(crashed, evidence, crash_proof::kProved);
  table.RecordLoss(crashed, kNow);
  return table.Find(kJob) == nullptr;
}

// Guards against a task that crashes worker after worker, and against giving up
// one that was only near such a task.
TEST(JobTableTest, ATaskIsGivenUpForBlamedCrashes) {
  job_table table = FirstOwner(false);
  EXPECT_FALSE(CrashRun(table, 1, crash_evidence::kSuspected));
  EXPECT_FALSE(CrashRun(table, 2, crash_evidence::kBlamed));
  EXPECT_TRUE(CrashRun(table, 3, crash_evidence::kBlamed));
  job_table innocent = FirstOwner(false);
  for (run_number run = 1; run <= 6; ++run) {
    EXPECT_FALSE(CrashRun(innocent, run, crash_evidence::kSuspected));
  }
}

// Guards against a job that is given up for workers that were only cut off.
TEST(JobTableTest, APresumedCrashGivesNothingUpBeforeItIsProved) {
  job_table table = FirstOwner(false);
  const auto run_of = [](run_number run) {
    return run_ref{.task = FirstRun(0).task, .run = run};
  };
  for (run_number run = 1; run <= 5; ++run) {
    table.RecordStart(run_of(run), "w");
    table.RecordCrash(run_of(run), crash_evidence::kBlamed,
                      crash_proof::kPresumed);
    table.RecordLoss(run_of(run), kNow);
  }
  ASSERT_NE(table.Find(kJob), nullptr);
  EXPECT_TRUE(table.IsInDoubt(FirstRun(0).task));
  table.WithdrawCrash(run_of(4));
  table.WithdrawCrash(run_of(5));
  EXPECT_EQ(table.Find(FirstRun(0).task)->suspected_crashes, 3U);
  table.ProveCrash(run_of(1));
  table.ProveCrash(run_of(2));
  ASSERT_NE(table.Find(kJob), nullptr);
  table.ProveCrash(run_of(3));
  EXPECT_EQ(table.Find(kJob), nullptr);
}

// Guards against a crash that counts although its worker reports how the run
// ended: it was cut off, and an earlier owner took it for crashed.
TEST(JobTableTest, AReportedEndWithdrawsTheCrashOfItsRun) {
  job_table table = FirstOwner(false);
  EXPECT_FALSE(CrashRun(table, 1, crash_evidence::kBlamed));
  EXPECT_FALSE(CrashRun(table, 2, crash_evidence::kBlamed));
  table.RecordEnd({.task = FirstRun(0).task, .run = 1}, run_end::kLeaseExpired,
                  "", 3, kNow);
  EXPECT_EQ(table.Find(FirstRun(0).task)->suspected_crashes, 1U);
  EXPECT_FALSE(CrashRun(table, 3, crash_evidence::kBlamed));
}

// Guards against a takeover that forgets a crash: the owner died after it had
// started a suspected task, and no worker reports how the run ended.
TEST(JobTableTest, ARunOfASuspectWithoutAnEndCountsAfterATakeover) {
  job_table table = FirstOwner(false);
  CrashRun(table, 1, crash_evidence::kSuspected);
  CrashRun(table, 2, crash_evidence::kBlamed);
  table.RecordStart({.task = FirstRun(0).task, .run = 3}, "w");
  job_table successor{{}};
  successor.Add(kJob, Job(false, *TakeProgress(table)), false, kTakeover,
                kWall);
  EXPECT_EQ(successor.Find(FirstRun(0).task)->suspected_crashes, 2U);
  successor.RecordStart({.task = FirstRun(0).task, .run = 10'001}, "w");
  EXPECT_EQ(successor.Find(FirstRun(0).task)->suspected_crashes, 3U);
}

// Guards against suspicion of a run that ended without a crash.
TEST(JobTableTest, ARunOfASuspectThatEndsIsNotCounted) {
  job_table table = FirstOwner(false);
  CrashRun(table, 1, crash_evidence::kSuspected);
  const run_ref second{.task = FirstRun(0).task, .run = 2};
  table.RecordStart(second, "w");
  table.RecordEnd(second, run_end::kStopped, "", kMaxAttempts, kNow);
  table.RecordStart({.task = FirstRun(0).task, .run = 3}, "w");
  EXPECT_EQ(table.Find(FirstRun(0).task)->suspected_crashes, 1U);
}

// Guards against giving up a task for crashes with a run between them that did
// not crash its worker, also after a takeover.
TEST(JobTableTest, ARunThatOutlivesTheSuspicionClearsItsTask) {
  job_table table = FirstOwner(false);
  CrashRun(table, 1, crash_evidence::kBlamed);
  CrashRun(table, 2, crash_evidence::kBlamed);
  const run_ref third{.task = FirstRun(0).task, .run = 3};
  table.RecordStart(third, "w");
  table.ClearCrashes(third);
  EXPECT_EQ(table.Find(third.task)->suspected_crashes, 0U);
  job_table successor{{}};
  successor.Add(kJob, Job(false, *TakeProgress(table)), false, kTakeover,
                kWall);
  EXPECT_EQ(successor.Find(third.task)->suspected_crashes, 0U);
  EXPECT_FALSE(CrashRun(table, 4, crash_evidence::kBlamed));
}

/// The table of the first owner, which has lost a run of the first task and
/// delegated the task to cell 1 in its epoch 3.
job_table DelegatingOwner() {
  job_table table = FirstOwner();
  const run_ref lost{.task = FirstRun(0).task, .run = 20'005};
  table.RecordStart(lost, "w");
  table.RecordLoss(lost, kNow);
  EXPECT_TRUE(table.CanDelegate(lost.task));
  table.Delegate(lost.task, 1, 0, 3);
  return table;
}

// Guards against a task that two cells run: its first cell must neither start
// it again nor adopt a run of it, and neither must a successor.
TEST(JobTableTest, ADelegatedTaskIsNotStartedHereAgain) {
  const task_ref task = FirstRun(0).task;
  job_table table = DelegatingOwner();
  EXPECT_TRUE(table.WaitingRestarts().empty());
  EXPECT_EQ(table.ReadyTasks(StepOf(task), kNow),
            (std::vector<std::uint32_t>{1, 2}));
  EXPECT_FALSE(table.CanAdopt({task, 20'005}));
  table.RecordEnd({task, 20'005}, run_end::kFailed, "", kMaxAttempts, kNow);
  EXPECT_TRUE(table.WaitingRestarts().empty());
  EXPECT_TRUE(table.HasChanges());
  job_table successor = Successor(*TakeProgress(table));
  successor.AllowUnreportedTasks(4);
  successor.TakeChanges();
  successor.ChangesStored(1);
  EXPECT_EQ(successor.ReadyTasks(StepOf(task), kTakeover),
            (std::vector<std::uint32_t>{1, 2}));
  EXPECT_FALSE(successor.CanAdopt({task, 20'005}));
}

/// The state of the job of DelegatingOwner, as read from the log.
job_state DelegatedJob() {
  job_table table = DelegatingOwner();
  return Job(true, *TakeProgress(table));
}

// Guards against run numbers that two owners use: those of the other cell are
// above all of the first cell, and apart for each epoch of the other cell.
TEST(JobTableTest, ADelegatedTaskHasHigherRunNumbers) {
  const task_ref task = FirstRun(0).task;
  job_table table({}, 1);
  table.Add(kJob, DelegatedJob(), false, kNow, kWall);
  EXPECT_EQ(table.NextRun(task, 1), 20'006U);
  EXPECT_EQ(table.NextRun(task, 2), 30'006U);
  table.RecordStart({task, 30'006}, "w");
  EXPECT_EQ(table.NextRun(task, 2), 30'007U);
  EXPECT_EQ(table.NextRun(task, 3), 40'006U);
}

// Guards against a cell that runs more than the tasks delegated to it, or that
// overwrites the progress which another cell records.
TEST(JobTableTest, TheOtherCellRunsOnlyTheDelegatedTask) {
  const task_ref task = FirstRun(0).task;
  job_table table({}, 1);
  table.Add(kJob, DelegatedJob(), false, kNow, kWall);
  ASSERT_EQ(table.WaitingRestarts().size(), 1U);
  EXPECT_EQ(table.WaitingRestarts()[0].task, task);
  EXPECT_EQ(table.ReadyTasks(StepOf(task), kNow),
            std::vector<std::uint32_t>{0});
  EXPECT_FALSE(table.CanDelegate(task));
  table.RecordStart({task, 20'006}, "w");
  table.RecordLoss({task, 20'006}, kNow);
  EXPECT_EQ(table.WaitingRestarts().size(), 1U);
  EXPECT_TRUE(table.TakeChanges().empty());
  job_table third({}, 2);
  third.Add(kJob, DelegatedJob(), false, kNow, kWall);
  EXPECT_TRUE(third.WaitingRestarts().empty());
}

// Guards against a successor in the other cell that starts the task before the
// workers of its predecessor have reported.
TEST(JobTableTest, ADelegatedTaskWaitsForReportsAfterATakeover) {
  job_table table({}, 1);
  table.Add(kJob, DelegatedJob(), true, kNow, kWall);
  EXPECT_TRUE(table.WaitingRestarts().empty());
  EXPECT_TRUE(table.CanAdopt({FirstRun(0).task, 20'006}));
  table.AllowUnreportedTasks(2);
  EXPECT_EQ(table.WaitingRestarts().size(), 1U);
}

// Guards against a second run of a delegated task: its ends are not stored, so
// the reported end of one run does not show that no later run was started.
TEST(JobTableTest, AReportedEndDoesNotReleaseADelegatedTask) {
  job_table table({}, 1);
  table.SetEndsStoredFrom(1);
  table.Add(kJob, DelegatedJob(), true, kNow, kWall);
  table.RecordEnd({FirstRun(0).task, 20'006}, run_end::kFailed, "",
                  kMaxAttempts, kNow);
  EXPECT_TRUE(table.WaitingRestarts().empty());
  table.AllowUnreportedTasks(2);
  ASSERT_EQ(table.WaitingRestarts().size(), 1U);
  EXPECT_TRUE(table.WaitingRestarts().front().end_stored);
}

// Guards against a task that crashes the workers of the other cell without end:
// only the first cell can fail its job.
TEST(JobTableTest, ADelegatedTaskThatCrashesWorkersStaysStopped) {
  job_table table({}, 1);
  table.Add(kJob, DelegatedJob(), false, kNow, kWall);
  for (run_number run = 20'006; run <= 20'008; ++run) {
    EXPECT_EQ(table.WaitingRestarts().size(), 1U);
    EXPECT_FALSE(CrashRun(table, run, crash_evidence::kBlamed));
  }
  EXPECT_TRUE(table.WaitingRestarts().empty());
  EXPECT_TRUE(table.ReadyTasks(StepOf(FirstRun(0).task), kNow).empty());
  EXPECT_TRUE(table.TakeChanges().empty());
}

/// The obstacle of a task of this job whose run was lost.
delegation_obstacle ObstacleOfLostTask(const job_spec& spec) {
  job_table table{{}};
  job_state state;
  state.spec = spec;
  table.Add(kJob, state, false, kNow, kWall);
  table.RecordStart(FirstRun(0), "w");
  table.RecordLoss(FirstRun(0), kNow);
  return table.DelegationObstacle(FirstRun(0).task);
}

// Guards against a reason that is missing or wrong in the line on a task that
// waits for its restart.
TEST(JobTableTest, NamesWhatKeepsATaskInItsCell) {
  const step_spec step{.count = 1, .long_running = true};
  EXPECT_EQ(ObstacleOfLostTask({.steps = {step}}), delegation_obstacle::kNone);
  step_spec gang = step;
  gang.gang = true;
  EXPECT_EQ(ObstacleOfLostTask({.steps = {gang}}), delegation_obstacle::kGang);
  step_spec labelled = step;
  labelled.required_label = "gpu";
  EXPECT_EQ(ObstacleOfLostTask({.steps = {labelled}}),
            delegation_obstacle::kLabel);
}

// Guards against a task that waits in a full cell because its workers crashed.
TEST(JobTableTest, ATaskSuspectedOfCrashesMayMove) {
  job_table table = FirstOwner();
  for (run_number number = 1; number <= 2; ++number) {
    const run_ref run{FirstRun(0).task, number};
    table.RecordStart(run, "w");
    table.RecordCrash(run, crash_evidence::kSuspected, crash_proof::kProved);
    table.RecordLoss(run, kNow);
  }
  EXPECT_EQ(table.DelegationObstacle(FirstRun(0).task),
            delegation_obstacle::kNone);
  EXPECT_TRUE(table.CanDelegate(FirstRun(0).task));
}

/// A job whose occurrences are all due.
job_state RecurringJob(std::uint32_t occurrences, std::uint32_t tasks) {
  return {.queue = "batch",
          .spec = {.steps = {{.count = tasks}},
                   .repeat_count = occurrences,
                   .first_due = kWall - seconds(100)}};
}

/// Completes an occurrence of kJob.
void CompleteOccurrence(job_table& table,
                        std::uint32_t occurrence,
                        std::uint32_t tasks) {
  for (std::uint32_t index = 0; index < tasks; ++index) {
    const run_ref run{{kJob, occurrence, 0, index}, 1};
    table.RecordStart(run, "w");
    table.RecordEnd(run, run_end::kDone, "", 3, kNow);
  }
}

// Guards against a record of the progress that grows with each occurrence.
TEST(JobTableTest, DropsTheProgressOfCompleteOccurrences) {
  job_table table{{}};
  table.Add(kJob, RecurringJob(4, 2), false, kNow, kWall);
  CompleteOccurrence(table, 1, 2);
  EXPECT_EQ(table.Find(kJob)->progress.complete_occurrences, 0U);
  CompleteOccurrence(table, 0, 2);
  EXPECT_EQ(table.Find(kJob)->progress.complete_occurrences, 2U);
  EXPECT_TRUE(table.Find(kJob)->progress.steps.empty());
  CompleteOccurrence(table, 2, 2);
  CompleteOccurrence(table, 3, 2);
  EXPECT_EQ(table.Find(kJob), nullptr);
}

// Guards against a successor that runs complete occurrences again, or that
// never completes the job.
TEST(JobTableTest, ASuccessorGoesOnAfterTheCompleteOccurrences) {
  job_state state = RecurringJob(3, 1);
  state.progress.complete_occurrences = 2;
  job_table table{{}};
  table.Add(kJob, state, false, kNow, kWall);
  EXPECT_EQ(table.ReadySteps(), (std::set<step_ref>{{kJob, 2, 0}}));
  CompleteOccurrence(table, 2, 1);
  EXPECT_EQ(table.Find(kJob), nullptr);
}

// Guards against a record that is too large, and a table that is, because all
// occurrences of a large job are due.
TEST(JobTableTest, StartsOccurrencesOnlyUpToTheLimitOfOpenTasks) {
  job_table table{{.max_open_tasks = 5}};
  table.Add(kJob, RecurringJob(4, 2), false, kNow, kWall);
  EXPECT_EQ(table.ReadySteps().size(), 2U);
  CompleteOccurrence(table, 0, 2);
  table.StartDue(kWall);
  EXPECT_EQ(table.ReadySteps().size(), 2U);
  // An occurrence that is larger than the limit runs alone.
  job_table large{{.max_open_tasks = 5}};
  large.Add(kJob, RecurringJob(2, 9), false, kNow, kWall);
  EXPECT_EQ(large.ReadySteps().size(), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
