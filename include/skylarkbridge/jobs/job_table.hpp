#ifndef SKYLARKBRIDGE_JOBS_JOB_TABLE_HPP
#define SKYLARKBRIDGE_JOBS_JOB_TABLE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/base/clock_reading.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/delegation_obstacle.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief One occurrence of one step of a job.
struct step_ref {
  job_id job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  auto operator<=>(const step_ref&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const step_ref& ref) {
    return H::combine(std::move(hash), ref.job, ref.occurrence, ref.step);
  }
};

inline step_ref StepOf(const task_ref& task) {
  return {task.job, task.occurrence, task.step};
}
inline task_ref TaskOf(const step_ref& step, std::uint32_t index) {
  return {step.job, step.occurrence, step.step, index};
}

enum class task_phase {
  /// Waits for earlier steps or for the time of its occurrence.
  kWaiting,
  /// An earlier owner may have started it on a worker that has not reported
  /// yet.
  kMaybeRunning,
  kReady,
  /// At least one run of it is on a worker.
  kActive,
  kDone,
  /// Another cell runs it.
  kElsewhere,
};

/// @brief A run that a worker was ordered to start and that has not ended.
struct active_run {
  std::string worker;
  run_number run = 0;
};

struct task_state {
  task_phase phase = task_phase::kWaiting;
  std::vector<active_run> active_runs;
  run_number last_run = 0;
  /// Lowest number of a run of the task in this cell.
  run_number first_run = 1;
  std::string checkpoint;
  /// The task is not started before this time, after a failed or lost run.
  time_point not_before;
  /// When its last run ended or was lost; empty while this owner knows of no
  /// earlier run. It is kept over a delegation, its return and a takeover. For
  /// a task that an earlier owner started and that did not wait by its records,
  /// the time at which this owner added its job, until the end of a run is
  /// known. For a task without a run, the time of WaitAsRestart.
  std::optional<time_point> last_run_ended_at;
  /// When this owner learned that the task waits; set with last_run_ended_at.
  std::optional<time_point> wait_known_since;
  /// Whether last_run_ended_at is the time of WaitAsRestart.
  bool waits_for_first_run = false;
  /// Workers of earlier owners that have not reported yet may have run it.
  bool may_have_unreported_runs = false;
  /// Number of crashes of workers that the task is suspected of.
  std::size_t suspected_crashes = 0;
  /// Of a long-running task: as step_progress::last_ended_runs.
  run_number last_ended_run = 0;
  /// Number of the call of TakeChanges whose changes have to be stored before
  /// the task starts again.
  std::uint64_t start_after_write = 0;

  /// A run that ended at @p since, which this owner learned at @p known, leaves
  /// the task waiting.
  void BeginWait(time_point since, time_point known) {
    last_run_ended_at = since;
    wait_known_since = known;
    waits_for_first_run = false;
  }
};

/// @brief State of the tasks of one occurrence of a step.
struct step_state {
  std::vector<task_state> tasks;
  /// Number of tasks that are done.
  std::uint32_t done = 0;
  /// All steps that this step depends on are done.
  bool dependencies_done = false;
};

/// @brief Whether all tasks of an occurrence are done.
bool AllDone(const std::vector<step_state>& steps);

/// @brief An open job with the state of its tasks.
struct open_job {
  std::string queue;
  /// As job_accepted::settings.
  std::optional<queue_configuration> settings;
  job_spec spec;
  wall_time accepted_at{};
  /// Another cell runs the job and records its progress. This cell runs the
  /// tasks that are delegated to it.
  bool is_delegated = false;
  /// When the job was added to the table, on this process's clock.
  time_point added_at;
  job_progress progress;
  /// Steps of each occurrence that is due and not covered by
  /// job_progress::complete_occurrences, by number of the occurrence.
  std::map<std::uint32_t, std::vector<step_state>> due_occurrences;
  /// First occurrence that is not due yet, or that waits for earlier ones to
  /// complete.
  std::uint32_t next_occurrence = 0;
  /// Number of occurrences that are complete.
  std::uint32_t completed_occurrences = 0;

