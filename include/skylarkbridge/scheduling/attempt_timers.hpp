#ifndef SKYLARKBRIDGE_SCHEDULING_ATTEMPT_TIMERS_HPP
#define SKYLARKBRIDGE_SCHEDULING_ATTEMPT_TIMERS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/deadline_index.hpp"
#include "skylarkbridge/scheduling/latency_estimate.hpp"
#include "skylarkbridge/scheduling/request_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Times after which an attempt counts as stalled.
struct attempt_timer_options {
  /// Stall time in thousandths of the high quantile of the service time. It is
  /// never shorter than min_stall_time.
  std::int64_t stall_permille = 4000;
  std::chrono::milliseconds min_stall_time = std::chrono::milliseconds(20);
};

/// @brief Identifies a running attempt by its request and its number.
using attempt_key = std::pair<request_index, std::uint32_t>;

/// @brief Timers of running attempts: when a hedge is due, and when an attempt
/// counts as stalled.
class attempt_timers {
 public:
  explicit attempt_timers(attempt_timer_options options = {})
      : options_(options) {}

  /// @brief Schedules the next check of an attempt, if the latency estimate is
  /// usable and the check would be due before @p deadline.
  void Arm(request_index request,
           running_attempt& attempt,
           time_point deadline,
           const latency_estimate& latency,
           time_point now);
  /// @brief Removes the scheduled check of an attempt, if any.
  void Disarm(request_index request, const running_attempt& attempt);

  /// @brief Removes and returns an attempt whose check is due, if any.
  std::optional<attempt_key> PopDue(time_point now) {
    return checks_.PopDue(now);
  }
  std::optional<time_point> NextDeadline() const { return checks_.First(); }

 private:
  attempt_timer_options options_;
  deadline_index<attempt_key> checks_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ATTEMPT_TIMERS_HPP
