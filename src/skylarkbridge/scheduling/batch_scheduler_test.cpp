#include "skylarkbridge/scheduling/batch_scheduler.hpp"

#include <random>

#include "gtest/gtest.h"
#include "skylarkbridge/scheduling/batch_fleet_fake.hpp"

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kWorker{.millicores = 8000, .memory_mib = 16'000};

declaration::batch_kind Kind(const std::string& name, resources size) {
  return {.name = name, .team = "t", .size = size};
}

batch_options ExactLeaseOptions() {
  // Leases exactly the declared size until usage is learnt.
  return {.usage = {.declared_size_factor = 1.0},
          .interference = {.unreported_wait = milliseconds(0)}};
}

declaration::configuration Config(std::vector<declaration::batch_kind> kinds,
                                  declaration::team team = {.name = "t"}) {
  return {.teams = {team},
          .services = {{.name = "desk", .team = "t"}},
          .batch_kinds = std::move(kinds)};
}

// Guards against tasks that wait forever because they fit no worker, and
// against their refusal before any worker is known.
TEST(BatchSchedulerTest, RefusesTasksThatFitNoKnownWorker) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  fleet.scheduler.Configure(
      Config({Kind("big", {.millicores = 9000, .memory_mib = 100})}),
      fleet.now);
  fleet.Submit(1, "big");
  EXPECT_TRUE(fleet.refused.empty());
  fleet.UpdateWorker(1, kWorker);
  fleet.Submit(2, "big");
  EXPECT_EQ(fleet.refused.at(2).reason, task_refusal::kNeverFits);
  EXPECT_NE(fleet.refused.at(2).detail.find("8000"), std::string::npos);
  fleet.Submit(3, "unheard-of");
  EXPECT_EQ(fleet.refused.at(3).reason, task_refusal::kUnknownKind);
}

// Guards against placement by processors alone on a worker whose memory or
// accelerators are used up.
TEST(BatchSchedulerTest, PlacesByEveryResource) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  fleet.scheduler.Configure(
      Config({Kind("wide", {.millicores = 1000, .memory_mib = 9000}),
              Kind("gpu", {.millicores = 100, .accelerators = 1})}),
      fleet.now);
  fleet.UpdateWorker(
      1, {.millicores = 8000, .memory_mib = 16'000, .accelerators = 1});
  for (std::uint64_t task = 1; task <= 4; ++task) {
    fleet.Submit(task, task <= 2 ? "wide" : "gpu");
  }
  EXPECT_EQ(fleet.CountRunning(1, 2), 1);
  EXPECT_EQ(fleet.CountRunning(3, 4), 1);
  EXPECT_EQ(fleet.scheduler.WaitingStatus({4})->reason,
            waiting_reason::kNoRoom);
}

// Guards against too many tasks of a kind in one rack, where a rack failure
// would stop them all.
TEST(BatchSchedulerTest, EnforcesTheRackLimit) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  declaration::batch_kind kind =
      Kind("k", {.millicores = 100, .memory_mib = 1});
  kind.rack_limit = 2;
  fleet.scheduler.Configure(Config({kind}), fleet.now);
  fleet.UpdateWorker(1, kWorker, 1);
  fleet.UpdateWorker(2, kWorker, 1);
  fleet.UpdateWorker(3, kWorker, 2);
  for (std::uint64_t task = 1; task <= 8; ++task) {
    fleet.Submit(task, "k");
  }
  EXPECT_EQ(fleet.running.size(), 4U);
}