  std::uint32_t OccurrenceCount() const {
    return spec.repeat_count == 0 ? 1 : spec.repeat_count;
  }
  std::uint64_t TasksPerOccurrence() const;
};

/// @brief A run that is no longer needed.
struct run_to_stop {
  std::string worker;
  run_ref run;
};

/// @brief A long-running task that has run before and waits for its next run,
/// or that waits like one (job_table::WaitAsRestart).
struct waiting_restart {
  task_ref task;
  /// Whether it has run before.
  bool has_run = true;
  /// When its last run ended or was lost.
  time_point since;
  /// When this owner learned that it waits.
  time_point known_since;
  /// It is not started before this time.
  time_point not_before;
  /// The end of its last run is stored; it is not started before.
  bool end_stored = true;
};

/// @brief Whether a worker is known to have crashed.
enum class crash_proof {
  /// It is silent and not listed, and may be only cut off.
  kPresumed,
  kProved,
};

struct job_table_options {
  /// A failed task starts again after this delay times the number of its failed
  /// runs.
  std::chrono::milliseconds retry_delay{50};
  /// Upper bound of the delay before a failed task starts again.
  std::chrono::milliseconds max_retry_delay{1000};
  /// An occurrence of a job starts only once all its tasks and those of the
  /// earlier occurrences that are not complete are at most so many. It bounds
  /// the record of the job's progress.
  std::uint64_t max_open_tasks = 50'000;
  /// A task is given up when this many workers have crashed shortly after they
  /// started it, and two of the crashes are blamed on it.
  std::size_t max_crashes_two_blamed = 3;
  /// The same with one crash that is blamed on it.
  std::size_t max_crashes_one_blamed = 4;
};

/// @brief Tracks the dependencies, runs and failures of the tasks of all open
/// jobs, and which tasks are ready to start.
class job_table {
 public:
  /// @param own_epoch epoch of the ownership that the table serves.
  explicit job_table(job_table_options options,
                     cell_id cell = 0,
                     epoch own_epoch = 0)
      : options_(options), cell_(cell), own_epoch_(own_epoch) {}

  /// @brief Adds an open job.
  /// @param maybe_running an earlier owner may have started tasks of the job,
  /// so they wait for AllowUnreportedTasks or for a worker that reports them.
  void Add(job_id job,
           const job_state& state,
           bool maybe_running,
           time_point now,
           wall_time wall_now);
  /// @brief Takes over the tasks of a job that another cell has delegated to
  /// this one. Those that were delegated before are not changed.
  /// @param maybe_running see Add.
  void AddDelegatedTasks(job_id job,
                         const job_state& state,
                         bool maybe_running,
                         time_point now);
  /// @brief Lets a ready long-running task that has not run wait as a restart
  /// does: before all other starts but after restarts, with room reserved, and
  /// with the other cells as a way out. Has no effect on any other task.
  void WaitAsRestart(const task_ref& task, time_point now);
  /// @brief Whether a waiting restart can be delegated to another cell: this
  /// cell runs its job, and nothing known of the task would be lost.
  bool CanDelegate(const task_ref& task) const;
  /// @brief What keeps a waiting restart from moving to another cell, by the
  /// state of its task and job alone.
  delegation_obstacle DelegationObstacle(const task_ref& task) const;
  /// @brief Delegates a task for which CanDelegate holds. This cell never
  /// starts it again; the other one does once it has read the progress.
  /// @param to_owner epoch of the other cell's owner that has room for it.
  void Delegate(const task_ref& task,
                cell_id to,
                epoch to_owner,
                epoch own_epoch);
  /// @brief Whether a waiting restart that another cell has delegated to this
  /// one can be given back: nothing known of the task would be lost.
  bool CanReturn(const task_ref& task) const;
  /// @brief Gives back a task for which CanReturn holds. This cell does not
  /// start it again unless it is delegated again.
  returned_task Return(const task_ref& task, epoch own_epoch);
  /// @brief Tasks that another cell has delegated to this one and that have to
  /// be given up for their crashes. Only the cell that runs the job can fail
  /// it, so they have to be given back.
  std::vector<task_ref> TasksToGiveUp() const;
  /// @brief This cell has given back a task. Has no effect if the task has been
  /// delegated again since.
  void ApplyReturn(const returned_task& returned);
  /// @brief Takes a task back that the cell @p from has given back, with the
  /// crashes that are held against it. It starts here once that is stored.
  /// Returns false if the return does not concern the present delegation of the
  /// task.
  bool TakeBack(cell_id from, const returned_task& returned, time_point now);
  /// @brief Removes a job. Returns its active runs, which must be stopped.
  std::vector<run_to_stop> Remove(job_id job);

