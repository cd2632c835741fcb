#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A long-running run that fails after this time says nothing about its worker,
/// which has run it until then.
constexpr std::chrono::milliseconds kSettledRunTime{10'000};

bool IsSettled(const worker_run& run, time_point now) {
  return run.long_running && now >= run.ordered_at + kSettledRunTime;
}

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
  const bool names_new_life = session.entry.start_time != entry.start_time;
  session.entry = entry;
  session.ReserveForUnknownNeeds();
  if (session.unlisted_since) {
    session.changes.returned = last_pass_;
  }
  session.unlisted_since.reset();
  session.entry_rejected = false;
  UpdateEvacuation(session, added, now);
  if (added) {
    session.fence = NextFence();
    session.next_renewal = now;
  }
  if (!session.EntryIsOfThisLife() && *entry.start_time > *session.start_time) {
    // Only the report of the new life shows which runs ended with the old one.
    RaiseFence(session, now);
    if (names_new_life) {
      // The last attempt may wait for an answer of the old life.
      session.next_renewal = now;
      session.hedge_renewal_at = now;
    }
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
  return now >= session.start_backoff_until &&
         UsableForBoundTasks(session, now);
}

bool fleet_scheduler::UsableForBoundTasks(const worker_session& session,
                                          time_point now) const {
  return session.has_reported && session.registered &&
         !session.entry.draining && !session.entry_rejected &&
         !session.unlisted_since && session.RefusesLateOrders() &&
         session.EntryIsOfThisLife() && session.EntryIsAtReportedAddress() &&
         now >= session.excluded_until &&
         now < session.last_answer + options_.max_silence;
}

std::size_t fleet_scheduler::UsableWorkers(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& entry) { return Usable(entry.second, now); }));
}

std::uint64_t fleet_scheduler::EndsToAcknowledge(
    const worker_session& session) {
  // A worker that has restarted numbers its ended runs from 1 again, so ends
  // are acknowledged only once.
  const bool acknowledge =
      session.RefusesLateOrders() &&
      session.last_durable_ended_run > session.last_acknowledged_ended_run;
  return acknowledge ? session.last_durable_ended_run : 0;
}

void fleet_scheduler::Renew(worker_session& session, time_point now) {
  const bool removed_from_list = session.RemovedFromList(now);
  renew_order renewal{.target = Target(session),
                      .renewal_number = ++session.last_renewal,
                      .acknowledged = EndsToAcknowledge(session)};
  // The lease of a worker that does not answer is not extended, so that its
  // tasks can start elsewhere when it expires.
  if (session.lease.IsSynchronised() && !removed_from_list &&
      session.RefusesLateOrders() && MayExtendLease(session)) {
    renewal.lease_until = session.lease.EstimateWorkerTime(now, options_.lease);
    session.lease.Extend(LatestLeaseExpiry(now));
  }
  if (session.has_reported && session.lease.IsSynchronised() &&
      session.RefusesLateOrders() && session.pending_ended_runs.empty() &&
      !unmatched_ends_.FirstListed(session.entry.worker) &&
      MayExtendLease(session)) {
    renewal.wait = session.over_target_since ? options_.over_target_renewal_wait
                                             : options_.renewal_wait;
  }
  renewal.answer_by =
      now + renewal.wait +
      std::min(options_.renewal_timeout * (1 + session.failed_renewals),
               options_.max_renewal_timeout);
  if (!session.renewal_under_way ||
      session.renewal_address != renewal.target.address) {
    session.first_open_renewal = renewal.renewal_number;
    session.renewed_at = now;
  }
  session.renewal_under_way = true;
  session.renewal_address = renewal.target.address;
  session.ended_run_under_way = renewal.acknowledged;
  session.hedge_renewal_at.reset();
  if (session.failed_renewals > 0 && MayReceiveLateStart(session, now)) {
    const silent_worker silent = SilentWorker(session, now);
    session.hedge_renewal_at =
        now + RenewalHedgeDelay(options_.renewal_retry, silent);
    // A renewal that extends a lease or acknowledges ends is meant for the life
    // before.
    if (!session.RefusesLateOrders() &&
        ReconnectsForRenewal(options_.renewal_retry, silent)) {
      renewal.reconnect_until =
          *session.hedge_renewal_at + options_.renewal_retry.reconnect_overlap;
    }
  }
  orders_.emplace_back(std::move(renewal));
}

std::optional<time_point> fleet_scheduler::RenewalDue(
    const worker_session& session) {
  return session.renewal_under_way ? session.hedge_renewal_at
                                   : std::optional(session.next_renewal);
}

