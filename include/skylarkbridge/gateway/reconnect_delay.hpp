#ifndef SKYLARKBRIDGE_GATEWAY_RECONNECT_DELAY_HPP
#define SKYLARKBRIDGE_GATEWAY_RECONNECT_DELAY_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace skylarkbridge::gateway {

struct reconnect_options {
  std::chrono::milliseconds first{100};
  /// A healed partition is used again within this time.
  std::chrono::milliseconds longest{2000};
};

/// @brief Waits between attempts to connect. They double up to a limit, and
/// half of each is random, so that peers do not return all at once.
class reconnect_delay {
 public:
  reconnect_delay(reconnect_options options, std::uint64_t seed)
      : options_(options), random_(seed), next_(options.first) {}

  std::chrono::milliseconds Next() {
    const auto half = next_ / 2;
    next_ = std::min(next_ * 2, options_.longest);
    std::uniform_int_distribution<std::int64_t> jitter(0, half.count());
    return half + std::chrono::milliseconds(jitter(random_));
  }

  void Reset() { next_ = options_.first; }

 private:
  const reconnect_options options_;
  std::mt19937_64 random_;
  std::chrono::milliseconds next_;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_RECONNECT_DELAY_HPP
