// Relocation of smaller long-running runs for a restart that finds its room
// only in several pieces.
#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Runs that are considered for one waiting task. When the smallest ones find
/// no room elsewhere, larger ones hardly do.
constexpr std::size_t kMaxRunsTried = 16;
/// Searches in one pass. Each looks at all runs of the cell.
constexpr int kMaxSearches = 4;

resources PreemptibleRoom(const placement_candidate& candidate) {
  resources room = candidate.session->PreemptibleRoom();
  room -= candidate.reserved;
  return room;
}

}  // namespace

const worker_run* fleet_scheduler::FindRelocatedRun(
    const relocation& move) const {
  const auto from = workers_.find(move.from);
  if (from == workers_.end()) {
    return nullptr;
  }
  const auto run = from->second.runs.find(move.run);
  return run == from->second.runs.end() ? nullptr : &run->second;
}

bool fleet_scheduler::HasBegun(const relocation& move) const {
  const worker_run* run = FindRelocatedRun(move);
  return run == nullptr || run->stop_wanted;
}

bool fleet_scheduler::HasBegunRelocation(const task_ref& waiting) const {
  const auto move = relocations_.find(waiting);
  return move != relocations_.end() && HasBegun(move->second);
}

void fleet_scheduler::RelocateForRestart(const restart_without_room& waiting,
                                         placement_pass& pass,
                                         time_point now) {
  const waiting_restart& restart = waiting.restart;
  const step_ref ref = StepOf(restart.task);
  const step_spec& step = *jobs_.Spec(ref);
  const queue_configuration& queue = *Queue(ref.job);
  if (queue.HasPlacementPolicy()) {
    return;
  }
  // Later turns of the pass may have released room.
  const placement_candidate* reserved_on = ReserveRoom(
      restart.task, step, CandidatesForStep(ref, step, queue, pass, now), pass);
  if (reserved_on == nullptr) {
    reserved_on = ReserveRoomByRelocation(restart, step, queue, pass, now);
  }
  if (reserved_on != nullptr && waiting.waited >= options_.preemption_delay) {
    PreemptRuns(restart.task, *reserved_on, now);
  }
}

bool fleet_scheduler::IsUnderWay(const task_ref& waiting,
                                 const relocation& move,
                                 time_point now) const {
  if (now >= move.give_up_at) {
    return false;
  }
  const auto is_ready = [this](const task_ref& task) {
    const task_state* state = jobs_.Find(task);
    return state != nullptr && state->phase == task_phase::kReady;
  };
  const worker_run* run = FindRelocatedRun(move);
  if (run == nullptr) {
    return is_ready(move.run.task);
  }
  if (run->stop_wanted) {
    return !run->detached;
  }
  const auto usable = [this, now](const std::string& worker) {
    const auto session = workers_.find(worker);
    return session != workers_.end() && Usable(session->second, now);
  };
  return is_ready(waiting) && usable(move.from) && usable(move.to);
}

void fleet_scheduler::KeepRoomOfRelocatedRuns(placement_pass& pass,
                                              time_point now) {
  std::erase_if(relocated_until_,
                [now](const auto& entry) { return now >= entry.second; });
  std::erase_if(relocation_searches_, [this, now](const auto& entry) {
    return now >=
           entry.second.search_again_at + options_.restart_report_interval;
  });
  std::erase_if(relocations_, [this, now](const auto& entry) {
    const relocation& move = entry.second;
    if (now >= move.give_up_at) {
      // Another run may be easier to move.
      relocated_until_[move.run.task] = now + options_.min_relocation_interval;
    }
    return !IsUnderWay(entry.first, move, now);
  });
  for (const auto& [waiting, move] : relocations_) {
    if (!pass.reserved_workers.contains(move.run.task)) {
      ReserveRoomOnTarget(move, pass, now);
    }
  }
}

void fleet_scheduler::OfferTargetsToRestarts(placement_pass& pass) const {
  for (const auto& [waiting, move] : relocations_) {
    if (!HasBegun(move)) {
      ReleaseKeptRoom(move.run.task, pass);
    }
  }
}

