#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

bool fleet_scheduler::PlaceRestarts(placement_pass& pass, time_point now) {
  ReturnTasksToGiveUp();
  OfferTargetsToRestarts(pass);
  bool all_placed = true;
  std::set<step_ref> gangs;
  for (const waiting_restart& restart : jobs_.WaitingRestarts()) {
    const step_ref ref = StepOf(restart.task);
    if (jobs_.Spec(ref)->gang) {
      all_placed &=
          !gangs.insert(ref).second || PlaceGangRestart(restart, pass, now);
      continue;
    }
    ReleaseKeptRoom(restart.task, pass);
    all_placed &= PlaceRestart(restart, pass, now);
  }
  // Each restart that fitted a place in its turn has got or reserved it, so
  // that no relocation takes a place from one of them.
  for (const restart_without_room& restart :
       std::exchange(pass.restarts_without_room, {})) {
    RelocateForRestart(restart, pass, now);
  }
  return all_placed;
}

bool fleet_scheduler::PlaceRestart(const waiting_restart& restart,
                                   placement_pass& pass,
                                   time_point now) {
  const step_ref ref = StepOf(restart.task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr) {
    return true;
  }
  const late_start* known = late_starts_.Find(restart.task);
  std::vector<placement_candidate> of_late_start;
  if (known != nullptr) {
    of_late_start = LateStartCandidates(*known, ref, *step, *queue, pass, now);
  }
  std::vector<placement_candidate>& candidates =
      known != nullptr ? of_late_start
                       : CandidatesForStep(ref, *step, *queue, pass, now);
  const late_start* late = late_starts_.FindBinding(restart.task);
  const ready_step ranked{.starving = IsStarving(ref.job, now), .ref = ref};
  blocked_restart blocked{.obstacle = restart_obstacle::kRetryDelay,
                          .pass = last_pass_};
  const auto earlier = blocked_restarts_.find(restart.task);
  const bool may_restart = now >= restart.not_before && restart.end_stored;
  const bool waits_for_room =
      may_restart && (late == nullptr || !candidates.empty());
  // A task that has left a silent worker has waited for room at any other.
  const bool has_left = known != nullptr && late == nullptr &&
                        known->avoided_from > restart.since;
  const std::chrono::milliseconds waited =
      waits_for_room
          ? WaitForRoom(restart, has_left ? restart.known_since : now, now)
          : std::chrono::milliseconds(0);
  if (may_restart && PlaceOnCandidates(ranked, *step, *queue,
                                       {restart.task.index}, candidates, now)) {
    if (jobs_.Find(restart.task)->phase == task_phase::kReady) {
      blocked.obstacle = restart_obstacle::kIsolation;
      pass.blocked_restarts[restart.task] = blocked;
    }
    return true;
  }
  std::vector<placement_candidate> permitted;
  if (queue->HasPlacementPolicy()) {
    permitted = Permitted(ref, candidates, now);
  }
  if (may_restart) {
    blocked.obstacle = late != nullptr
                           ? restart_obstacle::kLateStart
                           : ObstacleOf(*step, *queue, candidates, permitted);
  } else if (now >= restart.not_before) {
    // After a takeover, the wait for the workers was the longer one.
    const bool waited_for_workers =
        earlier != blocked_restarts_.end() &&
        earlier->second.obstacle == restart_obstacle::kUnreportedWorkers;
    blocked.obstacle = waited_for_workers ? restart_obstacle::kUnreportedWorkers
                                          : restart_obstacle::kUnstoredEnd;
  }
  pass.blocked_restarts[restart.task] = blocked;
  if (may_restart) {
    late_starts_.LeaveAt(restart.task, restart.since,
                         restart.since + options_.bound_restart_limit);
  }
  const bool may_start = !queue->HasPlacementPolicy() || !permitted.empty();
  const placement_candidate* reserved_on = ReserveRoom(
      restart.task, *step, permitted.empty() ? candidates : permitted, pass);
  if (!may_restart) {
    return true;
  }
  const std::chrono::milliseconds delegation_delay =
      reserved_on == nullptr ? options_.delegation_delay
                             : options_.max_reserved_wait;
  if (late == nullptr && waited >= delegation_delay &&
      DelegateRestart(restart, waited, *step, *queue, now)) {
    pass.blocked_restarts.erase(restart.task);
    return true;
  }
  if (reserved_on == nullptr && late == nullptr && restart.has_run &&
      waited >= options_.relocation_delay) {
    if (!HasBegunRelocation(restart.task)) {
      pass.restarts_without_room.push_back({restart, waited});
      return false;
    }
    reserved_on = ReserveRoomByRelocation(restart, *step, *queue, pass, now);
  }
  if (reserved_on != nullptr && may_start &&
      waited >= options_.preemption_delay) {
    PreemptRuns(restart.task, *reserved_on, now);
  }
  return false;
}

