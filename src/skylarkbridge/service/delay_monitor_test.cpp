#include "skylarkbridge/service/delay_monitor.hpp"

#include <gtest/gtest.h>

#include <boost/asio/post.hpp>
#include <thread>

#include "skylarkbridge/service/context_probe.hpp"

namespace skylarkbridge::service {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

// Guards against a thread that falls behind without a log line, and against a
// log that fills up while it does.
TEST(DelayMonitorTest, LogsLongDelaysAtMostOncePerInterval) {
  telemetry::latency_histogram delays;
  delay_monitor monitor("calls", delays);
  EXPECT_FALSE(monitor.Record(milliseconds(199), kNow));
  EXPECT_TRUE(monitor.Record(milliseconds(200), kNow));
  EXPECT_FALSE(monitor.Record(seconds(3), kNow + milliseconds(999)));
  EXPECT_TRUE(monitor.Record(seconds(3), kNow + milliseconds(1000)));
  EXPECT_EQ(delays.Read().Count(), 4U);
}

// Guards against a probe that doesn't see how long a handler keeps the others
// of its context waiting.
TEST(ContextProbeTest, MeasuresTheDelayThatABusyContextCauses) {
  telemetry::latency_histogram delays;
  boost::asio::io_context context(1);
  const auto probe =
      std::make_shared<context_probe>(context, delay_monitor("calls", delays));
  probe->Start();
  boost::asio::post(context, [&] {
    // Longer than the interval of the probe.
    std::this_thread::sleep_for(milliseconds(400));
  });
  while (delays.Read().Count() == 0 && context.run_one_for(seconds(20)) > 0) {
  }
  probe->Stop();
  context.restart();
  context.run();
  ASSERT_GE(delays.Read().Count(), 1U);
  EXPECT_GE(delays.Read().Quantile(1)->upper, milliseconds(200));
}

}  // namespace
}  // namespace skylarkbridge::service
