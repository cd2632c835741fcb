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
      : batch_fleet_fake(
            batch_options{.usage = {.declared_size_factor = 1.0}}) {
    declaration::configuration config;
    for (std::uint64_t kind = 0; kind < kinds; ++kind) {
      config.batch_kinds.push_back(
          {.name = std::to_string(kind), .size = {.millicores = 2000}});
    }
    scheduler.Configure(config, now);
    for (std::uint64_t worker = 1; worker <= workers; ++worker) {
      UpdateWorker(worker, kWorker, worker / 8);
    }
  }
  /// Runs tasks of 1 s each; `fails(kind, worker)` tells whether one fails.
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
  static int TotalOf(const Counted& counts, std::uint64_t kind) {
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

// Guards against a kind that fails on every worker and thereby puts workers
// into quarantine or starves other kinds.
TEST(BatchFailureTest, BacksOffAKindThatFailsEverywhere) {
  failing_fleet fleet(6, 2);
  fleet.Run(seconds(60), 2,
            [](std::uint64_t kind, std::uint64_t) { return kind == 0; });
  EXPECT_LT(failing_fleet::TotalOf(fleet.failures, 0), 60);
  EXPECT_GT(failing_fleet::TotalOf(fleet.successes, 1), 600);
  for (const worker_id worker : fleet.scheduler.Workers()) {
    EXPECT_FALSE(fleet.scheduler.Allocation(worker)->probation);
  }
  EXPECT_TRUE(fleet.scheduler.Kinds()[0].backoff_until.has_value());
}

// Guards against a faulty worker that fails tasks quickly, looks idle and so
// receives all tasks, and against kinds that back off because of it.
TEST(BatchFailureTest, QuarantinesAWorkerThatFailsEverything) {
  failing_fleet fleet(6, 4);
  const auto faulty = [](std::uint64_t, std::uint64_t worker) {
    return worker == 3;
  };
  fleet.Run(seconds(20), 4, faulty);
  EXPECT_TRUE(fleet.scheduler.Allocation({3})->quarantined_until.has_value());
  int failed = 0;
  for (std::uint64_t kind = 0; kind < 4; ++kind) {
    failed += failing_fleet::TotalOf(fleet.failures, kind);
    EXPECT_FALSE(fleet.scheduler.Kinds()[kind].backoff_until.has_value());
  }
  EXPECT_LT(failed, 20);
  EXPECT_TRUE(fleet.refused.empty());

  // After a repair the worker passes probation and gets work again.
  fleet.Run(seconds(60), 4, [](std::uint64_t, std::uint64_t) { return false; });
  EXPECT_FALSE(fleet.scheduler.Allocation({3})->probation);
  EXPECT_GT((fleet.successes[{0, 3}]), 3);
}

// Guards against a faulty worker that stays undetected because only one kind
// runs, so that failures cannot be compared across kinds.
TEST(BatchFailureTest, QuarantinesWithASingleKind) {
  failing_fleet fleet(6, 1);
  fleet.Run(seconds(20), 1,
            [](std::uint64_t, std::uint64_t worker) { return worker == 3; });
  EXPECT_TRUE(fleet.scheduler.Allocation({3})->probation);
  EXPECT_GT(failing_fleet::TotalOf(fleet.successes, 0), 100);
}

// Guards against unlimited attempts of a broken task, against a task that
// avoids the only worker and blocks its queue, and against immediate retries on
// a worker that refuses to start tasks.
TEST(BatchFailureTest, LimitsRetriesOfFailedTasks) {
  failing_fleet fleet(8, 1);
  fleet.Submit(1, "0");
  for (int i = 0; i < 600 && fleet.refused.empty(); ++i) {
    if (fleet.running.contains(1)) {
      fleet.Finish(1, task_result::kFailed);
    }
    fleet.Advance(seconds(1));
  }
  EXPECT_EQ(fleet.refused.at(1).reason, task_refusal::kTooManyFailures);

  // A task that avoids the only worker does not block others of its kind.
  failing_fleet single_worker(1, 1);
  for (std::uint64_t task = 1; task <= 5; ++task) {
    single_worker.Submit(task, "0");
  }
  single_worker.Finish(1, task_result::kFailed);
  EXPECT_TRUE(single_worker.running.contains(5));
  EXPECT_FALSE(single_worker.running.contains(1));

  failing_fleet not_started_fleet(1, 1);
  not_started_fleet.Submit(1, "0");
  not_started_fleet.Finish(1, task_result::kNotStarted);
  EXPECT_TRUE(not_started_fleet.running.empty());
  not_started_fleet.Advance(seconds(2));
  EXPECT_EQ(not_started_fleet.running.at(1).attempt, 2U);
}

// Guards against a backoff that does not grow or is not reset by a success, and
// against failures on a faulty worker that count against the kind.
TEST(BatchFailureTest, BackoffGrowsAndResetsOnSuccess) {
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