bool fleet_scheduler::PlaceGangRestart(const waiting_restart& first,
                                       placement_pass& pass,
                                       time_point now) {
  const step_ref ref = StepOf(first.task);
  const step_spec& step = *jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (queue == nullptr) {
    return true;
  }
  ReleaseRoomOfGang(ref, pass);
  std::vector<placement_candidate> candidates =
      CandidatesForStep(ref, step, *queue, pass, now);
  const std::vector<std::uint32_t> ready = jobs_.ReadyTasks(ref, now);
  const bool complete = ready.size() == step.count;
  if (complete &&
      PlaceOnCandidates({.ref = ref}, step, *queue, ready, candidates, now)) {
    return true;
  }
  for (const std::uint32_t index : ready) {
    const task_ref member = TaskOf(ref, index);
    const std::optional<time_point> waits_since =
        jobs_.Find(member)->last_run_ended_at;
    late_starts_.LeaveAt(
        member, waits_since,
        waits_since.value_or(now) + options_.bound_restart_limit);
  }
  std::vector<placement_candidate> permitted;
  if (queue->HasPlacementPolicy()) {
    permitted = Permitted(ref, candidates, now);
  }
  BlockGang(ref,
            complete ? ObstacleOf(step, *queue, candidates, permitted)
                     : ObstacleOfIncompleteGang(first, now),
            pass);
  if (queue->HasPlacementPolicy()) {
    candidates = std::move(permitted);
  }
  const auto waited =
      complete ? WaitForRoom(first, now, now) : std::chrono::milliseconds(0);
  const bool reserved = ReserveRoomForGang(ref, step, candidates, pass);
  if (reserved && waited >= options_.preemption_delay) {
    PreemptForGang(ref, candidates, pass, now);
  }
  return !complete;
}

bool fleet_scheduler::ReserveRoomForGang(
    const step_ref& ref,
    const step_spec& step,
    std::vector<placement_candidate>& candidates,
    placement_pass& pass) const {
  const std::vector<task_state>& tasks = jobs_.Find(ref)->tasks;
  std::vector<std::uint32_t> members;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    if (tasks[index].phase == task_phase::kReady) {
      members.push_back(index);
    }
  }
  BoundMembersFirst(ref, members);
  return std::all_of(members.begin(), members.end(), [&](std::uint32_t index) {
    return ReserveRoom(TaskOf(ref, index), step, candidates, pass) != nullptr;
  });
}

void fleet_scheduler::PreemptForGang(
    const step_ref& ref,
    const std::vector<placement_candidate>& candidates,
    const placement_pass& pass,
    time_point now) {
  std::set<std::string> workers;
  for (auto reserved = pass.reserved_workers.lower_bound(TaskOf(ref, 0));
       reserved != pass.reserved_workers.end() &&
       StepOf(reserved->first) == ref;
       ++reserved) {
    workers.insert(reserved->second);
  }
  for (const placement_candidate& candidate : candidates) {
    if (workers.contains(candidate.session->entry.worker)) {
      PreemptRuns(TaskOf(ref, 0), candidate, now);
    }
  }
}

void fleet_scheduler::WaitAsRestarts(const step_ref& ref,
                                     const step_spec& step,
                                     time_point now) {
  for (const std::uint32_t index : TasksToPlace(ref, step, now)) {
    const task_ref task = TaskOf(ref, index);
    const auto [deadline, added] = first_start_deadlines_.try_emplace(
        task, now + options_.first_start_patience);
    if (added) {
      restart_stages_.EnterFirstStart(task, now);
    }
    if (now >= deadline->second) {
      jobs_.WaitAsRestart(task, now);
      restart_stages_.ContinueAsRestart(task, now);
      first_start_deadlines_.erase(deadline);
      placement_pending_ = true;
    }
  }
}

std::chrono::milliseconds fleet_scheduler::WaitForRoom(
    const waiting_restart& restart,
    time_point may_start_since,
    time_point now) {
  const auto [entry, added] = restart_waits_.try_emplace(
      restart.task, restart_wait{restart.known_since, may_start_since});
  if (entry->second.known_since != restart.known_since) {
    entry->second = {restart.known_since, may_start_since};
  }
  return std::chrono::floor<std::chrono::milliseconds>(
      now - entry->second.may_start_since);
}

bool fleet_scheduler::DelegateRestart(const waiting_restart& restart,
                                      std::chrono::milliseconds waited,
                                      const step_spec& step,
                                      const queue_configuration& queue,
                                      time_point now) {
  // The other cell would first have to get a permit.
  const bool delegated_here = jobs_.CanReturn(restart.task) && !returns_.Full();
  if (queue.HasPlacementPolicy() ||
      (!delegated_here && !jobs_.CanDelegate(restart.task))) {
    return false;
  }
  const resources need = ReservedResources(step);
  const std::optional<cell_id> to =
      delegation_targets_.Choose(queue.service, need, waited, now);
  if (!to) {
    return false;
  }
  delegation_targets_.Count(*to, queue.service, need, now);
  std::string detail = absl::StrCat(
      "cell ", *to, " waited_ms ",
      std::chrono::floor<std::chrono::milliseconds>(now - restart.since)
          .count(),
      " need ", need.millicores);
  if (delegated_here) {
    ReturnTask(restart.task, std::move(detail));
    return true;
  }
  jobs_.Delegate(restart.task, *to, delegation_targets_.StatingOwner(*to),
                 epoch_);
  AddNote(scheduling_event::kTaskDelegated,
          {restart.task, jobs_.Find(restart.task)->last_run}, "",
          std::move(detail));
  return true;
}

