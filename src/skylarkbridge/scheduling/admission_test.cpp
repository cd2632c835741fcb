#include "skylarkbridge/scheduling/admission.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kStart = time_point(seconds(100));

// A team's minimum must also help a service that has none of its own, and a
// team at its cap must wait even with the most urgent service.
TEST(AdmissionTest, TeamSharesDecideBetweenTheirServices) {
  admission decisions;
  declaration::configuration config;
  config.teams = {{.name = "desk", .claim = {300, 1000}},
                  {.name = "draw", .claim = {0, 200}}};
  config.services = {{.name = "seats", .team = "desk", .urgency = 1},
                     {.name = "heats", .team = "draw", .urgency = 900}};
  decisions.Configure(config);
  decisions.SetCapacity(10);
  const service_index seats = *decisions.Find("seats");
  const service_index heats = *decisions.Find("heats");
  decisions.Enqueue({heats, 1, kStart + seconds(1)}, kStart);
  decisions.Enqueue({seats, 2, kStart + seconds(2)}, kStart);
  EXPECT_EQ(decisions.Queues().Next(false)->service, seats);
  for (int i = 0; i < 3; ++i) {
    decisions.Take(seats);
  }
  EXPECT_EQ(decisions.Queues().Next(false)->service, heats);
  decisions.Take(heats);
  decisions.Take(heats);
  EXPECT_EQ(decisions.Queues().Next(false)->service, seats);
  decisions.Return(heats);
  EXPECT_EQ(decisions.Queues().Next(false)->service, heats);
}

// A queue that never empties adds delay to every request and no throughput.
TEST(AdmissionTest, HoldsStandingQueuesDown) {
  admission decisions;
  declaration::configuration config;
  config.services = {{.name = "seats"}};
  decisions.Configure(config);
  decisions.SetCapacity(1);
  for (int i = 0; i < 30; ++i) {
    decisions.Latency(0).Add(milliseconds(20), kStart);
  }
  decisions.Take(0);
  decisions.Enqueue({0, 1, kStart + seconds(1)}, kStart);
  const time_point burst = kStart + milliseconds(499);
  EXPECT_EQ(decisions.CheckQueue(0, kStart + seconds(2), burst),
            refusal_reason::kNone);
  const time_point standing = kStart + milliseconds(500);
  EXPECT_EQ(decisions.CheckQueue(0, kStart + seconds(2), standing),
            refusal_reason::kQueueFull);
}

// Refused requests teach nothing, so an old estimate must not refuse for ever.
TEST(AdmissionTest, ForgetsOldEstimates) {
  admission decisions;
  declaration::configuration config;
  config.services = {{.name = "seats"}};
  decisions.Configure(config);
  for (int i = 0; i < 30; ++i) {
    decisions.Latency(0).Add(seconds(1), kStart);
  }
  EXPECT_TRUE(decisions.TooLate(0, kStart + milliseconds(500), kStart));
  const time_point later = kStart + seconds(2);
  EXPECT_FALSE(decisions.TooLate(0, later + milliseconds(500), later));
}

// The quantile decides what is too late; far off it refuses good requests or
// lets late ones run.
TEST(LatencyEstimateTest, FollowsQuantileAfterChange) {
  latency_estimate estimate;
  for (const int base : {10, 100}) {
    for (int i = 0; i < 2000; ++i) {
      // Evenly spread from base to 2 * base; the 0.95 quantile is 1.95 * base.
      estimate.Add(
          milliseconds(base) + milliseconds(base) * (i * 37 % 100) / 100,
          kStart);
    }
    EXPECT_NEAR(static_cast<double>(estimate.High().count()) / 1e6, 1.95 * base,
                0.2 * base);
    EXPECT_NEAR(static_cast<double>(estimate.Mean().count()) / 1e6, 1.5 * base,
                0.1 * base);
  }
}

}  // namespace
}  // namespace skylarkbridge::scheduling
