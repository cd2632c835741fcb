#ifndef SKYLARKBRIDGE_ENTRY_REQUEST_METRICS_HPP
#define SKYLARKBRIDGE_ENTRY_REQUEST_METRICS_HPP

#include <array>
#include <chrono>
#include <string>

#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/telemetry/metrics.hpp"

namespace skylarkbridge::entry {

/// @brief Metrics of callers' requests: `skylarkbridge_requests_total` by
/// outcome, and `skylarkbridge_request_seconds` from arrival to answer. Safe to
/// use from many threads.
class request_metrics {
 public:
  explicit request_metrics(telemetry::metrics_registry& registry)
      : outcomes_{&Outcome(registry, "done"), &Outcome(registry, "not_run"),
                  &Outcome(registry, "unknown")},
        latency_(registry.Latency("skylarkbridge_request_seconds",
                                  "Time from arrival to answer.")) {}

  void Record(scheduling::request_outcome outcome,
              std::chrono::nanoseconds latency) {
    outcomes_[static_cast<std::size_t>(outcome)]->Add();
    latency_.Record(latency);
  }

 private:
  static telemetry::counter& Outcome(telemetry::metrics_registry& registry,
                                     const std::string& outcome) {
    return registry.Counter("skylarkbridge_requests_total",
                            "Requests of callers by outcome.",
                            {{"outcome", outcome}});
  }

  std::array<telemetry::counter*, 3> outcomes_;
  telemetry::latency_histogram& latency_;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_REQUEST_METRICS_HPP