bool fleet_scheduler::TargetHasRoom(const relocation& move,
                                    placement_pass& pass,
                                    time_point now) const {
  const step_ref ref = StepOf(move.run.task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr) {
    return false;
  }
  const std::vector<placement_candidate>& candidates =
      CandidatesForStep(ref, *step, *queue, pass, now);
  return std::any_of(candidates.begin(), candidates.end(),
                     [&](const placement_candidate& candidate) {
                       return candidate.session->entry.worker == move.to &&
                              IsEligible(*step, candidate) &&
                              Fits(ReservedResources(*step),
                                   PreemptibleRoom(candidate));
                     });
}

void fleet_scheduler::ReserveRoomOnTarget(const relocation& move,
                                          placement_pass& pass,
                                          time_point now) const {
  const task_ref& task = move.run.task;
  const step_ref ref = StepOf(task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr) {
    return;
  }
  for (placement_candidate& candidate :
       CandidatesForStep(ref, *step, *queue, pass, now)) {
    if (candidate.session->entry.worker == move.to) {
      ReserveRoomOn(candidate, task, *step, pass);
      return;
    }
  }
}

void fleet_scheduler::ReleaseKeptRoom(const task_ref& task,
                                      placement_pass& pass) const {
  const auto reserved = pass.reserved_workers.find(task);
  if (reserved == pass.reserved_workers.end()) {
    return;
  }
  pass.reserved_room[reserved->second] -=
      ReservedResources(*jobs_.Spec(StepOf(task)));
  pass.reserved_workers.erase(reserved);
}

const placement_candidate* fleet_scheduler::ReserveRoomByRelocation(
    const waiting_restart& restart,
    const step_spec& step,
    const queue_configuration& queue,
    placement_pass& pass,
    time_point now) {
  // A policy would first have to permit the start on the worker.
  if (queue.HasPlacementPolicy()) {
    return nullptr;
  }
  auto move = relocations_.find(restart.task);
  if (move != relocations_.end() && !HasBegun(move->second)) {
    if (TargetHasRoom(move->second, pass, now)) {
      ReserveRoomOnTarget(move->second, pass, now);
    } else {
      relocations_.erase(move);
      relocation_searches_[restart.task] = {
          now + options_.relocation_search_interval,
          {.obstacle = relocation_obstacle::kNoTarget}};
      return nullptr;
    }
  }
  if (move == relocations_.end()) {
    std::optional<relocation> planned =
        FindRelocation(restart, step, queue, pass, now);
    if (!planned) {
      return nullptr;
    }
    ReserveRoomOnTarget(*planned, pass, now);
    move = relocations_.emplace(restart.task, std::move(*planned)).first;
  }
  for (placement_candidate& candidate :
       CandidatesForStep(StepOf(restart.task), step, queue, pass, now)) {
    if (candidate.session->entry.worker == move->second.from &&
        !Avoids(restart.task, move->second.from)) {
      ReserveRoomOn(candidate, restart.task, step, pass);
      return StopRelocatedRun(restart.task, move->second, pass, now)
                 ? &candidate
                 : nullptr;
    }
  }
  return nullptr;
}

std::optional<relocation> fleet_scheduler::FindRelocation(
    const waiting_restart& restart,
    const step_spec& step,
    const queue_configuration& queue,
    placement_pass& pass,
    time_point now) {
  const auto [search, added] = relocation_searches_.try_emplace(
      restart.task,
      relocation_search{now, {.obstacle = relocation_obstacle::kSearchLimit}});
  if (now < search->second.search_again_at ||
      pass.relocation_searches >= kMaxSearches) {
    return std::nullopt;
  }
  ++pass.relocation_searches;
  std::variant<relocation, relocation_refusal> result =
      PlanRelocation(restart, step, queue, pass, now);
  if (auto* planned = std::get_if<relocation>(&result)) {
    relocation_searches_.erase(search);
    return std::move(*planned);
  }
  search->second = {now + options_.relocation_search_interval,
                    std::get<relocation_refusal>(std::move(result))};
  return std::nullopt;
}

