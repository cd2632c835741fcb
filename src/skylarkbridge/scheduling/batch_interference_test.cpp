#include <random>

#include "gtest/gtest.h"
#include "skylarkbridge/scheduling/batch_fleet_fake.hpp"
#include "skylarkbridge/scheduling/eviction_budget.hpp"
#include "skylarkbridge/scheduling/resource_index.hpp"
#include "skylarkbridge/scheduling/slowdown_model.hpp"

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kWorker{.millicores = 16'000, .memory_mib = 16'000};

// Guards against a slowdown attributed to the wrong kind, and against a wrong
// baseline latency when the service never ran alone.
TEST(SlowdownModelTest, SeparatesTheSlowdownOfEachKindFromTheBaseline) {
  std::mt19937_64 random(1);
  std::normal_distribution<> noise(0, 0.06);
  slowdown_model model;
  const auto draw = [&] { return static_cast<double>(random() % 8); };
  for (int window = 0; window < 1500; ++window) {
    const double load = 50.0 + static_cast<double>(random() % 100);
    const exposure exposures[] = {
        {0, 1 + draw()}, {1, 1 + draw()}, {2, draw()}};
    const double slowdown =
        (0.05 * exposures[0].amount + 0.002 * exposures[1].amount) * load / 100;
    model.Learn(0, 8000 * (1 + slowdown) * std::exp(noise(random)), load,
                exposures);
  }
  EXPECT_NEAR(model.EstimateSlowdown(0, 0, 100).mean, 0.05, 0.012);
  EXPECT_NEAR(model.EstimateSlowdown(0, 1, 100).mean, 0.002, 0.008);
  EXPECT_NEAR(model.EstimateSlowdown(0, 2, 100).mean, 0.0, 0.008);
  EXPECT_GT(model.EstimateSlowdown(0, 0, 140).mean,
            model.EstimateSlowdown(0, 0, 60).mean + 0.02);
  EXPECT_LT(model.EstimateSlowdown(0, 0, 100).deviation, 0.02);
  EXPECT_GT(model.EstimateSlowdown(0, 7, 100).deviation, 0.03);
  EXPECT_EQ(model.Learn(0, -1, 100, {}), std::nullopt);
}

// Guards against an estimate that does not follow a change of the slowdown
// that a kind causes.
TEST(SlowdownModelTest, FollowsAChangeOfSlowdown) {
  slowdown_model model;
  const auto learn = [&](double slowdown) {
    for (int window = 0; window < 1500; ++window) {
      const exposure exposures[] = {{0, static_cast<double>(window % 5)}};
      model.Learn(0, 8000 * (1 + slowdown * exposures[0].amount), 100,
                  exposures);
    }
  };
  learn(0.05);
  EXPECT_NEAR(model.EstimateSlowdown(0, 0, 100).mean, 0.05, 0.01);
  learn(0.0);
  EXPECT_NEAR(model.EstimateSlowdown(0, 0, 100).mean, 0.0, 0.01);
}

struct noisy_fleet : batch_fleet_fake {
  explicit noisy_fleet(interference_options interference = {})
      : batch_fleet_fake(batch_options{.usage = {.learn = false},
                                       .interference = interference}) {
    scheduler.Configure({.services = {{.name = "desk"}},
                         .batch_kinds = {{.name = "noisy",
                                          .size = {.millicores = 1000},
                                          .checkpoints = true}}},
                        now);
    UpdateWorker(1, kWorker);
    UpdateWorker(2, {.millicores = 100});
    for (int i = 0; i < 20; ++i) {
      ReportNormalLatency();
    }
  }
  void ReportLatency(std::int64_t p99) {
    Report(1, {},
           {{.service = "desk", .requests = 500, .p99 = microseconds(p99)}});
  }
  void ReportNormalLatency() {
    Advance(seconds(6));
    ReportLatency(1000);
  }
};

