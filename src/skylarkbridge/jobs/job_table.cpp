#include "skylarkbridge/jobs/job_table.hpp"

#include <algorithm>
#include <utility>

#include "skylarkbridge/jobs/job_progress_queries.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Run numbers that each epoch reserves for a task, so that the runs of a new
/// owner have higher numbers than all runs of earlier owners, including those
/// that no worker has reported to it.
constexpr run_number kRunsPerEpoch = 10'000;

/// Bounds what the clock of another VM can do to the age of a wait.
constexpr std::chrono::minutes kMaxStoredWait{10};

/// Lowest number of a run that the owner of this epoch starts.
run_number FirstRunOfEpoch(const task_state& task, epoch owner_epoch) {
  return (owner_epoch - 1) * kRunsPerEpoch + task.first_run;
}

}  // namespace

void job_table::Add(job_id id,
                    const job_state& state,
                    bool maybe_running,
                    time_point now,
                    wall_time wall_now) {
  auto [entry, added] = jobs_.try_emplace(id);
  if (!added) {
    return;
  }
  clocks_ = {.now = now, .wall = wall_now};
  open_job& job = entry->second;
  job.queue = state.queue;
  job.settings = state.settings;
  job.spec = state.spec;
  job.accepted_at = state.accepted_at;
  job.added_at = now;
  job.progress = state.progress;
  if (state.cell != cell_) {
    job.is_delegated = true;
    job.next_occurrence = job.OccurrenceCount();
    StartDelegatedOccurrence(job);
    AddDelegatedTasks(id, state, maybe_running, now);
    return;
  }
  if (job.spec.repeat_count == 0) {
    job.next_occurrence = 1;
    StartOccurrence(id, job, 0, maybe_running);
    return;
  }
  StartDueOccurrences(id, job, maybe_running, wall_now);
  if (job.next_occurrence < job.spec.repeat_count) {
    scheduled_.insert(id);
  }
}

void job_table::AllowUnreportedTasks(epoch own_epoch) {
  for (auto& [id, job] : jobs_) {
    for (auto& [occurrence, steps] : job.due_occurrences) {
      for (std::uint32_t step = 0; step < steps.size(); ++step) {
        for (std::uint32_t index = 0; index < steps[step].tasks.size();
             ++index) {
          task_state& task = steps[step].tasks[index];
          task.may_have_unreported_runs = false;
          if (task.phase != task_phase::kMaybeRunning) {
            continue;
          }
          task.phase = task_phase::kWaiting;
          const run_number last_earlier_run =
              FirstRunOfEpoch(task, own_epoch) - 1;
          RecordLastEndedRun(job,
                             {{id, occurrence, step, index}, last_earlier_run});
          if (steps[step].dependencies_done) {
            MakeReady({id, occurrence, step, index}, task);
          }
        }
      }
    }
  }
}

void job_table::MakeReady(const task_ref& ref, task_state& task) {
  task.phase = task_phase::kReady;
  ready_.insert(StepOf(ref));
}

void job_table::RemoveIfNoneReady(const step_ref& ref) {
  const step_state* step = Find(ref);
  const bool any =
      step != nullptr && std::any_of(step->tasks.begin(), step->tasks.end(),
                                     [](const task_state& task) {
                                       return task.phase == task_phase::kReady;
                                     });
  if (!any) {
    ready_.erase(ref);
  }
}

run_number job_table::NextRun(const task_ref& ref, epoch own_epoch) const {
  const task_state* task = Find(ref);
  return task == nullptr
             ? FirstRunOfEpoch({}, own_epoch)
             : std::max(task->last_run + 1, FirstRunOfEpoch(*task, own_epoch));
}

void job_table::RecordStart(const run_ref& run, const std::string& worker) {
  task_state* task = MutableTask(run.task);
  if (task == nullptr || task->phase == task_phase::kDone ||
      task->phase == task_phase::kElsewhere) {
    return;
  }
  task->phase = task_phase::kActive;
  task->active_runs.push_back({worker, run.run});
  task->last_run = std::max(task->last_run, run.run);
  RemoveIfNoneReady(StepOf(run.task));
  open_job& job = jobs_.find(run.task.job)->second;
  SetStarted(job, run.task, true);
  RecordWaitOver(job, run.task);
  if (task->suspected_crashes > 0) {
    AddPendingRun(job, run, *task);
  }
}