  /// @brief Starts the occurrences that are due.
  void StartDue(wall_time wall_now);
  /// @brief Sets the clocks by which times are stored and read. Without them
  /// none is stored, and a wait begins when this owner learns of it.
  void SetClocks(const clock_reading& clocks) { clocks_ = clocks; }

  /// @brief Allows tasks that no worker has reported to start. Called when
  /// every worker has reported its runs or its lease has expired.
  /// @param own_epoch the owner's epoch; no run of an earlier one is left.
  void AllowUnreportedTasks(epoch own_epoch);
  /// @brief Sets the first epoch whose runs were all started after the end of
  /// the run before was stored. The reported end of such a run releases its
  /// long-running task without AllowUnreportedTasks.
  void SetEndsStoredFrom(epoch first) { ends_stored_from_ = first; }

  /// @brief Returns the number for the next run of a task in the owner's epoch
  /// @p own_epoch.
  run_number NextRun(const task_ref& task, epoch own_epoch) const;
  /// @brief Records a run that was ordered, or that a worker reported and was
  /// adopted.
  void RecordStart(const run_ref& run, const std::string& worker);
  /// @brief Records that a worker has carried out the start of a run of the
  /// job. Until the first one, the job counts as pending.
  void RecordConfirmedStart(job_id id);
  /// @brief Whether a reported run can be adopted: its task is not done and has
  /// no other run.
  bool CanAdopt(const run_ref& run) const;
  /// @brief Records that a run was lost without a reported end.
  void RecordLoss(const run_ref& run, time_point now);
  /// @brief Records that a run was lost in a restart of its worker. The worker
  /// will never report the end, so the task may start again before the loss is
  /// stored.
  void RecordLossInRestart(const run_ref& run, time_point now);
  /// @brief Records that the worker of a run crashed shortly after the start;
  /// the run still has to be recorded as lost. When the task has to be given
  /// up, its job fails; returns the runs of the job, which must be stopped. A
  /// crash that is only presumed gives nothing up.
  std::vector<run_to_stop> RecordCrash(const run_ref& run,
                                       crash_evidence evidence,
                                       crash_proof proof);
  /// @brief A presumed crash is proved. Returns as RecordCrash.
  std::vector<run_to_stop> ProveCrash(const run_ref& run);
  /// @brief The worker of the run has not crashed.
  void WithdrawCrash(const run_ref& run);
  /// @brief Whether the task has to be given up if its presumed crashes are
  /// proved.
  bool IsInDoubt(const task_ref& task) const;
  /// @brief The task is not started before @p until.
  void DelayStart(const task_ref& task, time_point until);
  /// @brief Fails the job of a task that has to be given up for its crashes, if
  /// this cell runs the job. Returns the runs of the job, which must be
  /// stopped.
  std::vector<run_to_stop> GiveUpIfCrashing(const task_ref& task);
  /// @brief Drops the suspicion against the task of a run that has outlived the
  /// time in which a crash would be blamed on it.
  void ClearCrashes(const run_ref& run);
  /// @brief Records that a worker did not carry out the start order of a run.
  void RecordRejectedStart(const run_ref& run, time_point now);
  /// @brief Records an end that a worker reported. Returns other runs that must
  /// be stopped because of it.
  /// @param max_attempts nullopt while it is not known: a failed run counts,
  /// and gives nothing up.
  std::vector<run_to_stop> RecordEnd(const run_ref& run,
                                     run_end outcome,
                                     const std::string& checkpoint,
                                     std::optional<std::uint32_t> max_attempts,
                                     time_point now);
  /// @brief Fails the job if one of its tasks is ready although it has used up
  /// its attempts, as those were counted while max_attempts was not known.
  /// Returns the runs of the job, which must be stopped.
  std::vector<run_to_stop> FailIfExhausted(job_id id,
                                           std::uint32_t max_attempts);
  /// @brief Fails a job whose progress can't be stored, and drops the progress.
  /// Returns the runs of the job, which must be stopped.
  std::vector<run_to_stop> FailWithoutProgress(job_id id);
  /// @brief Records a newer checkpoint that a worker reported.
  void RecordCheckpoint(const run_ref& run, const std::string& checkpoint);