// Guards against a kind that keeps running above its guaranteed minimum while
// another kind waits below its own, and against evictions that push a kind
// below its minimum.
TEST(BatchSchedulerTest, RestoresTheMinimumShareWithinThreeSeconds) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  declaration::batch_kind flood = Kind("flood", {.millicores = 1000});
  declaration::batch_kind urgent = Kind("urgent", {.millicores = 1000});
  flood.claim.minimum_permille = 500;
  flood.checkpoints = true;
  urgent.claim.minimum_permille = 500;
  urgent.urgency = 10;
  fleet.scheduler.Configure(Config({flood, urgent}), fleet.now);
  fleet.UpdateWorker(1, kWorker);
  fleet.UpdateWorker(2, kWorker);
  for (std::uint64_t task = 1; task <= 100; ++task) {
    fleet.Submit(task, "flood");
  }
  EXPECT_EQ(fleet.CountRunning(1, 100), 16);
  for (std::uint64_t task = 101; task <= 200; ++task) {
    fleet.Submit(task, "urgent");
  }
  for (int i = 0; i < 30; ++i) {
    fleet.Advance(milliseconds(100));
    fleet.ConfirmStops();
  }
  EXPECT_EQ(fleet.CountRunning(101, 200), 8);
  EXPECT_EQ(fleet.CountRunning(1, 100), 8);
  fleet.Advance(seconds(5));
  EXPECT_TRUE(fleet.checkpointing.empty())
      << "an eviction reduced a share at its guaranteed minimum";
}

// Guards against caps and quotas that are ignored while the fleet is idle.
TEST(BatchSchedulerTest, EnforcesCapsAndQuotasOnAnIdleFleet) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  declaration::batch_kind capped = Kind("capped", {.millicores = 1000});
  capped.claim.cap_permille = 250;
  const declaration::batch_kind other = Kind("other", {.millicores = 1000});
  fleet.scheduler.Configure(
      Config({capped, other}, {.name = "t", .quota = {.millicores = 5000}}),
      fleet.now);
  fleet.UpdateWorker(1, kWorker);
  for (std::uint64_t task = 1; task <= 10; ++task) {
    fleet.Submit(task, "capped");
    fleet.Submit(task + 100, "other");
  }
  EXPECT_EQ(fleet.CountRunning(1, 10), 2);
  EXPECT_EQ(fleet.CountRunning(101, 110), 3);
  EXPECT_EQ(fleet.scheduler.WaitingStatus({104})->reason,
            waiting_reason::kTeamQuota);
}

// Guards against a task that resumes twice or from an old checkpoint, and
// against late events of an ended attempt that take effect.
TEST(BatchSchedulerTest, ResumesFromTheLastCheckpointExactlyOnce) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  declaration::batch_kind kind = Kind("k", {.millicores = 1000});
  kind.checkpoints = true;
  fleet.scheduler.Configure(Config({kind}), fleet.now);
  fleet.UpdateWorker(1, kWorker);
  fleet.Submit(1, "k");
  fleet.Checkpoint(1, "first");
  fleet.Checkpoint(1, "second");
  fleet.UpdateWorker(2, kWorker);
  fleet.UpdateWorker(1, kWorker, 0, worker_status::kGone);
  ASSERT_TRUE(fleet.running.contains(1));
  EXPECT_EQ(fleet.running[1].attempt, 2U);
  EXPECT_EQ(fleet.running[1].checkpoint, "second");

  const task_finished late{.task = {1}, .worker = {1}, .attempt = 1};
  EXPECT_TRUE(fleet.scheduler.Finished(late, fleet.now).empty());
  EXPECT_TRUE(
      fleet.scheduler
          .Checkpointed(
              {.task = {1}, .worker = {1}, .attempt = 1, .checkpoint = "late"},
              fleet.now)
          .empty());
  fleet.UpdateWorker(1, kWorker, 0, worker_status::kGone);
  fleet.UpdateWorker(1, kWorker);
  fleet.UpdateWorker(2, kWorker, 0, worker_status::kGone);
  EXPECT_EQ(fleet.running[1].checkpoint, "second");
  fleet.Finish(1);
  fleet.Submit(1, "k");
  fleet.Apply(fleet.scheduler.Started(
      {.task = {1}, .worker = {1}, .attempt = 3, .kind = "k"}, fleet.now));
  EXPECT_TRUE(fleet.scheduler.Allocation({1})->tasks.empty());
}

