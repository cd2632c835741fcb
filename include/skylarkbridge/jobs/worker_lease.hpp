#ifndef SKYLARKBRIDGE_JOBS_WORKER_LEASE_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_LEASE_HPP

#include <algorithm>
#include <chrono>
#include <optional>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief Maps a worker's clock to the local one, and tracks the latest local
/// time at which a task can still run under the worker's lease.
///
/// A worker's clock is never fast, but may be slow. A duration on it,
/// multiplied by kMaxClockStretch, is an upper bound of the local duration.
class worker_lease {
 public:
  /// A worker's clock runs at 98% of the true speed or more.
  static constexpr double kMaxClockStretch = 1.0 / 0.98;

  /// @param latest_possible_expiry latest expiry of a lease that the worker may
  /// grant on an order of an earlier owner or on a delayed order.
  explicit worker_lease(time_point latest_possible_expiry)
      : expires_at_(latest_possible_expiry) {}

  /// @brief Records the worker's time from an answer received at @p received.
  void Synchronise(worker_time clock, time_point received) {
    clock_ = clock;
    received_ = received;
  }

  /// @brief Discards the clock of a worker that has restarted.
  /// @param latest_possible_expiry latest expiry of a lease that the restarted
  /// worker may grant on a delayed order.
  void Reset(time_point latest_possible_expiry) {
    clock_.reset();
    expires_at_ = latest_possible_expiry;
  }

  bool IsSynchronised() const { return clock_.has_value(); }

  /// @brief Estimates the worker's time @p ahead from now, as if its clock were
  /// not slow. Requires IsSynchronised().
  worker_time EstimateWorkerTime(time_point now,
                                 std::chrono::milliseconds ahead) const {
    return *clock_ + ahead +
           std::chrono::floor<std::chrono::milliseconds>(now - received_);
  }

  /// @brief Moves the expiry to @p until unless it is later already. Call
  /// before each order that extends the lease, with the latest expiry that a
  /// worker may grant: a worker whose restart is not known yet grants the
  /// longest lease, whatever time the order requests.
  void Extend(time_point until) { expires_at_ = std::max(expires_at_, until); }

  /// @brief Moves the expiry to @p until unless it is earlier already.
  void LimitTo(time_point until) { expires_at_ = std::min(expires_at_, until); }

  /// @brief No task runs on the worker after this time, unless the lease is
  /// extended.
  time_point ExpiresAt() const { return expires_at_; }

 private:
  std::optional<worker_time> clock_;
  time_point received_;
  time_point expires_at_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_LEASE_HPP
