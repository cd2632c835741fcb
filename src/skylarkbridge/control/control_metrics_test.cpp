#include "skylarkbridge/control/control_metrics.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

bool Exposes(const telemetry::metrics_registry& registry,
             const std::string& line) {
  return registry.PrometheusText().find(line + "\n") != std::string::npos;
}

// Guards against a wait that is in the log but not on the metrics address, and
// against stages without a wait that fill the histogram with zeros.
TEST(ControlMetricsTest, CountsTheWaitsOfLongRunningTasksByStage) {
  telemetry::metrics_registry registry;
  control_metrics metrics(registry);
  jobs::restart_stage_report report;
  report.ended.resize(2);
  report.ended[0][jobs::restart_stage::kRoom] = seconds(5);
  report.ended[0][jobs::restart_stage::kStartOrder] = milliseconds(20);
  report.ended[1][jobs::restart_stage::kRoom] = seconds(1);
  report.over_limit[static_cast<std::size_t>(jobs::restart_stage::kRoom)] = 3;
  report.over_total = 2;
  metrics.Count(report);
  EXPECT_TRUE(
      Exposes(registry,
              R"(skylarkbridge_restart_stage_seconds_count{stage="room"} 2)"));
  EXPECT_TRUE(Exposes(
      registry,
      R"(skylarkbridge_restart_stage_seconds_count{stage="start_order"} 1)"));
  EXPECT_TRUE(
      Exposes(registry,
              R"(skylarkbridge_restart_stage_exceeded_total{stage="room"} 3)"));
  EXPECT_TRUE(
      Exposes(registry,
              R"(skylarkbridge_restart_stage_exceeded_total{stage="all"} 2)"));
  EXPECT_EQ(registry.PrometheusText().find("takeover\""), std::string::npos);
}

// Guards against a gauge that keeps the wait of a task that has started.
TEST(ControlMetricsTest, SetsTheLongestWaitOfEachStage) {
  telemetry::metrics_registry registry;
  control_metrics metrics(registry);
  jobs::restart_stage_times longest;
  longest[jobs::restart_stage::kLateStart] = milliseconds(2500);
  metrics.SetLongestStages(longest);
  const std::string gauge =
      R"(skylarkbridge_restart_stage_longest_milliseconds{stage="late_start"} )";
  EXPECT_TRUE(Exposes(registry, gauge + "2500"));
  metrics.SetLongestStages({});
  EXPECT_TRUE(Exposes(registry, gauge + "0"));
}

// Guards against room that is kept and stands in no metric.
TEST(ControlMetricsTest, SetsTheKeptRoomOfACellByReason) {
  telemetry::metrics_registry registry;
  control_metrics metrics(registry);
  metrics.SetKeptRoom(2, {.for_restarts = 1,
                          .for_relocations = 2,
                          .for_other_tasks = 3,
                          .for_silent_workers = 4,
                          .by_stops = 5});
  const std::string gauge =
      R"(skylarkbridge_cell_kept_room_millicores{cell="2",kept_for=)";
  EXPECT_TRUE(Exposes(registry, gauge + R"("restarts"} 1)"));
  EXPECT_TRUE(Exposes(registry, gauge + R"("relocations"} 2)"));
  EXPECT_TRUE(Exposes(registry, gauge + R"("other_tasks"} 3)"));
  EXPECT_TRUE(Exposes(registry, gauge + R"("silent_workers"} 4)"));
  EXPECT_TRUE(Exposes(registry, gauge + R"("stops"} 5)"));
}

}  // namespace
}  // namespace skylarkbridge::control
