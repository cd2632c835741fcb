#include "skylarkbridge/scheduling/attempt_timers.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

void attempt_timers::Arm(request_index request,
                         running_attempt& attempt,
                         time_point deadline,
                         const latency_estimate& latency,
                         time_point now) {
  if (!latency.Usable(now)) {
    return;
  }
  const std::chrono::nanoseconds stall_time =
      std::max<std::chrono::nanoseconds>(
          latency.HighQuantile() * options_.stall_permille / 1000,
          options_.min_stall_time);
  const time_point check_at =
      attempt.started_at +
      (attempt.hedge_next ? latency.HighQuantile() : stall_time);
  if (check_at < deadline) {
    attempt.check_at = check_at;
    checks_.Insert(check_at, {request, attempt.attempt});
  }
}

void attempt_timers::Disarm(request_index request,
                            const running_attempt& attempt) {
  if (attempt.check_at) {
    checks_.Erase(*attempt.check_at, {request, attempt.attempt});
  }
}

}  // namespace skylarkbridge::scheduling
