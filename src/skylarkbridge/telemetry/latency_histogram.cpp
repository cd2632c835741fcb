#include "skylarkbridge/telemetry/latency_histogram.hpp"

#include <algorithm>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <memory>
#include <numeric>
#include <tuple>

namespace skylarkbridge::telemetry {
namespace {

namespace bh = boost::histogram;
using std::chrono::nanoseconds;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using atomic_cell = bh::accumulators::count<std::uint64_t, true>;
using storage = bh::dense_storage<atomic_cell>;

log_axis MakeAxis() {
  return log_axis(latency_histogram::kBuckets,
                  static_cast<double>(latency_histogram::kLowest.count()),
                  static_cast<double>(latency_histogram::kHighest.count()));
}

unsigned StripeOfThread() {
  static std::atomic<unsigned> next{0};
  thread_local const unsigned own =
      next.fetch_add(1, std::memory_order_relaxed) %
      latency_histogram::kStripes;
  return own;
}

}  // namespace

struct latency_histogram::stripe {
  bh::histogram<std::tuple<log_axis>, storage> cells =
      bh::make_histogram_with(storage(), MakeAxis());
  std::atomic<std::int64_t> sum_ns{0};
};

latency_histogram::~latency_histogram() {
  for (std::atomic<stripe*>& slot : stripes_) {
    delete slot.load();
  }
}

latency_histogram::stripe& latency_histogram::OwnStripe() {
  std::atomic<stripe*>& slot = stripes_[StripeOfThread()];
  stripe* current = slot.load(std::memory_order_acquire);
  if (current == nullptr) {
    auto fresh = std::make_unique<stripe>();
    if (slot.compare_exchange_strong(current, fresh.get(),
                                     std::memory_order_acq_rel)) {
      current = fresh.release();
    }
  }
  return *current;
}

void latency_histogram::Record(nanoseconds latency) {
  const nanoseconds sample = std::max(latency, nanoseconds::zero());
  stripe& own = OwnStripe();
  own.cells(static_cast<double>(sample.count()));
  own.sum_ns.fetch_add(sample.count(), std::memory_order_relaxed);
}

latency_snapshot latency_histogram::Read() const {
  latency_snapshot out;
  out.buckets_.resize(kBuckets + 2);
  for (const std::atomic<stripe*>& slot : stripes_) {
    const stripe* part = slot.load(std::memory_order_acquire);
    if (part == nullptr) {
      continue;
    }
    for (std::size_t i = 0; i < out.buckets_.size(); ++i) {
      out.buckets_[i] += part->cells.at(static_cast<int>(i) - 1).value();
    }
    out.sum_ += nanoseconds(part->sum_ns.load(std::memory_order_relaxed));
  }
  out.count_ = std::accumulate(out.buckets_.begin(), out.buckets_.end(),
                               std::uint64_t{0});
  return out;
}

nanoseconds latency_histogram::UpperBound(std::size_t bucket) {
  static const log_axis axis = MakeAxis();
  if (bucket > kBuckets) {
    return nanoseconds::max();
  }
  return nanoseconds(std::llround(axis.value(static_cast<double>(bucket))));
}

std::optional<quantile_estimate> latency_snapshot::Quantile(double q) const {
  if (count_ == 0) {
    return std::nullopt;
  }
  const double wanted = std::clamp(q, 0.0, 1.0) * static_cast<double>(count_);
  const auto rank =
      std::max<std::uint64_t>(1, static_cast<std::uint64_t>(std::ceil(wanted)));
  std::size_t bucket = 0;
  std::uint64_t seen = buckets_[0];
  while (seen < rank && bucket + 1 < buckets_.size()) {
    seen += buckets_[++bucket];
  }
  quantile_estimate out;
  out.upper = latency_histogram::UpperBound(bucket);
  if (bucket == 0) {
    out.value = out.upper;
    return out;
  }
  out.lower = latency_histogram::UpperBound(bucket - 1);
  out.value = bucket > latency_histogram::kBuckets
                  ? out.lower
                  : nanoseconds(std::llround(
                        std::sqrt(static_cast<double>(out.lower.count()) *
                                  static_cast<double>(out.upper.count()))));
  return out;
}

std::uint64_t latency_snapshot::CumulativeCount(std::size_t bucket) const {
  const std::size_t end = std::min(bucket + 1, buckets_.size());
  return std::accumulate(buckets_.begin(),
                         buckets_.begin() + static_cast<std::ptrdiff_t>(end),
                         std::uint64_t{0});
}

}  // namespace skylarkbridge::telemetry
