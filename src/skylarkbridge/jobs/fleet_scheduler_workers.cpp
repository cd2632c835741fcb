#include <algorithm>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// An entry that is missing for longer is not a lapse of the store.
constexpr std::chrono::milliseconds kUnlistedGrace{2500};
/// Time that a stop needs beyond its own limit before a worker leaves.
constexpr std::chrono::milliseconds kEvacuationMargin{500};

}  // namespace

void fleet_scheduler::WorkerListed(const worker_entry& entry, time_point now) {
  if (!active_) {
    return;
  }
  const auto [place, added] = workers_.try_emplace(
      entry.worker, std::max(unaccounted_until_, LongestLease(now)));
  worker_session& session = place->second;
  const bool drains = entry.draining && (added || !session.entry.draining);
  session.entry = entry;
  session.unlisted_since.reset();
  if (added) {
    session.next_renewal = now;
    leased_changed_ = true;
  }
  if (entry.born && session.born && *entry.born > *session.born) {
    Reborn(session, now);
    session.born = entry.born;
  }
  if (drains) {
    Evacuate(session, now);
  }
  place_wanted_ = true;
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
  return session.accounted && session.registered && !session.entry.draining &&
         !session.unlisted_since && now >= session.avoid_until &&
         now < session.last_answer + options_.quiet_limit;
}

std::size_t fleet_scheduler::UsableWorkers(time_point now) const {
  return static_cast<std::size_t>(std::count_if(
      workers_.begin(), workers_.end(),
      [&](const auto& entry) { return Usable(entry.second, now); }));
}

void fleet_scheduler::Renew(worker_session& session, time_point now) {
  const bool gone =
      session.unlisted_since && now > *session.unlisted_since + kUnlistedGrace;
  renew_order renewal{
      .target = Target(session),
      .call = ++session.calls,
      // After a call without an answer the worker may have
      // started anew and count its ends from 1 again.
      .acknowledged = session.failures == 0 ? session.ends_stored : 0};
  // A worker that does not answer gets no longer lease, so that it is clear
  // when its tasks can start elsewhere.
  if (session.lease.Synchronised() && !gone && session.failures == 0) {
    renewal.lease_until = session.lease.Estimate(now, options_.lease);
    session.lease.Extend(LongestLease(now));
  }
  if (session.accounted && session.lease.Synchronised() &&
      session.failures == 0 && session.ends_waiting.empty()) {
    renewal.wait = session.over_target_since ? options_.harmed_renewal_wait
                                             : options_.renewal_wait;
  }
  session.renewal_under_way = true;
  orders_.emplace_back(std::move(renewal));
}

void fleet_scheduler::Handle(const renew_reply& reply, time_point now) {
  const auto found = workers_.find(reply.worker);
  if (found == workers_.end() || reply.call != found->second.calls ||
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
    ++session.failures;
    session.next_renewal =
        now + options_.renewal_retry * std::min(session.failures, 5);
    if (session.failures == 1) {
      Note(scheduling_event::kWorkerQuiet, {}, reply.worker,
           absl::StrCat("runs ", session.runs.size()));
    }
    return;
  }
  session.failures = 0;
  session.last_answer = now;
  TakeReport(session, reply.call, *reply.report, now);
  session.next_renewal =
      session.ends_waiting.empty() ? now : now + options_.unstored_renewal;
}

void fleet_scheduler::TakeReport(worker_session& session,
                                 std::uint64_t call,
                                 const worker_report& report,
                                 time_point now) {
  if (report.born && session.born && *report.born != *session.born) {
    Reborn(session, now);
  }
  if (report.born) {
    session.born = report.born;
  }
  session.lease.Synchronise(report.clock, now);
  std::erase_if(session.late_starts,
                [now](const auto& late) { return now >= late.second; });
  TakeEnds(session, report, now);
  for (const running_task& row : report.running) {
    TakeRunning(session, row, call, now);
  }
  DropVanished(session, call, report, now);
  LearnInterference(session);
  AdjustPaces(session, now);
  if (!session.accounted) {
    session.accounted = true;
    // The worker refuses what an earlier owner orders from now on.
    session.lease.Bound(LongestLease(now));
    place_wanted_ = true;
    Note(scheduling_event::kWorkerAccounted, {}, session.entry.worker,
         absl::StrCat("running ", report.running.size(), " ended ",
                      report.ended.size()));
  }
}

