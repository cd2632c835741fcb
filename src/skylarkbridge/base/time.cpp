#include "skylarkbridge/base/time.hpp"

#include <ctime>

namespace skylarkbridge {

boot_clock::time_point boot_clock::now() noexcept {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace skylarkbridge
