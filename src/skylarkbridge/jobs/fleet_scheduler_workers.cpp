#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A worker that is missing from the list for longer is considered removed;
/// shorter gaps can be errors of the platform's store.
constexpr std::chrono::milliseconds kUnlistedGrace{2500};

}  // namespace

void fleet_scheduler::WorkerListed(const worker_entry& entry, time_point now) {
  if (!active_) {
    return;
  }
  const auto [position, added] = workers_.try_emplace(
      entry.worker, std::max(earlier_leases_until_, LatestLeaseExpiry(now)));
  worker_session& session = position->second;
  const bool starts_draining =
      entry.draining && (added || !session.entry.draining);
  session.entry = entry;
  if (session.unlisted_since) {
    session.changes.returned = last_pass_;
  }
  session.unlisted_since.reset();
  session.entry_rejected = false;
  UpdateEvacuation(session, added, now);
  if (added) {
    session.next_renewal = now;
  }
  if (entry.start_time && session.start_time &&
      *entry.start_time > *session.start_time) {
    HandleRestart(session, now);
    session.start_time = entry.start_time;
  }
  if (starts_draining) {
    Evacuate(session, now);
  }
  placement_pending_ = true;
}

void fleet_scheduler::WorkerEntryRejected(const std::string& worker) {
  if (const auto session = workers_.find(worker); session != workers_.end()) {
    session->second.entry_rejected = true;
  }
}

void fleet_scheduler::WorkerUnlisted(const std::string& worker,
                                     time_point now) {
  if (const auto session = workers_.find(worker);
      session != workers_.end() && !session->second.unlisted_since) {
    session->second.unlisted_since = now;
  }
}

bool fleet_scheduler::Usable(const worker_session& session,
                             time_point now) const {
  return session.has_reported && session.registered &&
         !session.entry.draining && !session.entry_rejected &&
         !session.unlisted_since && now >= session.excluded_until &&
         now < session.last_answer + options_.max_silence;
}

std::size_t fleet_scheduler::UsableWorkers(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& entry) { return Usable(entry.second, now); }));
}

void fleet_scheduler::Renew(worker_session& session, time_point now) {
  const bool removed_from_list =
      session.unlisted_since && now > *session.unlisted_since + kUnlistedGrace;
  renew_order renewal{.target = Target(session),
                      .renewal_number = ++session.last_renewal,
                      // After an unanswered renewal the worker may have
                      // restarted and number its ended runs from 1 again.
                      .acknowledged = session.failed_renewals == 0
                                          ? session.last_durable_ended_run
                                          : 0};
  // The lease of a worker that does not answer is not extended, so that its
  // tasks can start elsewhere when it expires.
  if (session.lease.IsSynchronised() && !removed_from_list &&
      session.failed_renewals == 0 && MayExtendLease(session)) {
    renewal.lease_until = session.lease.EstimateWorkerTime(now, options_.lease);
    session.lease.Extend(LatestLeaseExpiry(now));
  }
  if (session.has_reported && session.lease.IsSynchronised() &&
      session.failed_renewals == 0 && session.pending_ended_runs.empty() &&
      MayExtendLease(session)) {
    renewal.wait = session.over_target_since ? options_.over_target_renewal_wait
                                             : options_.renewal_wait;
  }
  session.renewal_under_way = true;
  orders_.emplace_back(std::move(renewal));
}

void fleet_scheduler::Handle(const renew_reply& reply, time_point now) {
  const auto found = workers_.find(reply.worker);
  if (found == workers_.end() ||
      reply.renewal_number != found->second.last_renewal ||
      !found->second.renewal_under_way) {
    return;
  }
  worker_session& session = found->second;
  session.renewal_under_way = false;
  if (reply.result == order_result::kFenced) {
    fenced_ = true;
    return;
  }
  if (reply.result != order_result::kDone || !reply.report) {
    ++session.failed_renewals;
    session.next_renewal = now + options_.renewal_retry_delay *
                                     std::min(session.failed_renewals, 5);
    if (session.failed_renewals == 1) {
      AddNote(scheduling_event::kWorkerQuiet, {}, reply.worker,
              absl::StrCat("runs ", session.runs.size()));
    }
    return;
  }
  session.failed_renewals = 0;
  ApplyReport(session, reply.renewal_number, *reply.report, now);
  if (now >= session.last_answer + options_.max_silence) {
    session.changes.returned = last_pass_;
  }
  session.last_answer = now;
  session.next_renewal =
      session.pending_ended_runs.empty() && MayExtendLease(session)
          ? now
          : now + options_.unstored_renewal_interval;
}

