// Long-running tasks that one cell gives to another, as the job tables of both
// cells see them. Tasks that are given back are in job_table_returns.cpp.
#include <algorithm>

#include "skylarkbridge/jobs/job_progress_queries.hpp"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

void job_table::StartDelegatedOccurrence(open_job& job) {
  std::vector<step_state>& steps = job.due_occurrences[0];
  steps.resize(job.spec.steps.size());
  for (std::size_t step = 0; step < steps.size(); ++step) {
    // A delegated task has run, so the steps before its own are done.
    steps[step].dependencies_done = true;
    steps[step].tasks.resize(job.spec.steps[step].count);
    for (task_state& task : steps[step].tasks) {
      task.phase = task_phase::kElsewhere;
    }
  }
}

void job_table::AddDelegatedTasks(job_id id,
                                  const job_state& state,
                                  bool maybe_running,
                                  time_point now) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end() || !entry->second.is_delegated) {
    return;
  }
  for (const step_progress& step : state.progress.steps) {
    for (const auto& [index, delegation] : step.delegations) {
      const task_ref ref{id, step.occurrence, step.step, index};
      task_state* task = MutableTask(ref);
      // A lower number is that of a delegation that this cell has ended.
      if (delegation.cell != cell_ || task == nullptr ||
          task->phase != task_phase::kElsewhere ||
          delegation.owner_epoch > own_epoch_ ||
          delegation.first_run < task->first_run) {
        continue;
      }
      task->first_run = delegation.first_run;
      const auto crashed = step.crashes.find(index);
      SetCrashes(ref, crashed == step.crashes.end() ? crashed_runs()
                                                    : crashed->second);
      // No earlier owner has started a task that was delegated to this one.
      const bool delegated_to_this_owner =
          delegation.owner_epoch > 0 && delegation.owner_epoch == own_epoch_;
      if (maybe_running && !delegated_to_this_owner) {
        // It may have run here since, so that another wait may have begun.
        task->BeginWait(now, now);
        task->phase = task_phase::kMaybeRunning;
      } else {
        task->BeginWait(BeginOfWait(WaitingSince(&step, index), now), now);
        MakeReady(ref, *task);
      }
    }
  }
}

bool job_table::CanDelegate(const task_ref& ref) const {
  const open_job* job = Find(ref.job);
  return job != nullptr && !job->is_delegated &&
         DelegationObstacle(ref) == delegation_obstacle::kNone;
}

delegation_obstacle job_table::DelegationObstacle(const task_ref& ref) const {
  const open_job* job = Find(ref.job);
  const task_state* task = Find(ref);
  if (job == nullptr || task == nullptr ||
      !job->spec.steps[ref.step].long_running) {
    return delegation_obstacle::kNotReady;
  }
  if (job->is_delegated) {
    return ObstacleToMove(*task);
  }
  const step_spec& step = job->spec.steps[ref.step];
  if (job->spec.repeat_count > 0) {
    return delegation_obstacle::kRepeatingJob;
  }
  if (step.gang) {
    return delegation_obstacle::kGang;
  }
  if (!step.required_label.empty()) {
    return delegation_obstacle::kLabel;
  }
  return ObstacleToMove(*task);
}

delegation_obstacle job_table::ObstacleToMove(const task_state& task) {
  if (!task.checkpoint.empty()) {
    return delegation_obstacle::kCheckpoint;
  }
  return task.phase == task_phase::kReady && task.last_run_ended_at
             ? delegation_obstacle::kNone
             : delegation_obstacle::kNotReady;
}

void job_table::Delegate(const task_ref& ref,
                         cell_id to,
                         epoch to_owner,
                         epoch own_epoch) {
  task_state& task = *MutableTask(ref);
  const run_number first_run =
      std::max(NextRun(ref, own_epoch), task.first_run + 1);
  task.phase = task_phase::kElsewhere;
  RemoveIfNoneReady(StepOf(ref));
  open_job& job = jobs_.find(ref.job)->second;
  FindOrAddProgress(job, ref).delegations[ref.index] = {
      .cell = to, .first_run = first_run, .owner_epoch = to_owner};
  RecordWait(job, ref);
  changed_.insert(ref.job);
}

}  // namespace skylarkbridge::jobs