void job_table::RecordConfirmedStart(job_id id) {
  const auto job = jobs_.find(id);
  if (job != jobs_.end() && !job->second.progress.started) {
    job->second.progress.started = true;
    changed_.insert(id);
  }
}

bool job_table::CanAdopt(const run_ref& run) const {
  const task_state* task = Find(run.task);
  return task != nullptr && task->phase != task_phase::kDone &&
         task->phase != task_phase::kElsewhere && task->active_runs.empty() &&
         run.run >= task->first_run;
}

void job_table::RemoveActiveRun(task_state& task, run_number run) {
  std::erase_if(task.active_runs,
                [run](const active_run& active) { return active.run == run; });
}

void job_table::RecordLoss(const run_ref& run, time_point now) {
  if (const auto job = jobs_.find(run.task.job); job != jobs_.end()) {
    RecordLastEndedRun(job->second, run);
  }
  RecordLossInRestart(run, now);
}

void job_table::RecordLossInRestart(const run_ref& run, time_point now) {
  RemovePendingRun(run);
  if (EndRun(run, now)) {
    task_state& task = *MutableTask(run.task);
    task.BeginWait(now, now);
    RecordWait(jobs_.find(run.task.job)->second, run.task);
  }
}

void job_table::WaitAsRestart(const task_ref& ref, time_point now) {
  task_state* task = MutableTask(ref);
  if (task != nullptr && task->phase == task_phase::kReady &&
      !task->last_run_ended_at && Spec(StepOf(ref))->long_running) {
    task->BeginWait(now, now);
    task->waits_for_first_run = true;
  }
}

void job_table::RecordRejectedStart(const run_ref& run, time_point now) {
  RemovePendingRun(run);
  // A task without an earlier run has not been started after all.
  if (EndRun(run, now) && !Find(run.task)->last_run_ended_at) {
    SetStarted(jobs_.find(run.task.job)->second, run.task, false);
  }
}

bool job_table::EndRun(const run_ref& run, time_point not_before) {
  task_state* task = MutableTask(run.task);
  if (task == nullptr || task->phase != task_phase::kActive) {
    return false;
  }
  RemoveActiveRun(*task, run.run);
  if (!task->active_runs.empty()) {
    return false;
  }
  task->not_before = MustStayStopped(run.task) ? time_point::max() : not_before;
  if (MayHaveUnreportedAttempts(run)) {
    task->phase = task_phase::kMaybeRunning;
  } else {
    task->may_have_unreported_runs = false;
    MakeReady(run.task, *task);
  }
  return true;
}

bool job_table::MayHaveUnreportedAttempts(const run_ref& run) const {
  return Find(run.task)->may_have_unreported_runs &&
         !Spec(StepOf(run.task))->long_running && run.run > 1;
}

void job_table::RecordCheckpoint(const run_ref& run,
                                 const std::string& checkpoint) {
  task_state* task = MutableTask(run.task);
  if (task == nullptr || checkpoint.empty()) {
    return;
  }
  if (!Spec(StepOf(run.task))->gang) {
    task->checkpoint = checkpoint;
    return;
  }
  // All members of a gang start from the same checkpoint.
  const step_ref ref = StepOf(run.task);
  for (std::uint32_t index = 0; index < Spec(ref)->count; ++index) {
    MutableTask(TaskOf(ref, index))->checkpoint = checkpoint;
  }
}

