#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

restart_obstacle fleet_scheduler::ObstacleOf(
    const step_spec& step,
    const queue_configuration& queue,
    const std::vector<placement_candidate>& candidates,
    const std::vector<placement_candidate>& permitted) const {
  const auto is_eligible = [&step](const placement_candidate& candidate) {
    return IsEligible(step, candidate);
  };
  if (candidates.empty()) {
    return restart_obstacle::kNoUsableWorker;
  }
  if (std::none_of(candidates.begin(), candidates.end(), is_eligible)) {
    return restart_obstacle::kNoEligibleWorker;
  }
  if (queue.HasPlacementPolicy() &&
      std::none_of(permitted.begin(), permitted.end(), is_eligible)) {
    return restart_obstacle::kPlacementPolicy;
  }
  return restart_obstacle::kRoom;
}

restart_obstacle fleet_scheduler::ObstacleOfIncompleteGang(
    const waiting_restart& first,
    time_point now) {
  if (now < first.not_before) {
    return restart_obstacle::kRetryDelay;
  }
  return first.end_stored ? restart_obstacle::kGangMembers
                          : restart_obstacle::kUnstoredEnd;
}

void fleet_scheduler::BlockGang(const step_ref& ref,
                                restart_obstacle obstacle,
                                placement_pass& pass) const {
  const std::vector<task_state>& tasks = jobs_.Find(ref)->tasks;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].phase != task_phase::kReady) {
      continue;
    }
    const task_ref task = TaskOf(ref, index);
    const bool bound = late_starts_.FindBinding(task) != nullptr;
    pass.blocked_restarts[task] = {
        .obstacle = bound ? restart_obstacle::kLateStart : obstacle,
        .pass = last_pass_};
  }
}

restart_obstacle fleet_scheduler::RestartObstacle(const task_ref& task) const {
  const auto blocked = blocked_restarts_.find(task);
  return blocked == blocked_restarts_.end() ? restart_obstacle::kNone
                                            : blocked->second.obstacle;
}

restart_cause fleet_scheduler::CauseOfRestart(
    const task_ref& task,
    const worker_session& session) const {
  const auto blocked = blocked_restarts_.find(task);
  if (blocked == blocked_restarts_.end()) {
    return {};
  }
  restart_cause cause{.obstacle = blocked->second.obstacle};
  if (cause.obstacle == restart_obstacle::kRetryDelay ||
      cause.obstacle == restart_obstacle::kUnstoredEnd ||
      cause.obstacle == restart_obstacle::kUnreportedWorkers) {
    return cause;
  }
  cause.release = ReleaseOf(session, blocked->second.pass);
  if (cause.release == restart_release::kCancelledRun ||
      cause.release == restart_release::kEndedRun) {
    cause.removed_run = session.changes.removed_run;
  }
  return cause;
}

restart_release fleet_scheduler::ReleaseOf(const worker_session& session,
                                           std::uint64_t blocked_pass) const {
  const room_events& changes = session.changes;
  if (changes.joined >= blocked_pass) {
    return restart_release::kNewWorker;
  }
  if (changes.returned >= blocked_pass) {
    return restart_release::kReturnedWorker;
  }
  if (changes.run_removed < blocked_pass) {
    return restart_release::kOther;
  }
  return CancelledAt(changes.removed_run.task.job)
             ? restart_release::kCancelledRun
             : restart_release::kEndedRun;
}

std::chrono::milliseconds fleet_scheduler::TakeoverWait(time_point now) const {
  return unreported_workers_.empty()
             ? std::chrono::milliseconds(0)
             : std::chrono::floor<std::chrono::milliseconds>(
                   now - ownership_begun_at_);
}

std::string fleet_scheduler::FirstUnreportedWorker() const {
  return unreported_workers_.empty() ? std::string()
                                     : unreported_workers_.begin()->first;
}

void fleet_scheduler::ReportDelayedTakeover(time_point now) {
  if (unreported_workers_.empty() || now < next_takeover_report_) {
    return;
  }
  next_takeover_report_ = now + options_.takeover_report_interval;
  AddNote(scheduling_event::kTakeoverDelayed, {}, FirstUnreportedWorker(),
          absl::StrCat("waited_ms ", TakeoverWait(now).count(), " unreported ",
                       unreported_workers_.size(), " at_most_ms ",
                       std::chrono::ceil<std::chrono::milliseconds>(
                           earlier_leases_until_ - now)
                           .count()));
}

cell_room fleet_scheduler::FreeRoom(time_point now) const {
  cell_room free;
  for (const auto& [id, session] : workers_) {
    if (!Usable(session, now)) {
      continue;
    }
    const std::int64_t room = session.Room().millicores;
    const std::int64_t preemptible = session.PreemptibleRoom().millicores;
    free.largest = std::max(free.largest, room);
    free.total += room;
    free.largest_preemptible = std::max(free.largest_preemptible, preemptible);
    free.total_preemptible += preemptible;
  }
  return free;
}

}  // namespace skylarkbridge::jobs
