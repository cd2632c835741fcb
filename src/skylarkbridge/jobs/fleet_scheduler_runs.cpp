#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

step_spec fleet_scheduler::SpecOf(const run_ref& run,
                                  const worker_session& session) const {
  const job_state* job = registry_->Find(run.task.job);
  if (job != nullptr && run.task.step < job->spec.steps.size()) {
    return job->spec.steps[run.task.step];
  }
  return {.need = session.entry.capacity};
}

worker_run& fleet_scheduler::AddRun(worker_session& session,
                                    const run_ref& run,
                                    const step_spec& step) {
  worker_run& state = session.runs[run];
  SetStep(state, step);
  AddRoom(session, state);
  return state;
}

void fleet_scheduler::SetStep(worker_run& state, const step_spec& step) {
  state.reserved = ReservedResources(step);
  state.best_effort_millicores = step.best_effort ? step.need.millicores : 0;
  state.serving = step.latency_target.count() > 0;
  state.long_running = step.long_running;
  state.gang = step.gang;
  state.latency_target = step.latency_target;
  state.image = step.image;
}

void fleet_scheduler::AddRoom(worker_session& session,
                              const worker_run& state) {
  session.used += state.reserved;
  if (state.long_running) {
    session.used_by_long_running += state.reserved;
  } else if (state.gang) {
    session.used_by_gangs += state.reserved;
  }
  session.best_effort_millicores += state.best_effort_millicores;
  if (state.serving) {
    session.serving_millicores += state.reserved.millicores;
  }
}

void fleet_scheduler::SubtractRoom(worker_session& session,
                                   const worker_run& state) {
  session.used -= state.reserved;
  if (state.long_running) {
    session.used_by_long_running -= state.reserved;
  } else if (state.gang) {
    session.used_by_gangs -= state.reserved;
  }
  session.best_effort_millicores -= state.best_effort_millicores;
  if (state.serving) {
    session.serving_millicores -= state.reserved.millicores;
  }
}

void fleet_scheduler::RemoveRun(worker_session& session, const run_ref& run) {
  const auto found = session.runs.find(run);
  if (found == session.runs.end()) {
    return;
  }
  const worker_run& state = found->second;
  SubtractRoom(session, state);
  if (state.best_effort_millicores == 0) {
    session.changes.run_removed = last_pass_;
    session.changes.removed_run = run;
  }
  session.runs.erase(found);
}

void fleet_scheduler::DropMissingRun(worker_session& session,
                                     const run_ref& run,
                                     time_point now) {
  const worker_run& state = session.runs.find(run)->second;
  const bool confirmed = state.confirmed;
  if (!confirmed) {
    RecordLateStart(session, run.task, state);
  }
  RemoveRun(session, run);
  if (confirmed) {
    jobs_.RecordLoss(run, now);
  } else {
    jobs_.RecordRejectedStart(run, now);
  }
}

void fleet_scheduler::StartTask(worker_session& session,
                                const step_spec& step,
                                const run_ref& run,
                                time_point now) {
  worker_run& state = AddRun(session, run, step);
  state.ordered_at = now;
  // Runs start at full speed.
  state.pace.speed_percent = 100;
  state.start_by =
      session.lease.EstimateWorkerTime(now, options_.start_validity);
  if (const std::string* const ticket =
          permits_.FindTicket(StepOf(run.task), session.entry.worker, now)) {
    state.ticket = *ticket;
  }
  session.lease.Extend(LatestLeaseExpiry(now));
  std::optional<std::chrono::milliseconds> restart_wait;
  std::optional<restart_cause> cause;
  if (const task_state* task = jobs_.Find(run.task); task != nullptr) {
    state.checkpoint = task->checkpoint;
    if (step.long_running && task->last_run_ended_at) {
      restart_wait = std::chrono::floor<std::chrono::milliseconds>(
          now - *task->last_run_ended_at);
      cause = CauseOfRestart(run.task, session);
      BeginRestartStages(run.task, *task->wait_known_since);
    }
  }
  restart_stages_.Enter(run.task, restart_stage::kStartOrder, now);
  IsolateSuspect(session, run, state, now);
  jobs_.RecordStart(run, session.entry.worker);
  start_limit_.Sent(run, now);
  ++placement_counts_.starts;
  first_start_deadlines_.erase(run.task);
  SendStart(session, run, state);
  AddNote(scheduling_event::kStartOrdered, run, session.entry.worker,
          absl::StrCat("room ", session.Room().millicores, " need ",
                       step.need.millicores));
  notes_.back().restart_wait = restart_wait;
  notes_.back().restart_cause = cause;
  if (cause) {
    notes_.back().longest_stage = restart_stages_.Longest(run.task);
  }
}

void fleet_scheduler::SendStart(worker_session& session,
                                const run_ref& run,
                                const worker_run& state) {
  const open_job* job = jobs_.Find(run.task.job);
  orders_.emplace_back(
      start_order{.target = Target(session),
                  .run = run,
                  .payload = job == nullptr ? "" : job->spec.payload,
                  .start_by = state.start_by,
                  .checkpoint = state.checkpoint,
                  .ticket = state.ticket});
}

