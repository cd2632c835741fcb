#ifndef SKYLARKBRIDGE_SCHEDULING_LATENCY_ESTIMATE_HPP
#define SKYLARKBRIDGE_SCHEDULING_LATENCY_ESTIMATE_HPP

#include <chrono>
#include <cstdint>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::scheduling {

/// @brief Smoothing and validity of a latency estimate.
struct latency_estimate_options {
  /// Weight of a new sample in the exponentially weighted mean.
  double weight = 0.02;
  /// Quantile that HighQuantile() estimates, from 0 to 1.
  double quantile = 0.95;
  /// Minimum number of samples of a usable estimate.
  std::uint32_t min_samples = 20;
  /// The estimate is usable for this long after its last sample. Without this
  /// limit a service that was slow once would be refused for ever, because
  /// refused requests yield no samples.
  std::chrono::milliseconds max_sample_age = std::chrono::seconds(2);
};

/// @brief Streaming estimate of the mean and a high quantile of the service
/// time of one service, in constant memory.
class latency_estimate {
 public:
  explicit latency_estimate(latency_estimate_options options = {})
      : options_(options) {}

  /// @brief Adds the service time of one answered attempt.
  void Add(std::chrono::nanoseconds sample, time_point now);

  /// @brief Whether there are enough samples and the last one is recent.
  bool Usable(time_point now) const {
    return samples_ >= options_.min_samples && now < usable_until_;
  }
  /// @brief Exponentially weighted mean; zero before the first sample.
  std::chrono::nanoseconds Mean() const;
  /// @brief Estimate of the configured quantile, at least the mean; zero before
  /// the first sample.
  std::chrono::nanoseconds HighQuantile() const;

 private:
  using fractional_nanoseconds = std::chrono::duration<double, std::nano>;

  latency_estimate_options options_;
  fractional_nanoseconds mean_{0};
  fractional_nanoseconds high_{0};
  std::uint32_t samples_ = 0;
  time_point usable_until_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_LATENCY_ESTIMATE_HPP
