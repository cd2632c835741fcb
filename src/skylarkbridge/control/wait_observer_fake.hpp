#ifndef SKYLARKBRIDGE_CONTROL_WAIT_OBSERVER_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_WAIT_OBSERVER_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/move_search_fake.hpp"
#include "skylarkbridge/control/owner_view_fake.hpp"
#include "skylarkbridge/control/place_wait_fake.hpp"
#include "skylarkbridge/control/task_wait_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {

/// @brief Most moves off one worker that count as a way to make room.
constexpr std::size_t kMaxMovesForRoom = 4;

/// @brief What a wait_observer looks for beside the tasks that wait.
enum class wait_check {
  /// Room for them in their cells, after moves if need be.
  kRoomByMoves,
  /// Places in all cells that they fit as they are. For schedules in which many
  /// tasks wait, where the search for moves takes too long.
  kPlaces,
};

/// @brief Watches the long-running tasks of a virtual fleet and tells
/// task_waits of their waits: what the owner says that they wait for, and
/// whether the workers of the cell have room for them.
class wait_observer {
 public:
  explicit wait_observer(virtual_fleet& fleet,
                         std::size_t cells,
                         wait_check check = wait_check::kRoomByMoves)
      : fleet_(fleet), cells_(cells), check_(check) {}

  /// @brief A long-running job was submitted.
  void JobSubmitted(jobs::job_id job,
                    const jobs::resources& need,
                    std::uint32_t count,
                    std::uint32_t max_per_worker = 0) {
    for (std::uint32_t index = 0; index < count; ++index) {
      const jobs::task_ref task{.job = job, .index = index};
      tasks_.emplace(task,
                     watched_task{.size = {.task = task,
                                           .need = need,
                                           .max_per_worker = max_per_worker}});
    }
  }
  void JobCancelled(jobs::job_id job) {
    std::erase_if(tasks_,
                  [job](const auto& entry) { return entry.first.job == job; });
    begun_.erase(job);
    waits_.Cancelled(job, fleet_.Now());
    place_waits_.Cancelled(job, fleet_.Now());
  }
  /// @brief The schedule ends the run of a task as failed.
  void RunFailed(const jobs::task_ref& task) { failed_.insert(task); }
  /// @brief A fault that leaves some task no way to start is present until
  /// @p until.
  void Fault(time_point until) {
    calm_from_ = std::max(calm_from_, until + kCalmTime);
  }
  /// @brief The store answers no calls until @p until.
  void Outage(time_point until) {
    outage_until_ = until;
    Fault(until);
  }
  /// @brief A worker leaves start orders unanswered until @p until. It does not
  /// count as room until the fleet is calm again.
  void StartsUnanswered(const std::string& worker, time_point until) {
    unusable_until_[worker] = until + kCalmTime;
  }

  /// @brief Advances the fleet and watches it.
  void Advance(std::chrono::milliseconds time) {
    for (const time_point end = fleet_.Now() + time; fleet_.Now() < end;) {
      fleet_.Advance(std::min(
          kPollInterval,
          std::chrono::ceil<std::chrono::milliseconds>(end - fleet_.Now())));
      Poll();
      if (fleet_.Now() >= next_observation_) {
        next_observation_ = fleet_.Now() + kObservationInterval;
        Observe();
      }
    }
  }

  /// @brief The long-running tasks that have a run.
  std::vector<jobs::task_ref> RunningTasks() const {
    std::vector<jobs::task_ref> running;
    for (const auto& [task, state] : tasks_) {
      if (!state.worker.empty()) {
        running.push_back(task);
      }
    }
    return running;
  }
  const task_waits& Waits() const { return waits_; }
  /// @brief Whether a task that has run waits for its restart.
  bool RestartWaits() const {
    const std::vector<task_wait> waits = waits_.InOrder();
    return !waits.empty() && waits.front().has_run;
  }
  const place_waits& PlaceWaits() const { return place_waits_; }
  void Finish() {
    waits_.Finish(fleet_.Now());
    place_waits_.Finish(fleet_.Now());
  }

