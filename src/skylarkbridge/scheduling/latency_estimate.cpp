#include "skylarkbridge/scheduling/latency_estimate.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

namespace {

/// Step of the quantile estimate as a fraction of the mean. With 0.1 the
/// estimate of the 0.95 quantile converges within about 50 samples and then
/// varies by about 10%.
constexpr double kQuantileStep = 0.1;

}  // namespace

void latency_estimate::Add(std::chrono::nanoseconds sample, time_point now) {
  usable_until_ = now + options_.max_sample_age;
  const fractional_nanoseconds value = sample;
  ++samples_;
  if (samples_ == 1) {
    mean_ = value;
    high_ = value;
    return;
  }
  mean_ += (value - mean_) * std::max(options_.weight, 1.0 / samples_);
  const double direction =
      value > high_ ? options_.quantile : options_.quantile - 1.0;
  high_ = std::max(mean_, high_ + mean_ * kQuantileStep * direction);
}

std::chrono::nanoseconds latency_estimate::Mean() const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(mean_);
}

std::chrono::nanoseconds latency_estimate::HighQuantile() const {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(high_);
}

}  // namespace skylarkbridge::scheduling