std::vector<run_to_stop> job_table::RecordEnd(
    const run_ref& run,
    run_end outcome,
    const std::string& checkpoint,
    std::optional<std::uint32_t> max_attempts,
    time_point now) {
  const auto entry = jobs_.find(run.task.job);
  task_state* task = MutableTask(run.task);
  if (task == nullptr || task->phase == task_phase::kDone) {
    return {};
  }
  open_job& job = entry->second;
  task->last_run = std::max(task->last_run, run.run);
  RecordConfirmedStart(run.task.job);
  // A worker that has crashed reports no ends of the life before.
  WithdrawCrash(run);
  RecordCheckpoint(run, checkpoint);
  if (outcome == run_end::kDone &&
      !job.spec.steps[run.task.step].long_running) {
    std::vector<run_to_stop> runs_to_stop = job.spec.steps[run.task.step].gang
                                                ? MarkGangDone(job, run)
                                                : MarkDone(job, run);
    if (job.completed_occurrences == job.OccurrenceCount()) {
      std::vector<run_to_stop> job_runs =
          Finish(run.task.job, job_status::kCompleted);
      runs_to_stop.insert(runs_to_stop.end(), job_runs.begin(), job_runs.end());
    }
    return runs_to_stop;
  }
  if (outcome == run_end::kFailed && CountFailure(job, run, max_attempts)) {
    return Finish(run.task.job, job_status::kFailed);
  }
  SetStarted(job, run.task, true);
  const time_point not_before =
      outcome == run_end::kFailed ? now + RetryDelay(job, run.task) : now;
  if (EndReleases(*task, run)) {
    task->phase = task_phase::kWaiting;
    task->not_before = not_before;
    if (Find(StepOf(run.task))->dependencies_done) {
      MakeReady(run.task, *task);
    }
  }
  const bool ends_later_run = run.run > task->last_ended_run;
  RecordLastEndedRun(job, run);
  // The end may be that of a run of an earlier owner, which isn't active here.
  if (EndRun(run, not_before) || !task->last_run_ended_at) {
    task->BeginWait(now, now);
    RecordWait(job, run.task);
  } else if (ends_later_run) {
    // The stored wait is older than the run.
    task->last_run_ended_at = task->wait_known_since;
    RecordWait(job, run.task);
  }
  return {};
}

bool job_table::EndReleases(const task_state& task, const run_ref& run) const {
  const step_spec& step = *Spec(StepOf(run.task));
  // Each later run would have been started after the end of this one was
  // stored, except those of a delegated task, whose ends are not stored.
  return !Find(run.task.job)->is_delegated &&
         task.phase == task_phase::kMaybeRunning && step.long_running &&
         !step.gang && ends_stored_from_ > 0 &&
         run.run >= FirstRunOfEpoch(task, ends_stored_from_) &&
         run.run > task.last_ended_run;
}

void job_table::RecordLastEndedRun(open_job& job, const run_ref& run) {
  task_state* task = MutableTask(run.task);
  if (task == nullptr || job.is_delegated ||
      !job.spec.steps[run.task.step].long_running ||
      run.run <= task->last_ended_run) {
    return;
  }
  task->last_ended_run = run.run;
  task->start_after_write = writes_ + 1;
  FindOrAddProgress(job, run.task).last_ended_runs[run.task.index] = run.run;
  changed_.insert(run.task.job);
}

void job_table::RecordWait(open_job& job, const task_ref& task) {
  const task_state* state = Find(task);
  if (!clocks_ || job.is_delegated || !state->last_run_ended_at ||
      !job.spec.steps[task.step].long_running) {
    return;
  }
  FindOrAddProgress(job, task).waiting_since[task.index] =
      clocks_->ToWall(*state->last_run_ended_at);
  deferred_changes_.insert(task.job);
}

void job_table::RecordWaitOver(open_job& job, const task_ref& task) {
  if (!job.is_delegated && job.spec.steps[task.step].long_running) {
    FindOrAddProgress(job, task).waiting_since.erase(task.index);
  }
}

time_point job_table::BeginOfWait(std::optional<wall_time> waiting_since,
                                  time_point now) const {
  return waiting_since && clocks_ ? std::clamp(clocks_->ToLocal(*waiting_since),
                                               now - kMaxStoredWait, now)
                                  : now;
}

void job_table::SetStarted(open_job& job, const task_ref& task, bool started) {
  if (!job.spec.steps[task.step].long_running) {
    return;
  }
  std::vector<bool>& flags = FindOrAddProgress(job, task).started;
  flags.resize(job.spec.steps[task.step].count);
  if (flags[task.index] != started) {
    flags[task.index] = started;
    deferred_changes_.insert(task.job);
  }
}

std::vector<run_to_stop> job_table::MarkGangDone(open_job& job,
                                                 const run_ref& run) {
  std::vector<run_to_stop> runs_to_stop;
  const std::uint32_t count = job.spec.steps[run.task.step].count;
  for (std::uint32_t index = 0; index < count; ++index) {
    const run_ref member{TaskOf(StepOf(run.task), index), run.run};
    const task_state* state = Find(member.task);
    if (state != nullptr && state->phase != task_phase::kDone) {
      const std::vector<run_to_stop> others = MarkDone(job, member);
      runs_to_stop.insert(runs_to_stop.end(), others.begin(), others.end());
    }
  }
  return runs_to_stop;
}

