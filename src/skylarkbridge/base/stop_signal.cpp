#include "skylarkbridge/base/stop_signal.hpp"

#include <utility>

namespace skylarkbridge {

void stop_signal::Request(time_point drain_deadline) {
  std::vector<absl::AnyInvocable<void(time_point)>> callbacks;
  {
    absl::MutexLock lock(&mutex_);
    if (drain_deadline_) {
      return;
    }
    drain_deadline_ = drain_deadline;
    callbacks.swap(callbacks_);
  }
  for (auto& callback : callbacks) {
    callback(drain_deadline);
  }
}

bool stop_signal::Requested() const {
  absl::MutexLock lock(&mutex_);
  return drain_deadline_.has_value();
}

std::optional<time_point> stop_signal::DrainDeadline() const {
  absl::MutexLock lock(&mutex_);
  return drain_deadline_;
}

bool stop_signal::WaitUntil(time_point deadline) const {
  absl::MutexLock lock(&mutex_);
  return mutex_.AwaitWithTimeout(
      absl::Condition(this, &stop_signal::HasDeadline),
      absl::FromChrono(deadline - boot_clock::now()));
}

void stop_signal::Wait() const {
  absl::MutexLock lock(&mutex_);
  mutex_.Await(absl::Condition(this, &stop_signal::HasDeadline));
}

void stop_signal::OnRequest(
    absl::AnyInvocable<void(time_point drain_deadline)> callback) {
  time_point drain_deadline;
  {
    absl::MutexLock lock(&mutex_);
    if (!drain_deadline_) {
      callbacks_.push_back(std::move(callback));
      return;
    }
    drain_deadline = *drain_deadline_;
  }
  callback(drain_deadline);
}

}  // namespace skylarkbridge
