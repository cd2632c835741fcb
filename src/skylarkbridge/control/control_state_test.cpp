#include "skylarkbridge/control/control_state.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0xabc};

std::string Broken(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// A fleet with an owner and all workers accounted for.
std::unique_ptr<virtual_fleet> StartedFleet(virtual_fleet::options options) {
  auto fleet = std::make_unique<virtual_fleet>(options);
  fleet->Advance(seconds(2));
  return fleet;
}

// The whole path: a job that is accepted has to end, and every VM has to say
// so.
TEST(ControlStateTest, RunsAJobFromTheCallerToItsEnd) {
  auto fleet = StartedFleet({});
  ASSERT_TRUE(fleet->Owner());
  const std::uint64_t submitted = fleet->Submit(0, kJob, "500 300 0 3 2");
  fleet->Advance(seconds(2));
  ASSERT_NE(fleet->AnswerTo(submitted), nullptr);
  EXPECT_EQ(fleet->AnswerTo(submitted)->kind, answer_kind::kAccepted);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    const std::uint64_t query = fleet->Send(vm, caller_method::kQuery, kJob);
    fleet->Advance(milliseconds(50));
    ASSERT_NE(fleet->AnswerTo(query), nullptr);
    EXPECT_EQ(fleet->AnswerTo(query)->state, jobs::reported_state::kCompleted);
  }
  EXPECT_EQ(Broken(*fleet), "");
}

// A job that fails must not start more often than the queue allows.
TEST(ControlStateTest, GivesAFailingJobUpAfterItsAttempts) {
  auto fleet = StartedFleet({.max_attempts = 2});
  fleet->Submit(0, kJob, "500 100 9 1");
  fleet->Advance(seconds(3));
  EXPECT_EQ(fleet->Cell(0).Registry().Report(kJob),
            jobs::reported_state::kFailed);
  EXPECT_EQ(Broken(*fleet), "");
}

// Failed runs that several workers list after a takeover, in any order, have
// each to count: only the highest run was counted, and a fourth one started.
TEST(ControlStateTest, CountsFailedRunsOverATakeover) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    auto fleet = StartedFleet({.vms = 2, .seed = seed, .max_attempts = 3});
    const std::size_t owner = *fleet->Owner();
    fleet->Submit(1 - owner, kJob, "3000 200 9 1");
    fleet->Advance(milliseconds(60));
    fleet->CutFromStore(owner, true);
    fleet->Advance(seconds(12));
    EXPECT_EQ(fleet->Cell(1 - owner).Registry().Report(kJob),
              jobs::reported_state::kFailed)
        << "seed " << seed;
    EXPECT_EQ(Broken(*fleet), "") << "seed " << seed;
  }
}

// The death of the owner must neither lose nor repeat work.
TEST(ControlStateTest, ASuccessorAdoptsWhatRuns) {
  auto fleet = StartedFleet({});
  fleet->Submit(0, kJob, "500 4000 0 6");
  fleet->Advance(milliseconds(500));
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(seconds(6));
  EXPECT_TRUE(fleet->Owner());
  EXPECT_TRUE(fleet->Checker().Done(kJob));
  EXPECT_EQ(Broken(*fleet), "");
}

// A planned stop hands over at once instead of by silence.
TEST(ControlStateTest, AStopHandsTheOwnershipOver) {
  auto fleet = StartedFleet({});
  const std::size_t first = *fleet->Owner();
  fleet->StopVm(first);
  fleet->Advance(milliseconds(900));
  EXPECT_TRUE(fleet->Control(first).Settled());
  ASSERT_TRUE(fleet->Owner());
  EXPECT_NE(*fleet->Owner(), first);
}