 private:
  static constexpr std::chrono::milliseconds kPollInterval{20};
  static constexpr std::chrono::milliseconds kObservationInterval{100};
  /// Longest lease of a worker. The owner can't know earlier that a run was
  /// lost.
  static constexpr std::chrono::milliseconds kLease{6000};
  /// Does not move again within this time; see
  /// fleet_scheduler_options::min_relocation_interval.
  static constexpr std::chrono::seconds kMoveInterval{60};

  struct watched_task {
    sized_task size;
    /// The worker that runs it; empty while none does.
    std::string worker;
    bool has_run = false;
    /// The worker that its last run was lost with, until it is back.
    std::string lost_with;
    /// It may be moved from then on.
    time_point movable_from;
  };
  /// What the last search of a cell was for, and what it found.
  struct searched_cell {
    std::vector<filled_worker> workers;
    std::vector<sized_task> waiting;
    std::map<jobs::task_ref, std::string> plans;
  };

  void Poll() {
    const time_point now = fleet_.Now();
    for (auto& [task, state] : tasks_) {
      const std::string worker = fleet_.Checker().WorkerOf(task);
      if (!worker.empty()) {
        begun_.insert(task.job);
        waits_.Started(task, now);
        place_waits_.Ended(task, now);
        state.has_run = true;
      } else if (!state.worker.empty()) {
        RunEnded(task, state);
      } else if (begun_.contains(task.job) && !waits_.Waits(task)) {
        waits_.Begin({.task = task, .since = now, .counts_from = now});
      }
      state.worker = worker;
      if (!state.lost_with.empty() && waits_.Waits(task) &&
          fleet_.Worker(state.lost_with).Up()) {
        waits_.CountFrom(task, now);
        state.lost_with.clear();
      }
    }
  }
  void RunEnded(const jobs::task_ref& task, watched_task& state) {
    const time_point now = fleet_.Now();
    const bool lost = !fleet_.Worker(state.worker).Up();
    state.lost_with = lost ? state.worker : std::string();
    const bool failed = failed_.erase(task) > 0;
    const bool calm = now >= calm_from_;
    if (!lost && !failed && calm && !fleet_.Draining(state.worker)) {
      state.movable_from = now + kMoveInterval;
    }
    waits_.Begin({.task = task,
                  .has_run = true,
                  .since = now,
                  .counts_from = lost ? now + kLease : now});
  }

  void Observe() {
    std::map<jobs::cell_id, std::vector<task_wait>> of_cells;
    std::map<jobs::task_ref, wait_stage> stages;
    for (const task_wait& wait : waits_.InOrder()) {
      const wait_stage stage = FindStage(wait);
      stages[wait.task] =
          fleet_.Now() < outage_until_ ? wait_stage::kOutage : stage;
      if (const auto cell = cell_of_.find(wait.task); cell != cell_of_.end()) {
        of_cells[cell->second].push_back(wait);
      }
    }
    if (check_ == wait_check::kPlaces) {
      ObservePlaces(stages);
      return;
    }
    for (const auto& [cell, waits] : of_cells) {
      const std::map<jobs::task_ref, std::string>& plans =
          FindRoom(cell, waits);
      for (const task_wait& wait : waits) {
        const auto plan = plans.find(wait.task);
        waits_.Observe(wait.task,
                       {.stage = stages.at(wait.task),
                        .calm = fleet_.Now() >= calm_from_,
                        .room = plan != plans.end(),
                        .plan = plan == plans.end() ? "" : plan->second},
                       kObservationInterval, fleet_.Now());
      }
    }
  }

