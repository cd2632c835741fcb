#ifndef SKYLARKBRIDGE_BASE_MAILBOX_HPP
#define SKYLARKBRIDGE_BASE_MAILBOX_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "absl/time/time.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief Messages that were taken from a mailbox at once.
template <class T>
struct mailbox_batch {
  std::vector<T> messages;
  /// When the first of them was sent; empty without a message.
  std::optional<time_point> first_sent_at;
};

/// @brief Bounded queue of messages from many threads to one.
///
/// A sender is never blocked: when the mailbox is full or closed, the message
/// is refused.
template <class T>
class mailbox {
 public:
  /// @param capacity most messages that wait at a time.
  explicit mailbox(std::size_t capacity) : capacity_(capacity) {}

  /// @brief Adds a message. Returns false when the mailbox is full or closed.
  bool TrySend(T message) {
    absl::MutexLock lock(&mutex_);
    if (closed_ || queue_.size() >= capacity_) {
      return false;
    }
    Push(std::move(message));
    return true;
  }

  /// @brief Adds a message beyond the capacity, for messages that free a
  /// resource and are bounded by what was handed out before. Returns false
  /// only when the mailbox is closed.
  bool SendUnbounded(T message) {
    absl::MutexLock lock(&mutex_);
    if (closed_) {
      return false;
    }
    Push(std::move(message));
    return true;
  }

  /// @brief Takes all messages. Waits until there is one, the deadline has
  /// passed or the mailbox is closed; without a deadline it waits for ever.
  std::vector<T> ReceiveAll(std::optional<time_point> deadline) {
    return ReceiveBatch(deadline).messages;
  }

  /// @brief As ReceiveAll, with the time at which the first message was sent.
  mailbox_batch<T> ReceiveBatch(std::optional<time_point> deadline) {
    absl::MutexLock lock(&mutex_);
    const absl::Condition ready(this, &mailbox::Ready);
    if (deadline) {
      mutex_.AwaitWithTimeout(ready,
                              absl::FromChrono(*deadline - boot_clock::now()));
    } else {
      mutex_.Await(ready);
    }
    mailbox_batch<T> batch{
        .messages = {std::make_move_iterator(queue_.begin()),
                     std::make_move_iterator(queue_.end())},
        .first_sent_at = std::exchange(first_sent_at_, std::nullopt)};
    queue_.clear();
    return batch;
  }

  /// @brief Refuses further messages and wakes the receiver.
  void Close() {
    absl::MutexLock lock(&mutex_);
    closed_ = true;
  }

  /// @brief Accepts messages again, after the receiver was restarted.
  void Reopen() {
    absl::MutexLock lock(&mutex_);
    closed_ = false;
  }

  bool Closed() const {
    absl::MutexLock lock(&mutex_);
    return closed_;
  }

 private:
  void Push(T message) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    if (queue_.empty()) {
      first_sent_at_ = boot_clock::now();
    }
    queue_.push_back(std::move(message));
  }
  bool Ready() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return closed_ || !queue_.empty();
  }

  const std::size_t capacity_;
  mutable absl::Mutex mutex_;
  std::deque<T> queue_ ABSL_GUARDED_BY(mutex_);
  std::optional<time_point> first_sent_at_ ABSL_GUARDED_BY(mutex_);
  bool closed_ ABSL_GUARDED_BY(mutex_) = false;
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_MAILBOX_HPP