// A VM that can't read the store must not take its own blindness for the
// owner's silence, and its claim must not count when the cut ends.
TEST(ControlStateTest, ACutOffVmDoesNotClaim) {
  auto fleet = StartedFleet({});
  const std::size_t owner = *fleet->Owner();
  const std::size_t other = owner == 0 ? 1 : 0;
  const jobs::epoch before = fleet->Cell(owner).Scheduler().Own();
  fleet->CutFromStore(other, true);
  fleet->Advance(seconds(6));
  fleet->CutFromStore(other, false);
  fleet->Advance(seconds(3));
  EXPECT_EQ(fleet->Owner(), owner);
  EXPECT_EQ(fleet->Cell(owner).Scheduler().Own(), before);
}

// While the store is down a request is refused at once, as not run, and the VM
// accepts again soon after the store is back.
TEST(ControlStateTest, RefusesWhileTheStoreIsDownAndRecovers) {
  auto fleet = StartedFleet({});
  fleet->SetStoreDown(true);
  fleet->Submit(0, jobs::job_id{1}, "500 100 0 1");
  fleet->Advance(seconds(4));
  // One request at a time tries the store; the next one has to wait for it.
  fleet->Submit(0, jobs::job_id{2}, "500 100 0 1");
  const std::uint64_t refused =
      fleet->Submit(0, jobs::job_id{3}, "500 100 0 1");
  fleet->Advance(milliseconds(50));
  ASSERT_NE(fleet->AnswerTo(refused), nullptr);
  EXPECT_EQ(fleet->AnswerTo(refused)->kind, answer_kind::kNotRun);
  EXPECT_TRUE(fleet->AnswerTo(refused)->retry_after);
  fleet->SetStoreDown(false);
  fleet->Advance(seconds(2));
  const std::uint64_t again = fleet->Submit(0, jobs::job_id{4}, "500 100 0 1");
  fleet->Advance(milliseconds(300));
  ASSERT_NE(fleet->AnswerTo(again), nullptr);
  EXPECT_EQ(fleet->AnswerTo(again)->kind, answer_kind::kAccepted);
}

// A request that was answered as uncertain may be stored, so a repeat of it
// must not be answered as not run while the store is still away.
TEST(ControlStateTest, ARepeatOfAnUncertainRequestIsNotReportedAsNotRun) {
  auto fleet = StartedFleet({});
  fleet->SetStoreDown(true);
  const std::uint64_t first = fleet->Submit(0, kJob, "500 100 0 1");
  fleet->Advance(seconds(4));
  ASSERT_NE(fleet->AnswerTo(first), nullptr);
  ASSERT_EQ(fleet->AnswerTo(first)->kind, answer_kind::kUncertain);
  // Keeps the attempt that finds out whether the store is back busy.
  fleet->Submit(0, jobs::job_id{2}, "500 100 0 1");
  const std::uint64_t repeat = fleet->Submit(0, kJob, "500 100 0 1");
  fleet->Advance(milliseconds(50));
  ASSERT_NE(fleet->AnswerTo(repeat), nullptr);
  EXPECT_EQ(fleet->AnswerTo(repeat)->kind, answer_kind::kUncertain);
  EXPECT_TRUE(fleet->AnswerTo(repeat)->retry_after);
}

// Work that runs goes on over an outage of the store.
TEST(ControlStateTest, LeasesOutliveAnOutageOfTheStore) {
  auto fleet = StartedFleet({});
  fleet->Submit(0, kJob, "500 6000 0 4");
  fleet->Advance(milliseconds(300));
  fleet->SetStoreDown(true);
  fleet->Advance(seconds(5));
  fleet->SetStoreDown(false);
  fleet->Advance(seconds(3));
  EXPECT_TRUE(fleet->Checker().Done(kJob));
  EXPECT_EQ(Broken(*fleet), "");
}

