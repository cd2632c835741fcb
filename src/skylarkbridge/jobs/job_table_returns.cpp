#include <algorithm>

#include "skylarkbridge/jobs/job_progress_queries.hpp"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

bool job_table::CanReturn(const task_ref& ref) const {
  const open_job* job = Find(ref.job);
  return job != nullptr && job->is_delegated &&
         DelegationObstacle(ref) == delegation_obstacle::kNone;
}

returned_task job_table::Return(const task_ref& ref, epoch own_epoch) {
  const run_number first_run = Find(ref)->first_run;
  const crashed_runs* crashes = FindCrashes(ref);
  returned_task returned{
      .task = ref,
      .first_run = first_run,
      .next_run = std::max(NextRun(ref, own_epoch), first_run + 1),
      .crashes = crashes == nullptr ? crashed_runs() : *crashes};
  if (clocks_) {
    returned.waiting_since = clocks_->ToWall(*Find(ref)->last_run_ended_at);
  }
  ApplyReturn(returned);
  return returned;
}

void job_table::ApplyReturn(const returned_task& returned) {
  const open_job* job = Find(returned.task.job);
  task_state* task = MutableTask(returned.task);
  if (job == nullptr || task == nullptr || !job->is_delegated ||
      task->first_run > returned.first_run) {
    return;
  }
  task->phase = task_phase::kElsewhere;
  task->first_run = returned.next_run;
  RemoveIfNoneReady(StepOf(returned.task));
}

bool job_table::TakeBack(cell_id from,
                         const returned_task& returned,
                         time_point now) {
  const task_ref& ref = returned.task;
  const auto entry = jobs_.find(ref.job);
  task_state* task = MutableTask(ref);
  if (task == nullptr || entry->second.is_delegated ||
      task->phase != task_phase::kElsewhere) {
    return false;
  }
  open_job& job = entry->second;
  auto& delegations = FindOrAddProgress(job, ref).delegations;
  const auto present = delegations.find(ref.index);
  if (present == delegations.end() || present->second.cell != from ||
      present->second.first_run != returned.first_run) {
    return false;
  }
  present->second = {.cell = cell_, .first_run = returned.next_run};
  task->first_run = returned.next_run;
  const bool waits_for_first_run = task->waits_for_first_run;
  task->BeginWait(BeginOfWait(returned.waiting_since, now), now);
  task->waits_for_first_run = waits_for_first_run;
  task->not_before = now;
  // Also holds the start back until the new entry is stored.
  RecordLastEndedRun(job, {ref, returned.next_run - 1});
  RecordWait(job, ref);
  SetCrashes(ref, returned.crashes);
  MakeReady(ref, *task);
  return true;
}

}  // namespace skylarkbridge::jobs
