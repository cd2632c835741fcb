#ifndef SKYLARKBRIDGE_JOBS_TARGET_VIOLATION_HPP
#define SKYLARKBRIDGE_JOBS_TARGET_VIOLATION_HPP

#include <optional>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief Since when the serving tasks of a worker have been over their latency
/// targets.
struct target_violation {
  /// Empty while the last reports of all tasks are below their targets.
  std::optional<time_point> over_since;
  /// The same, but single reports below the target do not end the violation.
  std::optional<time_point> since;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_TARGET_VIOLATION_HPP