// A cancelled job's tasks stop, and none starts afterwards.
TEST(ControlStateTest, CancelsAJob) {
  auto fleet = StartedFleet({});
  fleet->Submit(0, kJob, "500 60000 0 4");
  fleet->Advance(milliseconds(500));
  const std::uint64_t cancel = fleet->Send(1, caller_method::kCancel, kJob);
  fleet->Advance(seconds(1));
  ASSERT_NE(fleet->AnswerTo(cancel), nullptr);
  EXPECT_EQ(fleet->AnswerTo(cancel)->kind, answer_kind::kCancelled);
  const std::size_t owner = *fleet->Owner();
  for (const auto& [id, worker] : fleet->Cell(owner).Scheduler().Workers()) {
    EXPECT_TRUE(worker.runs.empty()) << id;
  }
}

// A job that no VM knows gets 410 only after a fresh read of the log.
TEST(ControlStateTest, SaysThatAJobDoesNotExistFromAFreshRead) {
  auto fleet = StartedFleet({});
  const std::uint64_t known = fleet->Send(0, caller_method::kQuery, kJob);
  fleet->Advance(milliseconds(100));
  ASSERT_NE(fleet->AnswerTo(known), nullptr);
  EXPECT_EQ(fleet->AnswerTo(known)->kind, answer_kind::kNoJob);
  fleet->CutFromStore(0, true);
  const std::uint64_t blind = fleet->Send(0, caller_method::kQuery, kJob);
  fleet->Advance(seconds(2));
  ASSERT_NE(fleet->AnswerTo(blind), nullptr);
  EXPECT_EQ(fleet->AnswerTo(blind)->kind, answer_kind::kNotRun);
}

// A worker that crashes loses its runs; they start again, and not before its
// lease is over.
TEST(ControlStateTest, RestartsTheTasksOfACrashedWorker) {
  auto fleet = StartedFleet({});
  fleet->Submit(0, kJob, "900 3000 0 8");
  fleet->Advance(milliseconds(500));
  fleet->CrashWorker("w1");
  fleet->Advance(seconds(14));
  EXPECT_TRUE(fleet->Checker().Done(kJob));
  EXPECT_EQ(Broken(*fleet), "");
}

// An owner that is cut off together with a part of the workers must not start
// the tasks of the others again: its successor keeps them running.
TEST(ControlStateTest, ACutOffOwnerDoesNotRestartWhatItsSuccessorKeeps) {
  auto fleet = StartedFleet({.worker_millicores = 8000});
  const std::size_t owner = *fleet->Owner();
  fleet->Submit(owner, kJob, "500 30000 0 8");
  fleet->Advance(milliseconds(500));
  fleet->CutFromWorker(owner, "w0", true);
  fleet->CutFromWorker(owner, "w1", true);
  fleet->Advance(milliseconds(2200));
  fleet->CutFromStore(owner, true);
  for (const char* const worker : {"w2", "w3"}) {
    for (std::size_t vm = 0; vm < 3; ++vm) {
      fleet->CutFromWorker(vm, worker, vm != owner);
    }
  }
  fleet->Advance(seconds(14));
  EXPECT_EQ(Broken(*fleet), "");
}

// The history that a VM needs may be gone at any time.
TEST(ControlStateTest, ReadsASnapshotWhenTheHistoryIsGone) {
  auto fleet = StartedFleet({});
  fleet->CutFromStore(0, true);
  fleet->Submit(1, kJob, "500 300 0 2");
  fleet->Advance(seconds(2));
  fleet->TrimStore();
  fleet->CutFromStore(0, false);
  fleet->Advance(seconds(3));
  EXPECT_EQ(fleet->Cell(0).Registry().Report(kJob),
            jobs::reported_state::kCompleted);
}

// Cells spread over the VMs, and each VM answers for the jobs of all of them.
TEST(ControlStateTest, SpreadsTheCellsOverTheVms) {
  auto fleet = StartedFleet({.vms = 4, .workers = 8, .cells = 4});
  for (std::size_t vm = 0; vm < 4; ++vm) {
    EXPECT_EQ(fleet->Control(vm).CellsOwned(), 1U) << "VM " << vm;
  }
  for (std::uint64_t id = 1; id <= 20; ++id) {
    fleet->Submit(id % 4, jobs::job_id{id}, "500 300 0 2 1");
  }
  fleet->Advance(seconds(4));
  for (std::uint64_t id = 1; id <= 20; ++id) {
    const std::uint64_t query =
        fleet->Send((id + 1) % 4, caller_method::kQuery, jobs::job_id{id});
    fleet->Advance(milliseconds(50));
    ASSERT_NE(fleet->AnswerTo(query), nullptr);
    EXPECT_EQ(fleet->AnswerTo(query)->state, jobs::reported_state::kCompleted);
  }
  EXPECT_EQ(Broken(*fleet), "");
}

