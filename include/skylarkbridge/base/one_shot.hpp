#ifndef SKYLARKBRIDGE_BASE_ONE_SHOT_HPP
#define SKYLARKBRIDGE_BASE_ONE_SHOT_HPP

#include <memory>
#include <optional>
#include <utility>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief Slot for one reply from one thread to another. A later reply to the
/// same slot is ignored.
template <class T>
class one_shot {
 public:
  /// @brief Fills the slot. Returns false when it was filled before.
  bool Set(T value) {
    absl::MutexLock lock(&mutex_);
    if (value_ || taken_) {
      return false;
    }
    value_ = std::move(value);
    return true;
  }

  /// @brief Takes the reply. Returns nothing when @p deadline passes first; a
  /// reply that comes later is then refused.
  std::optional<T> Wait(time_point deadline) {
    absl::MutexLock lock(&mutex_);
    mutex_.AwaitWithTimeout(absl::Condition(this, &one_shot::Filled),
                            absl::FromChrono(deadline - boot_clock::now()));
    taken_ = true;
    return std::exchange(value_, std::nullopt);
  }

 private:
  bool Filled() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return value_.has_value();
  }

  absl::Mutex mutex_;
  std::optional<T> value_ ABSL_GUARDED_BY(mutex_);
  bool taken_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_ONE_SHOT_HPP