void fleet_scheduler::ApplyReport(worker_session& session,
                                  std::uint64_t renewal_number,
                                  const worker_report& report,
                                  time_point now) {
  if (report.start_time && session.start_time &&
      *report.start_time != *session.start_time) {
    HandleRestart(session, now);
  }
  if (report.start_time) {
    session.start_time = report.start_time;
  }
  session.lease.Synchronise(report.clock, now);
  std::erase_if(session.unanswered_starts, [now](const auto& unanswered_start) {
    return now >= unanswered_start.second;
  });
  ApplyEndedRuns(session, report, now);
  for (const running_task& task : report.running) {
    ApplyRunning(session, task, renewal_number, now);
  }
  DropMissingRuns(session, renewal_number, report, now);
  UpdateInterferenceModel(session);
  AdjustPaces(session, now);
  if (!session.has_reported) {
    session.has_reported = true;
    session.changes.joined = last_pass_;
    // No task is started on the worker before this is stored.
    leased_workers_changed_ = true;
    // From now on the worker refuses the orders of earlier owners.
    session.lease.LimitTo(LatestLeaseExpiry(now));
    placement_pending_ = true;
    AddNote(scheduling_event::kWorkerAccounted, {}, session.entry.worker,
            absl::StrCat("running ", report.running.size(), " ended ",
                         report.ended.size()));
  }
}

void fleet_scheduler::HandleRestart(worker_session& session, time_point now) {
  AddNote(scheduling_event::kWorkerRestarted, {}, session.entry.worker,
          absl::StrCat("runs ", session.runs.size()));
  if (!session.entry.draining) {
    RecordCrash(session);
  }
  std::vector<run_ref> lost;
  for (auto& [run, state] : session.runs) {
    const bool may_still_start = state.phase == run_phase::kStarting ||
                                 state.phase == run_phase::kUncertain ||
                                 session.unanswered_starts.contains(run);
    if (!may_still_start) {
      lost.push_back(run);
      continue;
    }
    // The restarted worker may still carry out the order, so the run has to be
    // stopped there before the task can run elsewhere.
    state.phase = run_phase::kUncertain;
    state.stop_wanted = true;
    state.first_conclusive_renewal = 0;
  }
  for (const run_ref& run : lost) {
    RemoveRun(session, run);
    jobs_.RecordLossInRestart(run, now);
  }
  for (const auto& [run, until] : session.unanswered_starts) {
    if (now >= until || session.runs.contains(run)) {
      continue;
    }
    worker_run& state = AddRun(session, run, SpecOf(run, session));
    state.phase = run_phase::kUncertain;
    state.stop_wanted = true;
    state.detached = true;
  }
  session.lease.Reset(LatestLeaseExpiry(now));
  permits_.WorkerRestarted(session.entry.worker);
  session.last_applied_ended_run = 0;
  session.last_durable_ended_run = 0;
  session.pending_ended_runs.clear();
  session.next_renewal = now;
  placement_pending_ = true;
}

void fleet_scheduler::ApplyEndedRuns(worker_session& session,
                                     const worker_report& report,
                                     time_point now) {
  bool has_new_ends = false;
  for (const ended_task& end : report.ended) {
    if (end.number > session.last_applied_ended_run) {
      ApplyEndedRun(session, end, now);
      session.last_applied_ended_run = end.number;
      has_new_ends = true;
    }
  }
  if (has_new_ends) {
    // The next log write contains the job changes that these ends caused.
    session.pending_ended_runs.emplace_back(session.last_applied_ended_run,
                                            write_number_ + 1);
  }
}

void fleet_scheduler::ApplyEndedRun(worker_session& session,
                                    const ended_task& end,
                                    time_point now) {
  const auto found = session.runs.find(end.run);
  if (found != session.runs.end()) {
    RemoveRun(session, end.run);
  }
  const queue_configuration* queue = Queue(end.run.task.job);
  const std::uint32_t max_attempts = queue == nullptr ? 1 : queue->max_attempts;
  if (end.outcome == run_end::kFailed) {
    if (++session.consecutive_failures >= options_.failures_for_quarantine) {
      session.excluded_until = now + options_.quarantine;
      // One more failure after the quarantine starts the next one.
      session.consecutive_failures = options_.failures_for_quarantine - 1;
      AddNote(scheduling_event::kWorkerQuarantined, end.run,
              session.entry.worker);
    }
  } else if (end.outcome == run_end::kDone) {
    session.consecutive_failures = 0;
  }
  AddNote(scheduling_event::kRunEnded, end.run, session.entry.worker,
          absl::StrCat(static_cast<int>(end.outcome)));
  if (const auto cancelled_at = CancelledAt(end.run.task.job)) {
    notes_.back().cancel_wait =
        std::chrono::floor<std::chrono::milliseconds>(now - *cancelled_at);
  }
  RequestStops(
      jobs_.RecordEnd(end.run, end.outcome, end.checkpoint, max_attempts, now),
      true);
  placement_pending_ = true;
}