// Guards against a second run of a task while its unreachable worker may still
// run it, and against new tasks on a leaving worker.
TEST(BatchSchedulerTest, HoldsTasksOfUnreachableWorkers) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  fleet.scheduler.Configure(Config({Kind("k", {.millicores = 1000})}),
                            fleet.now);
  fleet.UpdateWorker(1, kWorker);
  fleet.Submit(1, "k");
  fleet.UpdateWorker(1, kWorker, 0, worker_status::kUnreachable);
  fleet.UpdateWorker(2, kWorker, 0, worker_status::kLeaving);
  fleet.Submit(2, "k");
  fleet.Advance(seconds(60));
  EXPECT_EQ(fleet.running.at(1).attempt, 1U);
  EXPECT_EQ(fleet.running.size(), 1U);
}

// Guards against a second run of a task that is not idempotent.
TEST(BatchSchedulerTest, DoesNotRerunNonIdempotentTasks) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  declaration::batch_kind kind = Kind("k", {.millicores = 1000});
  kind.idempotent = false;
  fleet.scheduler.Configure(Config({kind}), fleet.now);
  fleet.UpdateWorker(1, kWorker);
  fleet.UpdateWorker(2, kWorker);
  fleet.Submit(1, "k");
  fleet.UpdateWorker(fleet.running[1].worker.value, kWorker, 0,
                     worker_status::kGone);
  EXPECT_TRUE(fleet.running.empty());
  EXPECT_EQ(fleet.refused.at(1).reason, task_refusal::kOutcomeUnknown);
}

// Guards against a second start of a task that a worker's inventory shows as
// running.
TEST(BatchSchedulerTest, AdoptsRunningTasksFromAnInventory) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  fleet.scheduler.Configure(Config({Kind("k", {.millicores = 1000})}),
                            fleet.now);
  fleet.Submit(1, "k");
  fleet.Apply(fleet.scheduler.Started(
      {.task = {1}, .worker = {1}, .attempt = 1, .kind = "k"}, fleet.now));
  fleet.Apply(fleet.scheduler.Started(
      {.task = {2}, .worker = {1}, .attempt = 4, .kind = "k"}, fleet.now));
  fleet.Submit(2, "k");
  fleet.UpdateWorker(1, kWorker);
  EXPECT_EQ(fleet.scheduler.Allocation({1})->leased.millicores, 2000);
  EXPECT_EQ(fleet.scheduler.Counters().started, 0U);
}

// Guards against a cancelled task that starts, or whose lease is released while
// it still runs.
TEST(BatchSchedulerTest, CancelsWaitingAndRunningTasks) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  fleet.scheduler.Configure(Config({Kind("k", {.millicores = 8000})}),
                            fleet.now);
  fleet.UpdateWorker(1, kWorker);
  fleet.Submit(1, "k");
  fleet.Submit(2, "k");
  fleet.Submit(3, "k");
  fleet.Cancel(2);
  fleet.Cancel(1);
  fleet.Cancel(1);
  EXPECT_EQ(fleet.stopping.size(), 1U);
  EXPECT_FALSE(fleet.running.contains(3));
  fleet.ConfirmStops();
  EXPECT_TRUE(fleet.running.contains(3));
  EXPECT_FALSE(fleet.running.contains(2));
}

// Guards against leases that stay at a declared processor size of 4 times the
// use, and against leases beyond the worker's memory when tasks use more memory
// than declared.
TEST(BatchSchedulerTest, SizesLeasesFromUsageReports) {
  // Turns off the limit on tasks before the first report; another test covers
  // it.
  batch_fleet_fake fleet(
      batch_options{.interference = {.unreported_wait = milliseconds(0)}});
  fleet.scheduler.Configure(
      Config({Kind("small", {.millicores = 1000, .memory_mib = 1000})}),
      fleet.now);
  fleet.UpdateWorker(1, kWorker);
  for (std::uint64_t task = 1; task <= 40; ++task) {
    fleet.Submit(task, "small");
  }
  EXPECT_EQ(fleet.running.size(), 2U);
  const auto report = [&](std::int64_t memory) {
    fleet.Advance(seconds(6));
    std::vector<task_usage> used;
    for (const auto& [task, r] : fleet.running) {
      used.push_back(
          {.task = {task}, .used = {.millicores = 250, .memory_mib = memory}});
    }
    fleet.Report(1, used);
  };
  for (int i = 0; i < 6; ++i) {
    report(500);
  }
  EXPECT_GE(fleet.running.size(), 24U);
  // The use of all tasks exceeds the worker: some are evicted, and the leases
  // of the rest fit.
  report(1000);
  fleet.ConfirmStops();
  EXPECT_GT(fleet.scheduler.Counters().evicted_for_capacity, 0U);
  std::int64_t memory = 0;
  for (const auto& [task, r] : fleet.running) {
    memory += r.leased.memory_mib;
  }
  EXPECT_LE(memory, kWorker.memory_mib);
}

