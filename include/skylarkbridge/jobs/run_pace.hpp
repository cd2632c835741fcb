#ifndef SKYLARKBRIDGE_JOBS_RUN_PACE_HPP
#define SKYLARKBRIDGE_JOBS_RUN_PACE_HPP

#include <optional>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief Speed of a best-effort run, as far as its owner knows.
struct run_pace {
  /// Percentage of the run's full speed; empty while unknown, as in a run that
  /// was started by an earlier owner, or after an order without an answer.
  std::optional<int> speed_percent;
  /// An order on pace awaits its answer.
  bool order_under_way = false;
  /// Since when the run may stand still; empty while it is known to work.
  std::optional<time_point> paused_since;

  /// @brief Whether the run may stand still.
  bool MayBePaused() const { return speed_percent.value_or(0) == 0; }
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RUN_PACE_HPP
