#ifndef SKYLARKBRIDGE_SCHEDULING_EVICTION_BUDGET_HPP
#define SKYLARKBRIDGE_SCHEDULING_EVICTION_BUDGET_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"

namespace skylarkbridge::scheduling {

/// @brief Token bucket that limits the rate of evictions in proportion to the
/// number of workers, so that wrong or late measurements cannot empty the
/// fleet.
class eviction_budget {
 public:
  explicit eviction_budget(const interference_options& options)
      : rate_(options.evictions_per_worker_minute / 60),
        burst_(options.eviction_burst) {}

  /// @brief Takes a token if one is available.
  /// @param workers current number of workers.
  /// @return true if an eviction is allowed.
  bool TryAcquire(std::size_t workers, time_point now) {
    const auto count = static_cast<double>(workers);
    const double bucket_size = std::max(1.0, burst_ * count);
    const double seconds =
        std::chrono::duration<double>(now - last_refill_).count();
    tokens_ = first_ ? bucket_size
                     : std::min(bucket_size, tokens_ + seconds * rate_ * count);
    first_ = false;
    last_refill_ = now;
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }

 private:
  /// Tokens per worker and second.
  double rate_;
  /// Size of the bucket, in tokens per worker.
  double burst_;
  double tokens_ = 0;
  bool first_ = true;
  time_point last_refill_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_EVICTION_BUDGET_HPP
