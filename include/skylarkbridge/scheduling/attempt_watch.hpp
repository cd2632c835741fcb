#ifndef SKYLARKBRIDGE_SCHEDULING_ATTEMPT_WATCH_HPP
#define SKYLARKBRIDGE_SCHEDULING_ATTEMPT_WATCH_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <utility>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/deadline_index.hpp"
#include "skylarkbridge/scheduling/latency_estimate.hpp"
#include "skylarkbridge/scheduling/request_table.hpp"

namespace skylarkbridge::scheduling {

struct watch_options {
  /// An attempt counts as stalled after this many thousandths of the high
  /// quantile of its service's latency, and after at least shortest_stall.
  std::int64_t stall_permille = 4000;
  std::chrono::milliseconds shortest_stall = std::chrono::milliseconds(20);
};

/// @brief Request and number of a running attempt.
using attempt_key = std::pair<request_index, std::uint32_t>;

/// @brief Times at which running attempts are due for a hedge or count as
/// stalled.
class attempt_watch {
 public:
  explicit attempt_watch(watch_options options = {}) : options_(options) {}

  /// @brief Sets the next check of an attempt; none without a usable estimate
  /// or when it would fall after @p deadline.
  void Arm(request_index request,
           running_attempt& attempt,
           time_point deadline,
           const latency_estimate& latency,
           time_point now);
  void Disarm(request_index request, const running_attempt& attempt);

  /// @brief Removes and returns an attempt whose check is due.
  std::optional<attempt_key> PopDue(time_point now) {
    return checks_.PopDue(now);
  }
  std::optional<time_point> NextDeadline() const { return checks_.First(); }

 private:
  watch_options options_;
  deadline_index<attempt_key> checks_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ATTEMPT_WATCH_HPP
