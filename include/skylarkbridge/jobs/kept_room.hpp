#ifndef SKYLARKBRIDGE_JOBS_KEPT_ROOM_HPP
#define SKYLARKBRIDGE_JOBS_KEPT_ROOM_HPP

#include <cstdint>

namespace skylarkbridge::jobs {

/// @brief Processor time of the workers of a cell that new tasks don't get, by
/// the reason, in millicores. A reservation counts in full, also while other
/// runs still use a part of it.
struct kept_room {
  /// Reserved for tasks that wait for their restarts.
  std::int64_t for_restarts = 0;
  /// Reserved for the tasks of runs that are relocated.
  std::int64_t for_relocations = 0;
  /// Reserved for other tasks: on draining workers, or of steps that have
  /// begun.
  std::int64_t for_other_tasks = 0;
  /// Left by first starts, and by what is stated to other cells, for the
  /// long-running tasks on silent workers.
  std::int64_t for_silent_workers = 0;
  /// Held by runs that are to be stopped.
  std::int64_t by_stops = 0;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_KEPT_ROOM_HPP
