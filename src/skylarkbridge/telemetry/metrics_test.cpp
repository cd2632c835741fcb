#include "skylarkbridge/telemetry/metrics.hpp"

#include <gtest/gtest.h>

#include <cmath>
#include <vector>

#include "skylarkbridge/base/posix_thread.hpp"

namespace skylarkbridge::telemetry {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

// Aims are judged by these quantiles, so their stated error must hold.
TEST(LatencyHistogramTest, QuantilesAreWithinTheStatedError) {
  latency_histogram latencies;
  for (int i = 1; i <= 10'000; ++i) {
    latencies.Record(microseconds(100) * i);
  }
  const latency_snapshot snapshot = latencies.Read();
  EXPECT_EQ(snapshot.Count(), 10'000u);
  EXPECT_EQ(snapshot.Sum(), microseconds(100) * 50'005'000);
  for (const double q : {0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    const auto estimate = snapshot.Quantile(q);
    ASSERT_TRUE(estimate);
    const double exact = 100'000.0 * std::ceil(q * 10'000);
    EXPECT_LE(estimate->lower.count(), exact) << q;
    EXPECT_GE(estimate->upper.count(), exact) << q;
    EXPECT_NEAR(estimate->value.count() / exact, 1.0,
                latency_histogram::kQuantileError)
        << q;
  }
}

TEST(LatencyHistogramTest, KeepsSamplesOutsideTheRange) {
  latency_histogram latencies;
  EXPECT_FALSE(latencies.Read().Quantile(0.5));
  latencies.Record(nanoseconds(-1));
  EXPECT_EQ(latencies.Read().Quantile(1)->upper, latency_histogram::kLowest);
  latencies.Record(seconds(1000));
  EXPECT_EQ(latencies.Read().Quantile(1)->lower, latency_histogram::kHighest);
}

// Samples of threads that share a stripe must not be lost.
TEST(LatencyHistogramTest, CountsSamplesOfManyThreads) {
  constexpr std::size_t kThreads = 3 * latency_histogram::kStripes;
  constexpr int kSamples = 10'000;
  latency_histogram latencies;
  {
    std::vector<posix_thread> threads;
    for (std::size_t i = 0; i < kThreads; ++i) {
      auto thread = posix_thread::Start("record", [&] {
        for (int sample = 0; sample < kSamples; ++sample) {
          latencies.Record(milliseconds(1));
        }
      });
      ASSERT_TRUE(thread);
      threads.push_back(std::move(*thread));
    }
  }
  EXPECT_EQ(latencies.Read().Count(), kThreads * kSamples);
  EXPECT_EQ(latencies.Read().Sum(), milliseconds(kThreads * kSamples));
}

TEST(MetricsTest, WritesThePrometheusTextFormat) {
  metrics_registry metrics;
  metrics
      .Counter("skylarkbridge_requests_total", "Requests by outcome.",
               {{"outcome", "done"}})
      .Add(2);
  metrics.Counter("skylarkbridge_requests_total", "", {{"outcome", "done"}})
      .Add();
  metrics.Gauge("skylarkbridge_open_tasks", "Open tasks.").Set(-1);
  EXPECT_EQ(metrics.PrometheusText(),
            "# HELP skylarkbridge_open_tasks Open tasks.\n"
            "# TYPE skylarkbridge_open_tasks gauge\n"
            "skylarkbridge_open_tasks -1\n"
            "# HELP skylarkbridge_requests_total Requests by outcome.\n"
            "# TYPE skylarkbridge_requests_total counter\n"
            "skylarkbridge_requests_total{outcome=\"done\"} 3\n");
}

// Bucket counts must be cumulative and end with all samples.
TEST(MetricsTest, ExposesCumulativeBuckets) {
  metrics_registry metrics;
  latency_histogram& latencies = metrics.Latency("t_seconds", "Times.");
  latencies.Record(milliseconds(1) + microseconds(1));
  latencies.Record(seconds(200));
  const std::string text = metrics.PrometheusText();
  for (const char* line :
       {"t_seconds_count 2\n", "t_seconds_bucket{le=\"0.001\"} 0\n",
        "t_seconds_bucket{le=\"0.01\"} 1\n", "t_seconds_bucket{le=\"100\"} 1\n",
        "t_seconds_bucket{le=\"+Inf\"} 2\n"}) {
    EXPECT_NE(text.find(line), std::string::npos) << line << text;
  }
}

// Labels from outside must not use up the memory.
TEST(MetricsTest, BoundsTheNumberOfSeries) {
  metrics_registry metrics({.max_series = 2});
  for (const char* team : {"a", "b", "c", "d"}) {
    metrics.Counter("n_total", "N.", {{"team", team}}).Add();
  }
  EXPECT_NE(metrics.PrometheusText().find("n_total{overflow=\"true\"} 2\n"),
            std::string::npos);
}

}  // namespace
}  // namespace skylarkbridge::telemetry
