// Directed tests and seeded random schedules of workers whose capacity changes
// while they run: starts must keep to the capacity that a worker states.
//
// FIRST_SCHEDULE and LAST_SCHEDULE select other seeds of the schedules.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The body of a job is described at platform_fake::DecodeJob. A worker begins
// with 4000 millicores.

constexpr std::int64_t kFullCapacity = 4000;
constexpr jobs::job_id kBatchJob{0x10};
constexpr jobs::job_id kLongRunningJob{0x20};

std::string LimitViolations(const virtual_fleet& fleet) {
  std::vector<std::string> violations;
  for (const std::string& violation : fleet.Checker().Violations()) {
    if (absl::StartsWith(violation, "LIMIT")) {
      violations.push_back(violation);
    }
  }
  return absl::StrJoin(violations, "\n");
}

std::unique_ptr<virtual_fleet> StartedFleet(
    const virtual_fleet::options& options) {
  auto fleet = std::make_unique<virtual_fleet>(options);
  fleet->Advance(seconds(5));
  return fleet;
}

/// Fills the fleet with short tasks that go on for minutes.
void SubmitShortTasks(virtual_fleet& fleet) {
  fleet.Submit(0, kBatchJob, "500 700 0 2000");
  fleet.Advance(seconds(2));
}

std::size_t CountRunning(const virtual_fleet& fleet,
                         jobs::job_id job,
                         std::uint32_t tasks) {
  std::size_t running = 0;
  for (std::uint32_t index = 0; index < tasks; ++index) {
    running += fleet.Checker().Running({.job = job, .index = index}) ? 1 : 0;
  }
  return running;
}

