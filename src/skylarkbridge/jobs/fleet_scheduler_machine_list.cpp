// A worker is one life of a machine. A list of machines that was requested
// after the last order of earlier owners, and that does not name a worker,
// shows that its process has ended: a worker that is only cut off stays in it.
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Whether workers have reported and the list names none of them, so that its
/// ids may have nothing to do with those in the list of workers.
bool IsOdd(const machine_list& list,
           const std::map<std::string, worker_session>& workers) {
  bool any_reported = false;
  for (const auto& [worker, session] : workers) {
    if (session.has_reported && Names(list, worker)) {
      return false;
    }
    any_reported = any_reported || session.has_reported;
  }
  return any_reported;
}

}  // namespace

bool fleet_scheduler::NeedsMachineList(time_point now) const {
  // Most workers report at once after a takeover, and need no list.
  return active_ && now >= earlier_orders_until_ &&
         now >= ownership_begun_at_ + options_.unreported_delay &&
         std::any_of(
             unreported_workers_.begin(), unreported_workers_.end(),
             [](const auto& unreported) { return !unreported.second.ended; });
}

void fleet_scheduler::MachinesListed(const machine_list& list) {
  if (!active_ || list.requested_at < earlier_orders_until_) {
    return;
  }
  if (IsOdd(list, workers_)) {
    return;
  }
  const std::optional<machine_list> earlier =
      std::exchange(last_machine_list_, list);
  if (!earlier || !Confirms(list, *earlier)) {
    return;
  }
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