void fleet_scheduler::Handle(const start_reply& reply, time_point now) {
  if (reply.fence.owner_epoch != epoch_) {
    return;
  }
  if (reply.result == order_result::kNoAnswer) {
    start_limit_.Unanswered(reply.run, now);
  } else {
    start_limit_.Answered(reply.run, now);
  }
  const auto worker = workers_.find(reply.worker);
  if (worker == workers_.end()) {
    return;
  }
  worker_session& session = worker->second;
  if (reply.result == order_result::kFenced) {
    HandleFenced(session, reply.fence);
  }
  if (reply.result == order_result::kNoAnswer) {
    HandleUnansweredStart(session, reply, now);
    return;
  }
  const auto found = session.runs.find(reply.run);
  if (found == session.runs.end()) {
    return;
  }
  worker_run& run = found->second;
  if (reply.result == order_result::kDone) {
    session.last_confirmed_start = now;
    EndStartBackoff(session, now);
    run.confirmed = true;
    jobs_.RecordConfirmedStart(reply.run.task.job);
    if (run.phase == run_phase::kStarting) {
      run.phase = run_phase::kRunning;
    }
    run.first_conclusive_renewal = session.last_renewal + 1;
    // The worker counts the lease from the time at which it carried out the
    // order.
    session.lease.Extend(LatestLeaseExpiry(now));
    SendStops(session, now);
    return;
  }
  if (run.phase != run_phase::kStarting) {
    return;
  }
  session.excluded_until =
      std::max(session.excluded_until, now + options_.fault_backoff);
  if (reply.result == order_result::kNoPermit) {
    permits_.Refused(StepOf(reply.run.task), reply.worker);
  }
  AddNote(scheduling_event::kStartRefused, reply.run, reply.worker,
          absl::StrCat(static_cast<int>(reply.result)));
  RemoveRun(session, reply.run);
  jobs_.RecordRejectedStart(reply.run, now);
  placement_pending_ = true;
}

std::chrono::milliseconds fleet_scheduler::StartBackoff(
    const worker_session& session) const {
  std::chrono::milliseconds backoff = options_.fault_backoff;
  for (int start = 1; start < session.unanswered_starts &&
                      backoff < options_.max_start_backoff;
       ++start) {
    backoff *= 2;
  }
  return std::min(backoff, options_.max_start_backoff);
}

void fleet_scheduler::EndStartBackoff(worker_session& session,
                                      time_point now) const {
  session.unanswered_starts = 0;
  session.start_backoff_until =
      std::min(session.start_backoff_until, now + options_.fault_backoff);
}

void fleet_scheduler::HandleUnansweredStart(worker_session& session,
                                            const start_reply& reply,
                                            time_point now) {
  late_start_watch_.Add(reply.worker, now + options_.max_order_delay);
  if (reply.fence == session.fence) {
    // Starts with the same token that fail together count once.
    ++session.unanswered_starts;
    RaiseFence(session, now);
  }
  session.start_backoff_until =
      std::max(session.start_backoff_until, now + StartBackoff(session));
  const auto found = session.runs.find(reply.run);
  if (found == session.runs.end() ||
      found->second.phase != run_phase::kStarting) {
    return;
  }
  AddNote(scheduling_event::kStartUncertain, reply.run, reply.worker,
          "no answer");
  found->second.phase = run_phase::kUncertain;
  found->second.first_conclusive_renewal = session.first_renewal_of_fence;
  SendStops(session, now);
}

void fleet_scheduler::RequestStop(const std::string& worker,
                                  const run_ref& run) {
  const auto session = workers_.find(worker);
  if (session == workers_.end()) {
    return;
  }
  const auto found = session->second.runs.find(run);
  if (found != session->second.runs.end()) {
    found->second.stop_wanted = true;
  }
}

void fleet_scheduler::RequestStops(const std::vector<run_to_stop>& runs,
                                   bool detach) {
  for (const run_to_stop& stop : runs) {
    RequestStop(stop.worker, stop.run);
    const auto session = workers_.find(stop.worker);
    if (detach && session != workers_.end()) {
      const auto run = session->second.runs.find(stop.run);
      if (run != session->second.runs.end()) {
        run->second.detached = true;
      }
    }
  }
}

void fleet_scheduler::SendStops(worker_session& session, time_point now) {
  if (now >= orders_until_) {
    return;
  }
  for (auto& [run, state] : session.runs) {
    if (!state.stop_wanted || state.stop_under_way ||
        now < state.earliest_stop_retry ||
        state.phase == run_phase::kStopping ||
        state.phase == run_phase::kStarting) {
      continue;
    }
    state.stop_under_way = true;
    ++state.stop_attempts;
    orders_.emplace_back(stop_order{.target = Target(session), .run = run});
    AddNote(scheduling_event::kStopOrdered, run, session.entry.worker);
  }
}

void fleet_scheduler::Handle(const stop_reply& reply, time_point now) {
  const auto worker = workers_.find(reply.worker);
  if (worker == workers_.end() || reply.fence.owner_epoch != epoch_) {
    return;
  }
  worker_session& session = worker->second;
  if (reply.result == order_result::kFenced) {
    HandleFenced(session, reply.fence);
  }
  const auto found = session.runs.find(reply.run);
  if (found == session.runs.end()) {
    return;
  }
  worker_run& run = found->second;
  run.stop_under_way = false;
  run.last_stop_result = reply.result;
  if (reply.result == order_result::kDone ||
      reply.result == order_result::kStaleRun) {
    run.phase = run_phase::kStopping;
    run.first_conclusive_renewal = session.last_renewal + 1;
    run.earliest_stop_retry =
        now + options_.stop_timeout + options_.stop_retry_delay;
  } else {
    run.earliest_stop_retry = now + options_.stop_retry_delay;
  }
}

void fleet_scheduler::Handle(const permit_reply& reply, time_point now) {
  permits_.Handle(reply, now);
  placement_pending_ = true;
}

}  // namespace skylarkbridge::jobs
