// Directed tests of the promise that the tasks of a job stop in time after its
// cancellation was acknowledged, on every way that a cancel record can take.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time from the acknowledgement of a cancellation until all tasks of
/// the job are told to stop. Fake workers stop a task at once.
constexpr milliseconds kMaxCancelTime{4000};

/// The body of a long-running job of four tasks, see platform_fake::DecodeJob.
constexpr char kLongRunningJob[] = "-1000 600000 0 4";
constexpr std::uint32_t kTasks = 4;

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// A fleet that has run long enough to have owners that have heard from all
/// workers, and to be calm.
std::unique_ptr<virtual_fleet> StartedFleet(
    const virtual_fleet::options& options) {
  auto fleet = std::make_unique<virtual_fleet>(options);
  fleet->Advance(kCalmTime + seconds(1));
  return fleet;
}

/// Three VMs and three cells, so that each VM owns one.
std::unique_ptr<virtual_fleet> FleetOfThreeCells(std::uint64_t seed = 1) {
  return StartedFleet({.vms = 3, .workers = 9, .seed = seed, .cells = 3});
}

/// As above with one more cell, and with the slowest VMs of the users, which
/// pause longer between two reads.
std::unique_ptr<virtual_fleet> FleetOfSlowVms(std::uint64_t seed) {
  return StartedFleet({.vms = 4,
                       .workers = 12,
                       .seed = seed,
                       .cells = 4,
                       .processor_share = 0.12});
}

/// The first job from number @p first on whose home is @p cell.
jobs::job_id JobWithHome(const virtual_fleet& fleet,
                         jobs::cell_id cell,
                         std::uint64_t first = 1) {
  while (&fleet.Control(0).HomeOf(jobs::job_id{first}) !=
         &fleet.Cell(0, cell)) {
    ++first;
  }
  return jobs::job_id{first};
}

/// The cell that runs the job according to one VM.
jobs::cell_id RunningCell(const virtual_fleet& fleet,
                          std::size_t vm,
                          jobs::job_id job) {
  return fleet.Control(vm).HomeOf(job).Registry().Find(job)->cell;
}

std::size_t CountRunning(const virtual_fleet& fleet, jobs::job_id job) {
  std::size_t running = 0;
  for (std::uint32_t index = 0; index < kTasks; ++index) {
    running += fleet.Checker().Running({.job = job, .index = index}) ? 1 : 0;
  }
  return running;
}

/// A long-running job whose home is @p home and which runs in another cell.
jobs::job_id StartJobInAnotherCell(virtual_fleet& fleet, jobs::cell_id home) {
  const jobs::job_id load = JobWithHome(fleet, home);
  fleet.Submit(0, load, "-500 600000 0 1");
  fleet.Advance(seconds(1));
  const jobs::job_id job = JobWithHome(fleet, home, load.value + 1);
  fleet.Submit(0, job, kLongRunningJob);
  fleet.Advance(seconds(2));
  EXPECT_NE(RunningCell(fleet, 0, job), home);
  EXPECT_EQ(CountRunning(fleet, job), kTasks);
  return job;
}

/// Cancels the job at a VM and returns once the cancellation is acknowledged.
void CancelAndAwaitAnswer(virtual_fleet& fleet,
                          std::size_t vm,
                          jobs::job_id job) {
  const std::uint64_t token = fleet.Send(vm, caller_method::kCancel, job);
  for (int tick = 0; tick < 500 && fleet.AnswerTo(token) == nullptr; ++tick) {
    fleet.Advance(milliseconds(2));
  }
  ASSERT_NE(fleet.AnswerTo(token), nullptr);
  EXPECT_EQ(fleet.AnswerTo(token)->kind, answer_kind::kCancelled);
}

/// Advances by kMaxCancelTime. Succeeds if no task of the job runs in the end.
testing::AssertionResult StopsInTime(virtual_fleet& fleet, jobs::job_id job) {
  constexpr milliseconds kStep{20};
  for (milliseconds waited{}; waited < kMaxCancelTime; waited += kStep) {
    fleet.Advance(kStep);
  }
  if (CountRunning(fleet, job) == 0) {
    return testing::AssertionSuccess();
  }
  milliseconds late{};
  while (late < seconds(30) && CountRunning(fleet, job) > 0) {
    fleet.Advance(kStep);
    late += kStep;
  }
  return testing::AssertionFailure()
         << "tasks run on for " << (kMaxCancelTime + late).count() << " ms";
}

