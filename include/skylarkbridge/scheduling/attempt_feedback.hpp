#ifndef SKYLARKBRIDGE_SCHEDULING_ATTEMPT_FEEDBACK_HPP
#define SKYLARKBRIDGE_SCHEDULING_ATTEMPT_FEEDBACK_HPP

#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/latency_estimate.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/scheduling/request_table.hpp"
#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Turns ended attempts into what is known of services and upstreams.
class attempt_feedback {
 public:
  /// @brief Records an attempt of @p record that ended as @p event says. Not
  /// every failure is held against the upstream: not one that this system
  /// caused itself, not one of a service that fails everywhere.
  void Learn(const request_record& record,
             const running_attempt& attempt,
             const attempt_finished& event,
             time_point now,
             latency_estimate& latency,
             upstream_table& upstreams);

 private:
  /// Part of the answers of each service that report a fault.
  std::vector<double> fault_rates_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ATTEMPT_FEEDBACK_HPP
