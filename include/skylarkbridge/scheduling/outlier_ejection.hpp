#ifndef SKYLARKBRIDGE_SCHEDULING_OUTLIER_EJECTION_HPP
#define SKYLARKBRIDGE_SCHEDULING_OUTLIER_EJECTION_HPP

#include <chrono>
#include <cstdint>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::scheduling {

struct ejection_options {
  /// Failures in a row after which an upstream is ejected.
  std::uint32_t consecutive_failures = 3;
  /// Weight of one attempt in the failure rate.
  double rate_weight = 0.1;
  /// Failure rate above which an upstream is ejected.
  double failure_rate = 0.4;
  /// Attempts needed before the failure rate counts.
  std::uint32_t min_attempts = 10;
  /// Length of the first ejection; it doubles with each one that follows.
  std::chrono::milliseconds first_ejection = std::chrono::seconds(1);
  std::chrono::milliseconds longest_ejection = std::chrono::seconds(30);
  /// Successes in a row that end a probation.
  std::uint32_t probation_successes = 3;
};

enum class health_status {
  kHealthy,
  /// Gets no attempts.
  kEjected,
  /// Gets one attempt at a time.
  kProbation,
};

/// @brief What the attempts at one upstream have shown.
struct upstream_health {
  health_status status = health_status::kHealthy;
  std::uint32_t failures_in_row = 0;
  std::uint32_t successes_in_row = 0;
  std::uint32_t attempts = 0;
  double failure_rate = 0;
  /// Ejections since the upstream last was healthy for long.
  std::uint32_t ejections = 0;
  /// End of the ejection; meaningful while ejected.
  time_point ejected_until;
};

/// @brief Records a failure. Returns whether the status changed.
bool RecordFailure(upstream_health& health,
                   const ejection_options& options,
                   time_point now);
/// @brief Records a success. Returns whether the status changed.
bool RecordSuccess(upstream_health& health, const ejection_options& options);
/// @brief Ends an ejection; the upstream is on probation.
void StartProbation(upstream_health& health);

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_OUTLIER_EJECTION_HPP
