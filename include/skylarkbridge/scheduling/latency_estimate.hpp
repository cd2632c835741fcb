#ifndef SKYLARKBRIDGE_SCHEDULING_LATENCY_ESTIMATE_HPP
#define SKYLARKBRIDGE_SCHEDULING_LATENCY_ESTIMATE_HPP

#include <chrono>
#include <cstdint>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::scheduling {

struct latency_estimate_options {
  /// Weight of one sample in the mean.
  double weight = 0.02;
  /// Quantile that High() follows.
  double quantile = 0.95;
  /// Samples needed before the estimate is usable.
  std::uint32_t min_samples = 20;
  /// An estimate without a sample for this long is not usable. Without this
  /// limit a service that was slow once would be refused for ever, because
  /// refused requests bring no samples.
  std::chrono::milliseconds keep = std::chrono::seconds(2);
};

/// @brief Mean and high quantile of the service time of one service, learnt
/// from its answers in constant memory.
class latency_estimate {
 public:
  explicit latency_estimate(latency_estimate_options options = {})
      : options_(options) {}

  void Add(std::chrono::nanoseconds sample, time_point now);

  bool Usable(time_point now) const {
    return samples_ >= options_.min_samples && now < usable_until_;
  }
  /// @brief Exponentially weighted mean; zero before the first sample.
  std::chrono::nanoseconds Mean() const;
  /// @brief Estimate of the quantile of the options; zero before the first
  /// sample.
  std::chrono::nanoseconds High() const;

 private:
  using exact = std::chrono::duration<double, std::nano>;

  latency_estimate_options options_;
  exact mean_{0};
  exact high_{0};
  std::uint32_t samples_ = 0;
  time_point usable_until_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_LATENCY_ESTIMATE_HPP
