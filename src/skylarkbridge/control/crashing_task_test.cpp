// Directed tests of tasks that crash each worker that starts them: they must
// not crash worker after worker, and no other job may be given up for them.

#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The body of a job is described at platform_fake::DecodeJob. A worker has 4000
// millicores, so that eight tasks of 500 fill it.

constexpr jobs::job_id kCrashingJob{0x10};
constexpr jobs::job_id kInnocentJob{0x20};
/// Time after which the starts of a crashing task have to be over.
constexpr seconds kLongTime{120};

jobs::task_ref Task(jobs::job_id job, std::uint32_t index) {
  return {.job = job, .index = index};
}

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

std::unique_ptr<virtual_fleet> StartedFleet(
    const virtual_fleet::options& options) {
  auto fleet = std::make_unique<virtual_fleet>(options);
  fleet->Advance(seconds(5));
  return fleet;
}

/// The state of a job that a running VM tells; nullopt without an answer.
std::optional<jobs::reported_state> StateOf(virtual_fleet& fleet,
                                            jobs::job_id job) {
  std::size_t vm = 0;
  while (!fleet.Running(vm)) {
    ++vm;
  }
  const std::uint64_t token = fleet.Send(vm, caller_method::kQuery, job);
  fleet.Advance(seconds(3));
  const caller_answer* const answer = fleet.AnswerTo(token);
  return answer == nullptr || answer->kind != answer_kind::kState
             ? std::nullopt
             : std::optional(answer->state);
}

/// Advances until the task has crashed that many workers.
testing::AssertionResult CrashesWithin(virtual_fleet& fleet,
                                       const jobs::task_ref& task,
                                       int crashes,
                                       milliseconds limit) {
  constexpr milliseconds kStep{20};
  for (milliseconds waited{}; waited < limit; waited += kStep) {
    if (fleet.Checker().Crashes(task) >= crashes) {
      return testing::AssertionSuccess();
    }
    fleet.Advance(kStep);
  }
  return testing::AssertionFailure() << jobs::Format(task) << " has crashed "
                                     << fleet.Checker().Crashes(task);
}

/// Expects that the crashing job is given up.
void ExpectGivenUp(virtual_fleet& fleet) {
  fleet.Advance(kLongTime);
  EXPECT_EQ(StateOf(fleet, kCrashingJob), jobs::reported_state::kFailed);
  EXPECT_EQ(Violations(fleet), "");
}

// Guards against a task that is started on one worker after the other and
// crashes each.
TEST(CrashingTaskTest, DoesNotCrashWorkerAfterWorker) {
  auto fleet = StartedFleet({.workers = 6});
  fleet->Submit(0, kCrashingJob, "500 600000 0 1 crash=300");
  ExpectGivenUp(*fleet);
}

// As above, when the workers come back under other names.
TEST(CrashingTaskTest, DoesNotCrashWorkersThatReturnUnderNewNames) {
  auto fleet = StartedFleet({.workers = 6, .returns_under_new_id = true});
  fleet->Submit(0, kCrashingJob, "500 600000 0 1 crash=300");
  ExpectGivenUp(*fleet);
}

// As above, when the worker crashes before it answers the order.
TEST(CrashingTaskTest, DoesNotCrashWorkersThatNeverConfirmTheStart) {
  auto fleet = StartedFleet({.workers = 6});
  fleet->Submit(0, kCrashingJob, "500 600000 0 1 crash=0");
  ExpectGivenUp(*fleet);
}

// As above, when the worker crashes long after the start.
TEST(CrashingTaskTest, DoesNotCrashWorkersLongAfterTheStart) {
  auto fleet = StartedFleet({.workers = 6});
  fleet->Submit(0, kInnocentJob, "500 2000 0 200");
  fleet->Submit(0, kCrashingJob, "500 600000 0 1 crash=8000");
  ExpectGivenUp(*fleet);
  EXPECT_EQ(StateOf(*fleet, kInnocentJob), jobs::reported_state::kCompleted);
}

// As above, with a task that would run until its job is cancelled.
TEST(CrashingTaskTest, ALongRunningTaskDoesNotCrashWorkerAfterWorker) {
  auto fleet = StartedFleet({.workers = 6});
  fleet->Submit(0, kCrashingJob, "-500 600000 0 1 crash=300");
  ExpectGivenUp(*fleet);
}