  void ObservePlaces(const std::map<jobs::task_ref, wait_stage>& stages) {
    const time_point now = fleet_.Now();
    std::vector<worker_place> places;
    for (jobs::cell_id cell = 0; cell < cells_; ++cell) {
      for (filled_worker& worker : WorkersOf(cell)) {
        places.push_back({.cell = cell, .worker = std::move(worker)});
      }
    }
    for (const task_wait& wait : waits_.InOrder()) {
      const wait_stage stage = stages.at(wait.task);
      waits_.Observe(wait.task, {.stage = stage}, kObservationInterval, now);
      const sized_task& task = tasks_.at(wait.task).size;
      const worker_place* const place = FindPlace(task, places);
      place_waits_.Observe(wait.task,
                           {.calm = now >= calm_from_,
                            .fits = place != nullptr,
                            .counts_from = wait.counts_from},
                           now, [&] {
                             return absl::StrCat(Describe(wait, now), ", ",
                                                 Name(stage), ", ",
                                                 DescribeOwners(task, *place));
                           });
    }
  }
  static std::string Describe(const task_wait& wait, time_point now) {
    return absl::StrCat(jobs::Format(wait.task),
                        wait.has_run ? "" : ", which has never run,", " waits ",
                        wait.Length(now).count(), " ms");
  }
  /// What the owners say of a waiting task and of a place that it fits.
  std::string DescribeOwners(const sized_task& task,
                             const worker_place& place) const {
    std::string text =
        absl::StrCat("needs ", task.need.millicores, ", fits ",
                     place.worker.worker, " of cell ", place.cell,
                     " with room for ", place.worker.room.millicores);
    const auto cell = cell_of_.find(task.task);
    if (cell != cell_of_.end()) {
      absl::StrAppend(&text, "; owner of cell ", cell->second, ": ",
                      DescribeQueue(fleet_, cell->second, task.task));
    }
    return absl::StrCat(
        text, "; owner of the place: ",
        DescribeRoom(fleet_, place.cell, place.worker.worker, task.need));
  }

  /// Finds the cell that has to start the task, and what its owner says.
  wait_stage FindStage(const task_wait& wait) {
    for (jobs::cell_id cell = 0; cell < cells_; ++cell) {
      const std::optional<std::size_t> owner = fleet_.Owner(cell);
      if (!owner) {
        continue;
      }
      const jobs::fleet_scheduler& scheduler =
          fleet_.Cell(*owner, cell).Scheduler();
      const jobs::task_state* const state = scheduler.Jobs().Find(wait.task);
      if (state != nullptr && state->phase != jobs::task_phase::kElsewhere) {
        cell_of_[wait.task] = cell;
        return StageOf(wait, *state, scheduler);
      }
    }
    const auto cell = cell_of_.find(wait.task);
    return cell != cell_of_.end() && !fleet_.Owner(cell->second)
               ? wait_stage::kNoOwner
               : wait_stage::kOther;
  }
  static wait_stage StageOf(const task_wait& wait,
                            const jobs::task_state& state,
                            const jobs::fleet_scheduler& scheduler) {
    if (state.phase == jobs::task_phase::kMaybeRunning) {
      return wait_stage::kUnreportedWorkers;
    }
    if (state.phase == jobs::task_phase::kActive) {
      return HasUnansweredStart(wait.task, state, scheduler)
                 ? wait_stage::kUnansweredStart
                 : wait_stage::kUnreportedEnd;
    }
    switch (scheduler.RestartObstacle(wait.task)) {
      case jobs::restart_obstacle::kRetryDelay:
        return wait_stage::kRetryDelay;
      case jobs::restart_obstacle::kUnstoredEnd:
        return wait_stage::kUnstoredEnd;
      case jobs::restart_obstacle::kUnreportedWorkers:
        return wait_stage::kUnreportedWorkers;
      case jobs::restart_obstacle::kLateStart:
        return wait_stage::kLateStart;
      case jobs::restart_obstacle::kRoom:
        return wait.has_run ? wait_stage::kRoom : wait_stage::kFirstStart;
      case jobs::restart_obstacle::kNone:
        return wait.has_run ? wait_stage::kOther : wait_stage::kFirstStart;
      default:
        return wait_stage::kOther;
    }
  }
  static bool HasUnansweredStart(const jobs::task_ref& task,
                                 const jobs::task_state& state,
                                 const jobs::fleet_scheduler& scheduler) {
    return std::any_of(
        state.active_runs.begin(), state.active_runs.end(),
        [&](const jobs::active_run& active) {
          const auto session = scheduler.Workers().find(active.worker);
          if (session == scheduler.Workers().end()) {
            return false;
          }
          const auto run = session->second.runs.find({task, active.run});
          return run != session->second.runs.end() && !run->second.confirmed;
        });
  }