/// Appends a record to the log of each cell and trims it before any VM has read
/// it, so that all VMs have to read snapshots.
void TrimUnreadRecords(virtual_fleet& fleet) {
  const records::keyed_record record =
      records::Encode(jobs::job_cancelled{jobs::job_id{0xffff}});
  for (jobs::cell_id cell = 0; cell < fleet.Control(0).Cells().size(); ++cell) {
    fleet.Store().Put({topic_kind::kJobs, cell}, record.key, record.value);
  }
  fleet.TrimStore();
}

// Guards against a cancellation that does not reach the cell that runs the job:
// it is stored in the log of the home cell.
TEST(CancelPathTest, ReachesTheCellThatRunsTheJob) {
  for (jobs::cell_id home = 0; home < 3; ++home) {
    auto fleet = FleetOfThreeCells(1 + home);
    const jobs::job_id job = StartJobInAnotherCell(*fleet, home);
    CancelAndAwaitAnswer(*fleet, home, job);
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "home " << home;
    EXPECT_EQ(Violations(*fleet), "") << "home " << home;
  }
}

// Guards against a task that starts, or stays, after its job was cancelled
// while the order to start it was under way.
TEST(CancelPathTest, StopsTasksThatAreBeingStarted) {
  for (std::uint64_t delay = 0; delay <= 40; delay += 2) {
    auto fleet = FleetOfThreeCells(1 + delay);
    const jobs::job_id job = JobWithHome(*fleet, 0);
    const std::uint64_t token = fleet->Submit(0, job, kLongRunningJob);
    while (fleet->AnswerTo(token) == nullptr) {
      fleet->Advance(milliseconds(2));
    }
    fleet->Advance(milliseconds(delay));
    CancelAndAwaitAnswer(*fleet, 1, job);
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "delay " << delay;
    fleet->Advance(seconds(2));
    EXPECT_EQ(CountRunning(*fleet, job), 0U) << "delay " << delay;
    EXPECT_EQ(Violations(*fleet), "") << "delay " << delay;
  }
}

// Guards against a run that stays on a worker that drains or is no longer
// listed when the job is cancelled.
TEST(CancelPathTest, StopsRunsOnDrainingAndUnlistedWorkers) {
  for (const bool unlisted : {false, true}) {
    auto fleet = StartedFleet({.workers = 3});
    const jobs::job_id job{1};
    // A batch job that is not stopped when its worker drains.
    fleet->Submit(0, job, "1000 600000 0 4");
    fleet->Advance(seconds(1));
    ASSERT_EQ(CountRunning(*fleet, job), kTasks);
    const std::string worker = fleet->Checker().WorkerOf({.job = job});
    if (unlisted) {
      fleet->Store().Put({topic_kind::kWorkers}, worker, std::nullopt);
    } else {
      fleet->DrainWorker(worker, seconds(20));
    }
    fleet->Advance(milliseconds(500));
    CancelAndAwaitAnswer(*fleet, 0, job);
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "unlisted " << unlisted;
  }
}

// Guards against runs that nobody stops when the owner dies, or stops, after
// the cancellation was acknowledged and before it has read it.
TEST(CancelPathTest, ASuccessorStopsTheRunsOfACancelledJob) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = FleetOfThreeCells(seed);
    const jobs::job_id job = StartJobInAnotherCell(*fleet, seed % 3);
    const std::size_t owner = *fleet->Owner(RunningCell(*fleet, 0, job));
    CancelAndAwaitAnswer(*fleet, (owner + 1) % 3, job);
    if (seed % 2 == 0) {
      fleet->KillVm(owner);
    } else {
      fleet->CutFromStore(owner, true);
      fleet->StopVm(owner);
    }
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "seed " << seed;
    EXPECT_EQ(Violations(*fleet), "") << "seed " << seed;
  }
}

