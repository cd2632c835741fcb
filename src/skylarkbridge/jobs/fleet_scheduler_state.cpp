#include <algorithm>
#include <set>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::CountPass(const placement_summary& pass) {
  ++placement_counts_.passes;
  if (pass.not_reached == 0) {
    return;
  }
  if (pass.ended_by == pass_end::kStartLimit) {
    ++placement_counts_.cut_by_start_limit;
  } else {
    ++placement_counts_.cut_by_unplaced_steps;
  }
}

ready_backlog fleet_scheduler::ReadyBacklog(time_point now) const {
  ready_backlog backlog;
  for (const step_ref& ref : jobs_.ReadySteps()) {
    const std::vector<std::uint32_t> ready = jobs_.ReadyTasks(ref, now);
    backlog.steps += ready.empty() ? 0 : 1;
    backlog.tasks += ready.size();
    const time_point added_at = jobs_.Find(ref.job)->added_at;
    const std::vector<task_state>& tasks = jobs_.Find(ref)->tasks;
    for (const std::uint32_t index : ready) {
      const auto wait = std::chrono::floor<std::chrono::milliseconds>(
          now - tasks[index].last_run_ended_at.value_or(added_at));
      if (wait > backlog.oldest_wait) {
        backlog.oldest_wait = wait;
        backlog.oldest = TaskOf(ref, index);
      }
    }
  }
  return backlog;
}

run_counts fleet_scheduler::CountRuns() const {
  run_counts counts;
  for (const auto& [id, session] : workers_) {
    counts.all += session.runs.size();
    // A worker that restarts numbers its ends from 1 again.
    counts.unstored_ends += session.last_applied_ended_run -
                            std::min(session.last_applied_ended_run,
                                     session.last_durable_ended_run);
    for (const auto& [run, state] : session.runs) {
      counts.unconfirmed += state.confirmed ? 0 : 1;
      counts.at_zero_speed += state.pace.speed_percent == 0 ? 1 : 0;
    }
  }
  return counts;
}

void fleet_scheduler::AddReservations(kept_room& kept) const {
  std::set<task_ref> relocated;
  for (const auto& [waiting, move] : relocations_) {
    relocated.insert(move.run.task);
  }
  std::set<task_ref> restarting;
  for (const waiting_restart& restart : jobs_.WaitingRestarts()) {
    restarting.insert(restart.task);
  }
  for (const auto& [task, worker] : reserved_workers_) {
    const step_spec* step = jobs_.Spec(StepOf(task));
    if (step == nullptr) {
      continue;
    }
    const std::int64_t need = ReservedResources(*step).millicores;
    if (relocated.contains(task)) {
      kept.for_relocations += need;
    } else if (restarting.contains(task)) {
      kept.for_restarts += need;
    } else {
      kept.for_other_tasks += need;
    }
  }
}

kept_room fleet_scheduler::KeptRoom(time_point now) const {
  kept_room kept;
  AddReservations(kept);
  placement_pass pass;
  pass.reserved_room = restart_room_;
  pass.reserved_workers = reserved_workers_;
  ReserveForExpectedRestarts(pass, now);
  for (const auto& [worker, room] : pass.expected_restart_room) {
    kept.for_silent_workers += room.millicores;
  }
  for (const auto& [id, session] : workers_) {
    if (!Usable(session, now)) {
      continue;
    }
    for (const auto& [run, state] : session.runs) {
      kept.by_stops += state.stop_wanted ? state.reserved.millicores : 0;
    }
  }
  return kept;
}

owner_state fleet_scheduler::State(time_point now) const {
  const cell_room room = FreeRoom(now);
  owner_state state{.open_jobs = jobs_.Jobs().size(),
                    .ready = ReadyBacklog(now),
                    .pass = last_summary_,
                    .counts = placement_counts_,
                    .starts_in_flight = start_limit_.InFlight(),
                    .start_limit = start_limit_.Limit(),
                    .workers = workers_.size(),
                    .usable_workers = UsableWorkers(now),
                    .free_millicores = room.total,
                    .largest_free_millicores = room.largest,
                    .runs = CountRuns(),
                    .waiting_restarts = WaitingRestarts(),
                    .longest_restart_wait = LongestRestartWait(now),
                    .kept = KeptRoom(now)};
  for (const auto& [id, session] : workers_) {
    if (Usable(session, now)) {
      state.total_millicores += session.entry.capacity.millicores;
      state.long_running_millicores += session.used_by_long_running.millicores;
    }
  }
  return state;
}

}  // namespace skylarkbridge::jobs