  /// Returns how the waiting tasks of a cell get room, one after the other in
  /// their order. A task without a way to get it is left out.
  const std::map<jobs::task_ref, std::string>& FindRoom(
      jobs::cell_id cell,
      const std::vector<task_wait>& waits) {
    std::vector<filled_worker> workers = WorkersOf(cell);
    std::vector<sized_task> waiting;
    waiting.reserve(waits.size());
    for (const task_wait& wait : waits) {
      waiting.push_back(tasks_.at(wait.task).size);
    }
    searched_cell& searched = searched_[cell];
    if (searched.workers == workers && searched.waiting == waiting) {
      return searched.plans;
    }
    searched = {.workers = workers, .waiting = waiting};
    move_search search(std::move(workers));
    for (const sized_task& task : waiting) {
      if (const auto plan = search.Find(task, kMaxMovesForRoom)) {
        search.Apply(task, *plan);
        searched.plans[task.task] = Describe(task, *plan);
      }
    }
    return searched.plans;
  }
  std::string Describe(const sized_task& task, const move_plan& plan) const {
    std::string text = absl::StrCat(task.need.millicores, " on ", plan.worker);
    for (const task_move& move : plan.moves) {
      absl::StrAppend(&text, ", ", jobs::Format(move.task), " (",
                      tasks_.at(move.task).size.need.millicores, ") to ",
                      move.to);
    }
    return text;
  }

  /// The workers of a cell that take new tasks. While the cell has no owner,
  /// those that it had.
  std::vector<filled_worker> WorkersOf(jobs::cell_id cell) {
    const std::optional<std::size_t> owner = fleet_.Owner(cell);
    const jobs::fleet_scheduler* const scheduler =
        owner ? &fleet_.Cell(*owner, cell).Scheduler() : nullptr;
    if (scheduler != nullptr) {
      for (const auto& [id, session] : scheduler->Workers()) {
        workers_of_[cell].insert(id);
      }
    }
    std::vector<filled_worker> workers;
    for (const std::string& id : workers_of_[cell]) {
      const worker_fake& worker = fleet_.Worker(id);
      const auto unusable = unusable_until_.find(id);
      if (!worker.Up() || fleet_.Draining(id) ||
          (unusable != unusable_until_.end() &&
           fleet_.Now() < unusable->second)) {
        continue;
      }
      workers.push_back(Filled(worker, scheduler));
    }
    return workers;
  }
  filled_worker Filled(const worker_fake& worker,
                       const jobs::fleet_scheduler* scheduler) const {
    const worker_view view = worker.View();
    filled_worker filled{.worker = view.worker, .room = view.room};
    for (const jobs::task_ref& task : view.running) {
      const auto watched = tasks_.find(task);
      if (watched == tasks_.end()) {
        continue;
      }
      sized_task running = watched->second.size;
      const jobs::task_state* const state =
          scheduler == nullptr ? nullptr : scheduler->Jobs().Find(task);
      running.movable = fleet_.Now() >= watched->second.movable_from &&
                        state != nullptr && state->suspected_crashes == 0;
      filled.tasks.push_back(running);
    }
    return filled;
  }

  virtual_fleet& fleet_;
  const std::size_t cells_;
  const wait_check check_;
  std::map<jobs::task_ref, watched_task> tasks_;
  /// Jobs of which a task has run.
  std::set<jobs::job_id> begun_;
  /// Tasks whose run the schedule has ended as failed.
  std::set<jobs::task_ref> failed_;
  /// The cell that last had to start each task.
  std::map<jobs::task_ref, jobs::cell_id> cell_of_;
  std::map<jobs::cell_id, std::set<std::string>> workers_of_;
  std::map<jobs::cell_id, searched_cell> searched_;
  std::map<std::string, time_point> unusable_until_;
  time_point calm_from_;
  time_point outage_until_;
  time_point next_observation_;
  task_waits waits_;
  place_waits place_waits_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_WAIT_OBSERVER_FAKE_HPP
