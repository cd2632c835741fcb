#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CELLS_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CELLS_HPP

#include "skylarkbridge/control/control_state.hpp"

/// @brief The part of control_state that passes on what one cell's log says to
/// the other cells it concerns, and chooses the cell of a job.
namespace skylarkbridge::control {

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForwardToOtherCells(cell& from,
                                                           time_point now,
                                                           wall_time wall) {
  for (jobs::log_record& record : from.TakeCrossCellRecords()) {
    if (const auto* const accepted = std::get_if<jobs::job_accepted>(&record)) {
      if (accepted->cell < cells_.size()) {
        cells_[accepted->cell]->ApplyCrossCellRecord(std::move(record), now,
                                                     wall);
      }
    } else if (const auto* const advanced =
                   std::get_if<jobs::job_advanced>(&record)) {
      HomeOf(advanced->job).ApplyCrossCellRecord(std::move(record), now, wall);
    } else if (const auto* const cancelled =
                   std::get_if<jobs::job_cancelled>(&record)) {
      RunningCellOf(cancelled->job)
          .ApplyCrossCellRecord(std::move(record), now, wall);
    } else if (std::holds_alternative<jobs::job_dropped>(record)) {
      for (const auto& each_cell : cells_) {
        each_cell->ApplyCrossCellRecord(record, now, wall);
      }
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForwardDelegatedJobs(time_point now,
                                                            wall_time wall) {
  for (const auto& each_cell : cells_) {
    for (const jobs::job_id job : each_cell->TakeChangedDelegatingJobs()) {
      ForwardDelegatedJob(*each_cell, job, now, wall);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForwardDelegatedJob(const cell& from,
                                                           jobs::job_id job,
                                                           time_point now,
                                                           wall_time wall) {
  const jobs::job_state* const state = from.Registry().Find(job);
  if (state == nullptr) {
    for (const auto& each_cell : cells_) {
      each_cell->DropDelegatedJob(job, now);
    }
    return;
  }
  const std::set<jobs::cell_id> delegated =
      jobs::DelegatedCells(state->progress);
  for (jobs::cell_id to = 0; to < cells_.size(); ++to) {
    // A cell that has given its last task back still has to learn of that.
    const jobs::job_state* const known = cells_[to]->Registry().Find(job);
    const bool is_guest = known != nullptr && known->is_guest;
    if (to != state->cell && (delegated.contains(to) || is_guest)) {
      cells_[to]->ApplyDelegatedJob(job, *state, now, wall);
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForwardReturnedTasks(time_point now) {
  for (jobs::cell_id number = 0; number < cells_.size(); ++number) {
    cell& from = *cells_[number];
    for (const jobs::returned_task& returned : from.ReturnedTasks()) {
      cell& running = RunningCellOf(returned.task.job);
      running.TaskReturned(number, returned, now);
      if (jobs::IsSettled(returned,
                          running.Registry().Find(returned.task.job))) {
        from.ReturnSettled(returned, now);
      } else {
        from.ReturnUnsettled(returned);
      }
    }
  }
}

template <fleet_platform Platform, caller_port Callers>
void control_state<Platform, Callers>::ForwardStatedRooms() {
  if (cells_.size() < 2 || !AnyCellActive()) {
    return;
  }
  for (jobs::cell_id number = 0; number < cells_.size(); ++number) {
    const auto& to = cells_[number];
    if (!to->Active()) {
      continue;
    }
    std::vector<jobs::stated_room> rooms;
    for (const auto& from : cells_) {
      if (auto room = from->StatedRoom(); room && from != to) {
        room->share = jobs::ShareOf(number, room->cell, cells_.size());
        rooms.push_back(std::move(*room));
      }
    }
    to->SetRoomInOtherCells(std::move(rooms));
  }
}

template <fleet_platform Platform, caller_port Callers>
auto control_state<Platform, Callers>::RunningCellOf(jobs::job_id job)
    -> cell& {
  const jobs::job_state* const state = HomeOf(job).Registry().Find(job);
  return state == nullptr || state->cell >= cells_.size()
             ? HomeOf(job)
             : *cells_[state->cell];
}

template <fleet_platform Platform, caller_port Callers>
jobs::cell_id control_state<Platform, Callers>::ChooseCell(
    jobs::job_id job,
    const jobs::job_spec& spec) const {
  const jobs::cell_id home = map_->HomeOf(job);
  if (jobs::LongRunningMillicores(spec) == 0) {
    return home;
  }
  std::vector<jobs::cell_load> loads;
  loads.reserve(cells_.size());
  for (jobs::cell_id number = 0; number < cells_.size(); ++number) {
    loads.push_back(
        {.capacity = worker_cells_.Millicores(number),
         .long_running = cells_[number]->Registry().LongRunningMillicores()});
  }
  for (const auto& [submitted_job, submission] : unconfirmed_submissions_) {
    loads[submission.cell].long_running += submission.millicores;
  }
  return jobs::ChooseCellForLongRunning(loads, home);
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_STATE_CELLS_HPP