void fleet_scheduler::ApplyRunning(worker_session& session,
                                   const running_task& task,
                                   std::uint64_t renewal_number,
                                   time_point now) {
  const auto found = session.runs.find(task.run);
  if (found == session.runs.end()) {
    AdoptOrStop(session, task, now);
    return;
  }
  worker_run& run = found->second;
  run.confirmed = true;
  if (run.phase == run_phase::kStarting || run.phase == run_phase::kUncertain) {
    run.phase = run_phase::kRunning;
    run.first_conclusive_renewal = renewal_number;
  }
  if (run.phase == run_phase::kStopping && now >= run.earliest_stop_retry) {
    // The worker has acknowledged the stop order, but still lists the run.
    run.phase = run_phase::kRunning;
  }
  if (task.progress_percent != run.progress_percent) {
    run.progress_percent = task.progress_percent;
    run.progressed_at = now;
  }
  run.measurement = task.measurement;
  if (run.checkpoint != task.checkpoint && !run.detached) {
    run.checkpoint = task.checkpoint;
    jobs_.RecordCheckpoint(task.run, task.checkpoint);
  }
}

void fleet_scheduler::AdoptOrStop(worker_session& session,
                                  const running_task& task,
                                  time_point now) {
  const bool adopt = jobs_.CanAdopt(task.run);
  worker_run& run = AddRun(session, task.run, SpecOf(task.run, session));
  run.phase = run_phase::kRunning;
  run.confirmed = true;
  run.first_conclusive_renewal = session.last_renewal;
  run.progress_percent = task.progress_percent;
  run.progressed_at = now;
  run.ordered_at = now;
  run.measurement = task.measurement;
  run.checkpoint = task.checkpoint;
  if (adopt) {
    jobs_.RecordStart(task.run, session.entry.worker);
    jobs_.RecordCheckpoint(task.run, task.checkpoint);
    if (IsSuspected(task.run.task)) {
      session.last_suspect_start = now;
    }
    AddNote(scheduling_event::kRunAdopted, task.run, session.entry.worker);
    run.stop_wanted =
        session.entry.draining && MustLeave(session, task.run, run, now);
    placement_pending_ |= session.entry.draining;
    return;
  }
  run.detached = true;
  run.stop_wanted = true;
  AddNote(scheduling_event::kUnexpectedRun, task.run, session.entry.worker);
}

void fleet_scheduler::DropMissingRuns(worker_session& session,
                                      std::uint64_t renewal_number,
                                      const worker_report& report,
                                      time_point now) {
  absl::flat_hash_set<run_ref> listed;
  for (const running_task& task : report.running) {
    listed.insert(task.run);
  }
  std::vector<run_ref> missing;
  for (const auto& [run, state] : session.runs) {
    if (state.first_conclusive_renewal != 0 &&
        renewal_number >= state.first_conclusive_renewal &&
        !listed.contains(run)) {
      missing.push_back(run);
    }
  }
  for (const run_ref& run : missing) {
    AddNote(scheduling_event::kRunLost, run, session.entry.worker,
            "not listed");
    DropMissingRun(session, run, now);
    placement_pending_ = true;
  }
}

void fleet_scheduler::ExpireLeases(time_point now) {
  for (auto position = workers_.begin(); position != workers_.end();) {
    worker_session& session = position->second;
    // A new owner may have renewed the lease of a worker that this VM cannot
    // reach. Only a log read after the expiry rules that out.
    if (now < session.lease.ExpiresAt() ||
        ownership_confirmed_ < session.lease.ExpiresAt()) {
      ++position;
      continue;
    }
    if (!session.runs.empty()) {
      AddNote(scheduling_event::kLeaseExpired, {}, session.entry.worker,
              absl::StrCat("runs ", session.runs.size()));
      // A worker that is only cut off from this VM stays in the list.
      if (session.unlisted_since && !session.entry.draining) {
        RecordCrash(session);
      }
      std::vector<run_ref> lost;
      for (const auto& [run, state] : session.runs) {
        lost.push_back(run);
      }
      for (const run_ref& run : lost) {
        RemoveRun(session, run);
        jobs_.RecordLoss(run, now);
      }
      placement_pending_ = true;
    }
    const bool removed_from_list =
        session.unlisted_since &&
        now > *session.unlisted_since + kUnlistedGrace;
    if (removed_from_list && !session.renewal_under_way) {
      leased_workers_changed_ |= session.has_reported;
      registration_writes_.erase(position->first);
      position = workers_.erase(position);
    } else {
      ++position;
    }
  }
}

}  // namespace skylarkbridge::jobs
