#ifndef SKYLARKBRIDGE_JOBS_RESTART_CAUSE_HPP
#define SKYLARKBRIDGE_JOBS_RESTART_CAUSE_HPP

#include <cstdint>

#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

/// @brief What a long-running task waits for before it starts again.
enum class restart_obstacle {
  /// Nothing: the first placement pass after the end of its run starts it.
  kNone,
  /// The delay after a failed run.
  kRetryDelay,
  /// The end of the last run is not stored yet.
  kUnstoredEnd,
  /// Workers of an earlier owner that have not sent a report yet.
  kUnreportedWorkers,
  /// No worker of the service takes new tasks.
  kNoUsableWorker,
  /// The usable workers lack the label of the step, or run as many tasks of it
  /// as its limit allows.
  kNoEligibleWorker,
  /// The placement policy has permitted no eligible worker.
  kPlacementPolicy,
  /// No eligible worker has enough room that is not reserved.
  kRoom,
  /// The task is suspected of crashing its workers and is kept apart from other
  /// suspects.
  kIsolation,
  /// A start of the task got no answer, and its worker, on which alone the task
  /// may start, does not get new tasks or has no room.
  kLateStart,
  /// Other members of its gang can't start yet.
  kGangMembers,
};

/// @brief What has changed on the chosen worker since the last placement pass
/// that did not start a long-running task.
enum class restart_release {
  /// Does not apply: the obstacle was not on the worker.
  kNone,
  /// The worker is new to this owner.
  kNewWorker,
  /// The worker answers again after a silence, or is listed again.
  kReturnedWorker,
  /// A run of a cancelled job has left the worker.
  kCancelledRun,
  /// Another run has left the worker.
  kEndedRun,
  /// Anything else, as a larger capacity or the end of a reservation.
  kOther,
};

/// @brief Why a long-running task started again when it did, and not earlier.
struct restart_cause {
  /// In the last placement pass that did not start the task.
  restart_obstacle obstacle = restart_obstacle::kNone;
  restart_release release = restart_release::kNone;
  /// The run that left the worker; zero for other releases.
  run_ref removed_run;
};

/// @brief The last events that can have made room on a worker, each with the
/// number of placement passes before it.
struct room_events {
  /// The worker became usable for the first time.
  std::uint64_t joined = 0;
  /// It answered after a silence or was listed again.
  std::uint64_t returned = 0;
  /// A run that had reserved room left it.
  std::uint64_t run_removed = 0;
  run_ref removed_run;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RESTART_CAUSE_HPP
