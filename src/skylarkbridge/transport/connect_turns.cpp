#include "skylarkbridge/transport/connect_turns.hpp"

#include <utility>

namespace skylarkbridge::transport {

void connect_turns::Add(attempt begin) {
  waiting_.push_back(std::move(begin));
}

void connect_turns::Run(time_point now) {
  while (!waiting_.empty() && now >= next_turn_) {
    attempt begin = std::move(waiting_.front());
    waiting_.pop_front();
    if (begin()) {
      // Turns that were missed are not made up for.
      next_turn_ += interval_;
      if (next_turn_ <= now) {
        next_turn_ = now + interval_;
      }
    }
  }
}

std::optional<time_point> connect_turns::NextTurn() const {
  return waiting_.empty() ? std::nullopt : std::optional(next_turn_);
}

}  // namespace skylarkbridge::transport
