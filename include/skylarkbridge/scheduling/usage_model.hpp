#ifndef SKYLARKBRIDGE_SCHEDULING_USAGE_MODEL_HPP
#define SKYLARKBRIDGE_SCHEDULING_USAGE_MODEL_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"

namespace skylarkbridge::scheduling {

/// @brief Quantile of the most recent values.
class recent_quantile {
 public:
  void Add(std::int64_t value, double quantile);
  std::size_t Count() const { return count_; }
  std::int64_t Value() const { return value_; }

 private:
  // Enough for a quantile of 0.95, and few enough to follow a changed kind
  // within a few reports.
  static constexpr std::size_t kWindow = 64;
  std::array<std::int64_t, kWindow> recent_{};
  std::size_t count_ = 0;
  std::int64_t value_ = 0;
};

/// @brief Learnt use and run time of one kind, with the declared values as the
/// prior. Accelerators are devices and always leased as declared.
class usage_model {
 public:
  void Declare(const resources& size, std::chrono::milliseconds run_time);

  /// @param full_speed false when the task was throttled, which hides how many
  /// processors it would use.
  void AddUse(const resources& used,
              bool full_speed,
              const usage_options& options);
  void AddRunTime(std::chrono::nanoseconds run_time);

  bool Learnt(const usage_options& options) const;
  resources Lease(const usage_options& options) const;
  const resources& Declared() const { return declared_; }
  /// @brief Median run time.
  std::chrono::nanoseconds RunTime() const;

 private:
  resources declared_;
  std::chrono::nanoseconds declared_run_time_{0};
  recent_quantile millicores_;
  recent_quantile memory_mib_;
  recent_quantile run_time_ms_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_USAGE_MODEL_HPP
