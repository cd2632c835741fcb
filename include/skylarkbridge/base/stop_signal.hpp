#ifndef SKYLARKBRIDGE_BASE_STOP_SIGNAL_HPP
#define SKYLARKBRIDGE_BASE_STOP_SIGNAL_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief Tells a thread to stop, with the deadline by which it must have
/// finished.
class stop_signal {
 public:
  /// @brief Asks for a stop. Later requests are ignored. Runs the callbacks on
  /// the calling thread.
  void Request(time_point drain_deadline);

  bool Requested() const;
  /// @brief Time by which the thread must have finished, once requested.
  std::optional<time_point> DrainDeadline() const;

  /// @brief Waits for a request until @p deadline. Returns true when a stop is
  /// requested.
  bool WaitUntil(time_point deadline) const;
  /// @brief Waits for a request without a time limit.
  void Wait() const;

  /// @brief Registers a callback that wakes a blocked thread, for example by
  /// closing its mailbox. It runs at once when a stop was requested before.
  void OnRequest(absl::AnyInvocable<void(time_point drain_deadline)> callback);

 private:
  bool HasDeadline() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return drain_deadline_.has_value();
  }

  mutable absl::Mutex mutex_;
  std::optional<time_point> drain_deadline_ ABSL_GUARDED_BY(mutex_);
  std::vector<absl::AnyInvocable<void(time_point)>> callbacks_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_STOP_SIGNAL_HPP
