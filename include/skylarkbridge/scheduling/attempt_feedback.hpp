#ifndef SKYLARKBRIDGE_SCHEDULING_ATTEMPT_FEEDBACK_HPP
#define SKYLARKBRIDGE_SCHEDULING_ATTEMPT_FEEDBACK_HPP

#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/latency_estimate.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/scheduling/request_table.hpp"
#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Updates the latency estimates of services and the health of upstreams
/// from the results of ended attempts.
class attempt_feedback {
 public:
  /// @brief Records that an attempt of @p record ended with @p event. An
  /// attempt that this daemon ended itself, or whose deadline was too tight,
  /// doesn't count as a failure of the upstream. Neither does a fault of a
  /// service that fails on most upstreams.
  void RecordAttempt(const request_record& record,
                     const running_attempt& attempt,
                     const attempt_finished& event,
                     time_point now,
                     latency_estimate& latency,
                     upstream_table& upstreams);

 private:
  /// Moving average of the share of answers that report a fault, by service.
  std::vector<double> fault_rates_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ATTEMPT_FEEDBACK_HPP
