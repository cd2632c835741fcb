// Plays seeded random schedules of tasks that crash their workers beside other
// work and other faults, and checks that such a task is not started without
// end, and that no other job is given up.
//
// FIRST_SCHEDULE and LAST_SCHEDULE select other seeds.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 3;
constexpr std::uint64_t kSchedules = 60;

enum class crash_fault {
  kNone,
  kKillOwner,
  kCrashWorker,
  kCutWorker,
  kSlowStore,
  kLostAnswers,
};

/// The schedules that a test draws from.
struct crash_profile {
  std::vector<crash_fault> faults;
  /// Whether there are tasks that crash their workers.
  bool crashing_tasks = true;
  /// Upper bound of the time from the start of such a task to the crash.
  milliseconds max_crash_delay{1000};
};

/// One random schedule. Its draws come from its seed alone.
class crash_schedule {
 public:
  crash_schedule(const crash_profile& profile, std::uint64_t seed)
      : profile_(profile),
        random_(seed),
        workers_(4 + Draw(5)),
        new_ids_(Draw(2) == 0),
        fleet_({.vms = kVms,
                .workers = workers_,
                .seed = seed,
                .crash_return = milliseconds(1500 + Draw(5000)),
                .returns_under_new_id = new_ids_}) {
    Note(absl::StrCat(workers_, " workers, new ids ", new_ids_));
  }

  void Play() {
    fleet_.Advance(seconds(5));
    SubmitLongRunningJob();
    SubmitLongRunningJob();
    constexpr int kRounds = 8;
    for (int round = 0; round < kRounds && !Violated(); ++round) {
      SubmitBatchJobs();
      if (profile_.crashing_tasks && Draw(2) == 0) {
        SubmitCrashingJob();
      }
      Disturb(profile_.faults[Draw(profile_.faults.size())]);
      fleet_.Advance(milliseconds(200 + Draw(4000)));
      if (Draw(3) != 0) {
        EndFaults();
      }
      fleet_.Advance(milliseconds(500 + Draw(4000)));
    }
    EndFaults();
    fleet_.Advance(seconds(60));
    QueryAllJobs();
  }

  bool Violated() const { return !fleet_.Checker().Violations().empty(); }
  std::string Violations() const {
    return absl::StrJoin(fleet_.Checker().Violations(), "\n");
  }
  std::string History() const { return absl::StrJoin(history_, "\n"); }

 private:
  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  void Note(const std::string& what) {
    const auto since_start = fleet_.Now() - time_point(std::chrono::hours(1));
    history_.push_back(absl::StrCat(
        std::chrono::duration_cast<milliseconds>(since_start).count(),
        " ms: ", what));
  }

  jobs::job_id Submit(const std::string& body) {
    const jobs::job_id job{random_()};
    const std::uint64_t vm = Draw(kVms);
    Note(absl::StrCat("submit ", jobs::Format(job), ": ", body));
    fleet_.Submit(vm, job, body);
    jobs_.push_back(job);
    return job;
  }
  void SubmitLongRunningJob() {
    const std::uint64_t millicores = 250 * (1 + Draw(4));
    const std::uint64_t count = 1 + Draw(workers_);
    Submit(absl::StrCat("-", millicores, " 600000 0 ", count));
  }
  void SubmitBatchJobs() {
    for (std::uint64_t count = 1 + Draw(3); count > 0; --count) {
      const std::uint64_t millicores = 250 * (1 + Draw(4));
      const std::uint64_t run_time = 200 + Draw(Draw(4) == 0 ? 15'000 : 2000);
      const std::uint64_t tasks = 1 + Draw(12);
      Submit(absl::StrCat(millicores, " ", run_time, " 0 ", tasks));
    }
  }
  void SubmitCrashingJob() {
    for (std::uint64_t count = 1 + Draw(2); count > 0; --count) {
      const std::string sign = Draw(5) == 0 ? "-" : "";
      const std::uint64_t millicores = 250 * (1 + Draw(4));
      const std::uint64_t tasks = 1 + Draw(6);
      const std::uint64_t crashers = 1 + Draw(2);
      const std::uint64_t delay =
          Draw(static_cast<std::uint64_t>(profile_.max_crash_delay.count()));
      Submit(absl::StrCat(sign, millicores, " 600000 0 ", tasks,
                          " crash=", delay, " crashers=", crashers));
    }
  }

  void Disturb(crash_fault kind) {
    const std::string worker = absl::StrCat("w", Draw(workers_));
    const std::optional<std::size_t> owner = fleet_.Owner();
    switch (kind) {
      case crash_fault::kNone:
        break;
      case crash_fault::kKillOwner:
        if (owner && RunningVms() > 1) {
          Note(absl::StrCat("kill VM ", *owner));
          fleet_.KillVm(*owner);
        }
        break;
      case crash_fault::kCrashWorker:
        if (fleet_.Worker(worker).Up()) {
          Note(absl::StrCat("crash ", worker));
          fleet_.CrashWorker(worker);
        }
        break;
      case crash_fault::kCutWorker:
        for (std::size_t vm = 0; vm < kVms; ++vm) {
          Note(absl::StrCat("cut ", worker, " from VM ", vm));
          fleet_.CutFromWorker(vm, worker, true);
        }
        break;
      case crash_fault::kSlowStore: {
        const milliseconds delay(20 + Draw(250));
        Note(absl::StrCat("slow store, ", delay.count(), " ms"));
        fleet_.SetStoreDelay(delay);
        break;
      }
      case crash_fault::kLostAnswers:
        Note("lost answers");
        fleet_.SetLostAnswerShare(0.05);
        break;
    }
  }

  std::size_t RunningVms() const {
    std::size_t running = 0;
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      running += fleet_.Running(vm) ? 1 : 0;
    }
    return running;
  }

