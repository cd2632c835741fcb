#ifndef SKYLARKBRIDGE_SCHEDULING_OUTLIER_EJECTION_HPP
#define SKYLARKBRIDGE_SCHEDULING_OUTLIER_EJECTION_HPP

#include <chrono>
#include <cstdint>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::scheduling {

/// @brief Conditions and lengths of ejections.
struct ejection_options {
  /// Consecutive failures after which an upstream is ejected.
  std::uint32_t consecutive_failure_threshold = 3;
  /// Weight of a new attempt in the failure rate.
  double rate_weight = 0.1;
  /// Failure rate above which an upstream is ejected, from 0 to 1.
  double failure_rate_threshold = 0.4;
  /// Minimum number of attempts before the failure rate can eject an upstream.
  std::uint32_t min_attempts = 10;
  /// Length of the first ejection. It doubles with each further ejection, up to
  /// max_ejection.
  std::chrono::milliseconds first_ejection = std::chrono::seconds(1);
  std::chrono::milliseconds max_ejection = std::chrono::seconds(30);
  /// Consecutive successes that end a probation.
  std::uint32_t probation_successes = 3;
};

enum class health_status {
  kHealthy,
  /// Receives no attempts.
  kEjected,
  /// Receives one attempt at a time.
  kProbation,
};

/// @brief Health of one upstream, from the results of its attempts.
struct upstream_health {
  health_status status = health_status::kHealthy;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_successes = 0;
  /// Attempts since the upstream was added or its last probation ended.
  std::uint32_t attempts = 0;
  /// Exponentially weighted share of failed attempts.
  double failure_rate = 0;
  /// Ejections since this count was last reset. A long run of successes resets
  /// it.
  std::uint32_t ejections = 0;
  /// End of the ejection. Valid only while ejected.
  time_point ejected_until;
};

/// @brief Records a failure. Returns whether the status changed.
bool RecordFailure(upstream_health& health,
                   const ejection_options& options,
                   time_point now);
/// @brief Records a success. Returns whether the status changed.
bool RecordSuccess(upstream_health& health, const ejection_options& options);
/// @brief Ends an ejection and puts the upstream on probation.
void StartProbation(upstream_health& health);

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_OUTLIER_EJECTION_HPP
