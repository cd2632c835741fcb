#include "skylarkbridge/scheduling/outlier_ejection.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

namespace {

/// Consecutive successes after which the count of ejections is reset.
constexpr std::uint32_t kSuccessesToResetEjections = 100;

void Eject(upstream_health& health,
           const ejection_options& options,
           time_point now) {
  // Ten doublings exceed any practical max_ejection and keep the shift in
  // range.
  const std::uint32_t doublings = std::min(health.ejections, 10U);
  ++health.ejections;
  health.status = health_status::kEjected;
  health.ejected_until =
      now + std::min(options.first_ejection * (1U << doublings),
                     options.max_ejection);
}

}  // namespace

bool RecordFailure(upstream_health& health,
                   const ejection_options& options,
                   time_point now) {
  ++health.consecutive_failures;
  ++health.attempts;
  health.consecutive_successes = 0;
  health.failure_rate += (1.0 - health.failure_rate) * options.rate_weight;
  if (health.status == health_status::kEjected) {
    return false;
  }
  if (health.status == health_status::kProbation ||
      health.consecutive_failures >= options.consecutive_failure_threshold ||
      (health.attempts >= options.min_attempts &&
       health.failure_rate > options.failure_rate_threshold)) {
    Eject(health, options, now);
    return true;
  }
  return false;
}

bool RecordSuccess(upstream_health& health, const ejection_options& options) {
  health.consecutive_failures = 0;
  ++health.attempts;
  ++health.consecutive_successes;
  health.failure_rate -= health.failure_rate * options.rate_weight;
  if (health.status == health_status::kProbation &&
      health.consecutive_successes >= options.probation_successes) {
    health.status = health_status::kHealthy;
    health.failure_rate = 0;
    health.attempts = 0;
    return true;
  }
  if (health.consecutive_successes >= kSuccessesToResetEjections) {
    health.ejections = 0;
  }
  return false;
}

void StartProbation(upstream_health& health) {
  health.status = health_status::kProbation;
  health.consecutive_failures = 0;
  health.consecutive_successes = 0;
}

}  // namespace skylarkbridge::scheduling