void fleet_scheduler::Reborn(worker_session& session, time_point now) {
  Note(scheduling_event::kWorkerRestarted, {}, session.entry.worker,
       absl::StrCat("runs ", session.runs.size()));
  std::vector<run_ref> lost;
  for (auto& [run, state] : session.runs) {
    const bool may_still_arrive = state.phase == run_phase::kStarting ||
                                  state.phase == run_phase::kUncertain ||
                                  session.late_starts.contains(run);
    if (!may_still_arrive) {
      lost.push_back(run);
      continue;
    }
    // The order may be carried out by the new life, which has to refuse it
    // first.
    state.phase = run_phase::kUncertain;
    state.stop_wanted = true;
    state.settled_by_call = 0;
  }
  for (const run_ref& run : lost) {
    RemoveRun(session, run);
    jobs_.RecordLoss(run, now);
  }
  for (const auto& [run, until] : session.late_starts) {
    if (now >= until || session.runs.contains(run)) {
      continue;
    }
    worker_run& state = AddRun(session, run, NeedOf(run, session));
    state.phase = run_phase::kUncertain;
    state.stop_wanted = true;
    state.detached = true;
  }
  session.lease.Reset(LongestLease(now));
  permits_.WorkerRestarted(session.entry.worker);
  session.ends_seen = 0;
  session.ends_stored = 0;
  session.ends_waiting.clear();
  session.next_renewal = now;
  place_wanted_ = true;
}

void fleet_scheduler::TakeEnds(worker_session& session,
                               const worker_report& report,
                               time_point now) {
  bool any = false;
  for (const ended_task& end : report.ended) {
    if (end.number > session.ends_seen) {
      TakeEnd(session, end, now);
      session.ends_seen = end.number;
      any = true;
    }
  }
  if (any) {
    // Takes the ends along with the records of the jobs that they change.
    session.ends_waiting.emplace_back(session.ends_seen, store_number_ + 1);
  }
}

void fleet_scheduler::TakeEnd(worker_session& session,
                              const ended_task& end,
                              time_point now) {
  const auto found = session.runs.find(end.run);
  if (found != session.runs.end()) {
    RemoveRun(session, end.run);
  }
  const queue_configuration* queue = Queue(end.run.task.job);
  const std::uint32_t max_attempts = queue == nullptr ? 1 : queue->max_attempts;
  if (end.how == run_end::kFailed) {
    if (++session.failed_in_a_row >= options_.failures_for_quarantine) {
      session.avoid_until = now + options_.quarantine;
      session.failed_in_a_row = options_.failures_for_quarantine - 1;
      Note(scheduling_event::kWorkerQuarantined, end.run, session.entry.worker);
    }
  } else if (end.how == run_end::kDone) {
    session.failed_in_a_row = 0;
  }
  Note(scheduling_event::kRunEnded, end.run, session.entry.worker,
       absl::StrCat(static_cast<int>(end.how)));
  RequestStops(jobs_.RecordEnd(end.run, end.how, end.checkpoint, max_attempts, now),
               true);
  place_wanted_ = true;
}

void fleet_scheduler::TakeRunning(worker_session& session,
                                  const running_task& row,
                                  std::uint64_t call,
                                  time_point now) {
  const auto found = session.runs.find(row.run);
  if (found == session.runs.end()) {
    AdoptOrStop(session, row, now);
    return;
  }
  worker_run& run = found->second;
  if (run.phase == run_phase::kStarting || run.phase == run_phase::kUncertain) {
    run.phase = run_phase::kRunning;
    run.settled_by_call = call;
  }
  if (row.percent != run.percent) {
    run.percent = row.percent;
    run.progressed_at = now;
  }
  run.usage = row.usage;
  if (run.checkpoint != row.checkpoint && !run.detached) {
    run.checkpoint = row.checkpoint;
    jobs_.RecordCheckpoint(row.run, row.checkpoint);
  }
}