// Guards against starts that keep to the capacity from before it shrank.
TEST(WorkerCapacityTest, StartsKeepToAShrunkCapacity) {
  auto fleet = StartedFleet({.workers = 2});
  SubmitShortTasks(*fleet);
  fleet->SetCapacity("w0", 1000);
  fleet->Advance(seconds(15));
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against starts in room that is less than what is in use.
TEST(WorkerCapacityTest, NothingStartsWhereMoreIsInUse) {
  auto fleet = StartedFleet({.workers = 2});
  fleet->Submit(0, kLongRunningJob, "-1000 600000 0 4 max_per_worker=2");
  fleet->Advance(seconds(1));
  SubmitShortTasks(*fleet);
  fleet->SetCapacity("w0", 1000);
  fleet->Advance(seconds(15));
  EXPECT_EQ(CountRunning(*fleet, kLongRunningJob, 4), 4U);
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against room that stays unused after a worker's capacity has grown.
TEST(WorkerCapacityTest, StartsUseACapacityThatGrowsAgain) {
  auto fleet = StartedFleet({.workers = 1});
  fleet->SetCapacity("w0", 1000);
  fleet->Advance(seconds(1));
  SubmitShortTasks(*fleet);
  ASSERT_LE(CountRunning(*fleet, kBatchJob, 2000), 2U);
  fleet->SetCapacity("w0", kFullCapacity);
  fleet->Advance(seconds(2));
  EXPECT_GE(CountRunning(*fleet, kBatchJob, 2000), 6U);
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against orders without an answer that are repeated although the
// capacity has shrunk meanwhile.
TEST(WorkerCapacityTest, RepeatedOrdersKeepToAShrunkCapacity) {
  auto fleet = StartedFleet({.workers = 2});
  SubmitShortTasks(*fleet);
  fleet->SetLostAnswerShare(0.3);
  fleet->Advance(seconds(1));
  fleet->SetCapacity("w0", 500);
  fleet->SetCapacity("w1", 500);
  fleet->Advance(seconds(15));
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against an owner that takes over with the capacity of before.
TEST(WorkerCapacityTest, ANewOwnerKeepsToAShrunkCapacity) {
  auto fleet = StartedFleet({.workers = 2});
  SubmitShortTasks(*fleet);
  fleet->SetCapacity("w0", 1000);
  fleet->KillVm(*fleet->Owner());
  fleet->Advance(seconds(20));
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against an owner that goes on with the capacity that it read before it
// lost the store.
TEST(WorkerCapacityTest, AnOwnerWithoutTheStoreKeepsToAShrunkCapacity) {
  auto fleet = StartedFleet({.workers = 2});
  SubmitShortTasks(*fleet);
  const std::size_t owner = *fleet->Owner();
  fleet->CutFromStore(owner, true);
  fleet->SetCapacity("w0", 1000);
  fleet->Advance(seconds(20));
  fleet->CutFromStore(owner, false);
  fleet->Advance(seconds(10));
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against the same while the store serves no VM.
TEST(WorkerCapacityTest, StartsKeepToAShrunkCapacityWhileTheStoreIsDown) {
  auto fleet = StartedFleet({.workers = 2});
  SubmitShortTasks(*fleet);
  fleet->SetStoreDown(true);
  fleet->SetCapacity("w0", 1000);
  fleet->Advance(seconds(20));
  fleet->SetStoreDown(false);
  fleet->Advance(seconds(20));
  EXPECT_EQ(LimitViolations(*fleet), "");
}

// Guards against starts on a restarted worker that keep to the capacity of its
// life before.
TEST(WorkerCapacityTest, StartsKeepToTheCapacityOfARestartedWorker) {
  auto fleet = StartedFleet({.workers = 2});
  SubmitShortTasks(*fleet);
  fleet->CrashWorker("w0");
  fleet->Advance(milliseconds(200));
  fleet->SetCapacity("w0", 1000);
  fleet->StartWorker("w0");
  fleet->Advance(seconds(10));
  EXPECT_EQ(LimitViolations(*fleet), "");
}

/// One random schedule. Its draws come from its seed alone.
class capacity_schedule {
 public:
  explicit capacity_schedule(std::uint64_t seed)
      : random_(seed),
        workers_(2 + Draw(4)),
        fleet_({.vms = kVms, .workers = workers_, .seed = seed}) {}

  void Play() {
    fleet_.Advance(seconds(4));
    const std::uint64_t millicores = 250 * (1 + Draw(4));
    const std::uint64_t count = 1 + Draw(2 * workers_);
    Submit(absl::StrCat("-", millicores, " 600000 0 ", count));
    constexpr int kRounds = 12;
    for (int round = 0; round < kRounds; ++round) {
      SubmitBatchJobs();
      ChangeCapacity();
      Disturb();
      fleet_.Advance(milliseconds(100 + Draw(3000)));
      if (Draw(2) == 0) {
        EndFaults();
      }
      fleet_.Advance(milliseconds(500 + Draw(5000)));
    }
  }
  std::string Violations() const { return LimitViolations(fleet_); }
  std::string History() const { return absl::StrJoin(history_, "\n"); }

 private:
  static constexpr std::size_t kVms = 3;

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  void Note(const std::string& what) {
    const auto since_start = fleet_.Now() - time_point(std::chrono::hours(1));
    history_.push_back(absl::StrCat(
        std::chrono::duration_cast<milliseconds>(since_start).count(),
        " ms: ", what));
  }
  void Submit(const std::string& body) {
    const jobs::job_id job{random_()};
    const std::uint64_t vm = Draw(kVms);
    Note(absl::StrCat("submit ", body));
    fleet_.Submit(vm, job, body);
  }
  void SubmitBatchJobs() {
    for (std::uint64_t jobs = 1 + Draw(4); jobs > 0; --jobs) {
      const std::uint64_t millicores = 250 * (1 + Draw(6));
      const std::uint64_t run_time = 200 + Draw(3000);
      const std::uint64_t tasks = 4 + Draw(20);
      Submit(absl::StrCat(millicores, " ", run_time, " 0 ", tasks));
    }
  }
  void ChangeCapacity() {
    for (std::uint64_t changes = 1 + Draw(workers_); changes > 0; --changes) {
      const std::string worker = absl::StrCat("w", Draw(workers_));
      const std::int64_t millicores =
          Draw(3) == 0 ? kFullCapacity
                       : static_cast<std::int64_t>(500 * Draw(8));
      Note(absl::StrCat(worker, " has ", millicores));
      fleet_.SetCapacity(worker, millicores);
    }
  }
  void Disturb() {
    const std::string worker = absl::StrCat("w", Draw(workers_));
    const std::optional<std::size_t> owner = fleet_.Owner();
    switch (Draw(8)) {
      case 0:
        if (owner) {
          Note(absl::StrCat("kill VM ", *owner));
          fleet_.KillVm(*owner);
        }
        break;
      case 1:
        if (owner) {
          Note(absl::StrCat("cut VM ", *owner, " from the store"));
          fleet_.CutFromStore(*owner, true);
        }
        break;
      case 2:
        Note("lost answers");
        fleet_.SetLostAnswerShare(0.2);
        break;
      case 3:
        Note("slow store");
        fleet_.SetStoreDelay(milliseconds(20 + Draw(250)));
        break;
      case 4:
        if (fleet_.Worker(worker).Up()) {
          Note(absl::StrCat("crash ", worker));
          fleet_.CrashWorker(worker);
        }
        break;
      default:
        break;
    }
  }
  void EndFaults() {
    Note("end faults");
    fleet_.SetLostAnswerShare(0);
    fleet_.SetStoreDelay(milliseconds(0));
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      fleet_.CutFromStore(vm, false);
      if (!fleet_.Running(vm)) {
        fleet_.StartVm(vm);
      }
    }
    for (std::size_t worker = 0; worker < workers_; ++worker) {
      const std::string id = absl::StrCat("w", worker);
      if (!fleet_.Worker(id).Up()) {
        fleet_.StartWorker(id);
      }
    }
  }

  std::mt19937_64 random_;
  const std::size_t workers_;
  virtual_fleet fleet_;
  std::vector<std::string> history_;
};

std::uint64_t EnvironmentOr(const char* name, std::uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

// Guards against the same under random changes and faults. A failure names the
// seeds.
TEST(WorkerCapacityTest, StartsKeepToChangingCapacitiesUnderRandomFaults) {
  const std::uint64_t first = EnvironmentOr("FIRST_SCHEDULE", 1);
  const std::uint64_t last = EnvironmentOr("LAST_SCHEDULE", 60);
  std::vector<std::uint64_t> broken;
  std::string first_broken;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    capacity_schedule schedule(seed);
    schedule.Play();
    if (!schedule.Violations().empty()) {
      if (broken.empty()) {
        first_broken =
            absl::StrCat(schedule.Violations(), "\n", schedule.History());
      }
      broken.push_back(seed);
    }
  }
  EXPECT_TRUE(broken.empty()) << "seeds " << absl::StrJoin(broken, " ") << "\n"
                              << first_broken;
}

}  // namespace
}  // namespace skylarkbridge::control
