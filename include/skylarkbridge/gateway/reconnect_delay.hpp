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
      : options_(options), random_(seed) {}

  std::chrono::milliseconds Next() {
    const auto half =
        std::min(options_.first * (1U << failures_), options_.longest) / 2;
    failures_ = std::min(failures_ + 1, kMaxDoublings);
    std::uniform_int_distribution<std::int64_t> jitter(0, half.count());
    return half + std::chrono::milliseconds(jitter(random_));
  }

  void Reset() { failures_ = 0; }

 private:
  // 100 ms doubled 16 times is above any limit in use.
  static constexpr unsigned kMaxDoublings = 16;

  const reconnect_options options_;
  std::mt19937_64 random_;
  /// Attempts in a row that failed.
  unsigned failures_ = 0;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_RECONNECT_DELAY_HPP
