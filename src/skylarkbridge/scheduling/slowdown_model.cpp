#include "skylarkbridge/scheduling/slowdown_model.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkbridge::scheduling {
namespace {

// Two levels per doubling of load, up to 4,096 requests per second.
constexpr std::size_t kLevels = 26;
// Bounds the memory to 0.4 MB per service. Further kinds keep the prior, and
// their slowdown counts as unexplained.
constexpr std::size_t kMaxKinds = 64;
constexpr std::size_t kCoefficients = 3;
constexpr std::size_t kStates = kLevels + kCoefficients * kMaxKinds;
// Standard deviation of the p99 of one window, relative to its expectation:
// windows of a few hundred requests deviate by about 8%.
constexpr double kWindowDeviation = 0.08;
// Prior of the levels: a standard deviation of 30%. Latency is a smooth
// function of load, so levels are correlated over a distance of 6 levels, a
// factor of 8 in load.
constexpr double kLevelVariance = 0.09;
constexpr double kLevelRange = 6.0;
// Added to the diagonal of the prior covariance.
constexpr double kLevelNugget = 1e-4;
// Windows that define the mean load. If it kept following the load, it would
// change the meaning of coefficients that the filter already trusts.
constexpr int kReferenceWindows = 100;
// Prior of each kind: a task adds 3% with a standard deviation of 6%, in
// proportion to load.
constexpr double kPriorSlowdown = 0.03;
constexpr std::array<double, kCoefficients> kCoefficientVariance{0.0036, 0.0036,
                                                                 0.0009};
// Process noise: variance added per window, so that mainly the last few hundred
// windows have weight.
constexpr double kCoefficientNoise = 2e-8;
constexpr double kLevelNoise = 1e-7;
constexpr double kMaxSlowdown = 20.0;

}  // namespace

double slowdown_model::RelativeLoad(const service_entry& service, double load) {
  if (service.mean_load <= 0) {
    return 0;
  }
  return std::clamp(load / service.mean_load - 1.0, -1.0, 3.0);
}

void slowdown_model::Initialize(service_entry& service, double latency) {
  service.scale = latency;
  service.state.assign(kLevels, 1.0);
  service.covariance.assign(kLevels * kStates, 0.0);
  for (std::size_t i = 0; i < kLevels; ++i) {
    for (std::size_t j = 0; j < kLevels; ++j) {
      const double distance =
          i > j ? static_cast<double>(i - j) : static_cast<double>(j - i);
      service.covariance[i * kStates + j] =
          kLevelVariance *
              std::exp(-distance * distance / (2 * kLevelRange * kLevelRange)) +
          (i == j ? kLevelNugget : 0.0);
    }
  }
}

std::size_t slowdown_model::CoefficientPosition(service_entry& service,
                                                std::uint32_t kind) {
  if (service.position.size() <= kind) {
    service.position.resize(kind + 1, 0);
  }
  std::size_t& position = service.position[kind];
  if (position == 0 && service.state.size() < kStates) {
    position = service.state.size();
    service.state.insert(service.state.end(),
                         {kPriorSlowdown, kPriorSlowdown, 0.0});
    service.covariance.resize(service.state.size() * kStates, 0.0);
    for (std::size_t i = 0; i < kCoefficients; ++i) {
      service.covariance[(position + i) * kStates + position + i] =
          kCoefficientVariance[i];
    }
  }
  return position;
}

void slowdown_model::UpdateState(service_entry& service,
                                 std::span<const state_term> gradient,
                                 double error,
                                 double noise) {
  std::vector<state_term> state_covariances;
  double innovation_variance = noise;
  for (std::size_t i = 0; i < service.state.size(); ++i) {
    double sum = 0;
    for (const state_term& d : gradient) {
      sum += service.covariance[i * kStates + d.position] * d.value;
    }
    if (std::abs(sum) > 1e-12) {
      state_covariances.push_back({.position = i, .value = sum});
    }
  }
  for (const state_term& d : gradient) {
    for (const state_term& s : state_covariances) {
      innovation_variance += s.position == d.position ? s.value * d.value : 0.0;
    }
  }
  // Limits the influence of a single outlier window.
  const double max_error = 4.0 * std::sqrt(innovation_variance);
  const double bounded = std::clamp(error, -max_error, max_error);
  for (const state_term& row : state_covariances) {
    service.state[row.position] += row.value / innovation_variance * bounded;
    double* covariance = &service.covariance[row.position * kStates];
    for (const state_term& column : state_covariances) {
      covariance[column.position] -=
          row.value * column.value / innovation_variance;
    }
    covariance[row.position] = std::max(covariance[row.position], 1e-9);
  }
}

