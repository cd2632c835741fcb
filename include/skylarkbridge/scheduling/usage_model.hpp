#ifndef SKYLARKBRIDGE_SCHEDULING_USAGE_MODEL_HPP
#define SKYLARKBRIDGE_SCHEDULING_USAGE_MODEL_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"

namespace skylarkbridge::scheduling {

/// @brief Quantile of the most recent values. After the first 16 values it is
/// recomputed on every eighth one.
class recent_quantile {
 public:
  void Add(std::int64_t value, double quantile);
  /// @brief Number of values added so far, including those that were dropped.
  std::size_t Count() const { return count_; }
  /// @brief Quantile as last recomputed; zero before the first value.
  std::int64_t Value() const { return value_; }

 private:
  // Large enough for a quantile of 0.95, small enough to adapt within a few
  // reports when the use of a kind changes.
  static constexpr std::size_t kWindow = 64;
  std::array<std::int64_t, kWindow> recent_{};
  std::size_t count_ = 0;
  std::int64_t value_ = 0;
};

/// @brief Learns the resource use and the run time of one kind; falls back to
/// the declared values. Accelerators are whole devices and always leased as
/// declared.
class usage_model {
 public:
  /// @brief Sets the declared values; keeps the measurements.
  void Declare(const resources& size, std::chrono::milliseconds run_time);

  /// @brief Adds a measurement.
  /// @param full_speed false if the task was throttled. Its processor use is
  /// then ignored, as it does not show how much the task would use.
  void AddUse(const resources& used,
              bool full_speed,
              const usage_options& options);
  void AddRunTime(std::chrono::nanoseconds run_time);

  /// @brief True if there are enough measurements to replace the declared
  /// size.
  bool Learnt(const usage_options& options) const;
  /// @brief Resources that a new task of the kind leases.
  resources Lease(const usage_options& options) const;
  const resources& Declared() const { return declared_; }
  /// @brief Median run time; the declared one until 3 tasks have ended.
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