// The cells of a VM that dies go to others, and their jobs go on.
TEST(ControlStateTest, TheCellsOfADeadVmAreTakenOver) {
  auto fleet = StartedFleet({.vms = 3, .workers = 8, .cells = 3});
  const std::size_t dead = *fleet->Owner(1);
  for (std::uint64_t id = 1; id <= 12; ++id) {
    fleet->Submit((dead + 1) % 3, jobs::job_id{id}, "500 4000 0 2");
  }
  fleet->Advance(milliseconds(500));
  fleet->KillVm(dead);
  fleet->Advance(seconds(7));
  for (jobs::cell_id cell = 0; cell < 3; ++cell) {
    ASSERT_TRUE(fleet->Owner(cell)) << "cell " << cell;
  }
  for (std::uint64_t id = 1; id <= 12; ++id) {
    EXPECT_TRUE(fleet->Checker().Done(jobs::job_id{id})) << id;
  }
  EXPECT_EQ(Broken(*fleet), "");
}

// The division is written once: a fleet whose VMs all start again keeps it,
// though another number of workers is listed by then.
TEST(ControlStateTest, KeepsTheDivisionOverARestartOfAllVms) {
  auto fleet = StartedFleet({.vms = 2, .workers = 8, .cells = 2});
  fleet->Submit(0, kJob, "500 300 0 2");
  fleet->Advance(seconds(2));
  for (int worker = 0; worker < 5; ++worker) {
    fleet->CrashWorker(absl::StrCat("w", worker));
  }
  fleet->Advance(seconds(4));
  for (std::size_t vm = 0; vm < 2; ++vm) {
    fleet->KillVm(vm);
    fleet->StartVm(vm);
  }
  fleet->Advance(seconds(3));
  ASSERT_EQ(fleet->Control(0).Cells().size(), 2U);
  EXPECT_EQ(fleet->Control(0).HomeOf(kJob).Registry().Report(kJob),
            jobs::reported_state::kCompleted);
}

// A state that another VM has moved on must not be told from an old fold, and
// must be told from it when the log can't be read.
TEST(ControlStateTest, TellsAFreshStateWhileTheLogCanBeRead) {
  auto fleet = StartedFleet({});
  const std::size_t asked = *fleet->Owner() == 0 ? 1 : 0;
  fleet->Submit(*fleet->Owner(), kJob, "500 400 0 1");
  fleet->Advance(milliseconds(300));
  ASSERT_TRUE(fleet->Control(asked).HomeOf(kJob).Registry().Find(kJob));
  fleet->CutFromStore(asked, true);
  const std::uint64_t blind = fleet->Send(asked, caller_method::kQuery, kJob);
  fleet->Advance(seconds(1));
  ASSERT_NE(fleet->AnswerTo(blind), nullptr);
  EXPECT_EQ(fleet->AnswerTo(blind)->state, jobs::reported_state::kRunning);
  fleet->CutFromStore(asked, false);
  fleet->Advance(milliseconds(600));
  const std::uint64_t query = fleet->Send(asked, caller_method::kQuery, kJob);
  fleet->Advance(milliseconds(50));
  ASSERT_NE(fleet->AnswerTo(query), nullptr);
  EXPECT_EQ(fleet->AnswerTo(query)->state, jobs::reported_state::kCompleted);
}