std::optional<double> slowdown_model::Learn(
    std::uint32_t service,
    double p99,
    double load,
    std::span<const exposure> exposures) {
  if (!(p99 > 0) || !(load >= 0) || !std::isfinite(p99 + load)) {
    return std::nullopt;
  }
  if (services_.size() <= service) {
    services_.resize(service + 1);
  }
  service_entry& entry = services_[service];
  if (entry.windows < kReferenceWindows) {
    ++entry.windows;
    entry.mean_load += (load - entry.mean_load) / entry.windows;
  }
  const double relative = RelativeLoad(entry, load);
  if (entry.scale == 0) {
    double prior_factor = 1.0;
    for (const exposure& part : exposures) {
      prior_factor += part.amount * kPriorSlowdown;
    }
    Initialize(entry, p99 / prior_factor);
  }

  const double level = std::min(2.0 * std::log2(load + 1.0),
                                static_cast<double>(kLevels) - 1.001);
  const auto lower_level = static_cast<std::size_t>(level);
  const double upper_weight = level - static_cast<double>(lower_level);
  const double baseline =
      std::max((1.0 - upper_weight) * entry.state[lower_level] +
                   upper_weight * entry.state[lower_level + 1],
               0.01);
  double explained = 0;
  std::vector<state_term> gradient;
  for (const exposure& part : exposures) {
    const std::size_t position = CoefficientPosition(entry, part.kind);
    if (position == 0) {
      continue;
    }
    double power = 1.0;
    for (std::size_t i = 0; i < kCoefficients; ++i) {
      const std::size_t at_state = position + i;
      explained += part.amount * entry.state[at_state] * power;
      gradient.push_back({at_state, baseline * part.amount * power});
      double& variance = entry.covariance[at_state * kStates + at_state];
      variance =
          std::min(variance + kCoefficientNoise, kCoefficientVariance[i]);
      power *= relative;
    }
  }
  const double expected = std::clamp(1.0 + explained, 0.5, kMaxSlowdown);
  gradient.push_back({lower_level, (1.0 - upper_weight) * expected});
  gradient.push_back({lower_level + 1, upper_weight * expected});
  for (const std::size_t i : {lower_level, lower_level + 1}) {
    double& variance = entry.covariance[i * kStates + i];
    variance = std::min(variance + kLevelNoise, kLevelVariance);
  }
  const double observed = std::min(p99 / entry.scale, kMaxSlowdown * baseline);
  const double deviation = kWindowDeviation * baseline * expected;
  UpdateState(entry, gradient, observed - baseline * expected,
              deviation * deviation);
  const double updated_baseline =
      std::max((1.0 - upper_weight) * entry.state[lower_level] +
                   upper_weight * entry.state[lower_level + 1],
               0.01);
  return std::min(observed / updated_baseline, kMaxSlowdown);
}

slowdown_estimate slowdown_model::EstimateSlowdown(std::uint32_t service,
                                                   std::uint32_t kind,
                                                   double load) const {
  if (service >= services_.size()) {
    return {.mean = kPriorSlowdown,
            .deviation = std::sqrt(kCoefficientVariance[0])};
  }
  const service_entry& entry = services_[service];
  const double relative = RelativeLoad(entry, load);
  if (kind >= entry.position.size() || entry.position[kind] == 0) {
    return {.mean = kPriorSlowdown * (1.0 + relative),
            .deviation = std::sqrt(kCoefficientVariance[0])};
  }
  const std::size_t first = entry.position[kind];
  const std::array<double, kCoefficients> basis{1.0, relative,
                                                relative * relative};
  double mean = 0;
  double variance = 0;
  for (std::size_t i = 0; i < kCoefficients; ++i) {
    mean += entry.state[first + i] * basis[i];
    const double* row = &entry.covariance[(first + i) * kStates + first];
    for (std::size_t j = 0; j < kCoefficients; ++j) {
      variance += basis[i] * basis[j] * row[j];
    }
  }
  return {.mean = mean, .deviation = std::sqrt(std::max(variance, 0.0))};
}

}  // namespace skylarkbridge::scheduling