// Guards against starts without end of a job with more than one such task.
TEST(CrashingTaskTest, SeveralTasksOfOneJobDoNotCrashWorkerAfterWorker) {
  auto fleet = StartedFleet({.workers = 6});
  fleet->Submit(0, kCrashingJob, "500 600000 0 8 crash=300 crashers=4");
  ExpectGivenUp(*fleet);
}

// Guards against counts of crashes that end with the owner that saw them.
TEST(CrashingTaskTest, ATakeoverDoesNotForgetTheCrashes) {
  auto fleet = StartedFleet({.vms = 4, .workers = 6});
  fleet->Submit(0, kCrashingJob, "500 600000 0 1 crash=300");
  for (int crashes = 1; crashes <= 2; ++crashes) {
    ASSERT_TRUE(
        CrashesWithin(*fleet, Task(kCrashingJob, 0), crashes, seconds(60)));
    fleet->Advance(seconds(4));
    fleet->KillVm(*fleet->Owner());
  }
  ExpectGivenUp(*fleet);
}

// As above, when the owner dies while the crashed worker is away, so that no
// owner learns under which task it has crashed.
TEST(CrashingTaskTest, AnOwnerThatDiesWithTheWorkerCostsOneCrash) {
  auto fleet = StartedFleet({.vms = 4, .workers = 6});
  fleet->Submit(0, kCrashingJob, "500 600000 0 1 crash=300");
  for (int crashes = 1; crashes <= 2; ++crashes) {
    ASSERT_TRUE(
        CrashesWithin(*fleet, Task(kCrashingJob, 0), crashes, seconds(60)));
    fleet->KillVm(*fleet->Owner());
  }
  ExpectGivenUp(*fleet);
}

// Guards against giving up the jobs whose tasks run beside a crashing task.
TEST(CrashingTaskTest, ItsNeighboursAreNotGivenUp) {
  auto fleet = StartedFleet({.workers = 4});
  fleet->Submit(0, kInnocentJob, "500 3000 0 150");
  for (std::uint64_t number = 0; number < 4; ++number) {
    fleet->Submit(0, jobs::job_id{kCrashingJob.value + number},
                  "500 600000 0 1 crash=300");
  }
  ExpectGivenUp(*fleet);
  EXPECT_EQ(StateOf(*fleet, kInnocentJob), jobs::reported_state::kCompleted);
}

// As above, for tasks that run until their job is cancelled.
TEST(CrashingTaskTest, LongRunningNeighboursRunOn) {
  auto fleet = StartedFleet({.workers = 4});
  fleet->Submit(0, kInnocentJob, "-500 600000 0 20");
  fleet->Advance(seconds(5));
  for (std::uint64_t number = 0; number < 4; ++number) {
    fleet->Submit(0, jobs::job_id{kCrashingJob.value + number},
                  "500 600000 0 1 crash=300");
  }
  ExpectGivenUp(*fleet);
  EXPECT_EQ(StateOf(*fleet, kInnocentJob), jobs::reported_state::kRunning);
  for (std::uint32_t index = 0; index < 20; ++index) {
    EXPECT_TRUE(fleet->Checker().Running(Task(kInnocentJob, index))) << index;
  }
}

/// Crashes the worker of a task after it has run there for some time, and
/// starts the worker again.
testing::AssertionResult CrashWorkerOf(virtual_fleet& fleet,
                                       const jobs::task_ref& task,
                                       milliseconds run_time) {
  constexpr milliseconds kStep{20};
  constexpr int kMaxSteps = 1000;
  for (int step = 0; step < kMaxSteps && !fleet.Checker().Running(task);
       ++step) {
    fleet.Advance(kStep);
  }
  fleet.Advance(run_time);
  const std::string worker = fleet.Checker().WorkerOf(task);
  if (worker.empty()) {
    return testing::AssertionFailure() << jobs::Format(task) << " is away";
  }
  fleet.CrashWorker(worker);
  fleet.Advance(seconds(2));
  fleet.StartWorker(worker);
  return testing::AssertionSuccess();
}