void fleet_scheduler::AdoptOrStop(worker_session& session,
                                  const running_task& row,
                                  time_point now) {
  const bool adopt = jobs_.CanAdopt(row.run);
  worker_run& run = AddRun(session, row.run, NeedOf(row.run, session));
  run.phase = run_phase::kRunning;
  run.settled_by_call = session.calls;
  run.percent = row.percent;
  run.progressed_at = now;
  run.ordered_at = now;
  run.usage = row.usage;
  run.checkpoint = row.checkpoint;
  if (adopt) {
    jobs_.RecordStart(row.run, session.entry.worker);
    jobs_.RecordCheckpoint(row.run, row.checkpoint);
    Note(scheduling_event::kRunAdopted, row.run, session.entry.worker);
    return;
  }
  run.detached = true;
  run.stop_wanted = true;
  Note(scheduling_event::kUnexpectedRun, row.run, session.entry.worker);
}

void fleet_scheduler::DropVanished(worker_session& session,
                                   std::uint64_t call,
                                   const worker_report& report,
                                   time_point now) {
  absl::flat_hash_set<run_ref> listed;
  for (const running_task& row : report.running) {
    listed.insert(row.run);
  }
  std::vector<run_ref> vanished;
  for (const auto& [run, state] : session.runs) {
    if (state.settled_by_call != 0 && call >= state.settled_by_call &&
        !listed.contains(run)) {
      vanished.push_back(run);
    }
  }
  for (const run_ref& run : vanished) {
    Note(scheduling_event::kRunLost, run, session.entry.worker, "not listed");
    RemoveRun(session, run);
    jobs_.RecordLoss(run, now);
    place_wanted_ = true;
  }
}

void fleet_scheduler::ExpireLeases(time_point now) {
  for (auto place = workers_.begin(); place != workers_.end();) {
    worker_session& session = place->second;
    // A successor may have renewed the lease of a worker that this VM can't
    // reach; only the log shows that there is none.
    if (now < session.lease.Ends() || confirmed_ < session.lease.Ends()) {
      ++place;
      continue;
    }
    if (!session.runs.empty()) {
      Note(scheduling_event::kLeaseExpired, {}, session.entry.worker,
           absl::StrCat("runs ", session.runs.size()));
      std::vector<run_ref> lost;
      for (const auto& [run, state] : session.runs) {
        lost.push_back(run);
      }
      for (const run_ref& run : lost) {
        RemoveRun(session, run);
        jobs_.RecordLoss(run, now);
      }
      place_wanted_ = true;
    }
    const bool gone = session.unlisted_since &&
                      now > *session.unlisted_since + kUnlistedGrace;
    if (gone && !session.renewal_under_way) {
      registering_.erase(place->first);
      place = workers_.erase(place);
      leased_changed_ = true;
    } else {
      ++place;
    }
  }
}

void fleet_scheduler::Evacuate(worker_session& session, time_point now) {
  const std::chrono::milliseconds usable =
      session.entry.minimum_left - options_.stop_timeout - kEvacuationMargin;
  for (auto& [run, state] : session.runs) {
    const step_spec* step = jobs_.Spec(StepOf(run.task));
    if (step == nullptr) {
      continue;
    }
    const auto elapsed = now - state.ordered_at;
    const bool ends_in_time =
        !step->long_running && state.percent > 0 &&
        elapsed * (100 - state.percent) / state.percent < usable;
    if (step->long_running || (step->checkpoints && !ends_in_time)) {
      state.stop_wanted = true;
    }
  }
  SendStops(session, now);
}

}  // namespace skylarkbridge::jobs
