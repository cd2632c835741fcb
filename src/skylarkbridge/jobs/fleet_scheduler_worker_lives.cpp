#include <algorithm>
#include <limits>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

absl::flat_hash_set<run_ref> fleet_scheduler::ReportedRuns(
    const worker_report& report) {
  absl::flat_hash_set<run_ref> reported;
  for (const running_task& task : report.running) {
    reported.insert(task.run);
  }
  for (const ended_task& end : report.ended) {
    reported.insert(end.run);
  }
  return reported;
}

fencing_token fleet_scheduler::NextFence() {
  if (last_fence_.sequence ==
      std::numeric_limits<decltype(last_fence_.sequence)>::max()) {
    fenced_ = true;
    return last_fence_;
  }
  ++last_fence_.sequence;
  return last_fence_;
}

void fleet_scheduler::RaiseFence(worker_session& session, time_point now) {
  // While a token is not confirmed, no start is sent with it, and the renewals
  // with it neither extend the lease nor acknowledge ends.
  if (session.confirmed_fence == session.fence) {
    session.fence = NextFence();
    session.first_renewal_of_fence = session.last_renewal + 1;
    session.first_open_renewal = session.first_renewal_of_fence;
    session.fence_raised_at = now;
    // A renewal that is under way may wait for the end of a run.
    session.renewal_under_way = false;
    session.next_renewal = now;
  }
}

void fleet_scheduler::HandleFenced(const worker_session& session,
                                   const fencing_token& fence) {
  fenced_ |= fence >= session.fence;
}

void fleet_scheduler::HandleRestart(worker_session& session,
                                    std::uint64_t renewal_number,
                                    const worker_report& report,
                                    time_point now) {
  AddNote(scheduling_event::kWorkerRestarted, {}, session.entry.worker,
          absl::StrCat("runs ", session.runs.size()));
  absl::flat_hash_set<run_ref> surviving = ReportedRuns(report);
  std::vector<run_ref> lost;
  // Then the runs that were carried out have been dropped without suspicion.
  const bool lease_expired = now >= session.lease.ExpiresAt();
  for (const auto& [run, state] : session.runs) {
    if (!state.confirmed && lease_expired) {
      surviving.insert(run);
    }
    if (!state.confirmed || surviving.contains(run)) {
      continue;
    }
    // A start that was answered while the renewal was under way may have been
    // carried out by the new life after its report.
    if (renewal_number >= state.first_conclusive_renewal &&
        !report.MayOmitEnds()) {
      lost.push_back(run);
    } else {
      surviving.insert(run);
    }
  }
  if (!session.entry.draining) {
    RecordCrash(session, surviving);
  }
  for (const run_ref& run : lost) {
    RemoveRun(session, run);
    jobs_.RecordLossInRestart(run, now);
  }
  session.lease.Reset(LatestLeaseExpiry(now));
  permits_.WorkerRestarted(session.entry.worker);
  late_starts_.WorkerRestarted(session.entry.worker);
  EndStartBackoff(session, now);
  unmatched_ends_.WorkerRestarted(session.entry.worker);
  session.last_applied_ended_run = 0;
  session.last_pending_ended_run = 0;
  session.last_durable_ended_run = 0;
  session.last_acknowledged_ended_run = 0;
  session.pending_ended_runs.clear();
  placement_pending_ = true;
}

bool fleet_scheduler::MayStillStart(const worker_session& session,
                                    const worker_run& run,
                                    time_point now) const {
  const time_point last_order =
      std::max(run.ordered_at, session.fence_raised_at);
  return !run.confirmed && run.phase != run_phase::kStarting &&
         !session.RemovedFromList(now) &&
         now < LatestLeaseExpiry(last_order + options_.max_order_delay);
}

bool fleet_scheduler::MayReportEnd(const worker_session& session,
                                   const worker_run& run,
                                   time_point now) const {
  return run.confirmed && !run.long_running &&
         (!run.detached || run.unmatched) && session.has_reported &&
         !session.unlisted_since && !session.entry.draining &&
         now < session.lease.ExpiresAt() + options_.max_report_wait;
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
    std::vector<run_ref> lost;
    for (const auto& [run, state] : session.runs) {
      if (!MayStillStart(session, state, now) &&
          !MayReportEnd(session, state, now)) {
        lost.push_back(run);
      }
    }
    if (!lost.empty()) {
      AddNote(scheduling_event::kLeaseExpired, {}, session.entry.worker,
              absl::StrCat("runs ", lost.size()));
      // A worker that is only cut off from this VM stays in the list.
      if (session.unlisted_since && !session.entry.draining) {
        PresumeCrash(session, now);
      }
      for (const run_ref& run : lost) {
        RemoveRun(session, run);
        jobs_.RecordLoss(run, now);
      }
      DelayTasksInDoubt(lost, now);
      placement_pending_ = true;
    }
    if (session.RemovedFromList(now) && !session.renewal_under_way) {
      leased_workers_changed_ |= session.has_reported;
      registration_writes_.erase(position->first);
      unmatched_ends_.WorkerRestarted(position->first);
      position = workers_.erase(position);
    } else {
      ++position;
    }
  }
}

}  // namespace skylarkbridge::jobs
