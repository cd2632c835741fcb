#include <set>

#include "gtest/gtest.h"
#include "skylarkbridge/scheduling/batch_fleet_fake.hpp"
#include "skylarkbridge/scheduling/failure_tracker.hpp"

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr resources kWorker{.millicores = 8000, .memory_mib = 16'000};

struct failing_fleet : batch_fleet_fake {
  explicit failing_fleet(std::uint64_t workers, std::uint64_t kinds)
      : batch_fleet_fake(batch_options{.usage = {.declared_size_factor = 1.0}}) {
    declaration::configuration config;
    for (std::uint64_t kind = 0; kind < kinds; ++kind) {
      config.batch_kinds.push_back(
          {.name = std::to_string(kind), .size = {.millicores = 2000}});
    }
    scheduler.Configure(config, now);
    for (std::uint64_t worker = 1; worker <= workers; ++worker) {
      Worker(worker, kWorker, worker / 8);
    }
  }
  /// Runs tasks of 1 s; `fails` decides by kind and worker.
  template <class Fails>
  void Run(seconds duration, std::uint64_t kinds, const Fails& fails) {
    for (const time_point end = now + duration; now < end;) {
      for (std::uint64_t kind = 0; kind < kinds; ++kind) {
        for (int i = 0; i < 40 && Waiting(kind) < 20; ++i) {
          kind_of[++next] = kind;
          Submit(next, std::to_string(kind));
        }
      }
      std::vector<std::uint64_t> ending;
      for (const auto& [task, r] : running) {
        ending.push_back(task);
      }
      Advance(milliseconds(1000));
      for (const std::uint64_t task : ending) {
        const std::uint64_t worker = running.at(task).worker.value;
        const bool failed = fails(kind_of[task], worker);
        ++(failed ? failures : successes)[{kind_of[task], worker}];
        Finish(task, failed ? task_result::kFailed : task_result::kSucceeded);
      }
    }
  }
  std::int64_t Waiting(std::uint64_t kind) const {
    return scheduler.Kinds()[kind].waiting;
  }
  template <class Counted>
  static int Sum(const Counted& counts, std::uint64_t kind) {
    int sum = 0;
    for (const auto& [key, count] : counts) {
      sum += key.first == kind ? count : 0;
    }
    return sum;
  }

  std::uint64_t next = 0;
  std::map<std::uint64_t, std::uint64_t> kind_of;
  std::map<std::pair<std::uint64_t, std::uint64_t>, int> failures;
  std::map<std::pair<std::uint64_t, std::uint64_t>, int> successes;
};

// Guards against a kind that fails everywhere and takes the workers down with
// it, or uses up their time.
TEST(BatchFailureTest, HoldsBackAKindThatFailsEverywhere) {
  failing_fleet fleet(6, 2);
  fleet.Run(seconds(60), 2,
            [](std::uint64_t kind, std::uint64_t) { return kind == 0; });
  EXPECT_LT(failing_fleet::Sum(fleet.failures, 0), 60);
  EXPECT_GT(failing_fleet::Sum(fleet.successes, 1), 600);
  for (const worker_id worker : fleet.scheduler.Workers()) {
    EXPECT_FALSE(fleet.scheduler.Holdings(worker)->probation);
  }
  EXPECT_TRUE(fleet.scheduler.Kinds()[0].held_back_until.has_value());
}

// Guards against a worker that fails at once, looks free and draws in every
// task, and against kinds that are held back because of it.
TEST(BatchFailureTest, QuarantinesAWorkerThatFailsEverything) {
  failing_fleet fleet(6, 4);
  const auto faulty = [](std::uint64_t, std::uint64_t worker) {
    return worker == 3;
  };
  fleet.Run(seconds(20), 4, faulty);
  EXPECT_TRUE(fleet.scheduler.Holdings({3})->quarantined_until.has_value());
  int failed = 0;
  for (std::uint64_t kind = 0; kind < 4; ++kind) {
    failed += failing_fleet::Sum(fleet.failures, kind);
    EXPECT_FALSE(fleet.scheduler.Kinds()[kind].held_back_until.has_value());
  }
  EXPECT_LT(failed, 20);
  EXPECT_TRUE(fleet.refused.empty());

  // Repaired, it comes back by way of probation.
  fleet.Run(seconds(60), 4, [](std::uint64_t, std::uint64_t) { return false; });
  EXPECT_FALSE(fleet.scheduler.Holdings({3})->probation);
  EXPECT_GT((fleet.successes[{0, 3}]), 3);
}

// Guards against a faulty worker that is never found because only one kind
// runs.
TEST(BatchFailureTest, QuarantinesWithASingleKind) {
  failing_fleet fleet(6, 1);
  fleet.Run(seconds(20), 1,
            [](std::uint64_t, std::uint64_t worker) { return worker == 3; });
  EXPECT_TRUE(fleet.scheduler.Holdings({3})->probation);
  EXPECT_GT(failing_fleet::Sum(fleet.successes, 0), 100);
}

// Guards against endless attempts of one broken task, and against a hot loop
// with a worker that refuses to start anything.
TEST(BatchFailureTest, RefusesATaskAfterManyFailures) {
  failing_fleet fleet(8, 1);
  fleet.Submit(1, "0");
  for (int i = 0; i < 600 && fleet.refused.empty(); ++i) {
    if (fleet.running.contains(1)) {
      fleet.Finish(1, task_result::kFailed);
    }
    fleet.Advance(seconds(1));
  }
  EXPECT_EQ(fleet.refused.at(1).reason, task_refusal::kTooManyFailures);

  // Others of the kind do not wait behind a task that avoids the only worker.
  failing_fleet behind(1, 1);
  for (std::uint64_t task = 1; task <= 5; ++task) {
    behind.Submit(task, "0");
  }
  behind.Finish(1, task_result::kFailed);
  EXPECT_TRUE(behind.running.contains(5));
  EXPECT_FALSE(behind.running.contains(1));

  failing_fleet single(1, 1);
  single.Submit(1, "0");
  single.Finish(1, task_result::kNotStarted);
  EXPECT_TRUE(single.running.empty());
  single.Advance(seconds(2));
  EXPECT_EQ(single.running.at(1).attempt, 2U);
}

// Guards against waits that do not grow, and against failures on a faulty
// worker that count against the kind.
TEST(BatchFailureTest, WaitsGrowAndAreForgiven) {
  const failure_options options;
  kind_failures kind;
  const time_point start(seconds(100));
  EXPECT_FALSE(kind.RecordFailure({1}, start, options));
  EXPECT_FALSE(kind.RecordFailure({2}, start, options));
  kind.ForgetWorker({2});
  EXPECT_FALSE(kind.RecordFailure({3}, start, options));
  EXPECT_TRUE(kind.RecordFailure({4}, start, options));
  EXPECT_EQ(kind.HeldUntil(), start + seconds(1));
  EXPECT_FALSE(kind.RecordFailure({5}, start, options));
  EXPECT_TRUE(kind.RecordFailure({5}, start + seconds(1), options));
  EXPECT_EQ(kind.HeldUntil(), start + seconds(3));
  kind.RecordSuccess(start + seconds(5));
  EXPECT_EQ(kind.HeldUntil(), std::nullopt);
}

}  // namespace
}  // namespace skylarkbridge::scheduling
