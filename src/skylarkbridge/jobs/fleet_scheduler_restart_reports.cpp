// Reports on the long-running tasks that wait for their restarts.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

std::vector<queued_restart> fleet_scheduler::RestartQueue(
    const std::vector<waiting_restart>& waiting,
    time_point now) const {
  std::vector<queued_restart> queue;
  for (const waiting_restart& restart : waiting) {
    const step_spec& step = *jobs_.Spec(StepOf(restart.task));
    queue.push_back(
        {.run = {restart.task, jobs_.Find(restart.task)->last_run},
         .place = {.place = queue.size() + 1, .tasks = waiting.size()},
         .obstacle = RestartObstacle(restart.task),
         .need_millicores = ReservedResources(step).millicores,
         .waited = std::chrono::floor<std::chrono::milliseconds>(
             now - restart.since)});
  }
  return queue;
}

std::optional<restart_report> fleet_scheduler::TakeRestartReport() {
  return std::exchange(restart_report_, std::nullopt);
}

std::vector<queued_restart> fleet_scheduler::ListOtherRestarts(
    std::vector<queued_restart> queue,
    const std::set<std::size_t>& reported) {
  std::erase_if(queue, [this, &reported](const queued_restart& restart) {
    return restart.waited < options_.restart_report_delay ||
           reported.contains(restart.place.place);
  });
  std::vector<queued_restart> listed = NextRestartsToList(
      std::move(queue), last_listed_restart_, options_.max_listed_restarts);
  if (!listed.empty()) {
    last_listed_restart_ = listed.back().run.task;
  }
  return listed;
}

void fleet_scheduler::ReportDelayedRestarts(time_point now) {
  if (now < next_restart_report_) {
    return;
  }
  next_restart_report_ = now + options_.restart_report_interval;
  const std::vector<waiting_restart> waiting = jobs_.WaitingRestarts();
  const std::vector<queued_restart> queue = RestartQueue(waiting, now);
  const std::set<std::size_t> reported = ChooseRestartsToReport(
      queue, options_.restart_report_delay, options_.max_restart_reports);
  if (reported.empty()) {
    return;
  }
  restart_report_ = {.backlog = SummarizeRestarts(queue),
                     .others = ListOtherRestarts(queue, reported)};
  std::map<std::string, resources> needed;
  for (std::size_t index = 0; index < waiting.size(); ++index) {
    const step_ref ref = StepOf(waiting[index].task);
    const queue_configuration* configured = Queue(ref.job);
    resources& of_service =
        needed[configured == nullptr ? "" : configured->service];
    of_service += ReservedResources(*jobs_.Spec(ref));
    if (reported.contains(queue[index].place.place)) {
      ReportDelayedRestart(waiting[index], queue[index].place, of_service, now);
    }
  }
}

void fleet_scheduler::ReportDelayedRestart(const waiting_restart& restart,
                                           const queue_place& place,
                                           const resources& needed,
                                           time_point now) {
  const step_ref ref = StepOf(restart.task);
  const step_spec& step = *jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  std::vector<placement_candidate> candidates;
  for (const auto& [id, session] : workers_) {
    if (queue != nullptr && session.entry.service == queue->service &&
        Usable(session, now)) {
      candidates.push_back({.session = &session});
    }
  }
  if (step.max_per_worker > 0) {
    CountSiblings(ref, {}, candidates);
  }
  const std::size_t usable = candidates.size();
  std::erase_if(candidates, [&step](const placement_candidate& candidate) {
    return !IsEligible(step, candidate);
  });
  const auto most_room = std::max_element(
      candidates.begin(), candidates.end(),
      [](const placement_candidate& left, const placement_candidate& right) {
        return left.Room().millicores < right.Room().millicores;
      });
  const auto reserved = reserved_workers_.find(restart.task);
  std::int64_t most_preemptible = 0;
  std::int64_t total_preemptible = 0;
  std::int64_t total_room = 0;
  for (const placement_candidate& candidate : candidates) {
    const std::int64_t preemptible =
        candidate.session->PreemptibleRoom().millicores;
    most_preemptible = std::max(most_preemptible, preemptible);
    total_preemptible += preemptible;
    total_room += candidate.Room().millicores;
  }
  std::string detail = absl::StrCat(
      "waited_ms ",
      std::chrono::floor<std::chrono::milliseconds>(now - restart.since)
          .count(),
      " need ", step.need.millicores, " usable ", usable, " eligible ",
      candidates.size());
  if (most_room != candidates.end()) {
    const worker_session& session = *most_room->session;
    absl::StrAppend(
        &detail, " most_room ", session.Room().millicores, " on ",
        session.entry.worker, " view_age_ms ",
        std::chrono::floor<std::chrono::milliseconds>(now - session.last_answer)
            .count(),
        " most_preemptible ", most_preemptible, " total_room ", total_room);
  }
  if (needed.millicores > total_preemptible) {
    absl::StrAppend(&detail, " shortage ",
                    needed.millicores - total_preemptible);
  }
  AddNote(scheduling_event::kRestartDelayed,
          {restart.task, jobs_.Find(restart.task)->last_run},
          reserved == reserved_workers_.end() ? "" : reserved->second,
          std::move(detail));
  notes_.back().queue_place = place;
  const auto blocked = blocked_restarts_.find(restart.task);
  if (blocked != blocked_restarts_.end()) {
    notes_.back().restart_cause = {.obstacle = blocked->second.obstacle};
  }
  notes_.back().longest_stage = restart_stages_.Longest(restart.task);
  if (queue != nullptr) {
    notes_.back().delegation_obstacle =
        DelegationObstacle(restart, step, *queue, now);
    notes_.back().relocation_refusal =
        RelocationRefusal(restart, step, *queue, now);
  }
}

delegation_obstacle fleet_scheduler::DelegationObstacle(
    const waiting_restart& restart,
    const step_spec& step,
    const queue_configuration& queue,
    time_point now) const {
  if (queue.HasPlacementPolicy()) {
    return delegation_obstacle::kPlacementPolicy;
  }
  const delegation_obstacle of_task = jobs_.DelegationObstacle(restart.task);
  if (of_task != delegation_obstacle::kNone) {
    return of_task;
  }
  if (late_starts_.FindBinding(restart.task) != nullptr) {
    return delegation_obstacle::kLateStart;
  }
  if (jobs_.CanReturn(restart.task) && returns_.Full()) {
    return delegation_obstacle::kReturnLimit;
  }
  const std::chrono::milliseconds needed_wait =
      reserved_workers_.contains(restart.task) ? options_.max_reserved_wait
                                               : options_.delegation_delay;
  const auto wait = restart_waits_.find(restart.task);
  const auto waited = wait == restart_waits_.end()
                          ? std::chrono::milliseconds(0)
                          : std::chrono::floor<std::chrono::milliseconds>(
                                now - wait->second.may_start_since);
  if (waited < needed_wait) {
    return delegation_obstacle::kShortWait;
  }
  return delegation_targets_.Choose(queue.service, ReservedResources(step),
                                    waited, now)
             ? delegation_obstacle::kNone
             : delegation_obstacle::kNoStatedRoom;
}

}  // namespace skylarkbridge::jobs
