#ifndef SKYLARKBRIDGE_JOBS_WORKER_LEASE_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_LEASE_HPP

#include <algorithm>
#include <chrono>
#include <optional>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief Relates a worker's clock to ours and bounds the time until which
/// anything can run there.
///
/// A worker's clock may be slow by kClockSlowness and is never fast, so the
/// time that is left on it is an upper bound once it is stretched by that.
class worker_lease {
 public:
  /// The worker's clock runs at 98% of the true speed at the least.
  static constexpr double kClockSlowness = 1.0 / 0.98;

  /// @param unknown_until until when a lease that was granted by others, or by
  /// orders that are carried out late, may last.
  explicit worker_lease(time_point unknown_until) : ends_(unknown_until) {}

  /// @brief An answer with the worker's time arrived.
  void Synchronise(worker_time clock, time_point received) {
    clock_ = clock;
    received_ = received;
  }

  /// @brief The worker started anew, with another clock.
  /// @param unknown_until until when orders that the new life carries out late
  /// may let work run.
  void Reset(time_point unknown_until) {
    clock_.reset();
    ends_ = unknown_until;
  }

  bool Synchronised() const { return clock_.has_value(); }

  /// @brief The worker's time after @p ahead, at the latest.
  worker_time Estimate(time_point now, std::chrono::milliseconds ahead) const {
    return *clock_ + ahead +
           std::chrono::floor<std::chrono::milliseconds>(now - received_);
  }

  /// @brief An order is being sent that lets work run until @p until at the
  /// latest. A worker that started anew unnoticed takes an order for its
  /// longest lease, whatever time the order states.
  void Extend(time_point until) { ends_ = std::max(ends_, until); }

  /// @brief Whatever was ordered so far lets no work run after @p until.
  void Bound(time_point until) { ends_ = std::min(ends_, until); }

  /// @brief Nothing that was ordered so far runs after this time.
  time_point Ends() const { return ends_; }

 private:
  std::optional<worker_time> clock_;
  time_point received_;
  time_point ends_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_LEASE_HPP
