#include "skylarkbridge/scheduling/admission_controller.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart = time_point(seconds(100));

// Guards against shares that are applied per service only. The minimum of a
// team must also serve a service without a minimum of its own, and a team at
// its cap must wait even when its service is the most urgent one.
TEST(AdmissionControllerTest, AppliesTeamSharesToServices) {
  admission_controller controller;
  declaration::configuration config;
  config.teams = {{.name = "desk", .claim = {300, 1000}},
                  {.name = "draw", .claim = {0, 200}}};
  config.services = {{.name = "seats", .team = "desk", .urgency = 1},
                     {.name = "heats", .team = "draw", .urgency = 900}};
  controller.Configure(config);
  controller.SetCapacity(10);
  const service_index seats = *controller.Find("seats");
  const service_index heats = *controller.Find("heats");
  controller.Enqueue({heats, 1, kStart + seconds(1)}, kStart);
  controller.Enqueue({seats, 2, kStart + seconds(2)}, kStart);
  EXPECT_EQ(controller.Queues().Next(false)->service, seats);
  for (int i = 0; i < 3; ++i) {
    controller.AcquireSlot(seats);
  }
  EXPECT_EQ(controller.Queues().Next(false)->service, heats);
  controller.AcquireSlot(heats);
  controller.AcquireSlot(heats);
  EXPECT_EQ(controller.Queues().Next(false)->service, seats);
  controller.ReleaseSlot(heats);
  EXPECT_EQ(controller.Queues().Next(false)->service, heats);
}

// Guards against a standing queue: one that never empties delays every request
// and adds no throughput.
TEST(AdmissionControllerTest, LimitsStandingQueues) {
  admission_controller controller;
  declaration::configuration config;
  config.services = {{.name = "seats"}};
  controller.Configure(config);
  controller.SetCapacity(1);
  for (int i = 0; i < 30; ++i) {
    controller.Latency(0).Add(milliseconds(20), kStart);
  }
  controller.AcquireSlot(0);
  controller.Enqueue({0, 1, kStart + seconds(1)}, kStart);
  const time_point within_burst_allowance = kStart + milliseconds(499);
  EXPECT_EQ(
      controller.CheckQueue(0, kStart + seconds(2), within_burst_allowance),
      refusal_reason::kNone);
  const time_point after_burst_allowance = kStart + milliseconds(500);
  EXPECT_EQ(
      controller.CheckQueue(0, kStart + seconds(2), after_burst_allowance),
      refusal_reason::kQueueFull);
}

// Guards against a service that is refused for ever. Refused requests yield no
// latency samples, so an outdated estimate must expire.
TEST(AdmissionControllerTest, IgnoresExpiredEstimates) {
  admission_controller controller;
  declaration::configuration config;
  config.services = {{.name = "seats"}};
  controller.Configure(config);
  for (int i = 0; i < 30; ++i) {
    controller.Latency(0).Add(seconds(1), kStart);
  }
  EXPECT_TRUE(
      controller.CannotMeetDeadline(0, kStart + milliseconds(500), kStart));
  const time_point later = kStart + seconds(2);
  EXPECT_FALSE(
      controller.CannotMeetDeadline(0, later + milliseconds(500), later));
}

// Guards against a wrong quantile, which would refuse requests that can meet
// their deadline or admit requests that can't.
TEST(LatencyEstimateTest, TracksServiceTimesAfterTheyChange) {
  latency_estimate estimate;
  for (const int base : {10, 100}) {
    for (int i = 0; i < 2000; ++i) {
      // Evenly spread from base to 2 * base; the 0.95 quantile is 1.95 * base.
      estimate.Add(
          milliseconds(base) + milliseconds(base) * (i * 37 % 100) / 100,
          kStart);
    }
    EXPECT_NEAR(static_cast<double>(estimate.HighQuantile().count()) / 1e6,
                1.95 * base, 0.2 * base);
    EXPECT_NEAR(static_cast<double>(estimate.Mean().count()) / 1e6, 1.5 * base,
                0.1 * base);
  }
}

}  // namespace
}  // namespace skylarkbridge::scheduling