// As above, on slow VMs, which notice later that the owner has died.
TEST(CancelPathTest, ASuccessorOnASlowVmStopsTheRunsOfACancelledJob) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = FleetOfSlowVms(seed);
    const jobs::job_id job = StartJobInAnotherCell(*fleet, seed % 4);
    const std::size_t owner = *fleet->Owner(RunningCell(*fleet, 0, job));
    CancelAndAwaitAnswer(*fleet, (owner + 1) % 4, job);
    fleet->KillVm(owner);
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "seed " << seed;
    EXPECT_EQ(Violations(*fleet), "") << "seed " << seed;
  }
}

// As above, with a worker that leaves at the same time as the owner dies.
TEST(CancelPathTest, ASuccessorStopsTheRunsOfACancelledJobBesideALostWorker) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = FleetOfThreeCells(seed);
    const jobs::job_id job = StartJobInAnotherCell(*fleet, seed % 3);
    const std::size_t owner = *fleet->Owner(RunningCell(*fleet, 0, job));
    const std::string worker = fleet->Checker().WorkerOf({.job = job});
    CancelAndAwaitAnswer(*fleet, (owner + 1) % 3, job);
    fleet->DrainWorker(worker, milliseconds(200));
    fleet->KillVm(owner);
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "seed " << seed;
  }
}

/// A job with the time at which its cancellation was acknowledged.
struct cancelled_job {
  jobs::job_id job;
  std::uint64_t token = 0;
  std::optional<time_point> acknowledged_at;
};