std::variant<relocation, relocation_refusal> fleet_scheduler::PlanRelocation(
    const waiting_restart& restart,
    const step_spec& step,
    const queue_configuration& queue,
    placement_pass& pass,
    time_point now) {
  relocation_refusal refusal{.obstacle = relocation_obstacle::kNoSmallerRun};
  const std::vector<relocatable_run> ranked = RankRunsToRelocate(
      RelocatableRuns(restart.task, step, queue, pass, refusal, now));
  for (std::size_t index = 0; index < ranked.size(); ++index) {
    const relocatable_run& run = ranked[index];
    if (index >= kMaxRunsTried) {
      refusal.Add(relocation_obstacle::kRunLimit);
      continue;
    }
    if (!IsWithinDisruptionBudget(run.run.task, now)) {
      refusal.Add(relocation_obstacle::kDisruptionBudget);
      continue;
    }
    const std::string to = FindRelocationTarget(run, pass, now);
    if (to.empty()) {
      refusal.Add(relocation_obstacle::kNoTarget);
      continue;
    }
    AddNote(scheduling_event::kRelocationPlanned, run.run, to,
            absl::StrCat("from ", run.worker, " holds ", run.held.millicores,
                         " for ", Format(restart.task), " need ",
                         step.need.millicores));
    return relocation{.run = run.run,
                      .from = run.worker,
                      .to = to,
                      .give_up_at = now + options_.relocation_timeout};
  }
  return refusal;
}

std::vector<relocatable_run> fleet_scheduler::RelocatableRuns(
    const task_ref& waiting,
    const step_spec& step,
    const queue_configuration& queue,
    placement_pass& pass,
    relocation_refusal& refusal,
    time_point now) const {
  const resources need = ReservedResources(step);
  std::vector<relocatable_run> runs;
  for (const placement_candidate& candidate :
       CandidatesForStep(StepOf(waiting), step, queue, pass, now)) {
    if (!IsEligible(step, candidate) ||
        Avoids(waiting, candidate.session->entry.worker)) {
      continue;
    }
    resources missing = need;
    missing -= PreemptibleRoom(candidate);
    for (const auto& [run, state] : candidate.session->runs) {
      if (!state.long_running || state.reserved.millicores >= need.millicores) {
        continue;
      }
      const relocation_obstacle obstacle =
          Fits(missing, state.reserved) ? ObstacleToRelocate(run, state, pass)
                                        : relocation_obstacle::kTooLittleRoom;
      if (obstacle != relocation_obstacle::kNone) {
        refusal.Add(obstacle);
        continue;
      }
      runs.push_back({.run = run,
                      .worker = candidate.session->entry.worker,
                      .held = state.reserved,
                      .missing = missing});
    }
  }
  return runs;
}

relocation_obstacle fleet_scheduler::ObstacleToRelocate(
    const run_ref& run,
    const worker_run& state,
    const placement_pass& pass) const {
  if (state.gang) {
    return relocation_obstacle::kGangRun;
  }
  const queue_configuration* queue = Queue(run.task.job);
  const task_state* task = jobs_.Find(run.task);
  const bool movable =
      state.phase == run_phase::kRunning && !state.detached &&
      !state.stop_wanted && queue != nullptr && task != nullptr &&
      !queue->HasPlacementPolicy() && task->active_runs.size() == 1 &&
      task->suspected_crashes == 0 && late_starts_.Find(run.task) == nullptr;
  if (!movable) {
    return relocation_obstacle::kImmovableRun;
  }
  const bool moves_for_another = std::any_of(
      relocations_.begin(), relocations_.end(),
      [&run](const auto& entry) { return entry.second.run == run; });
  if (moves_for_another || pass.reserved_workers.contains(run.task)) {
    return relocation_obstacle::kKeptRoom;
  }
  return relocated_until_.contains(run.task) ? relocation_obstacle::kMovedLately
                                             : relocation_obstacle::kNone;
}