// Guards against leases that exceed a worker whose capacity was reduced.
TEST(BatchSchedulerTest, EvictsWhenTheCapacityShrinks) {
  batch_fleet_fake fleet(ExactLeaseOptions());
  fleet.scheduler.Configure(Config({Kind("k", {.millicores = 1000})}),
                            fleet.now);
  fleet.UpdateWorker(1, kWorker);
  for (std::uint64_t task = 1; task <= 8; ++task) {
    fleet.Submit(task, "k");
  }
  fleet.skip_capacity_check = true;
  fleet.UpdateWorker(1, {.millicores = 3000});
  fleet.ConfirmStops();
  fleet.skip_capacity_check = false;
  EXPECT_EQ(fleet.running.size(), 3U);
}

// Guards against inconsistent state after random events: a worker over its
// capacity, a task that runs twice, a leaked lease or a lost task.
TEST(BatchSchedulerTest, KeepsStateConsistentUnderRandomEvents) {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    batch_fleet_fake fleet(batch_options{.seed = seed});
    declaration::batch_kind a = Kind("a", {.millicores = 700});
    declaration::batch_kind b =
        Kind("b", {.millicores = 1500, .memory_mib = 900});
    a.claim.minimum_permille = 300;
    b.checkpoints = true;
    b.urgency = 5;
    fleet.scheduler.Configure(Config({a, b}), fleet.now);
    std::uint64_t submitted = 0;
    std::size_t done = 0;
    for (int step = 0; step < 4000; ++step) {
      const std::uint64_t worker = 1 + random() % 6;
      const std::uint64_t draw = random() % 100;
      auto any = fleet.running.begin();
      if (any != fleet.running.end()) {
        std::advance(any, random() % fleet.running.size());
      }
      if (draw < 30) {
        fleet.Submit(++submitted, random() % 2 == 0 ? "a" : "b");
      } else if (draw < 55 && any != fleet.running.end()) {
        const bool failed = random() % 8 == 0;
        done += failed ? 0 : 1;
        fleet.Finish(any->first,
                     failed ? task_result::kFailed : task_result::kSucceeded);
      } else if (draw < 60) {
        fleet.ConfirmStops();
      } else if (draw < 64) {
        fleet.UpdateWorker(worker, kWorker, worker / 3, worker_status::kGone);
      } else if (draw < 76) {
        fleet.UpdateWorker(worker, kWorker, worker / 3);
      } else if (draw < 80) {
        fleet.UpdateWorker(worker, kWorker, worker / 3,
                           worker_status::kUnreachable);
      } else if (draw < 90 && any != fleet.running.end()) {
        const std::chrono::microseconds p99(1000 + random() % 2000);
        const auto millicores = static_cast<std::int64_t>(random() % 6000);
        const auto memory = static_cast<std::int64_t>(random() % 6000);
        fleet.Report(
            any->second.worker.value,
            {{.task = {any->first},
              .used = {.millicores = millicores, .memory_mib = memory}}},
            {{.service = "desk", .requests = 500, .p99 = p99}});
      } else {
        fleet.Advance(milliseconds(1000));
      }
    }
    std::int64_t waiting = 0;
    resources leased;
    resources held;
    for (const kind_status& kind : fleet.scheduler.Kinds()) {
      waiting += kind.waiting;
      leased += kind.leased;
    }
    for (const worker_id id : fleet.scheduler.Workers()) {
      held += fleet.scheduler.Allocation(id)->leased;
    }
    EXPECT_EQ(leased, held);
    EXPECT_EQ(static_cast<std::size_t>(waiting) + fleet.running.size() + done +
                  fleet.refused.size(),
              submitted);
  }
}

}  // namespace
}  // namespace skylarkbridge::scheduling
