#ifndef SKYLARKBRIDGE_GATEWAY_SEND_QUEUE_HPP
#define SKYLARKBRIDGE_GATEWAY_SEND_QUEUE_HPP

#include <cstddef>
#include <deque>
#include <string>
#include <utility>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::gateway {

struct send_queue_limits {
  std::size_t frames = 1024;
  std::size_t bytes = 4U << 20U;
};

/// @brief Bounded queue of frames, each with the time after which it is no
/// longer worth sending. Not thread-safe.
class send_queue {
 public:
  explicit send_queue(send_queue_limits limits) : limits_(limits) {}

  /// @brief Adds a frame. False when the queue is full.
  bool TryAdd(std::string frame, time_point expires_at, time_point now) {
    DropExpired(now);
    if (frames_.size() >= limits_.frames ||
        bytes_ + frame.size() > limits_.bytes) {
      return false;
    }
    bytes_ += frame.size();
    frames_.push_back({std::move(frame), expires_at});
    return true;
  }

  /// @brief Moves frames to the end of @p out until it holds @p target bytes.
  void TakeInto(std::string& out, std::size_t target, time_point now) {
    DropExpired(now);
    while (!frames_.empty() && out.size() < target) {
      bytes_ -= frames_.front().bytes.size();
      out += frames_.front().bytes;
      frames_.pop_front();
    }
  }

  bool HasFrames(time_point now) {
    DropExpired(now);
    return !frames_.empty();
  }

  void Clear() {
    frames_.clear();
    bytes_ = 0;
  }

 private:
  struct queued_frame {
    std::string bytes;
    time_point expires_at;
  };

  void DropExpired(time_point now) {
    while (!frames_.empty() && now >= frames_.front().expires_at) {
      bytes_ -= frames_.front().bytes.size();
      frames_.pop_front();
    }
  }

  const send_queue_limits limits_;
  std::deque<queued_frame> frames_;
  std::size_t bytes_ = 0;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_SEND_QUEUE_HPP
