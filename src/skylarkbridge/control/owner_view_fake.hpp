#ifndef SKYLARKBRIDGE_CONTROL_OWNER_VIEW_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_OWNER_VIEW_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/text_format.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

/// @brief Texts on what the owners of the cells of a virtual fleet know of
/// waiting tasks and of the workers' room.
namespace skylarkbridge::control {

/// @brief The scheduler of a cell; null while no VM owns it.
inline const jobs::fleet_scheduler* SchedulerOf(const virtual_fleet& fleet,
                                                jobs::cell_id cell) {
  const std::optional<std::size_t> owner = fleet.Owner(cell);
  return owner ? &fleet.Cell(*owner, cell).Scheduler() : nullptr;
}

/// @brief The place of a task in the queue of its owner, and why it neither
/// starts there nor is delegated.
inline std::string DescribeQueue(const virtual_fleet& fleet,
                                 jobs::cell_id cell,
                                 const jobs::task_ref& task) {
  const jobs::fleet_scheduler* const scheduler = SchedulerOf(fleet, cell);
  if (scheduler == nullptr) {
    return "none";
  }
  const std::vector<jobs::waiting_restart> queue =
      scheduler->Jobs().WaitingRestarts();
  const auto place = std::find_if(
      queue.begin(), queue.end(),
      [&task](const auto& restart) { return restart.task == task; });
  if (place == queue.end()) {
    return absl::StrCat("not in its queue of ", queue.size());
  }
  const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      fleet.Now() - place->since);
  return absl::StrCat(
      "place ", place - queue.begin() + 1, " of ", queue.size(),
      ", by its account for ", waited.count(), " ms, waits for ",
      std::string(Name(scheduler->RestartObstacle(task))), ", stays for ",
      std::string(Name(scheduler->Jobs().DelegationObstacle(task))));
}

/// @brief The room of a worker as its owner sees it, and whether the owner
/// keeps it for something other than a task that needs @p need.
inline std::string DescribeRoom(const virtual_fleet& fleet,
                                jobs::cell_id cell,
                                const std::string& worker,
                                const jobs::resources& need) {
  const jobs::fleet_scheduler* const scheduler = SchedulerOf(fleet, cell);
  if (scheduler == nullptr) {
    return "none";
  }
  const auto entry = scheduler->Workers().find(worker);
  if (entry == scheduler->Workers().end()) {
    return "does not know the worker";
  }
  const jobs::worker_session& session = entry->second;
  const time_point now = fleet.Now();
  std::int64_t stated = 0;
  for (const auto& [service, pieces] : scheduler->RoomForOtherCells(now)) {
    for (const jobs::resources& piece : pieces) {
      stated = std::max(stated, piece.millicores);
    }
  }
  std::string text =
      absl::StrCat("room ", session.Room().millicores, ", without batch work ",
                   session.PreemptibleRoom().millicores,
                   ", largest piece for other cells ", stated);
  for (const auto& [run, state] : session.runs) {
    if (state.long_running && state.stop_wanted) {
      absl::StrAppend(&text, ", stops ", jobs::Format(run.task), " of ",
                      state.reserved.millicores);
    }
  }
  if (now < session.excluded_until) {
    absl::StrAppend(&text, ", excluded");
  }
  const bool keeps =
      jobs::Fits(need, session.PreemptibleRoom()) && stated < need.millicores;
  return absl::StrCat(text, keeps ? ", keeps the place" : "");
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_OWNER_VIEW_FAKE_HPP
