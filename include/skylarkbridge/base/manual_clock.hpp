#ifndef SKYLARKBRIDGE_BASE_MANUAL_CLOCK_HPP
#define SKYLARKBRIDGE_BASE_MANUAL_CLOCK_HPP

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief Clock that moves only when told to; for virtual time.
class manual_clock {
 public:
  time_point Now() const noexcept { return now_; }
  void Advance(boot_clock::duration step) noexcept { now_ += step; }
  void AdvanceTo(time_point now) noexcept {
    if (now > now_) {
      now_ = now;
    }
  }

 private:
  time_point now_{std::chrono::hours(1)};
};

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_MANUAL_CLOCK_HPP