std::vector<run_to_stop> job_table::MarkDone(open_job& job,
                                             const run_ref& run) {
  const task_ref& ref = run.task;
  task_state& task = *MutableTask(ref);
  RemoveActiveRun(task, run.run);
  std::vector<run_to_stop> runs_to_stop;
  for (const active_run& other : task.active_runs) {
    runs_to_stop.push_back({other.worker, {ref, other.run}});
  }
  task.phase = task_phase::kDone;
  task.active_runs.clear();
  std::vector<step_state>& steps = job.due_occurrences[ref.occurrence];
  step_state& step = steps[ref.step];
  ++step.done;
  step_progress& progress = FindOrAddProgress(job, ref);
  progress.done.resize(step.tasks.size());
  progress.done[ref.index] = true;
  progress.failures.erase(ref.index);
  progress.crashes.erase(ref.index);
  changed_.insert(ref.job);
  RemoveIfNoneReady(StepOf(ref));
  if (step.done < step.tasks.size()) {
    return runs_to_stop;
  }
  const bool complete = AllDone(steps);
  ReleaseSteps(ref.job, job, ref.occurrence);
  if (complete) {
    ++job.completed_occurrences;
    DropCompleteOccurrences(job);
  }
  return runs_to_stop;
}

std::vector<run_to_stop> job_table::Finish(job_id id, job_status status) {
  open_job& job = jobs_.find(id)->second;
  job.progress.status = status;
  job.progress.started = true;
  finished_.push_back({id, job.progress});
  return Remove(id);
}

std::vector<run_to_stop> job_table::Remove(job_id id) {
  std::vector<run_to_stop> runs;
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) {
    return runs;
  }
  for (const auto& [occurrence, steps] : entry->second.due_occurrences) {
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
      ready_.erase({id, occurrence, step});
      for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
        for (const active_run& active : steps[step].tasks[index].active_runs) {
          runs.push_back(
              {active.worker, {{id, occurrence, step, index}, active.run}});
        }
      }
    }
  }
  jobs_.erase(entry);
  std::erase_if(presumed_crashes_,
                [id](const run_ref& run) { return run.task.job == id; });
  changed_.erase(id);
  deferred_changes_.erase(id);
  scheduled_.erase(id);
  return runs;
}

std::vector<job_advanced> job_table::TakeChanges() {
  ++writes_;
  std::vector<job_advanced> changes = std::exchange(finished_, {});
  changed_.merge(std::exchange(deferred_changes_, {}));
  for (const job_id id : changed_) {
    if (const auto entry = jobs_.find(id);
        entry != jobs_.end() && !entry->second.is_delegated) {
      changes.push_back({id, entry->second.progress});
    }
  }
  changed_.clear();
  return changes;
}

step_progress& job_table::FindOrAddProgress(open_job& job,
                                            const task_ref& task) {
  for (step_progress& entry : job.progress.steps) {
    if (entry.occurrence == task.occurrence && entry.step == task.step) {
      return entry;
    }
  }
  job.progress.steps.push_back(
      {.occurrence = task.occurrence, .step = task.step});
  return job.progress.steps.back();
}

const open_job* job_table::Find(job_id job) const {
  const auto entry = jobs_.find(job);
  return entry == jobs_.end() ? nullptr : &entry->second;
}

const step_spec* job_table::Spec(const step_ref& ref) const {
  const open_job* job = Find(ref.job);
  return job == nullptr || ref.step >= job->spec.steps.size()
             ? nullptr
             : &job->spec.steps[ref.step];
}

const step_state* job_table::Find(const step_ref& ref) const {
  const open_job* job = Find(ref.job);
  if (job == nullptr) {
    return nullptr;
  }
  const auto steps = job->due_occurrences.find(ref.occurrence);
  return steps == job->due_occurrences.end() || ref.step >= steps->second.size()
             ? nullptr
             : &steps->second[ref.step];
}

const task_state* job_table::Find(const task_ref& ref) const {
  const step_state* step = Find(StepOf(ref));
  return step == nullptr || ref.index >= step->tasks.size()
             ? nullptr
             : &step->tasks[ref.index];
}

task_state* job_table::MutableTask(const task_ref& ref) {
  return const_cast<task_state*>(Find(ref));
}

}  // namespace skylarkbridge::jobs
