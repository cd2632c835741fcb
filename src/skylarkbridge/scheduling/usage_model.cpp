#include "skylarkbridge/scheduling/usage_model.hpp"

#include <algorithm>
#include <cmath>

namespace skylarkbridge::scheduling {
namespace {

std::int64_t Scale(std::int64_t value, double factor) {
  return static_cast<std::int64_t>(
      std::ceil(static_cast<double>(value) * factor));
}

}  // namespace

void recent_quantile::Add(std::int64_t value, double quantile) {
  recent_[count_ % kWindow] = value;
  ++count_;
  // To save time, only every eighth value recomputes the quantile after the
  // first 16.
  if (count_ > 16 && count_ % 8 != 0) {
    return;
  }
  std::array<std::int64_t, kWindow> sorted = recent_;
  const std::size_t size = std::min(count_, kWindow);
  const auto rank = static_cast<std::size_t>(
      std::floor(quantile * static_cast<double>(size - 1) + 0.5));
  std::nth_element(sorted.begin(), sorted.begin() + rank,
                   sorted.begin() + size);
  value_ = sorted[rank];
}

void usage_model::Declare(const resources& size,
                          std::chrono::milliseconds run_time) {
  declared_ = size;
  declared_run_time_ = run_time;
}

void usage_model::AddUse(const resources& used,
                         bool full_speed,
                         const usage_options& options) {
  if (full_speed) {
    millicores_.Add(used.millicores, options.quantile);
  }
  memory_mib_.Add(used.memory_mib, options.quantile);
}

void usage_model::AddRunTime(std::chrono::nanoseconds run_time) {
  run_time_ms_.Add(
      std::chrono::duration_cast<std::chrono::milliseconds>(run_time).count(),
      0.5);
}

bool usage_model::Learnt(const usage_options& options) const {
  return options.learn && millicores_.Count() >= options.min_samples &&
         memory_mib_.Count() >= options.min_samples;
}

resources usage_model::Lease(const usage_options& options) const {
  if (!options.learn) {
    return declared_;
  }
  if (!Learnt(options)) {
    return {
        .millicores = Scale(declared_.millicores, options.declared_size_factor),
        .memory_mib = Scale(declared_.memory_mib, options.declared_size_factor),
        .accelerators = declared_.accelerators};
  }
  return {.millicores = std::max<std::int64_t>(
              Scale(millicores_.Value(), options.headroom), 1),
          .memory_mib = std::max<std::int64_t>(
              Scale(memory_mib_.Value(), options.headroom), 1),
          .accelerators = declared_.accelerators};
}

std::chrono::nanoseconds usage_model::RunTime() const {
  if (run_time_ms_.Count() < 3) {
    return declared_run_time_;
  }
  return std::chrono::milliseconds(run_time_ms_.Value());
}

}  // namespace skylarkbridge::scheduling