// Long-running jobs whose ids all have the same home must not fill its cell
// while the others have room: tasks waited there for good.
TEST(ControlStateTest, SpreadsLongRunningJobsOverTheCells) {
  auto fleet = StartedFleet({.vms = 3, .workers = 6, .cells = 3});
  std::vector<jobs::job_id> jobs;
  const fleet_cell<platform_fake>& home = fleet->Cell(0, 0);
  for (std::uint64_t id = 1; jobs.size() < 6; ++id) {
    if (&fleet->Control(0).HomeOf(jobs::job_id{id}) == &home) {
      jobs.push_back(jobs::job_id{id});
    }
  }
  for (const jobs::job_id job : jobs) {
    fleet->Submit(job.value % 3, job, "-3000 900 0 1");
    fleet->Advance(milliseconds(400));
  }
  fleet->Advance(seconds(1));
  for (const jobs::job_id job : jobs) {
    const std::uint64_t query = fleet->Send(0, caller_method::kQuery, job);
    fleet->Advance(milliseconds(50));
    ASSERT_NE(fleet->AnswerTo(query), nullptr);
    EXPECT_EQ(fleet->AnswerTo(query)->state, jobs::reported_state::kRunning);
  }
  // Their cancels are stored at the home and stop them where they run.
  for (const jobs::job_id job : jobs) {
    fleet->Send(1, caller_method::kCancel, job);
  }
  fleet->Advance(seconds(2));
  for (jobs::cell_id cell = 0; cell < 3; ++cell) {
    for (const auto& [id, worker] :
         fleet->Cell(*fleet->Owner(cell), cell).Scheduler().Workers()) {
      EXPECT_TRUE(worker.runs.empty()) << id;
    }
  }
  EXPECT_EQ(Broken(*fleet), "");
}

// A VM that has just started has read no job yet, and must not say that none
// waits: weak VMs of a large fleet take seconds to read the logs.
TEST(ControlStateTest, CountsWaitingJobsOnlyFromCompleteLogs) {
  auto fleet = StartedFleet({.vms = 2, .workers = 1, .worker_millicores = 100});
  for (std::uint64_t id = 1; id <= 12; ++id) {
    fleet->Submit(0, jobs::job_id{id}, "500 300 0 1");
  }
  fleet->Advance(seconds(1));
  fleet->KillVm(1);
  fleet->StartVm(1);
  std::optional<std::size_t> told;
  for (int round = 0; round < 200 && !told; ++round) {
    fleet->Advance(milliseconds(2));
    const std::uint64_t query = fleet->QueryPendingCount(1);
    fleet->Advance(milliseconds(1));
    if (const caller_answer* const answer = fleet->AnswerTo(query);
        answer != nullptr && answer->kind == answer_kind::kPending) {
      told = answer->pending;
    }
  }
  EXPECT_EQ(told, 12U);
}

// The logs of all cells at once were too much for a weak VM's link: no read
// came in within its limit, and the VM answered nothing for good.
TEST(ControlStateTest, ReadsTheLogsOfTheCellsOneAfterTheOther) {
  auto fleet = StartedFleet({.vms = 2, .workers = 8, .cells = 4});
  for (std::uint64_t id = 1; id <= 40; ++id) {
    fleet->Submit(0, jobs::job_id{id}, "500 300 0 1");
  }
  fleet->Advance(seconds(1));
  fleet->KillVm(1);
  fleet->StartVm(1);
  fleet->Advance(seconds(1));
  EXPECT_TRUE(fleet->Control(1).Ready(fleet->Now()));
  EXPECT_EQ(fleet->MaxConcurrentSnapshots(1), 1);
}

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* const text = std::getenv(name);
  return text == nullptr ? otherwise : std::stoull(text);
}

