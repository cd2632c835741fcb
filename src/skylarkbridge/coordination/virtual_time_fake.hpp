#ifndef SKYLARKBRIDGE_COORDINATION_VIRTUAL_TIME_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_VIRTUAL_TIME_FAKE_HPP

#include <functional>
#include <map>
#include <utility>

#include "skylarkbridge/base/manual_clock.hpp"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::coordination {

/// Runs callbacks in the order of their virtual times.
class virtual_time {
 public:
  time_point Now() const { return clock_.Now(); }
  wall_time Wall() const { return wall_time(Now().time_since_epoch()); }

  void After(boot_clock::duration delay, std::function<void()> callback) {
    queue_.emplace(Now() + delay, std::move(callback));
  }

  void RunFor(boot_clock::duration duration) {
    const time_point end = Now() + duration;
    while (!queue_.empty() && queue_.begin()->first <= end) {
      auto node = queue_.extract(queue_.begin());
      clock_.AdvanceTo(node.key());
      node.mapped()();
    }
    clock_.AdvanceTo(end);
  }

 private:
  manual_clock clock_;
  std::multimap<time_point, std::function<void()>> queue_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_VIRTUAL_TIME_FAKE_HPP
