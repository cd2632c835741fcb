// A worker that crashes may come back at its address under a new id. The
// process that listened there before has then ended with all its runs, whatever
// leases these held.
//
// An entry of the list of workers proves nothing here: it may be older than the
// process at its address, or not be written by a worker. What counts is who
// answers at the address at which the old life itself has reported.
#include <algorithm>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Whether the worker may have carried out a start since this time: it has
/// confirmed one, or one that was sent has no answer.
bool MayHaveStartedSince(const worker_session& session, time_point time) {
  return session.last_confirmed_start >= time ||
         std::any_of(session.runs.begin(), session.runs.end(),
                     [time](const auto& entry) {
                       return !entry.second.confirmed &&
                              entry.second.ordered_at >= time;
                     });
}

}  // namespace

void fleet_scheduler::RecordAddress(worker_session& session) {
  if (session.reported_address == session.renewal_address) {
    return;
  }
  session.reported_address = session.renewal_address;
  session.registered = false;
  registration_writes_.erase(session.entry.worker);
  leased_workers_changed_ = true;
}

bool fleet_scheduler::HandleWrongWorker(session_map::iterator refused,
                                        time_point now) {
  const worker_session& session = refused->second;
  const std::string& address = session.renewal_address;
  if (const auto unreported = unreported_workers_.find(refused->first);
      !session.has_reported && unreported != unreported_workers_.end() &&
      unreported->second.address == address) {
    EndUnreportedLife(refused->first);
  }
  // After a start that was sent or confirmed later, the worker may be back at
  // the address: answers can overtake each other.
  if (!session.has_reported || session.reported_address != address ||
      MayHaveStartedSince(session, session.renewed_at)) {
    return false;
  }
  EndLife(refused, scheduling_event::kWorkerReplaced, now);
  return true;
}

void fleet_scheduler::EndReplacedLives(const worker_session& reporting,
                                       time_point now) {
  const std::string& address = reporting.reported_address;
  ProveReplacedCrashes(reporting);
  for (const auto& [worker, unreported] : unreported_workers_) {
    if (worker != reporting.entry.worker && unreported.address == address) {
      EndUnreportedLife(worker);
    }
  }
  for (auto position = workers_.begin(); position != workers_.end();) {
    const auto other = position++;
    const worker_session& session = other->second;
    // An answer to a renewal that was sent earlier may be older than the other
    // worker's life, as answers can overtake each other.
    if (&session != &reporting && session.has_reported &&
        session.reported_address == address &&
        reporting.renewed_at > session.last_answer &&
        !MayHaveStartedSince(session, reporting.renewed_at)) {
      EndLife(other, scheduling_event::kWorkerReplaced, now);
    }
  }
}

void fleet_scheduler::EndLife(session_map::iterator ended,
                              scheduling_event proof,
                              time_point now) {
  worker_session& session = ended->second;
  AddNote(proof, {}, ended->first, absl::StrCat("runs ", session.runs.size()));
  ProveCrash(ended->first);
  if (!session.entry.draining) {
    RecordCrash(session, {});
  }
  std::vector<run_ref> lost;
  for (const auto& [run, state] : session.runs) {
    lost.push_back(run);
  }
  for (const run_ref& run : lost) {
    RemoveRun(session, run);
    jobs_.RecordLossInRestart(run, now);
  }
  if (const auto unreported = unreported_workers_.find(ended->first);
      unreported != unreported_workers_.end()) {
    unreported->second.ended = true;
  }
  permits_.WorkerRestarted(ended->first);
  registration_writes_.erase(ended->first);
  unmatched_ends_.WorkerRestarted(ended->first);
  leased_workers_changed_ = true;
  placement_pending_ = true;
  workers_.erase(ended);
}

void fleet_scheduler::EndUnreportedLife(const std::string& worker) {
  unreported_worker& unreported = unreported_workers_.at(worker);
  if (unreported.ended) {
    return;
  }
  unreported.ended = true;
  leased_workers_changed_ = true;
  AddNote(scheduling_event::kWorkerReplaced, {}, worker, "not reported");
}

}  // namespace skylarkbridge::jobs
