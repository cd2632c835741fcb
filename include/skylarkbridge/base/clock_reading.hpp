#ifndef SKYLARKBRIDGE_BASE_CLOCK_READING_HPP
#define SKYLARKBRIDGE_BASE_CLOCK_READING_HPP

#include <chrono>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief The clock of this process and the calendar time, read together.
/// Converts points in time between the two.
struct clock_reading {
  time_point now;
  wall_time wall{};

  /// @brief Returns the calendar time of @p time, rounded down to milliseconds.
  wall_time ToWall(time_point time) const {
    return std::chrono::floor<std::chrono::milliseconds>(wall + (time - now));
  }
  /// @brief Returns @p time on the clock of this process.
  time_point ToLocal(wall_time time) const { return now + (time - wall); }
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_CLOCK_READING_HPP
