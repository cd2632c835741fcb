#ifndef SKYLARKBRIDGE_SUPERVISOR_RESTART_INTENSITY_HPP
#define SKYLARKBRIDGE_SUPERVISOR_RESTART_INTENSITY_HPP

#include <chrono>
#include <cstddef>
#include <deque>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::supervisor {

/// @brief How many restarts a supervisor tolerates before it gives up.
struct restart_limits {
  std::size_t max_restarts = 5;
  std::chrono::milliseconds window = std::chrono::seconds(10);
};

/// @brief Counts restarts within a sliding window.
class restart_intensity {
 public:
  explicit restart_intensity(restart_limits limits) : limits_(limits) {}

  /// @brief Records a restart at @p now. Returns false when it is one too many.
  bool Allow(time_point now);

 private:
  restart_limits limits_;
  std::deque<time_point> restarts_;
};

}  // namespace skylarkbridge::supervisor

#endif  // SKYLARKBRIDGE_SUPERVISOR_RESTART_INTENSITY_HPP