  /// @brief Finds an entry; null when it is unknown.
  const open_job* Find(job_id job) const;
  const step_spec* Spec(const step_ref& step) const;
  const task_state* Find(const task_ref& task) const;
  const step_state* Find(const step_ref& step) const;

  /// @brief Steps that have ready tasks.
  const std::set<step_ref>& ReadySteps() const { return ready_; }
  /// @brief Returns the indices of the ready tasks of a step that may start
  /// now.
  std::vector<std::uint32_t> ReadyTasks(const step_ref& step,
                                        time_point now) const;

  /// @brief Returns the long-running tasks that have run before and are ready
  /// or in their retry delay; those that have waited longest come first.
  std::vector<waiting_restart> WaitingRestarts() const;

  /// @brief Returns the long-running tasks that an earlier owner started and
  /// that no worker has reported yet.
  std::vector<task_ref> UnreportedLongRunningTasks() const;

  /// @brief Returns the progress of each job that changed since the last call.
  std::vector<job_advanced> TakeChanges();
  /// @brief The changes of the first @p calls calls of TakeChanges are stored.
  void ChangesStored(std::uint64_t calls) { stored_writes_ = calls; }
  /// @brief Whether there are changes that have to be written at once. Others
  /// wait for the next write.
  bool HasChanges() const { return !changed_.empty() || !finished_.empty(); }

  const std::map<job_id, open_job>& Jobs() const { return jobs_; }

