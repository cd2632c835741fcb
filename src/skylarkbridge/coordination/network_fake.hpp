#ifndef SKYLARKBRIDGE_COORDINATION_NETWORK_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_NETWORK_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <utility>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::coordination {

/// @brief Clock of one machine, which runs at its own rate.
struct clock_fake {
  std::chrono::nanoseconds offset{0};
  std::int64_t rate_ppm = 0;

  time_point Read(std::chrono::nanoseconds global) const {
    return time_point(offset + global + global * rate_ppm / 1'000'000);
  }
};

/// @brief Virtual time and messages with seeded delays and faults.
class network_fake {
 public:
  using node = std::uint64_t;
  using action = std::function<void()>;

  explicit network_fake(std::uint64_t seed) : random(seed) {}

  std::chrono::nanoseconds Now() const { return now_; }
  time_point GlobalTime() const { return time_point(now_); }

  void After(std::chrono::nanoseconds delay, action what) {
    queue_.emplace(std::pair(now_ + delay, ++sequence_), std::move(what));
  }

  /// @brief Delivers @p what at @p to, perhaps late, twice or not at all.
  void Send(node from, node to, const action& what) {
    const int copies = Chance(duplicate_percent) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      if (!Cut(from, to) && !(to < 100 && Chance(lost_reply_percent))) {
        After(Delay(), [this, from, to, what] {
          if (!Cut(from, to)) {
            what();
          }
        });
      }
    }
  }

  /// @brief Runs the next action; false when none is due until @p end.
  bool Step(std::chrono::nanoseconds end) {
    if (queue_.empty() || queue_.begin()->first.first > end) {
      return false;
    }
    const auto next = queue_.extract(queue_.begin());
    now_ = next.key().first;
    next.mapped()();
    return true;
  }

  bool Cut(node a, node b) const {
    return cut.contains({a, b}) || cut.contains({a, 0}) || cut.contains({b, 0});
  }
  bool Chance(int percent) { return percent > 0 && Uniform(100) < percent; }
  std::int64_t Uniform(std::int64_t below) {
    return static_cast<std::int64_t>(random() %
                                     static_cast<std::uint64_t>(below));
  }
  std::chrono::nanoseconds Milliseconds(std::int64_t from, std::int64_t to) {
    return std::chrono::microseconds((from * 1000) +
                                     Uniform((to - from) * 1000));
  }

  std::mt19937_64 random;
  /// Pairs that cannot exchange messages; 0 stands for every other node.
  std::set<std::pair<node, node>> cut;
  int duplicate_percent = 0;
  int late_percent = 0;
  int lost_reply_percent = 0;

 private:
  std::chrono::nanoseconds Delay() {
    return Chance(late_percent) ? Milliseconds(1, 4000) : Milliseconds(1, 3);
  }

  std::chrono::nanoseconds now_{0};
  std::uint64_t sequence_ = 0;
  std::map<std::pair<std::chrono::nanoseconds, std::uint64_t>, action> queue_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_NETWORK_FAKE_HPP