bool fleet_scheduler::IsOpenRenewal(const worker_session& session,
                                    const renew_reply& reply) {
  if (!session.renewal_under_way || reply.fence != session.fence ||
      reply.renewal_number < session.first_open_renewal ||
      reply.renewal_number > session.last_renewal) {
    return false;
  }
  // The failure of a renewal says nothing about one that was sent beside it.
  return reply.renewal_number == session.last_renewal ||
         reply.result == order_result::kDone ||
         reply.result == order_result::kFenced ||
         reply.result == order_result::kWrongWorker;
}

void fleet_scheduler::RetryRenewal(worker_session& session, time_point now) {
  session.next_renewal = now + RenewalRetryDelay(options_.renewal_retry,
                                                 SilentWorker(session, now));
}

silent_worker fleet_scheduler::SilentWorker(const worker_session& session,
                                            time_point now) const {
  silent_worker silent{.failed_renewals = session.failed_renewals,
                       .renewal_number = session.last_renewal};
  if (MayReceiveLateStart(session, now)) {
    silent.watched = static_cast<std::size_t>(
        std::count_if(workers_.begin(), workers_.end(), [&](const auto& entry) {
          return entry.second.failed_renewals > 0 &&
                 MayReceiveLateStart(entry.second, now);
        }));
  }
  return silent;
}

bool fleet_scheduler::MayReceiveLateStart(const worker_session& session,
                                          time_point now) const {
  return late_start_watch_.IsWatched(session.entry.worker, now) ||
         std::any_of(session.runs.begin(), session.runs.end(),
                     [](const auto& run) {
                       return run.second.phase == run_phase::kStarting;
                     });
}

void fleet_scheduler::Handle(const renew_reply& reply, time_point now) {
  // Renewals are numbered from 1 in each ownership and for each session.
  const auto found = workers_.find(reply.worker);
  if (found == workers_.end() || !IsOpenRenewal(found->second, reply)) {
    return;
  }
  worker_session& session = found->second;
  session.renewal_under_way = false;
  if (reply.result == order_result::kFenced) {
    HandleFenced(session, reply.fence);
    return;
  }
  if (reply.result == order_result::kWrongWorker &&
      HandleWrongWorker(found, now)) {
    return;
  }
  if (reply.result != order_result::kDone || !reply.report) {
    if (!Rejected(reply.result)) {
      RaiseFence(session, now);
    }
    ++session.failed_renewals;
    RetryRenewal(session, now);
    if (session.failed_renewals == 1) {
      session.silent_since = now;
      session.listed_while_silent = false;
      AddNote(scheduling_event::kWorkerQuiet, {}, reply.worker,
              absl::StrCat("runs ", session.runs.size()));
    }
    return;
  }
  const bool returns = session.has_reported &&
                       (!session.RefusesLateOrders() ||
                        now >= session.last_answer + options_.max_silence);
  session.failed_renewals = 0;
  session.silent_since.reset();
  session.confirmed_fence = session.fence;
  session.last_acknowledged_ended_run = std::max(
      session.last_acknowledged_ended_run, session.ended_run_under_way);
  RecordAddress(session);
  ApplyReport(session, reply.renewal_number, *reply.report, now);
  EndReplacedLives(session, now);
  if (returns) {
    session.changes.returned = last_pass_;
    placement_pending_ = true;
  }
  session.last_answer = now;
  session.answered_renewal_sent_at = session.renewed_at;
  session.next_renewal =
      session.pending_ended_runs.empty() && MayExtendLease(session) &&
              !unmatched_ends_.FirstListed(session.entry.worker)
          ? now
          : now + options_.unstored_renewal_interval;
}

