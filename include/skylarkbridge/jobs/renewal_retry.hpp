#ifndef SKYLARKBRIDGE_JOBS_RENEWAL_RETRY_HPP
#define SKYLARKBRIDGE_JOBS_RENEWAL_RETRY_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace skylarkbridge::jobs {

struct renewal_retry_options {
  /// Delay after the first unanswered renewal; grows with each further one up
  /// to five times that.
  std::chrono::milliseconds delay{100};
  /// Interval of the renewals to all silent workers together that may carry out
  /// a late start. Bounds their load, also when a whole data centre is down:
  /// 200 connection attempts a second, of two small packets each where they are
  /// refused, take 0.2 Mbit/s.
  std::chrono::milliseconds watched_interval{5};
  /// A renewal to such a worker that has no answer after this time is sent
  /// again beside it, as its packets may have been lost while nobody listened.
  std::chrono::milliseconds hedge_delay{250};
  /// How long the connection attempts of a renewal go on beside the next one,
  /// so that a control thread which is late leaves no gap between the two.
  std::chrono::milliseconds reconnect_overlap{100};
};

/// @brief A worker whose last renewal got no answer.
struct silent_worker {
  /// Consecutive renewals without an answer, from 1.
  int failed_renewals = 1;
  /// Workers, this one included, that do not answer either and may carry out a
  /// late start; zero unless this worker is one of them.
  std::size_t watched = 0;
  /// Number of the last renewal.
  std::uint64_t renewal_number = 0;
};

/// @brief Delay from a failed renewal to the next one.
std::chrono::milliseconds RenewalRetryDelay(
    const renewal_retry_options& options,
    const silent_worker& worker);

/// @brief Delay from a renewal that is under way to the next one beside it.
/// Meaningful for a watched worker.
std::chrono::milliseconds RenewalHedgeDelay(
    const renewal_retry_options& options,
    const silent_worker& worker);

/// @brief Whether the sender of a renewal to a watched worker repeats the
/// connection attempts that fail. Not with so many of them that each would be
/// tried less often than without the watch.
bool ReconnectsForRenewal(const renewal_retry_options& options,
                          const silent_worker& worker);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RENEWAL_RETRY_HPP