/// Plays random submissions, repeated submissions, cancellations and leaving
/// workers without any fault. Checks that the tasks of each cancelled job stop
/// in time.
void RunCalmSchedule(std::uint64_t seed) {
  SCOPED_TRACE(testing::Message() << "seed " << seed);
  constexpr milliseconds kStep{10};
  constexpr std::size_t kVms = 3;
  constexpr std::size_t kWorkers = 9;
  auto fleet = seed % 2 == 0 ? FleetOfSlowVms(seed) : FleetOfThreeCells(seed);
  std::mt19937_64 random(seed);
  const auto draw = [&random](std::uint64_t below) { return random() % below; };
  std::vector<jobs::job_id> open;
  std::vector<cancelled_job> cancelled;
  std::uint64_t last_job = 0;
  std::size_t left = 0;
  for (time_point end = fleet->Now() + seconds(30); fleet->Now() < end;) {
    if (draw(15) == 0) {
      const jobs::job_id job{++last_job};
      const std::string body = draw(3) == 0 ? "300 600 0 4" : "-300 600000 0 4";
      fleet->Submit(draw(kVms), job, body);
      open.push_back(job);
    }
    if (draw(20) == 0 && !open.empty()) {
      const std::size_t chosen = draw(open.size());
      cancelled.push_back(
          {.job = open[chosen],
           .token =
               fleet->Send(draw(kVms), caller_method::kCancel, open[chosen])});
      open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
    if (draw(500) == 0 && left < kWorkers / 3) {
      fleet->DrainWorker(absl::StrCat("w", left++), seconds(2));
    }
    fleet->Advance(kStep);
    for (cancelled_job& entry : cancelled) {
      const caller_answer* const answer = fleet->AnswerTo(entry.token);
      if (!entry.acknowledged_at && answer != nullptr &&
          answer->kind == answer_kind::kCancelled) {
        entry.acknowledged_at = fleet->Now();
      }
      if (entry.acknowledged_at &&
          fleet->Now() >= *entry.acknowledged_at + kMaxCancelTime) {
        ASSERT_EQ(CountRunning(*fleet, entry.job), 0U)
            << jobs::Format(entry.job);
      }
    }
  }
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a task that runs on after its job was cancelled, on calm
// schedules that no other test covers.
TEST(CancelPathTest, StopsInTimeOnRandomCalmSchedules) {
  for (std::uint64_t seed = 1; seed <= 20 && !HasFailure(); ++seed) {
    RunCalmSchedule(seed);
  }
}

// Guards against a job that is submitted at two VMs at the same time, each of
// which chooses another cell to run it. VMs that read the tail of the log kept
// the first choice, those that read a snapshot after a restart the last one, so
// that two owners ran the job.
TEST(CancelPathTest, AJobSubmittedTwiceRunsInOneCellOnly) {
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    auto fleet = FleetOfThreeCells(seed);
    const jobs::job_id load = JobWithHome(*fleet, 0);
    const jobs::job_id job = JobWithHome(*fleet, 0, load.value + 1);
    // VM 1 counts the load of its own submission before it is stored.
    fleet->Submit(1, load, "-500 600000 0 1");
    fleet->Submit(0, job, kLongRunningJob);
    fleet->Submit(1, job, kLongRunningJob);
    fleet->Advance(seconds(2));
    EXPECT_EQ(CountRunning(*fleet, job), kTasks) << "seed " << seed;
    // A planned restart of all VMs, one after the other.
    for (std::size_t vm = 0; vm < 3; ++vm) {
      fleet->StopVm(vm);
      fleet->Advance(seconds(2));
      fleet->KillVm(vm);
      fleet->StartVm(vm);
      fleet->Advance(seconds(2));
    }
    EXPECT_EQ(Violations(*fleet), "") << "seed " << seed;
    EXPECT_EQ(CountRunning(*fleet, job), kTasks) << "seed " << seed;
    CancelAndAwaitAnswer(*fleet, 1, job);
    EXPECT_TRUE(StopsInTime(*fleet, job)) << "seed " << seed;
  }
}

// Guards against a job that runs on although its cancellation was answered: the
// caller gave up its submission and cancelled at another VM, which answered
// that there is no such job while the append of the submission was under way.
TEST(CancelPathTest, ACancellationAnsweredBeforeItsJobIsStoredStaysInForce) {
  auto fleet = FleetOfThreeCells();
  const jobs::job_id job = JobWithHome(*fleet, 0);
  fleet->SetStoreDelay(milliseconds(150));
  fleet->Submit(0, job, kLongRunningJob);
  fleet->Advance(milliseconds(4));
  fleet->SetStoreDelay(milliseconds(0));
  const std::uint64_t token = fleet->Send(1, caller_method::kCancel, job);
  fleet->Advance(milliseconds(100));
  ASSERT_NE(fleet->AnswerTo(token), nullptr);
  EXPECT_EQ(fleet->AnswerTo(token)->kind, answer_kind::kNoJob);
  EXPECT_TRUE(StopsInTime(*fleet, job));
}

// Guards against an owner that learns of no cancellation for 4 s because one
// answer to a read of a snapshot was lost, after it had missed records that the
// store no longer has.
TEST(CancelPathTest, ALostSnapshotAnswerDoesNotDelayACancellation) {
  auto fleet = StartedFleet({});
  const jobs::job_id job{1};
  fleet->Submit(0, job, kLongRunningJob);
  fleet->Advance(seconds(1));
  ASSERT_EQ(CountRunning(*fleet, job), kTasks);
  const std::size_t owner = *fleet->Owner();
  fleet->LoseSnapshotAnswers(owner, 0, 1);
  TrimUnreadRecords(*fleet);
  fleet->Advance(milliseconds(20));
  CancelAndAwaitAnswer(*fleet, (owner + 1) % 3, job);
  EXPECT_TRUE(StopsInTime(*fleet, job));
}

// As above, where the answers are those to reads of another cell's log:
// snapshots are read one after the other, and that of the owner's own cell came
// last. Two answers are lost, as one that has no answer for long is repeated.
TEST(CancelPathTest, ASnapshotOfAnotherCellDoesNotDelayACancellation) {
  auto fleet = FleetOfThreeCells();
  const jobs::job_id job = JobWithHome(*fleet, 2);
  fleet->Submit(0, job, kLongRunningJob);
  fleet->Advance(seconds(1));
  ASSERT_EQ(CountRunning(*fleet, job), kTasks);
  ASSERT_EQ(RunningCell(*fleet, 0, job), 2U);
  const std::size_t owner = *fleet->Owner(2);
  fleet->LoseSnapshotAnswers(owner, 0, 2);
  TrimUnreadRecords(*fleet);
  fleet->Advance(milliseconds(20));
  CancelAndAwaitAnswer(*fleet, (owner + 1) % 3, job);
  EXPECT_TRUE(StopsInTime(*fleet, job));
}

}  // namespace
}  // namespace skylarkbridge::control