relocation_refusal fleet_scheduler::RelocationRefusal(
    const waiting_restart& restart,
    const step_spec& step,
    const queue_configuration& queue,
    time_point now) const {
  if (step.gang) {
    return {.obstacle = relocation_obstacle::kGang};
  }
  if (queue.HasPlacementPolicy()) {
    return {.obstacle = relocation_obstacle::kPlacementPolicy};
  }
  if (late_starts_.FindBinding(restart.task) != nullptr) {
    return {.obstacle = relocation_obstacle::kLateStart};
  }
  if (relocations_.contains(restart.task)) {
    return {.obstacle = relocation_obstacle::kNone};
  }
  if (reserved_workers_.contains(restart.task)) {
    return {.obstacle = relocation_obstacle::kReservedRoom};
  }
  if (!restart.has_run) {
    return {.obstacle = relocation_obstacle::kFirstStart};
  }
  const auto wait = restart_waits_.find(restart.task);
  if (wait == restart_waits_.end() ||
      now < wait->second.may_start_since + options_.relocation_delay) {
    return {.obstacle = relocation_obstacle::kShortWait};
  }
  const auto search = relocation_searches_.find(restart.task);
  return search == relocation_searches_.end()
             ? relocation_refusal{.obstacle = relocation_obstacle::kSearchLimit}
             : search->second.refusal;
}

bool fleet_scheduler::IsWithinDisruptionBudget(const task_ref& task,
                                               time_point now) const {
  const step_ref ref = StepOf(task);
  const std::int32_t budget = jobs_.Spec(ref)->disruption_budget;
  if (budget < 0) {
    return true;
  }
  const std::vector<task_state>& tasks = jobs_.Find(ref)->tasks;
  std::int32_t unavailable = 0;
  for (std::uint32_t index = 0; index < tasks.size(); ++index) {
    const bool counts = index != task.index &&
                        !IsAvailable(TaskOf(ref, index), tasks[index], now);
    unavailable += counts ? 1 : 0;
  }
  return unavailable < budget;
}

bool fleet_scheduler::IsAvailable(const task_ref& task,
                                  const task_state& state,
                                  time_point now) const {
  constexpr int kFullyAvailablePercent = 100;
  return std::any_of(
      state.active_runs.begin(), state.active_runs.end(),
      [&](const active_run& active) {
        const auto worker = workers_.find(active.worker);
        if (worker == workers_.end()) {
          return false;
        }
        const auto run = worker->second.runs.find({task, active.run});
        return run != worker->second.runs.end() &&
               run->second.phase == run_phase::kRunning &&
               !run->second.stop_wanted &&
               run->second.progress_percent == kFullyAvailablePercent &&
               // The run of a silent worker is kept until its lease ends.
               !worker->second.unlisted_since &&
               now < worker->second.last_answer + options_.max_silence;
      });
}

std::string fleet_scheduler::FindRelocationTarget(const relocatable_run& run,
                                                  placement_pass& pass,
                                                  time_point now) const {
  const step_ref ref = StepOf(run.run.task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr) {
    return {};
  }
  std::vector<placement_candidate> others =
      CandidatesForStep(ref, *step, *queue, pass, now);
  std::erase_if(others, [&run](const placement_candidate& candidate) {
    return candidate.session->entry.worker == run.worker;
  });
  std::optional<std::size_t> chosen =
      ChooseWorker(*step, others, "", options_.placement);
  if (!chosen) {
    chosen = ChooseWorkerToReserve(*step, others, "");
  }
  return chosen && Fits(ReservedResources(*step),
                        PreemptibleRoom(others[*chosen]))
             ? others[*chosen].session->entry.worker
             : "";
}

bool fleet_scheduler::StopRelocatedRun(const task_ref& waiting,
                                       const relocation& move,
                                       const placement_pass& pass,
                                       time_point now) {
  const worker_run* run = FindRelocatedRun(move);
  if (run == nullptr || run->stop_wanted) {
    return true;
  }
  // Another task of the step may have become unavailable since the plan.
  if (!IsWithinDisruptionBudget(move.run.task, now)) {
    return false;
  }
  const placement_candidate target{
      .session = &workers_.find(move.to)->second,
      .reserved = pass.ReservedRoom(move.to, false)};
  if (!Fits(resources{}, target.Room())) {
    PreemptRuns(move.run.task, target, now);
    return false;
  }
  worker_session& from = workers_.find(move.from)->second;
  from.runs.find(move.run)->second.stop_wanted = true;
  relocated_until_[move.run.task] = now + options_.min_relocation_interval;
  AddNote(scheduling_event::kStopOrdered, move.run, move.from,
          absl::StrCat("makes room for the restart of ", Format(waiting),
                       ", restarts on ", move.to));
  SendStops(from, now);
  return true;
}

}  // namespace skylarkbridge::jobs