// Guards against giving up a task whose workers often crash for another reason,
// although it has run for seconds between these crashes.
TEST(CrashingTaskTest, ATaskThatRunsOnBetweenCrashesIsNotGivenUp) {
  auto fleet = StartedFleet({.workers = 4});
  fleet->Submit(0, kInnocentJob, "-500 600000 0 1");
  for (int round = 0; round < 5; ++round) {
    ASSERT_TRUE(
        CrashWorkerOf(*fleet, Task(kInnocentJob, 0), milliseconds(100)));
    ASSERT_TRUE(CrashWorkerOf(*fleet, Task(kInnocentJob, 0), seconds(5)));
  }
  fleet->Advance(seconds(20));
  EXPECT_EQ(StateOf(*fleet, kInnocentJob), jobs::reported_state::kRunning);
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against giving up a task whose workers crash for another reason.
TEST(CrashingTaskTest, ATaskOnTwoWorkersThatCrashIsNotGivenUp) {
  auto fleet = StartedFleet({.workers = 4});
  fleet->Submit(0, kInnocentJob, "500 20000 0 1");
  for (int crashes = 0; crashes < 2; ++crashes) {
    std::string worker;
    for (int step = 0; step < 1000 && worker.empty(); ++step) {
      fleet->Advance(milliseconds(20));
      worker = fleet->Checker().WorkerOf(Task(kInnocentJob, 0));
    }
    ASSERT_NE(worker, "");
    fleet->CrashWorker(worker);
    fleet->Advance(seconds(2));
    fleet->StartWorker(worker);
  }
  fleet->Advance(seconds(60));
  EXPECT_EQ(StateOf(*fleet, kInnocentJob), jobs::reported_state::kCompleted);
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against counting a worker that is cut off as crashed.
TEST(CrashingTaskTest, AWorkerThatIsCutOffHasNotCrashed) {
  auto fleet = StartedFleet({.workers = 4});
  fleet->Submit(0, kInnocentJob, "500 30000 0 1");
  for (int cuts = 0; cuts < 4; ++cuts) {
    fleet->Advance(seconds(1));
    const std::string worker = fleet->Checker().WorkerOf(Task(kInnocentJob, 0));
    ASSERT_NE(worker, "");
    fleet->CutFromWorker(*fleet->Owner(), worker, true);
    fleet->Advance(seconds(8));
    fleet->CutFromWorker(*fleet->Owner(), worker, false);
    fleet->Advance(seconds(2));
  }
  fleet->Advance(seconds(60));
  EXPECT_EQ(StateOf(*fleet, kInnocentJob), jobs::reported_state::kCompleted);
  EXPECT_EQ(Violations(*fleet), "");
}

// Guards against a job that is given up because its workers were cut off from
// the VMs and the store, and left the list of workers: they had not crashed,
// and reported its lapsed runs later.
TEST(CrashingTaskTest, AWorkerThatIsCutOffFromAllHasNotCrashed) {
  for (const char* const body : {"-500 600000 0 1", "500 30000 0 1"}) {
    SCOPED_TRACE(body);
    auto fleet = StartedFleet({.workers = 4});
    fleet->Submit(0, kInnocentJob, body);
    std::string last;
    for (int cuts = 0; cuts < 6; ++cuts) {
      std::string worker = last;
      for (int step = 0; step < 1000 && (worker == last || worker.empty());
           ++step) {
        fleet->Advance(milliseconds(20));
        worker = fleet->Checker().WorkerOf(Task(kInnocentJob, 0));
      }
      ASSERT_NE(worker, last) << "after " << cuts << " cuts";
      fleet->Advance(milliseconds(100));
      fleet->CutOffWorker(worker);
      if (!last.empty()) {
        fleet->ReconnectWorker(last);
      }
      last = worker;
    }
    fleet->ReconnectWorker(last);
    fleet->Advance(seconds(60));
    const auto state = StateOf(*fleet, kInnocentJob);
    EXPECT_NE(state, jobs::reported_state::kFailed);
    EXPECT_EQ(Violations(*fleet), "");
  }
}

}  // namespace
}  // namespace skylarkbridge::control