// Guards against an eviction without prior throttling, and against a second
// action before a report can show the effect of the first.
TEST(BatchInterferenceTest, ThrottlesBeforeEvictingAndWaitsForTheEffect) {
  noisy_fleet fleet;
  fleet.Submit(1, "noisy");
  fleet.Submit(2, "noisy");
  ASSERT_EQ(fleet.running.size(), 2U);
  std::vector<std::int64_t> speeds;
  for (int i = 0; i < 60 && fleet.checkpointing.empty(); ++i) {
    fleet.Advance(seconds(6));
    fleet.ReportLatency(1900);
    const std::uint64_t before = fleet.scheduler.Counters().throttled;
    fleet.Advance(seconds(2));
    // This window began before the last action.
    fleet.ReportLatency(1900);
    EXPECT_EQ(fleet.scheduler.Counters().throttled, before);
  }
  EXPECT_EQ(fleet.checkpointing.size(), 1U);
  EXPECT_GE(fleet.scheduler.Counters().throttled, 2U);
  const std::uint64_t task = fleet.checkpointing.front();
  fleet.ConfirmStops();
  EXPECT_FALSE(fleet.running.contains(task));
  EXPECT_EQ(fleet.scheduler.Counters().evicted_for_interference, 1U);
}

// Guards against tasks that stay throttled after the slowdown has ended.
TEST(BatchInterferenceTest, RelaxesThrottlesAfterRecovery) {
  noisy_fleet fleet;
  fleet.Submit(1, "noisy");
  for (int i = 0; i < 60 && fleet.running.at(1).permille == 1000; ++i) {
    fleet.Advance(seconds(6));
    fleet.ReportLatency(1900);
  }
  EXPECT_LT(fleet.running.at(1).permille, 1000);
  for (int i = 0; i < 200 && fleet.running.at(1).permille < 1000; ++i) {
    fleet.ReportNormalLatency();
  }
  EXPECT_EQ(fleet.running.at(1).permille, 1000);
}

// Guards against a worker that is filled before a report can show the slowdown
// of its services, and against a worker that never reports services and stays
// limited.
TEST(BatchInterferenceTest, LimitsTasksBeforeTheFirstReport) {
  batch_fleet_fake fleet(batch_options{.usage = {.learn = false}});
  fleet.scheduler.Configure(
      {.services = {{.name = "desk"}},
       .batch_kinds = {{.name = "k", .size = {.millicores = 1000}}}},
      fleet.now);
  fleet.UpdateWorker(1, kWorker);
  for (std::uint64_t task = 1; task <= 40; ++task) {
    fleet.Submit(task, "k");
  }
  EXPECT_EQ(fleet.running.size(), 3U);
  fleet.Advance(seconds(21));
  EXPECT_EQ(fleet.running.size(), 16U);
}

// Guards against mass evictions after a wrong measurement.
TEST(BatchInterferenceTest, EnforcesTheEvictionBudget) {
  eviction_budget budget(
      {.evictions_per_worker_minute = 0.1, .eviction_burst = 0.05});
  const time_point start(seconds(100));
  int taken = 0;
  for (int i = 0; i < 100; ++i) {
    taken += budget.TryAcquire(100, start) ? 1 : 0;
  }
  EXPECT_EQ(taken, 5);
  EXPECT_FALSE(budget.TryAcquire(100, start + milliseconds(1)));
  EXPECT_TRUE(budget.TryAcquire(100, start + seconds(7)));
}

// Guards against a search that misses a worker with enough free capacity or
// returns one without.
TEST(ResourceIndexTest, FindsTheFirstPositionThatFits) {
  std::mt19937_64 random(7);
  resource_index index;
  std::vector<resources> rooms;
  const auto draw = [&] {
    return resources{.millicores = static_cast<std::int64_t>(random() % 10),
                     .memory_mib = static_cast<std::int64_t>(random() % 10),
                     .accelerators = static_cast<std::int64_t>(random() % 3)};
  };
  for (std::size_t i = 0; i < 100; ++i) {
    rooms.push_back(draw());
    index.Set(i, rooms[i]);
  }
  for (int round = 0; round < 2000; ++round) {
    const std::size_t changed = random() % rooms.size();
    rooms[changed] = draw();
    index.Set(changed, rooms[changed]);
    const resources need = draw();
    const std::size_t from = random() % rooms.size();
    std::size_t expected = from;
    while (expected < rooms.size() && !Fits(need, rooms[expected])) {
      ++expected;
    }
    EXPECT_EQ(index.NextFrom(from, need),
              expected == rooms.size() ? resource_index::kNotFound : expected);
  }
}

}  // namespace
}  // namespace skylarkbridge::scheduling
