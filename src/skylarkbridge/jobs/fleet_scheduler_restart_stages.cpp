// Accounts the waits of long-running tasks to the stages of restart_stages.hpp:
// by what the last placement pass lacked, and by what happens between passes.
#include <algorithm>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::BeginRestartStages(const task_ref& task,
                                         time_point known_since) {
  // This owner learns that a task which an earlier owner has started may wait
  // when its job is added. So it does of one that was delegated to it with its
  // job, which waits for no worker.
  const open_job& job = *jobs_.Find(task.job);
  const bool taken_over = !job.is_delegated && known_since == job.added_at;
  restart_stages_.Begin(
      task, known_since,
      taken_over ? restart_stage::kTakeover : restart_stage::kNextPass);
}

void fleet_scheduler::EnterBlockedStages(time_point now) {
  for (const auto& [task, blocked] : blocked_restarts_) {
    const task_state* state = jobs_.Find(task);
    if (state == nullptr || state->phase != task_phase::kReady ||
        !state->wait_known_since) {
      continue;
    }
    BeginRestartStages(task, *state->wait_known_since);
    restart_obstacle obstacle = blocked.obstacle;
    // The pass keeps the takeover as the cause of a restart that may not start
    // for another reason by now.
    if (obstacle == restart_obstacle::kUnreportedWorkers) {
      obstacle = now < state->not_before ? restart_obstacle::kRetryDelay
                                         : restart_obstacle::kUnstoredEnd;
    }
    restart_stages_.Enter(task, StageOf(obstacle), now);
  }
}

void fleet_scheduler::EnterOwnershipStage(time_point now) {
  for (const waiting_restart& restart : jobs_.WaitingRestarts()) {
    BeginRestartStages(restart.task, restart.known_since);
    restart_stages_.Enter(restart.task, restart_stage::kOwnership, now);
  }
  UpdateRestartStages(now);
}

void fleet_scheduler::UpdateRestartStages(time_point now) {
  restart_stages_.Update(
      now, [this](const task_ref& task) { return OutcomeOfWait(task); });
}

restart_wait_outcome fleet_scheduler::OutcomeOfWait(
    const task_ref& task) const {
  const task_state* state = jobs_.Find(task);
  if (state == nullptr || state->not_before == time_point::max()) {
    return restart_wait_outcome::kDropped;
  }
  switch (state->phase) {
    case task_phase::kReady:
    case task_phase::kMaybeRunning:
      return restart_wait_outcome::kWaits;
    case task_phase::kElsewhere:
      return restart_wait_outcome::kEnded;
    case task_phase::kActive:
      return HasConfirmedRun(task, *state) ? restart_wait_outcome::kEnded
                                           : restart_wait_outcome::kWaits;
    case task_phase::kWaiting:
    case task_phase::kDone:
      break;
  }
  return restart_wait_outcome::kDropped;
}

bool fleet_scheduler::HasConfirmedRun(const task_ref& task,
                                      const task_state& state) const {
  return std::any_of(
      state.active_runs.begin(), state.active_runs.end(),
      [&](const active_run& active) {
        const auto worker = workers_.find(active.worker);
        if (worker == workers_.end()) {
          return false;
        }
        const auto run = worker->second.runs.find({task, active.run});
        return run != worker->second.runs.end() && run->second.confirmed;
      });
}

restart_stage_times fleet_scheduler::LongestRestartStages(
    time_point now) const {
  restart_stage_times longest = restart_stages_.LongestWaits(now);
  // Whether these tasks run is not known, so they have no account yet.
  if (!jobs_.UnreportedLongRunningTasks().empty()) {
    time_point::duration& takeover = longest[restart_stage::kTakeover];
    takeover = std::max<time_point::duration>(takeover, TakeoverWait(now));
  }
  return longest;
}

}  // namespace skylarkbridge::jobs