 private:
  task_state* MutableTask(const task_ref& task);
  step_progress& FindOrAddProgress(open_job& job, const task_ref& task);
  void StartOccurrence(job_id id,
                       open_job& job,
                       std::uint32_t occurrence,
                       bool maybe_running);
  /// Starts the only occurrence of a job that another cell runs.
  void StartDelegatedOccurrence(open_job& job);
  void ReleaseSteps(job_id id, open_job& job, std::uint32_t occurrence);
  /// Starts the occurrences that are due, as far as max_open_tasks allows.
  void StartDueOccurrences(job_id id,
                           open_job& job,
                           bool maybe_running,
                           wall_time wall_now);
  /// Drops the state of the first occurrences of the job that are complete.
  static void DropCompleteOccurrences(open_job& job);
  void MakeReady(const task_ref& ref, task_state& task);
  void RemoveIfNoneReady(const step_ref& step);
  /// The task of the run is done. Returns its other runs, which must be
  /// stopped.
  std::vector<run_to_stop> MarkDone(open_job& job, const run_ref& run);
  /// The members of a gang end together, so that the end of one run says that
  /// all of them are done. The others may never be reported.
  std::vector<run_to_stop> MarkGangDone(open_job& job, const run_ref& run);
  /// Records in the progress whether a task of a long-running step has been
  /// started.
  void SetStarted(open_job& job, const task_ref& task, bool started);
  /// Records that a run of a long-running task and all runs before it have
  /// ended.
  void RecordLastEndedRun(open_job& job, const run_ref& run);
  /// Records in the progress since when the task waits for its next run.
  void RecordWait(open_job& job, const task_ref& task);
  /// Records in the progress that the task waits no more. That is no reason to
  /// write it: a successor learns of the run from its worker.
  void RecordWaitOver(open_job& job, const task_ref& task);
  /// When a wait that a record tells of began, on the clock of this process.
  /// Another VM wrote the time, so that it is never later than @p now and at
  /// most kMaxStoredWait earlier.
  time_point BeginOfWait(std::optional<wall_time> waiting_since,
                         time_point now) const;
  /// Whether a reported end shows that no run of the task is left, although
  /// workers of earlier owners have not reported yet.
  bool EndReleases(const task_state& task, const run_ref& run) const;
  /// Returns whether the task has used up its attempts.
  bool CountFailure(open_job& job,
                    const run_ref& run,
                    std::optional<std::uint32_t> max_attempts);
  /// The failed runs of a task, or of a gang: its members share the number of a
  /// run, and only the one that failed reports it as failed.
  failed_runs FailedAttempts(const open_job& job, const task_ref& task) const;
  /// What keeps the task from moving, whatever its job: it is not ready, or
  /// something that only this owner knows would be lost.
  static delegation_obstacle ObstacleToMove(const task_state& task);
  /// Whether a task has to be given up after these crashes.
  bool ExceedsCrashLimit(const crashed_runs& crashes) const;
  /// The same for the crashes of the task that are proved.
  bool MustBeGivenUp(const task_ref& task) const;
  /// Whether a task that another cell delegated has crashed too many workers.
  /// It is not started here again; see TasksToGiveUp.
  bool MustStayStopped(const task_ref& task) const;
  /// The crashes that are held against a task; null while there are none.
  const crashed_runs* FindCrashes(const task_ref& task) const;
  /// Replaces the crashes that are held against a task.
  void SetCrashes(const task_ref& task, const crashed_runs& crashes);
  /// Records a run of a task that is suspected of crashing its workers.
  void AddPendingRun(open_job& job, const run_ref& run, task_state& task);
  /// Removes the run if it is pending: it ended without a crash.
  void RemovePendingRun(const run_ref& run);
  /// Removes an active run. Returns whether the task has no active run left. It
  /// is then ready again, unless it has to wait for unreported ends.
  bool EndRun(const run_ref& run, time_point not_before);
  void RemoveActiveRun(task_state& task, run_number run);
  /// Whether runs before this one, the last known run of its task, may have
  /// failed on workers that have not reported. Their ends count as attempts.
  bool MayHaveUnreportedAttempts(const run_ref& run) const;
  std::vector<run_to_stop> Finish(job_id id, job_status status);
  std::chrono::milliseconds RetryDelay(const open_job& job,
                                       const task_ref& task) const;

  job_table_options options_;
  std::optional<clock_reading> clocks_;
  cell_id cell_;
  epoch own_epoch_;
  std::map<job_id, open_job> jobs_;
  std::set<step_ref> ready_;
  /// Jobs whose progress has changed.
  std::set<job_id> changed_;
  /// Jobs in whose progress only step_progress::started has changed. It waits
  /// for the next write, so that starts cause no writes.
  std::set<job_id> deferred_changes_;
  /// Jobs that still have occurrences which are not due.
  std::set<job_id> scheduled_;
  /// Runs whose workers may be only cut off, although they count as crashed.
  std::set<run_ref> presumed_crashes_;
  /// Final progress of jobs that have ended and were removed.
  std::vector<job_advanced> finished_;
  epoch ends_stored_from_ = 0;
  /// Calls of TakeChanges, and those whose changes are stored.
  std::uint64_t writes_ = 0;
  std::uint64_t stored_writes_ = 0;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_TABLE_HPP
