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
// Below this amount of batch work a window counts as the service alone.
constexpr double kAlone = 0.05;
constexpr double kMostSlowdown = 20.0;

}  // namespace

std::size_t slowdown_model::Level(double load) {
  const double level = 2.0 * std::log2(std::max(load, 0.0) + 1.0);
  return std::min(static_cast<std::size_t>(level + 0.5), kLevels - 1);
}

double slowdown_model::Relative(const service_entry& service, double load) {
  if (service.mean_load <= 0) {
    return 0;
  }
  return std::clamp(load / service.mean_load - 1.0, -1.0, 3.0);
}

const slowdown_model::baseline* slowdown_model::Nearest(
    const service_entry& service,
    std::size_t level) {
  for (std::size_t distance = 0; distance < kLevels; ++distance) {
    if (level >= distance && service.levels[level - distance].weight > 0) {
      return &service.levels[level - distance];
    }
    if (level + distance < kLevels &&
        service.levels[level + distance].weight > 0) {
      return &service.levels[level + distance];
    }
  }
  return nullptr;
}

void slowdown_model::LearnBaseline(service_entry& service,
                                   double p99,
                                   double load,
                                   double expected,
                                   bool alone) {
  baseline& level = service.levels[Level(load)];
  const double sample = p99 / expected;
  if (level.weight == 0) {
    level = {.latency = sample, .weight = 1, .alone = alone};
    return;
  }
  // Without windows of the service alone, the baseline follows low values
  // faster than high ones, because unexplained delay only adds to it.
  double gain = 1.0 / std::min(level.weight + 1, 20.0);
  if (!alone) {
    gain = level.alone ? 0.005 : sample < level.latency ? 0.1 : 0.02;
  } else if (!level.alone) {
    level.alone = true;
    gain = 0.5;
  }
  level.weight += 1;
  level.latency += gain * (sample - level.latency);
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

  double amount = 0;
  double explained = 0;
  double variance = 0;
  for (const exposure& part : beside) {
    pair_entry& pair = Pair(service, part.kind);
    pair.aa = std::min(pair.aa + kProcessNoise, kMostVariance);
    pair.bb = std::min(pair.bb + kProcessNoise, kMostVariance);
    amount += part.amount;
    explained += part.amount * (pair.a + pair.b * relative);
    variance +=
        part.amount * part.amount *
        (pair.aa + 2 * pair.ab * relative + pair.bb * relative * relative);
  }
  const double expected = std::clamp(1.0 + explained, 1.0, kMostSlowdown);
  LearnBaseline(entry, p99, load, expected, amount < kAlone);
  const double slowdown =
      std::min(p99 / Nearest(entry, Level(load))->latency, kMostSlowdown);
  if (amount < kAlone) {
    return slowdown;
  }
  const double error = slowdown - 1.0 - explained;
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
  return {.mean = std::max(pair.a + pair.b * relative, 0.0),
          .deviation = std::sqrt(std::max(variance, 0.0))};
}

}  // namespace skylarkbridge::scheduling
