#include "skylarkbridge/scheduling/attempt_watch.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

void attempt_watch::Arm(request_index request,
                        running_attempt& attempt,
                        time_point deadline,
                        const latency_estimate& latency,
                        time_point now) {
  if (!latency.Usable(now)) {
    return;
  }
  const std::chrono::nanoseconds stall = std::max<std::chrono::nanoseconds>(
      latency.High() * options_.stall_permille / 1000, options_.shortest_stall);
  const time_point check_at =
      attempt.started_at + (attempt.hedge_next ? latency.High() : stall);
  if (check_at < deadline) {
    attempt.check_at = check_at;
    checks_.Insert(check_at, {request, attempt.attempt});
  }
}

void attempt_watch::Disarm(request_index request,
                           const running_attempt& attempt) {
  if (attempt.check_at) {
    checks_.Erase(*attempt.check_at, {request, attempt.attempt});
  }
}

}  // namespace skylarkbridge::scheduling
