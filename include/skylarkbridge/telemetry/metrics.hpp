#ifndef SKYLARKBRIDGE_TELEMETRY_METRICS_HPP
#define SKYLARKBRIDGE_TELEMETRY_METRICS_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/telemetry/latency_histogram.hpp"

namespace skylarkbridge::telemetry {

/// @brief Number that only grows. Safe to use from many threads.
class counter {
 public:
  void Add(std::uint64_t amount = 1) {
    value_.fetch_add(amount, std::memory_order_relaxed);
  }
  std::uint64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::uint64_t> value_{0};
};

/// @brief Number that is set. Safe to use from many threads.
class gauge {
 public:
  void Set(std::int64_t value) {
    value_.store(value, std::memory_order_relaxed);
  }
  std::int64_t Value() const { return value_.load(std::memory_order_relaxed); }

 private:
  std::atomic<std::int64_t> value_{0};
};

/// @brief Values by label name.
using metric_labels = std::map<std::string, std::string>;

struct metrics_options {
  /// Most label sets of one name. Further ones share one series with the label
  /// overflow="true", which bounds the memory: a latency series takes up to
  /// 9.3 KB.
  std::size_t max_series = 1000;
};

/// @brief All metrics of a process, by name and labels.
///
/// Registering takes a lock; keep the returned reference, which stays valid as
/// long as the registry, and use it on hot paths. A name must be used for one
/// type of metric only; the metrics of other types under that name are not
/// exposed.
class metrics_registry {
 public:
  explicit metrics_registry(metrics_options options = {}) : options_(options) {}

  counter& Counter(const std::string& name,
                   const std::string& help,
                   metric_labels labels = {});
  gauge& Gauge(const std::string& name,
               const std::string& help,
               metric_labels labels = {});
  /// @param name ends in "_seconds" by Prometheus's convention.
  latency_histogram& Latency(const std::string& name,
                             const std::string& help,
                             metric_labels labels = {});

  /// @brief All metrics in the Prometheus text format, ordered by name and
  /// labels. Latencies are in seconds, with 4 buckets in each decade.
  std::string PrometheusText() const;

 private:
  template <class Metric>
  struct family {
    std::string help;
    std::map<metric_labels, std::unique_ptr<Metric>> series;
  };
  template <class Metric>
  using families = std::map<std::string, family<Metric>>;

  template <class Metric>
  Metric& Find(families<Metric>& all,
               const std::string& name,
               const std::string& help,
               metric_labels labels) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const metrics_options options_;
  mutable absl::Mutex mutex_;
  families<counter> counters_ ABSL_GUARDED_BY(mutex_);
  families<gauge> gauges_ ABSL_GUARDED_BY(mutex_);
  families<latency_histogram> latencies_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_METRICS_HPP
