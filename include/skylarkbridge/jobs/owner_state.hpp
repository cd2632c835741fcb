#ifndef SKYLARKBRIDGE_JOBS_OWNER_STATE_HPP
#define SKYLARKBRIDGE_JOBS_OWNER_STATE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/kept_room.hpp"
#include "skylarkbridge/jobs/placement_summary.hpp"

namespace skylarkbridge::jobs {

/// @brief Placement passes and start orders of an owner since its ownership
/// began.
struct placement_counts {
  std::uint64_t passes = 0;
  /// Those that ended before all steps were looked at, by their reason.
  std::uint64_t cut_by_unplaced_steps = 0;
  std::uint64_t cut_by_start_limit = 0;
  std::uint64_t starts = 0;

  /// @brief The counts since an earlier time of the same ownership.
  placement_counts Since(const placement_counts& earlier) const {
    return {
        .passes = passes - earlier.passes,
        .cut_by_unplaced_steps =
            cut_by_unplaced_steps - earlier.cut_by_unplaced_steps,
        .cut_by_start_limit = cut_by_start_limit - earlier.cut_by_start_limit,
        .starts = starts - earlier.starts};
  }
};

/// @brief The tasks of a cell that may start now.
struct ready_backlog {
  std::size_t steps = 0;
  std::size_t tasks = 0;
  /// The longest wait of one of them: since its last run ended, or since this
  /// owner added its job while no run of it is known here. It starts anew when
  /// the cell gets another owner.
  std::chrono::milliseconds oldest_wait{};
  task_ref oldest;
};

/// @brief The runs of a cell on its workers.
struct run_counts {
  std::size_t all = 0;
  /// Their start has no answer yet, or got none in time.
  std::size_t unconfirmed = 0;
  /// Best-effort runs that are ordered to do no work.
  std::size_t at_zero_speed = 0;
  /// Runs whose reported end is not durable in the log.
  std::uint64_t unstored_ends = 0;
};

/// @brief What the owner of a cell has to do and what keeps it from doing it.
struct owner_state {
  std::size_t open_jobs = 0;
  ready_backlog ready;
  /// The last placement pass.
  placement_summary pass;
  placement_counts counts;
  std::size_t starts_in_flight = 0;
  std::size_t start_limit = 0;
  std::size_t workers = 0;
  std::size_t usable_workers = 0;
  /// Of the usable workers.
  std::int64_t free_millicores = 0;
  std::int64_t largest_free_millicores = 0;
  std::int64_t total_millicores = 0;
  /// What long-running tasks hold of it. Batch tasks can use the rest at most.
  std::int64_t long_running_millicores = 0;
  run_counts runs;
  /// Long-running tasks that wait for their restart.
  std::size_t waiting_restarts = 0;
  std::chrono::milliseconds longest_restart_wait{};
  kept_room kept;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_OWNER_STATE_HPP
