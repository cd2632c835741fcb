#ifndef SKYLARKBRIDGE_CONTROL_MOVE_SEARCH_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_MOVE_SEARCH_FAKE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <numeric>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

/// @brief An exact search for the moves of runs by which a task gets room. It
/// tells a lack of room from room in pieces on small cells.
namespace skylarkbridge::control {

/// @brief A long-running task that runs on a worker or needs a place on one.
struct sized_task {
  jobs::task_ref task;
  jobs::resources need;
  /// Tasks of the step that may run on one worker; zero for no limit.
  std::uint32_t max_per_worker = 0;
  /// Whether its run may be moved to another worker.
  bool movable = true;

  bool operator==(const sized_task&) const = default;
};

/// @brief A worker that takes new tasks, with its long-running tasks.
struct filled_worker {
  std::string worker;
  /// Capacity that these tasks don't hold.
  jobs::resources room;
  std::vector<sized_task> tasks;

  bool operator==(const filled_worker&) const = default;
};

/// @brief A run that moves to another worker.
struct task_move {
  jobs::task_ref task;
  std::string to;
};

/// @brief How a task gets room.
struct move_plan {
  /// The worker that gets the task.
  std::string worker;
  /// The runs that leave this worker before.
  std::vector<task_move> moves;
};

/// @brief Whether the worker has room for the task as it is.
inline bool HasPlaceFor(const sized_task& task, const filled_worker& worker) {
  const auto siblings =
      std::count_if(worker.tasks.begin(), worker.tasks.end(),
                    [&task](const sized_task& other) {
                      return other.task.job == task.task.job &&
                             other.task.occurrence == task.task.occurrence &&
                             other.task.step == task.task.step;
                    });
  return jobs::Fits(task.need, worker.room) &&
         (task.max_per_worker == 0 || siblings < task.max_per_worker);
}

/// @brief Searches all ways to move at most a number of runs off one worker.
class move_search {
 public:
  explicit move_search(std::vector<filled_worker> workers)
      : workers_(std::move(workers)) {}

  /// @brief Returns a plan with the fewest moves after which the task has a
  /// place; nullopt when there is none. Only runs that need less than the task
  /// move, and each goes to a worker that has room for it.
  std::optional<move_plan> Find(const sized_task& task, std::size_t max_moves) {
    jobs::resources total;
    for (const filled_worker& worker : workers_) {
      total += worker.room;
    }
    if (!jobs::Fits(task.need, total)) {
      return std::nullopt;
    }
    for (std::size_t moves = 0; moves <= max_moves; ++moves) {
      for (std::size_t place = 0; place < workers_.size(); ++place) {
        moves_.clear();
        if (MoveRuns(task, place, 0, moves)) {
          return move_plan{.worker = workers_[place].worker, .moves = moves_};
        }
      }
    }
    return std::nullopt;
  }

  /// @brief Carries a plan of Find out.
  void Apply(const sized_task& task, const move_plan& plan) {
    filled_worker& place = WorkerOf(plan.worker);
    for (const task_move& move : plan.moves) {
      const auto run = std::find_if(
          place.tasks.begin(), place.tasks.end(),
          [&move](const sized_task& other) { return other.task == move.task; });
      const sized_task moved = *run;
      place.tasks.erase(run);
      place.room += moved.need;
      Add(moved, WorkerOf(move.to));
    }
    Add(task, place);
  }

  const std::vector<filled_worker>& Workers() const { return workers_; }

 private:
  static void Add(const sized_task& task, filled_worker& worker) {
    worker.room -= task.need;
    worker.tasks.push_back(task);
  }
  static void RemoveLast(filled_worker& worker) {
    worker.room += worker.tasks.back().need;
    worker.tasks.pop_back();
  }
  filled_worker& WorkerOf(const std::string& id) {
    return *std::find_if(
        workers_.begin(), workers_.end(),
        [&id](const filled_worker& worker) { return worker.worker == id; });
  }

  /// Moves exactly @p left runs off the worker, those at @p first and behind,
  /// until the task has a place there. Leaves the workers as they were.
  bool MoveRuns(const sized_task& task,
                std::size_t place,
                std::size_t first,
                std::size_t left) {
    if (left == 0) {
      return HasPlaceFor(task, workers_[place]);
    }
    if (MostRoom(task, workers_[place], first, left) < task.need.millicores) {
      return false;
    }
    for (std::size_t index = first; index < workers_[place].tasks.size();
         ++index) {
      const sized_task run = workers_[place].tasks[index];
      if (!MayMove(run, task) || IsLikeEarlierRun(place, first, index)) {
        continue;
      }
      for (std::size_t to = 0; to < workers_.size(); ++to) {
        if (to == place || !HasPlaceFor(run, workers_[to])) {
          continue;
        }
        Take(place, index);
        Add(run, workers_[to]);
        moves_.push_back({.task = run.task, .to = workers_[to].worker});
        const bool found = MoveRuns(task, place, index, left - 1);
        RemoveLast(workers_[to]);
        PutBack(run, place, index);
        if (found) {
          return true;
        }
        moves_.pop_back();
      }
    }
    return false;
  }
  static bool MayMove(const sized_task& run, const sized_task& task) {
    return run.movable && run.need.millicores < task.need.millicores;
  }
  /// Most room that the moves of @p left runs from @p first on can make.
  static std::int64_t MostRoom(const sized_task& task,
                               const filled_worker& worker,
                               std::size_t first,
                               std::size_t left) {
    std::vector<std::int64_t> needs;
    for (std::size_t index = first; index < worker.tasks.size(); ++index) {
      if (MayMove(worker.tasks[index], task)) {
        needs.push_back(worker.tasks[index].need.millicores);
      }
    }
    std::sort(needs.rbegin(), needs.rend());
    needs.resize(std::min(needs.size(), left));
    return std::accumulate(needs.begin(), needs.end(), worker.room.millicores);
  }
  /// Whether the move of an equal run has been tried instead.
  bool IsLikeEarlierRun(std::size_t place,
                        std::size_t first,
                        std::size_t index) const {
    const std::vector<sized_task>& tasks = workers_[place].tasks;
    const auto begin = tasks.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = tasks.begin() + static_cast<std::ptrdiff_t>(index);
    const sized_task& run = *end;
    return run.max_per_worker == 0 &&
           std::any_of(begin, end, [&run](const sized_task& earlier) {
             return earlier.movable && earlier.max_per_worker == 0 &&
                    earlier.need == run.need;
           });
  }
  void Take(std::size_t place, std::size_t index) {
    filled_worker& worker = workers_[place];
    worker.room += worker.tasks[index].need;
    worker.tasks.erase(worker.tasks.begin() +
                       static_cast<std::ptrdiff_t>(index));
  }
  void PutBack(const sized_task& run, std::size_t place, std::size_t index) {
    filled_worker& worker = workers_[place];
    worker.room -= run.need;
    worker.tasks.insert(
        worker.tasks.begin() + static_cast<std::ptrdiff_t>(index), run);
  }

  std::vector<filled_worker> workers_;
  /// The moves of the branch that is searched.
  std::vector<task_move> moves_;
};

/// @brief See move_search::Find.
inline std::optional<move_plan> FindRoomByMoves(
    std::vector<filled_worker> workers,
    const sized_task& task,
    std::size_t max_moves) {
  return move_search(std::move(workers)).Find(task, max_moves);
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_MOVE_SEARCH_FAKE_HPP