room_pieces fleet_scheduler::RoomForOtherCells(time_point now) const {
  if (!active_ || now >= orders_until_) {
    return {};
  }
  placement_pass pass;
  pass.reserved_room = restart_room_;
  pass.reserved_workers = reserved_workers_;
  ReserveForExpectedRestarts(pass, now);
  // The last pass could not reserve room for tasks that have waited only since
  // then, nor on workers that have answered again since then.
  for (const waiting_restart& restart : jobs_.WaitingRestarts()) {
    if (!reserved_workers_.contains(restart.task)) {
      ReserveForExpectedRestart(restart.task, pass, now);
    }
  }
  room_pieces pieces;
  for (const auto& [id, session] : workers_) {
    if (!Usable(session, now)) {
      continue;
    }
    resources room = session.PreemptibleRoom();
    room -= pass.ReservedRoom(id, true);
    AddPiece(pieces, session.entry.service, room);
  }
  KeepLargestPieces(pieces);
  return pieces;
}

void fleet_scheduler::ReserveForExpectedRestarts(placement_pass& pass,
                                                 time_point now) const {
  if (!unreported_workers_.empty()) {
    for (const task_ref& task : jobs_.UnreportedLongRunningTasks()) {
      ReserveForExpectedRestart(task, pass, now);
    }
  }
  for (const auto& [id, session] : workers_) {
    if (now < session.last_answer + options_.max_silence) {
      continue;
    }
    for (const auto& [run, state] : session.runs) {
      // PlaceLeavingRuns reserves room for the runs on draining workers.
      if (state.long_running && !state.detached &&
          !pass.reserved_workers.contains(run.task)) {
        ReserveForExpectedRestart(run.task, pass, now);
      }
    }
  }
}

void fleet_scheduler::ReserveForExpectedRestart(const task_ref& task,
                                                placement_pass& pass,
                                                time_point now) const {
  const step_ref ref = StepOf(task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr || step->gang) {
    return;
  }
  const std::vector<placement_candidate>& candidates =
      CandidatesForStep(ref, *step, *queue, pass, now);
  if (const auto chosen = ChooseWorkerToReserve(*step, candidates, "")) {
    pass.expected_restart_room[candidates[*chosen].session->entry.worker] +=
        step->need;
  }
}

void fleet_scheduler::PreemptRuns(const task_ref& task,
                                  const placement_candidate& reserved_on,
                                  time_point now) {
  worker_session& session =
      workers_.find(reserved_on.session->entry.worker)->second;
  resources missing;
  missing -= reserved_on.Room();
  for (const auto& [run, state] : session.runs) {
    if (state.stop_wanted) {
      missing -= state.reserved;
    }
  }
  for (const run_ref& run :
       ChooseRunsToPreempt(PreemptibleRuns(session, now), missing)) {
    session.runs.find(run)->second.stop_wanted = true;
    AddNote(scheduling_event::kStopOrdered, run, session.entry.worker,
            absl::StrCat("makes room for the restart of ", Format(task)));
  }
  SendStops(session, now);
}

std::vector<preemptible_run> fleet_scheduler::PreemptibleRuns(
    const worker_session& session,
    time_point now) const {
  std::vector<preemptible_run> runs;
  for (const auto& [run, state] : session.runs) {
    const step_spec* step = jobs_.Spec(StepOf(run.task));
    const queue_configuration* queue = Queue(run.task.job);
    // To stop one task of a gang ends the work of all.
    if (step == nullptr || queue == nullptr || step->long_running ||
        step->gang || state.stop_wanted || state.phase != run_phase::kRunning) {
      continue;
    }
    const double cores = static_cast<double>(step->need.millicores) / 1000;
    const std::chrono::duration<double> elapsed = now - state.ordered_at;
    runs.push_back(
        {.run = run,
         .held = state.reserved,
         .priority = queue->priority,
         .lost_work = step->checkpoints ? 0 : cores * elapsed.count()});
  }
  return runs;
}

std::size_t fleet_scheduler::WaitingRestarts() const {
  return jobs_.WaitingRestarts().size();
}

std::chrono::milliseconds fleet_scheduler::LongestRestartWait(
    time_point now) const {
  std::chrono::milliseconds longest{};
  for (const waiting_restart& restart : jobs_.WaitingRestarts()) {
    longest = std::max(longest, std::chrono::floor<std::chrono::milliseconds>(
                                    now - restart.since));
  }
  return longest;
}

}  // namespace skylarkbridge::jobs