void fleet_scheduler::ApplyReport(worker_session& session,
                                  std::uint64_t renewal_number,
                                  const worker_report& report,
                                  time_point now) {
  ResolvePresumedCrash(session, report);
  if (report.start_time && session.start_time &&
      *report.start_time != *session.start_time) {
    HandleRestart(session, renewal_number, report, now);
  }
  if (report.start_time) {
    session.start_time = report.start_time;
  }
  session.lease.Synchronise(report.clock, now);
  ApplyEndedRuns(session, report, now);
  // A run that is listed can be adopted once a later start of its task, which
  // the worker has not carried out, is dropped.
  DropMissingRuns(session, renewal_number, report, now);
  for (const running_task& task : report.running) {
    ApplyRunning(session, task, renewal_number, now);
  }
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

void fleet_scheduler::ApplyEndedRuns(worker_session& session,
                                     const worker_report& report,
                                     time_point now) {
  for (const ended_task& end : report.ended) {
    if (end.number > session.last_applied_ended_run) {
      ApplyEndedRun(session, end, now);
      session.last_applied_ended_run = end.number;
    }
  }
  AcknowledgeAppliedEnds(session);
}

void fleet_scheduler::ApplyEndedRun(worker_session& session,
                                    const ended_task& end,
                                    time_point now) {
  const auto found = session.runs.find(end.run);
  const bool settled =
      found != session.runs.end() && IsSettled(found->second, now);
  if (found != session.runs.end()) {
    RemoveRun(session, end.run);
  }
  if (end.outcome == run_end::kFailed && !settled) {
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
  if (MayBecomeKnown(end.run, now)) {
    unmatched_ends_.Add(
        {.worker = session.entry.worker, .end = end, .reported_at = now});
    AddNote(scheduling_event::kEndUnmatched, end.run, session.entry.worker);
  } else {
    RecordEnd(end, now);
  }
}

void fleet_scheduler::RecordEnd(const ended_task& end, time_point now) {
  RequestStops(jobs_.RecordEnd(end.run, end.outcome, end.checkpoint,
                               MaxAttempts(end.run.task.job), now),
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
  if (!run.confirmed) {
    run.confirmed = true;
    jobs_.RecordConfirmedStart(task.run.task.job);
  }
  RecordSurvival(task.run, run, now);
  if (run.phase == run_phase::kStarting || run.phase == run_phase::kUncertain) {
    EndStartBackoff(session, now);
    run.phase = run_phase::kRunning;
    run.first_conclusive_renewal = renewal_number;
  }
  if (run.phase == run_phase::kStopping && now >= run.earliest_stop_retry) {
    // The worker has acknowledged the stop order, but still lists the run.
    run.phase = run_phase::kRunning;
  }
  run.progress_percent = task.progress_percent;
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
  run.need_unknown = registry_->Find(task.run.task.job) == nullptr;
  run.phase = run_phase::kRunning;
  run.confirmed = true;
  run.first_conclusive_renewal = session.last_renewal;
  run.progress_percent = task.progress_percent;
  run.ordered_at = now;
  run.first_reported_at = now;
  run.measurement = task.measurement;
  run.checkpoint = task.checkpoint;
  if (adopt) {
    Adopt(session, task.run, run, now);
    return;
  }
  run.detached = true;
  if (MayBecomeKnown(task.run, now)) {
    run.unmatched = true;
    has_unmatched_runs_ = true;
    AddNote(scheduling_event::kRunUnmatched, task.run, session.entry.worker);
    return;
  }
  run.stop_wanted = true;
  AddNote(scheduling_event::kUnexpectedRun, task.run, session.entry.worker);
}

void fleet_scheduler::Adopt(worker_session& session,
                            const run_ref& run,
                            worker_run& state,
                            time_point now) {
  jobs_.RecordStart(run, session.entry.worker);
  jobs_.RecordConfirmedStart(run.task.job);
  jobs_.RecordCheckpoint(run, state.checkpoint);
  if (IsSuspected(run.task)) {
    session.last_suspect_start = now;
  }
  AddNote(scheduling_event::kRunAdopted, run, session.entry.worker);
  state.stop_wanted =
      session.entry.draining && MustLeave(session, run, state, now);
  placement_pending_ |= session.entry.draining;
}

void fleet_scheduler::DropMissingRuns(worker_session& session,
                                      std::uint64_t renewal_number,
                                      const worker_report& report,
                                      time_point now) {
  if (report.MayOmitEnds()) {
    return;
  }
  const absl::flat_hash_set<run_ref> listed = ReportedRuns(report);
  std::vector<run_ref> missing;
  for (const auto& [run, state] : session.runs) {
    if (state.first_conclusive_renewal != 0 &&
        renewal_number >= state.first_conclusive_renewal &&
        !listed.contains(run)) {
      missing.push_back(run);
    }
  }
  for (const run_ref& run : missing) {
    const bool confirmed = session.runs.find(run)->second.confirmed;
    AddNote(scheduling_event::kRunLost, run, session.entry.worker,
            confirmed ? "not listed" : "not listed, its start got no answer");
    DropMissingRun(session, run, now);
    placement_pending_ = true;
  }
}

}  // namespace skylarkbridge::jobs
