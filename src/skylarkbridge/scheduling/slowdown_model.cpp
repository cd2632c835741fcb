#include "skylarkbridge/scheduling/slowdown_model.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkbridge::scheduling {
namespace {

// Variance of one window's p99 relative to its expectation: windows of a few
// hundred requests scatter by about 8%.
constexpr double kWindowVariance = 0.0064;
// Variance added per window. It keeps the gain near 4%, so a pair follows a
// change within about 25 windows.
constexpr double kProcessNoise = 1e-5;
constexpr double kMostVariance = 0.04;
// Of a baseline: the first sample, a level taken from its neighbour, and the
// noise per window, which follows a change within some hundred windows.
constexpr double kFirstVariance = 0.04;
constexpr double kNeighbourVariance = 0.01;
constexpr double kBaselineNoise = 1e-6;
constexpr double kMostSlowdown = 20.0;

}  // namespace

double slowdown_model::Relative(const service_entry& service, double load) {
  if (service.mean_load <= 0) {
    return 0;
  }
  return std::clamp(load / service.mean_load - 1.0, -1.0, 3.0);
}

slowdown_model::baseline& slowdown_model::Level(service_entry& service,
                                                std::size_t level,
                                                double sample) {
  baseline& wanted = service.levels[level];
  for (std::size_t distance = 1; wanted.variance == 0 && distance < kLevels;
       ++distance) {
    for (const std::size_t near : {level - distance, level + distance}) {
      if (near < kLevels && service.levels[near].variance > 0) {
        wanted = service.levels[near];
        wanted.variance += kNeighbourVariance;
        break;
      }
    }
  }
  if (wanted.variance == 0) {
    wanted = {.latency = sample, .variance = kFirstVariance};
  }
  return wanted;
}

slowdown_model::pair_entry& slowdown_model::Pair(std::uint32_t service,
                                                 std::uint32_t kind) {
  if (pairs_.size() <= kind) {
    pairs_.resize(kind + 1);
  }
  if (pairs_[kind].size() <= service) {
    pairs_[kind].resize(service + 1);
  }
  return pairs_[kind][service];
}

std::optional<double> slowdown_model::Learn(std::uint32_t service,
                                            double p99,
                                            double load,
                                            std::span<const exposure> beside) {
  if (!(p99 > 0) || !(load >= 0) || !std::isfinite(p99 + load)) {
    return std::nullopt;
  }
  if (services_.size() <= service) {
    services_.resize(service + 1);
  }
  service_entry& entry = services_[service];
  entry.mean_load +=
      (load - entry.mean_load) * (entry.mean_load == 0 ? 1.0 : 0.002);
  const double relative = Relative(entry, load);

  double explained = 0;
  double variance = 0;
  for (const exposure& part : beside) {
    pair_entry& pair = Pair(service, part.kind);
    pair.aa = std::min(pair.aa + kProcessNoise, kMostVariance);
    pair.bb = std::min(pair.bb + kProcessNoise, kMostVariance);
    explained += part.amount * (pair.a + pair.b * relative);
    variance +=
        part.amount * part.amount *
        (pair.aa + 2 * pair.ab * relative + pair.bb * relative * relative);
  }
  const double expected = std::clamp(1.0 + explained, 1.0, kMostSlowdown);
  const double position =
      std::min(2.0 * std::log2(load + 1.0), static_cast<double>(kLevels) - 2.0);
  const auto below = static_cast<std::size_t>(position);
  const double above_weight = position - static_cast<double>(below);
  baseline* levels[] = {&Level(entry, below, p99 / expected),
                        &Level(entry, below + 1, p99 / expected)};
  const double weights[] = {1.0 - above_weight, above_weight};
  double alone = 0;
  for (int i = 0; i < 2; ++i) {
    levels[i]->variance =
        std::min(levels[i]->variance + kBaselineNoise, kFirstVariance);
    alone += weights[i] * levels[i]->latency;
    variance +=
        weights[i] * weights[i] * expected * expected * levels[i]->variance;
  }

  const double slowdown = std::min(p99 / alone, kMostSlowdown);
  const double error = slowdown - expected;
  const double total = variance + kWindowVariance * expected * expected;
  for (const exposure& part : beside) {
    pair_entry& pair = Pair(service, part.kind);
    const double gain_a = part.amount * (pair.aa + pair.ab * relative) / total;
    const double gain_b = part.amount * (pair.ab + pair.bb * relative) / total;
    pair.a += gain_a * error;
    pair.b += gain_b * error;
    pair.aa = std::max(pair.aa - gain_a * gain_a * total, 1e-9);
    pair.ab -= gain_a * gain_b * total;
    pair.bb = std::max(pair.bb - gain_b * gain_b * total, 1e-9);
  }
  for (int i = 0; i < 2; ++i) {
    const double gain = weights[i] * expected * levels[i]->variance / total;
    levels[i]->latency *= std::clamp(1.0 + gain * error, 0.5, 2.0);
    levels[i]->variance =
        std::max(levels[i]->variance - gain * gain * total, 1e-9);
  }
  return slowdown;
}

harm_estimate slowdown_model::Harm(std::uint32_t service,
                                   std::uint32_t kind,
                                   double load) const {
  pair_entry pair;
  if (kind < pairs_.size() && service < pairs_[kind].size()) {
    pair = pairs_[kind][service];
  }
  const double relative =
      service < services_.size() ? Relative(services_[service], load) : 0.0;
  const double variance =
      pair.aa + 2 * pair.ab * relative + pair.bb * relative * relative;
  return {.mean = pair.a + pair.b * relative,
          .deviation = std::sqrt(std::max(variance, 0.0))};
}

}  // namespace skylarkbridge::scheduling
