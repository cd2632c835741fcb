// A worker is one life of a machine. A list of machines that was requested
// after the last order of earlier owners, and that does not name a worker,
// shows that its process has ended: a worker that is only cut off stays in it.
//
// A worker that may receive a start without an answer is not ended by a list:
// it might come back under its id and carry the start out.
#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// The list of machines shows within this time that a worker has ended.
constexpr std::chrono::milliseconds kListingDelay{500};

/// Whether workers report and the list names none of them, so that its ids may
/// have nothing to do with those in the list of workers.
/// @param max_silence a worker that has not answered for this long when the
/// list was requested may have left like the one that is waited for.
bool NamesNoReportingWorker(
    const machine_list& list,
    const std::map<std::string, worker_session>& workers,
    std::chrono::milliseconds max_silence) {
  bool any_reports = false;
  for (const auto& [worker, session] : workers) {
    const bool reports = session.has_reported &&
                         list.requested_at < session.last_answer + max_silence;
    if (reports && Names(list, worker)) {
      return false;
    }
    any_reports = any_reports || reports;
  }
  return any_reports;
}

}  // namespace

bool fleet_scheduler::NeedsMachineList(time_point now) const {
  const bool crash_in_doubt =
      std::any_of(presumed_crashes_.begin(), presumed_crashes_.end(),
                  [](const auto& entry) { return !entry.second.named; });
  // Most workers report at once after a takeover, and need no list.
  const bool worker_unreported =
      now >= earlier_orders_until_ &&
      now >= ownership_begun_at_ + options_.unreported_delay &&
      std::any_of(
          unreported_workers_.begin(), unreported_workers_.end(),
          [](const auto& unreported) { return !unreported.second.ended; });
  const bool worker_silent = std::any_of(
      workers_.begin(), workers_.end(),
      [&](const auto& entry) { return MayBeListedAsGone(entry.second, now); });
  return active_ && (crash_in_doubt || worker_unreported || worker_silent);
}

bool fleet_scheduler::MayBeListedAsGone(const worker_session& session,
                                        time_point now) const {
  return session.has_reported && session.silent_since &&
         now >= *session.silent_since + kListingDelay &&
         !session.listed_while_silent && !session.runs.empty() &&
         !MayReceiveLateStart(session, now);
}

void fleet_scheduler::RecordListedWorkers(const machine_list& list) {
  for (auto& [worker, session] : workers_) {
    if (session.silent_since &&
        list.requested_at >= *session.silent_since + kListingDelay) {
      session.listed_while_silent |= Names(list, worker);
    }
  }
}

void fleet_scheduler::EndGoneLives(const machine_list& list,
                                   const machine_list& earlier) {
  for (auto position = workers_.begin(); position != workers_.end();) {
    const auto silent = position++;
    if (MayBeListedAsGone(silent->second, earlier.requested_at) &&
        silent->second.last_confirmed_start < earlier.requested_at &&
        !Names(earlier, silent->first) && !Names(list, silent->first)) {
      EndLife(silent, scheduling_event::kWorkerGone, list.requested_at);
    }
  }
}

void fleet_scheduler::MachinesListed(const machine_list& list) {
  if (!active_ || list.requested_at < earlier_orders_until_) {
    return;
  }
  if (NamesNoReportingWorker(list, workers_, options_.max_silence)) {
    return;
  }
  const std::optional<machine_list> earlier =
      std::exchange(last_machine_list_, list);
  const bool confirmed = earlier && Confirms(list, *earlier);
  ProveListedCrashes(list, confirmed ? &*earlier : nullptr);
  RecordListedWorkers(list);
  if (!confirmed) {
    return;
  }
  EndGoneLives(list, *earlier);
  for (auto& [worker, unreported] : unreported_workers_) {
    if (!unreported.ended && !HasReported(worker) && !Names(*earlier, worker) &&
        !Names(list, worker)) {
      unreported.ended = true;
      leased_workers_changed_ = true;
      AddNote(scheduling_event::kWorkerGone, {}, worker, "");
    }
  }
}

bool fleet_scheduler::HasReported(const std::string& worker) const {
  const auto session = workers_.find(worker);
  return session != workers_.end() && session->second.has_reported;
}

}  // namespace skylarkbridge::jobs
