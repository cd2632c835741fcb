#include "skylarkbridge/telemetry/metrics.hpp"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <set>
#include <utility>
#include <vector>

namespace skylarkbridge::telemetry {
namespace {

using seconds = std::chrono::duration<double>;

constexpr std::size_t kExposedBucketStep =
    latency_histogram::kBucketsPerDecade / 4;

prometheus::MetricType Type(const counter&) {
  return prometheus::MetricType::Counter;
}
prometheus::MetricType Type(const gauge&) {
  return prometheus::MetricType::Gauge;
}
prometheus::MetricType Type(const latency_histogram&) {
  return prometheus::MetricType::Histogram;
}

void Fill(const counter& from, prometheus::ClientMetric& to) {
  to.counter.value = static_cast<double>(from.Value());
}
void Fill(const gauge& from, prometheus::ClientMetric& to) {
  to.gauge.value = static_cast<double>(from.Value());
}
void Fill(const latency_histogram& from, prometheus::ClientMetric& to) {
  const latency_snapshot snapshot = from.Read();
  to.histogram.sample_count = snapshot.Count();
  to.histogram.sample_sum = seconds(snapshot.Sum()).count();
  for (std::size_t bucket = 0; bucket <= latency_histogram::kBuckets;
       bucket += kExposedBucketStep) {
    to.histogram.bucket.push_back(
        {.cumulative_count = snapshot.CumulativeCount(bucket),
         .upper_bound =
             seconds(latency_histogram::UpperBound(bucket)).count()});
  }
  to.histogram.bucket.push_back(
      {.cumulative_count = snapshot.Count(),
       .upper_bound = std::numeric_limits<double>::infinity()});
}

/// Adds the families whose names @p used does not contain yet.
template <class Families>
void Collect(const Families& families,
             std::set<std::string>& used,
             std::vector<prometheus::MetricFamily>& out) {
  for (const auto& [name, family] : families) {
    if (!used.insert(name).second) {
      continue;
    }
    prometheus::MetricFamily entry;
    entry.name = name;
    entry.help = family.help;
    for (const auto& [labels, metric] : family.series) {
      entry.type = Type(*metric);
      prometheus::ClientMetric sample;
      for (const auto& [label, value] : labels) {
        sample.label.push_back({label, value});
      }
      Fill(*metric, sample);
      entry.metric.push_back(std::move(sample));
    }
    out.push_back(std::move(entry));
  }
}

}  // namespace

template <class Metric>
Metric& metrics_registry::Find(families<Metric>& all,
                               const std::string& name,
                               const std::string& help,
                               metric_labels labels) {
  family<Metric>& found = all[name];
  if (found.help.empty()) {
    found.help = help;
  }
  if (found.series.size() >= options_.max_series &&
      !found.series.contains(labels)) {
    labels = {{"overflow", "true"}};
  }
  std::unique_ptr<Metric>& slot = found.series[std::move(labels)];
  if (!slot) {
    slot = std::make_unique<Metric>();
  }
  return *slot;
}

counter& metrics_registry::Counter(const std::string& name,
                                   const std::string& help,
                                   metric_labels labels) {
  absl::MutexLock lock(&mutex_);
  return Find(counters_, name, help, std::move(labels));
}

gauge& metrics_registry::Gauge(const std::string& name,
                               const std::string& help,
                               metric_labels labels) {
  absl::MutexLock lock(&mutex_);
  return Find(gauges_, name, help, std::move(labels));
}

latency_histogram& metrics_registry::Latency(const std::string& name,
                                             const std::string& help,
                                             metric_labels labels) {
  absl::MutexLock lock(&mutex_);
  return Find(latencies_, name, help, std::move(labels));
}

std::string metrics_registry::PrometheusText() const {
  std::vector<prometheus::MetricFamily> out;
  std::set<std::string> used;
  {
    absl::MutexLock lock(&mutex_);
    Collect(counters_, used, out);
    Collect(gauges_, used, out);
    Collect(latencies_, used, out);
  }
  std::sort(out.begin(), out.end(),
            [](const auto& a, const auto& b) { return a.name < b.name; });
  return prometheus::TextSerializer().prometheus::Serializer::Serialize(out);
}

}  // namespace skylarkbridge::telemetry
