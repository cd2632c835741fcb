#ifndef SKYLARKBRIDGE_TELEMETRY_LATENCY_HISTOGRAM_HPP
#define SKYLARKBRIDGE_TELEMETRY_LATENCY_HISTOGRAM_HPP

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace skylarkbridge::telemetry {

/// @brief A quantile as known from the buckets.
struct quantile_estimate {
  /// Geometric middle of the bucket; off by at most kQuantileError when the
  /// bucket is bounded on both sides.
  std::chrono::nanoseconds value{};
  /// The true quantile lies from `lower` to `upper`. `lower` is zero in the
  /// first bucket; `upper` is the largest duration in the last one.
  std::chrono::nanoseconds lower{};
  std::chrono::nanoseconds upper{};
};

/// @brief Consistent copy of a histogram.
class latency_snapshot {
 public:
  std::uint64_t Count() const { return count_; }
  std::chrono::nanoseconds Sum() const { return sum_; }

  /// @brief Quantile @p q, from 0 to 1. Nothing when there is no sample.
  std::optional<quantile_estimate> Quantile(double q) const;

  /// @brief Number of samples below the upper bound of @p bucket.
  std::uint64_t CumulativeCount(std::size_t bucket) const;

 private:
  friend class latency_histogram;

  std::vector<std::uint64_t> buckets_;
  std::uint64_t count_ = 0;
  std::chrono::nanoseconds sum_{};
};

/// @brief Latencies from 10 us to 100 s in logarithmic buckets, with one bucket
/// below and one above. Threads record without a lock.
///
/// Threads are spread over kStripes Boost histograms of atomic cells, which are
/// allocated at first use (2.3 KB each) and merged when read.
class latency_histogram {
 public:
  static constexpr std::chrono::nanoseconds kLowest =
      std::chrono::microseconds(10);
  static constexpr std::chrono::nanoseconds kHighest =
      std::chrono::seconds(100);
  /// 40 buckets in each of 7 decades: each is 5.9% wider than the one before.
  static constexpr std::size_t kBucketsPerDecade = 40;
  static constexpr std::size_t kBuckets = 7 * kBucketsPerDecade;
  /// Largest relative error of quantile_estimate::value, 10^(1/80) - 1 rounded
  /// up.
  static constexpr double kQuantileError = 0.0293;
  static constexpr std::size_t kStripes = 4;

  latency_histogram() = default;
  ~latency_histogram();
  latency_histogram(const latency_histogram&) = delete;
  latency_histogram& operator=(const latency_histogram&) = delete;

  /// @brief Counts one sample. Negative ones count as zero.
  void Record(std::chrono::nanoseconds latency);

  latency_snapshot Read() const;

  /// @brief Upper bound of a bucket; bucket 0 is the one below kLowest, and
  /// bucket kBuckets + 1, above kHighest, has none.
  static std::chrono::nanoseconds UpperBound(std::size_t bucket);

 private:
  struct stripe;
  stripe& OwnStripe();

  std::array<std::atomic<stripe*>, kStripes> stripes_{};
};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_LATENCY_HISTOGRAM_HPP
