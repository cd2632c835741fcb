#ifndef SKYLARKBRIDGE_JOBS_CELL_ROOM_HPP
#define SKYLARKBRIDGE_JOBS_CELL_ROOM_HPP

#include <cstdint>

namespace skylarkbridge::jobs {

/// @brief Free processor time of the usable workers of a cell, in millicores.
struct cell_room {
  /// Of the worker with the most, and of all workers.
  std::int64_t largest = 0;
  std::int64_t total = 0;
  /// The same once all runs that can be preempted have been stopped.
  std::int64_t largest_preemptible = 0;
  std::int64_t total_preemptible = 0;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_CELL_ROOM_HPP
