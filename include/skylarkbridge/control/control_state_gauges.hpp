#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_GAUGES_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_GAUGES_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that updates the gauges.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::UpdateGauges(time_point now) {
  if (now < next_gauge_update_) {
    return;
  }
  next_gauge_update_ = now + kGaugeInterval;
  jobs::epoch epochs = 0;
  std::size_t jobs_known = 0;
  std::size_t steps_ready = 0;
  std::chrono::milliseconds oldest_ready{};
  std::size_t restarts_waiting = 0;
  std::chrono::milliseconds longest_restart_wait{};
  jobs::restart_stage_times longest_stages;
  std::size_t workers_usable = 0;
  std::size_t workers_unreported = 0;
  std::chrono::milliseconds takeover_wait{};
  std::size_t requests_waiting = 0;
  std::size_t starts_in_flight = 0;
  std::size_t start_limit = 0;
  std::chrono::milliseconds log_age{};
  for (const auto& each_cell : cells_) {
    log_age = std::max(log_age, each_cell->ReportLogAge(now));
    epochs += each_cell->NewestEpoch();
    jobs_known += each_cell->Registry().Jobs().size();
    steps_ready += each_cell->Scheduler().Jobs().ReadySteps().size();
    oldest_ready = std::max(
        oldest_ready, each_cell->Scheduler().ReadyBacklog(now).oldest_wait);
    restarts_waiting += each_cell->Scheduler().WaitingRestarts();
    longest_restart_wait = std::max(
        longest_restart_wait, each_cell->Scheduler().LongestRestartWait(now));
    longest_stages.IncludeLongest(
        each_cell->Scheduler().LongestRestartStages(now));
    workers_usable += each_cell->Scheduler().UsableWorkers(now);
    workers_unreported += each_cell->Scheduler().UnreportedWorkers();
    takeover_wait =
        std::max(takeover_wait, each_cell->Scheduler().TakeoverWait(now));
    requests_waiting += each_cell->WaitingRequests();
    if (each_cell->Active()) {
      starts_in_flight += each_cell->Scheduler().StartLimit().InFlight();
      start_limit += each_cell->Scheduler().StartLimit().Limit();
    }
  }
  metrics_.log_age_ms.Set(log_age.count());
  metrics_.configuration_age_ms.Set(
      configuration_follower_.ReportAge(now).count());
  if (FollowsWorkers()) {
    metrics_.worker_list_age_ms.Set(worker_follower_.ReportAge(now).count());
  } else {
    worker_follower_.PauseReports();
    metrics_.worker_list_age_ms.Set(0);
  }
  metrics_.cells_owned.Set(static_cast<std::int64_t>(CellsOwned()));
  metrics_.epoch_sum.Set(static_cast<std::int64_t>(epochs));
  metrics_.configuration_version.Set(
      static_cast<std::int64_t>(ConfigurationVersion()));
  metrics_.jobs_known.Set(static_cast<std::int64_t>(jobs_known));
  metrics_.steps_ready.Set(static_cast<std::int64_t>(steps_ready));
  metrics_.oldest_ready_ms.Set(oldest_ready.count());
  metrics_.restarts_waiting.Set(static_cast<std::int64_t>(restarts_waiting));
  metrics_.longest_restart_wait_ms.Set(longest_restart_wait.count());
  metrics_.SetLongestStages(longest_stages);
  metrics_.workers_usable.Set(static_cast<std::int64_t>(workers_usable));
  metrics_.workers_unreported.Set(
      static_cast<std::int64_t>(workers_unreported));
  metrics_.takeover_wait_ms.Set(takeover_wait.count());
  metrics_.intake_waiting.Set(static_cast<std::int64_t>(requests_waiting));
  metrics_.starts_in_flight.Set(static_cast<std::int64_t>(starts_in_flight));
  metrics_.start_limit.Set(static_cast<std::int64_t>(start_limit));
  UpdateRoomGauges(now);
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::UpdateRoomGauges(time_point now) {
  for (jobs::cell_id number = 0; number < cells_.size(); ++number) {
    const cell& each_cell = *cells_[number];
    if (each_cell.Active()) {
      metrics_.SetRoom(number, each_cell.Scheduler().FreeRoom(now));
      cells_with_room_gauges_.insert(number);
    } else if (cells_with_room_gauges_.erase(number) > 0) {
      metrics_.SetRoom(number, {});
      metrics_.SetKeptRoom(number, {});
    }
  }
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_GAUGES_HPP
