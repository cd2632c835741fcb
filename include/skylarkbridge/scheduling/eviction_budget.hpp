#ifndef SKYLARKBRIDGE_SCHEDULING_EVICTION_BUDGET_HPP
#define SKYLARKBRIDGE_SCHEDULING_EVICTION_BUDGET_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"

namespace skylarkbridge::scheduling {

/// @brief Limits evictions in a time, in proportion to the workers, so that a
/// wrong or late measurement cannot empty the fleet.
class eviction_budget {
 public:
  explicit eviction_budget(const interference_options& options)
      : rate_(options.evictions_per_worker_minute / 60),
        burst_(options.eviction_burst) {}

  /// @return true when an eviction is allowed; it is then counted.
  bool TryAcquire(std::size_t workers, time_point now) {
    const auto count = static_cast<double>(workers);
    const double most = std::max(1.0, burst_ * count);
    const double seconds = std::chrono::duration<double>(now - last_).count();
    left_ = first_ ? most : std::min(most, left_ + seconds * rate_ * count);
    first_ = false;
    last_ = now;
    if (left_ < 1.0) {
      return false;
    }
    left_ -= 1.0;
    return true;
  }

 private:
  /// Per worker and second.
  double rate_;
  double burst_;
  double left_ = 0;
  bool first_ = true;
  time_point last_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_EVICTION_BUDGET_HPP