/// One random schedule of faults; every other one with two cells.
void Explore(std::uint64_t seed) {
  SCOPED_TRACE(testing::Message() << "seed " << seed);
  virtual_fleet fleet(
      {.vms = 3, .workers = 4, .seed = seed, .cells = 1 + seed % 2});
  fleet.Advance(seconds(2));
  std::mt19937_64& random = fleet.Random();
  const auto draw = [&random](std::uint64_t below) { return random() % below; };
  std::uint64_t job = 0;
  for (int round = 0; round < 12; ++round) {
    for (std::uint64_t count = draw(3); count > 0; --count) {
      fleet.Submit(
          draw(3), jobs::job_id{++job},
          draw(8) == 0
              ? std::string("-300 5000 1 2")
              : absl::StrCat(300 + 100 * draw(20), " ", 100 + draw(1500), " ",
                             draw(3), " ", 1 + draw(4), " ", 1 + draw(3)));
    }
    const std::size_t vm = draw(3);
    const std::string worker = absl::StrCat("w", draw(4));
    switch (draw(9)) {
      case 0:
        fleet.KillVm(vm);
        break;
      case 1:
        fleet.CutFromStore(vm, true);
        break;
      case 2:
        fleet.CutFromWorkers(vm, true);
        break;
      case 3:
        fleet.SetLostAnswerShare(0.1);
        break;
      case 4:
        fleet.CrashWorker(worker);
        break;
      case 5:
        fleet.SetStoreDown(true);
        break;
      case 6:
        fleet.TrimStore();
        break;
      case 7:
        if (fleet.Running(vm)) {
          fleet.StopVm(vm);
        }
        break;
      default:
        break;
    }
    fleet.Advance(milliseconds(200 + draw(2500)));
    if (draw(2) == 0) {
      fleet.SetStoreDown(false);
      fleet.SetLostAnswerShare(0);
      for (std::size_t each = 0; each < 3; ++each) {
        fleet.CutFromStore(each, false);
        fleet.CutFromWorkers(each, false);
        if (!fleet.Running(each)) {
          fleet.StartVm(each);
        }
      }
      if (!fleet.Worker(worker).Up()) {
        fleet.StartWorker(worker);
      }
    }
    ASSERT_EQ(Broken(fleet), "");
  }
  fleet.SetStoreDown(false);
  fleet.SetLostAnswerShare(0);
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet.CutFromStore(vm, false);
    fleet.CutFromWorkers(vm, false);
    fleet.KillVm(vm);
    fleet.StartVm(vm);
  }
  for (int worker = 0; worker < 4; ++worker) {
    const std::string id = absl::StrCat("w", worker);
    if (!fleet.Worker(id).Up()) {
      fleet.StartWorker(id);
    }
  }
  fleet.Advance(seconds(40));
  EXPECT_EQ(Broken(fleet), "");
  for (jobs::cell_id cell = 0; cell < fleet.Control(0).Cells().size(); ++cell) {
    ASSERT_TRUE(fleet.Owner(cell)) << "cell " << cell;
  }
  for (const jobs::job_id accepted : fleet.Checker().Accepted()) {
    const auto& book = fleet.Control(0).HomeOf(accepted).Registry();
    const auto state = book.Report(accepted);
    ASSERT_TRUE(state) << jobs::Format(accepted) << " is lost";
    if (jobs::LongRunningMillicores(book.Find(accepted)->spec) > 0) {
      EXPECT_EQ(*state, jobs::reported_state::kRunning)
          << jobs::Format(accepted) << " does not run";
      continue;
    }
    EXPECT_TRUE(*state == jobs::reported_state::kCompleted ||
                *state == jobs::reported_state::kFailed)
        << jobs::Format(accepted) << " is not over";
  }
}

// Mixtures of faults that nobody thought of.
TEST(ControlStateTest, KeepsItsPromisesUnderRandomFaults) {
  // FIRST_SCHEDULE and LAST_SCHEDULE play others by hand.
  const std::uint64_t first = FromEnvironment("FIRST_SCHEDULE", 1);
  const std::uint64_t last = FromEnvironment("LAST_SCHEDULE", 150);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    Explore(seed);
    if (HasFailure()) {
      break;
    }
  }
}

}  // namespace
}  // namespace skylarkbridge::control
