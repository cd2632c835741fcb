// Runs that workers report and whose tasks this owner does not know yet. After
// a takeover it may not have read the acceptance of a job, or the delegation of
// a task, in the log of another cell; and by its clock an occurrence that an
// earlier owner has started may not be due. What it doesn't know it neither
// stops nor acknowledges.
#include <algorithm>
#include <utility>
#include <vector>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

bool fleet_scheduler::MayBecomeKnown(const run_ref& run,
                                     time_point reported_at) const {
  const job_state* job = registry_->Find(run.task.job);
  const task_state* task = jobs_.Find(run.task);
  if (job != nullptr && job->Ended()) {
    return false;
  }
  if (job != nullptr && registry_->RunsHere(*job)) {
    const bool in_spec =
        run.task.step < job->spec.steps.size() &&
        run.task.index < job->spec.steps[run.task.step].count &&
        run.task.occurrence < std::max(job->spec.repeat_count, 1U);
    const open_job* open = jobs_.Find(run.task.job);
    const bool complete =
        open != nullptr &&
        run.task.occurrence < open->progress.complete_occurrences;
    return task == nullptr && in_spec && !complete;
  }
  const bool known = task != nullptr && task->phase != task_phase::kElsewhere;
  // The run was started after its job was accepted or its task delegated, so
  // that a log read since the report shows both.
  const bool all_read =
      other_logs_read_until_ && reported_at < *other_logs_read_until_;
  return !known && !all_read;
}

void fleet_scheduler::AcknowledgeAppliedEnds(worker_session& session) {
  std::uint64_t last = session.last_applied_ended_run;
  if (const auto unmatched =
          unmatched_ends_.FirstListed(session.entry.worker)) {
    last = *unmatched - 1;
  }
  if (last > session.last_pending_ended_run) {
    // The next log write contains the job changes that these ends caused.
    session.pending_ended_runs.emplace_back(last, write_number_ + 1);
    session.last_pending_ended_run = last;
  }
}

void fleet_scheduler::ResolveUnmatchedRuns(time_point now) {
  const std::vector<unmatched_end> settled =
      unmatched_ends_.TakeIf([this](const unmatched_end& unmatched) {
        return !MayBecomeKnown(unmatched.end.run, unmatched.reported_at);
      });
  for (const unmatched_end& unmatched : settled) {
    AddNote(
        scheduling_event::kEndMatched, unmatched.end.run, unmatched.worker,
        jobs_.Find(unmatched.end.run.task) == nullptr ? "not in the logs" : "");
    RecordEnd(unmatched.end, now);
    if (const auto worker = workers_.find(unmatched.worker);
        worker != workers_.end()) {
      AcknowledgeAppliedEnds(worker->second);
    }
  }
  if (!std::exchange(has_unmatched_runs_, false)) {
    return;
  }
  for (auto& [id, session] : workers_) {
    for (auto& [run, state] : session.runs) {
      if (state.unmatched) {
        ResolveUnmatchedRun(session, run, state, now);
      }
      has_unmatched_runs_ |= state.unmatched;
    }
  }
}

void fleet_scheduler::ResolveUnmatchedRun(worker_session& session,
                                          const run_ref& run,
                                          worker_run& state,
                                          time_point now) {
  if (MayBecomeKnown(run, *state.first_reported_at)) {
    return;
  }
  if (jobs_.CanAdopt(run)) {
    AdoptKnownLate(session, run, state, now);
    return;
  }
  state.unmatched = false;
  state.stop_wanted = true;
  AddNote(scheduling_event::kUnexpectedRun, run, session.entry.worker);
}

void fleet_scheduler::AdoptRunsKnownLate(job_id job, time_point now) {
  for (auto& [id, session] : workers_) {
    for (auto& [run, state] : session.runs) {
      if (run.task.job == job && jobs_.CanAdopt(run)) {
        AdoptKnownLate(session, run, state, now);
      }
    }
  }
}

void fleet_scheduler::AdoptKnownLate(worker_session& session,
                                     const run_ref& run,
                                     worker_run& state,
                                     time_point now) {
  // Until now its need was not known, so that all capacity was reserved.
  SubtractRoom(session, state);
  SetStep(state, SpecOf(run, session));
  AddRoom(session, state);
  state.need_unknown = false;
  state.unmatched = false;
  state.detached = false;
  const bool being_stopped = state.stop_wanted;
  Adopt(session, run, state, now);
  state.stop_wanted |= being_stopped;
}

}  // namespace skylarkbridge::jobs