  void EndFaults() {
    Note("end faults");
    fleet_.SetStoreDelay(milliseconds(0));
    fleet_.SetLostAnswerShare(0);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (!fleet_.Running(vm)) {
        fleet_.StartVm(vm);
      }
      for (std::size_t worker = 0; worker < workers_; ++worker) {
        fleet_.CutFromWorker(vm, absl::StrCat("w", worker), false);
      }
    }
    if (new_ids_) {
      return;
    }
    for (std::size_t worker = 0; worker < workers_; ++worker) {
      const std::string id = absl::StrCat("w", worker);
      if (!fleet_.Worker(id).Up()) {
        fleet_.StartWorker(id);
      }
    }
  }

  /// The checker judges the answers.
  void QueryAllJobs() {
    for (const jobs::job_id job : jobs_) {
      fleet_.Send(0, caller_method::kQuery, job);
    }
    fleet_.Advance(seconds(4));
  }

  const crash_profile profile_;
  std::mt19937_64 random_;
  const std::size_t workers_;
  const bool new_ids_;
  virtual_fleet fleet_;
  std::vector<jobs::job_id> jobs_;
  std::vector<std::string> history_;
};

std::uint64_t EnvironmentOr(const char* name, std::uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

/// Plays all schedules; fails with the seeds and the first schedule that broke
/// an invariant.
void PlaySchedules(const crash_profile& profile) {
  const std::uint64_t first = EnvironmentOr("FIRST_SCHEDULE", 1);
  const std::uint64_t last = EnvironmentOr("LAST_SCHEDULE", kSchedules);
  std::vector<std::uint64_t> broken;
  std::string first_broken;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    crash_schedule schedule(profile, seed);
    schedule.Play();
    if (schedule.Violated()) {
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

TEST(CrashingTaskExplorerTest, WithoutOtherFaults) {
  PlaySchedules({.faults = {crash_fault::kNone}});
}

TEST(CrashingTaskExplorerTest, BesideCrashedAndCutWorkers) {
  PlaySchedules({.faults = {crash_fault::kNone, crash_fault::kCrashWorker,
                            crash_fault::kCutWorker}});
}

TEST(CrashingTaskExplorerTest, BesideTakeovers) {
  PlaySchedules({.faults = {crash_fault::kNone, crash_fault::kKillOwner,
                            crash_fault::kSlowStore}});
}

TEST(CrashingTaskExplorerTest, BesideAllFaults) {
  PlaySchedules(
      {.faults = {crash_fault::kNone, crash_fault::kKillOwner,
                  crash_fault::kCrashWorker, crash_fault::kCutWorker,
                  crash_fault::kSlowStore, crash_fault::kLostAnswers}});
}

// Guards against giving up jobs for crashes that no task causes. Without
// takeovers, which can delay restarts for long (issue #21).
TEST(CrashingTaskExplorerTest, OnlyOtherFaults) {
  PlaySchedules(
      {.faults = {crash_fault::kCrashWorker, crash_fault::kCrashWorker,
                  crash_fault::kCutWorker, crash_fault::kLostAnswers},
       .crashing_tasks = false});
}

// As the first test, with workers that crash seconds after the start.
TEST(CrashingTaskExplorerTest, LateCrashesWithoutOtherFaults) {
  PlaySchedules(
      {.faults = {crash_fault::kNone}, .max_crash_delay = seconds(6)});
}

}  // namespace
}  // namespace skylarkbridge::control
