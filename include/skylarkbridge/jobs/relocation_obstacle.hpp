#ifndef SKYLARKBRIDGE_JOBS_RELOCATION_OBSTACLE_HPP
#define SKYLARKBRIDGE_JOBS_RELOCATION_OBSTACLE_HPP

#include <cstddef>
#include <map>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief Why no smaller run is relocated for a long-running task that waits
/// for room. Those that concern a run are in the order in which a search checks
/// them.
enum class relocation_obstacle {
  /// Nothing: a relocation is under way.
  kNone,
  /// The waiting task is part of a gang.
  kGang,
  /// The waiting task would first have to get a permit.
  kPlacementPolicy,
  /// A start of the waiting task without an answer binds it to its worker.
  kLateStart,
  /// The waiting task has never run.
  kFirstStart,
  /// Room is reserved for the waiting task on a worker whose batch runs or
  /// gangs have to end first.
  kReservedRoom,
  /// The task has not waited for long enough.
  kShortWait,
  /// Other tasks have used up the searches of the placement passes.
  kSearchLimit,
  /// The eligible workers have no smaller long-running run.
  kNoSmallerRun,
  /// The end of the run does not free enough on its worker.
  kTooLittleRoom,
  /// The run is part of a gang.
  kGangRun,
  /// The run has not been confirmed or is being stopped, or its task has a
  /// placement policy, a late start, another run, or a suspected crash.
  kImmovableRun,
  /// Room is kept for the task of the run, which is relocated already.
  kKeptRoom,
  /// The task of the run was relocated lately.
  kMovedLately,
  /// The search ended before it reached the run.
  kRunLimit,
  /// Too many tasks of the run's step are unavailable.
  kDisruptionBudget,
  /// No other worker can have room for the task of the run.
  kNoTarget,
};

/// @brief The result of a search that found no run to relocate.
struct relocation_refusal {
  /// The last one that a run met, or the one of the waiting task.
  relocation_obstacle obstacle = relocation_obstacle::kNone;
  /// Number of smaller long-running runs that each obstacle kept from being
  /// relocated; empty when the runs were not looked at.
  std::map<relocation_obstacle, std::size_t> runs;

  /// @brief Counts a run.
  void Add(relocation_obstacle of_run) {
    ++runs[of_run];
    obstacle = runs.rbegin()->first;
  }
};

/// @brief The last search of a waiting task.
struct relocation_search {
  time_point search_again_at;
  relocation_refusal refusal;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RELOCATION_OBSTACLE_HPP
