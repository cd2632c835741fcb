#ifndef SKYLARKBRIDGE_CONTROL_RANDOM_SCHEDULE_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_RANDOM_SCHEDULE_FAKE_HPP

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

/// @brief Seeded random schedules of work and faults on a virtual fleet.
namespace skylarkbridge::control {

/// VMs of a schedule's fleet.
constexpr std::size_t kScheduleVms = 3;
/// Capacity of each of its workers.
constexpr std::int64_t kWorkerMillicores = 4000;
/// Time in which the checker judges each wait that a fault began.
constexpr std::chrono::milliseconds kJudgedTime =
    kCalmTime + kMaxRestartTime + std::chrono::seconds(1);
/// Schedules that CI plays of each profile.
constexpr std::uint64_t kSchedules = 50;

/// @brief What happens in a round of a schedule.
enum class disturbance {
  kFailRun,
  kReplaceJob,
  kCrashWorker,
  kDrainWorker,
  kKillOwner,
  kSeriesOfTakeovers,
  kCutOwnerFromStore,
  kSlowStore,
  kSilentStore,
  kRefusingStore,
  kLostAnswers,
  kStopOwner,
  kTrimLogs,
  kPublishConfiguration,
  kReplaceWorkers,
};

/// @brief The schedules that a test draws from.
struct schedule_profile {
  std::size_t min_cells = 1;
  std::size_t max_cells = 1;
  std::vector<disturbance> disturbances;
  /// Upper bound of the run time of batch tasks.
  std::chrono::milliseconds max_batch_time{2000};
  /// Whether batch work may have a more urgent queue than long-running work.
  bool urgent_batch = false;
  /// Whether each round cancels jobs.
  bool cancel_waves = false;
  /// Violations that begin with this are not counted; empty for none.
  std::string ignored_invariant;
};

/// @brief One random schedule. All of its draws come from its seed alone, so
/// that changes of the scheduler don't change the schedule of a seed.
class random_schedule {
 public:
  random_schedule(const schedule_profile& profile, std::uint64_t seed)
      : profile_(profile),
        random_(seed),
        cells_(profile.min_cells +
               Draw(profile.max_cells - profile.min_cells + 1)),
        workers_(cells_ * (2 + Draw(3))),
        fleet_({.vms = kScheduleVms,
                .workers = workers_,
                .worker_millicores = kWorkerMillicores,
                .seed = seed,
                .cells = cells_}) {
    Note(absl::StrCat(cells_, " cells, ", workers_, " workers"));
  }

  /// @brief Plays the schedule. Stops at the first violation.
  void Play() {
    fleet_.Advance(std::chrono::seconds(2));
    SubmitLongRunningWork();
    Run(std::chrono::seconds(3));
    constexpr int kRounds = 6;
    for (int round = 0; round < kRounds && !Violated(); ++round) {
      if (profile_.cancel_waves) {
        PlayCancelRound();
      } else {
        DrawDisturbance();
      }
      Run(std::chrono::milliseconds(200 + Draw(3000)));
      if (Draw(4) != 0) {
        EndFaults();
      }
      Run(Draw(2) == 0 ? kJudgedTime
                       : std::chrono::milliseconds(100 + Draw(2500)));
    }
    EndFaults();
    Run(kJudgedTime);
  }

  /// @brief Whether the checker has found a violation.
  bool Violated() const { return !CountedViolations().empty(); }
  std::string Violations() const {
    return absl::StrJoin(CountedViolations(), "\n");
  }
  /// @brief The disturbances with their times.
  std::string History() const { return absl::StrJoin(history_, "\n"); }

 private:
  /// A job that a caller submitted.
  struct submitted_job {
    jobs::job_id job;
    std::string body;
    bool long_running = false;
  };
  /// A cancel that a caller sent.
  struct sent_cancel {
    jobs::job_id job;
    std::uint64_t token = 0;
  };

  std::vector<std::string> CountedViolations() const {
    std::vector<std::string> counted;
    for (const std::string& violation : fleet_.Checker().Violations()) {
      if (profile_.ignored_invariant.empty() ||
          !absl::StartsWith(violation, profile_.ignored_invariant)) {
        counted.push_back(violation);
      }
    }
    return counted;
  }

  std::uint64_t Draw(std::uint64_t below) { return random_() % below; }
  void Note(const std::string& what) {
    const auto since_start = fleet_.Now() - time_point(std::chrono::hours(1));
    history_.push_back(absl::StrCat(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_start)
            .count(),
        " ms: ", what));
  }

  /// Advances the time and keeps the queue of batch work filled.
  void Run(std::chrono::milliseconds time) {
    constexpr std::chrono::milliseconds kBatchInterval{500};
    for (const time_point end = fleet_.Now() + time;
         fleet_.Now() < end && !Violated();) {
      SubmitBatchWork();
      const auto left =
          std::chrono::ceil<std::chrono::milliseconds>(end - fleet_.Now());
      fleet_.Advance(std::min(kBatchInterval, left));
    }
  }

  void SubmitBatchWork() {
    std::erase_if(batch_jobs_, [this](jobs::job_id job) {
      return fleet_.Checker().Done(job);
    });
    const std::size_t wanted = 4 * cells_;
    constexpr int kMaxJobsAtOnce = 3;
    for (int submitted = 0;
         submitted < kMaxJobsAtOnce && batch_jobs_.size() < wanted;
         ++submitted) {
      const auto batch_time = static_cast<std::uint64_t>(
          Draw(4) == 0 ? profile_.max_batch_time.count() : 1000);
      const std::string queue =
          profile_.urgent_batch && Draw(4) == 0 ? "serving" : "batch";
      const jobs::job_id job = NextJob();
      const std::uint64_t count = 1 + Draw(8);
      const int failures = Draw(6) == 0 ? 1 : 0;
      const std::uint64_t run_time = 200 + Draw(batch_time);
      const std::uint64_t millicores = 250 * (1 + Draw(8));
      const std::uint64_t vm = Draw(kScheduleVms);
      const std::string body =
          absl::StrCat(millicores, " ", run_time, " ", failures, " ", count,
                       " queue=", queue);
      fleet_.Submit(vm, job, body);
      open_jobs_.push_back({.job = job, .body = body});
      batch_jobs_.insert(job);
    }
    // A job that was not accepted is never done.
    constexpr std::size_t kMaxRemembered = 100;
    if (batch_jobs_.size() > kMaxRemembered) {
      batch_jobs_.clear();
    }
  }

  /// Submits long-running jobs that need about 0.5 to 1.2 times the capacity of
  /// the fleet.
  void SubmitLongRunningWork() {
    const std::int64_t capacity =
        static_cast<std::int64_t>(workers_) * kWorkerMillicores;
    const auto wanted =
        static_cast<std::int64_t>(50 + Draw(71)) * capacity / 100;
    Note(absl::StrCat("long-running work ", wanted, " of ", capacity));
    for (std::int64_t submitted = 0; submitted < wanted;) {
      submitted += SubmitLongRunningJob();
      fleet_.Advance(std::chrono::milliseconds(50));
    }
  }

  /// @return the millicores that the job needs.
  std::int64_t SubmitLongRunningJob() {
    const auto need = static_cast<std::int64_t>(500 * (1 + Draw(6)));
    const auto count = static_cast<std::uint32_t>(1 + Draw(8));
    std::string settings;
    if (Draw(2) == 0) {
      absl::StrAppend(&settings, " target=50 image=", Draw(3));
    }
    if (Draw(4) == 0) {
      absl::StrAppend(&settings, " max_per_worker=", 1 + Draw(2));
    }
    if (Draw(3) != 0) {
      absl::StrAppend(&settings, " queue=serving");
    }
    const jobs::job_id job = NextJob();
    const std::string body = absl::StrCat(-need, " 600000 0 ", count, settings);
    Note(absl::StrCat("submit ", jobs::Format(job), ": ", body));
    fleet_.Submit(Draw(kScheduleVms), job, body);
    open_jobs_.push_back({.job = job, .body = body, .long_running = true});
    for (std::uint32_t index = 0; index < count; ++index) {
      long_running_tasks_.push_back({.job = job, .index = index});
    }
    return need * count;
  }

  /// Random ids, so that they sort in another order than the jobs were
  /// submitted in.
  jobs::job_id NextJob() { return jobs::job_id{random_()}; }

  void DrawDisturbance() {
    Disturb(profile_.disturbances[Draw(profile_.disturbances.size())]);
  }

  /// Cancels jobs before, after or on both sides of a disturbance, and replaces
  /// them.
  void PlayCancelRound() {
    const std::uint64_t order = Draw(3);
    if (order != 0) {
      CancelJobs();
      Run(std::chrono::milliseconds(Draw(300)));
    }
    DrawDisturbance();
    if (order != 1) {
      Run(std::chrono::milliseconds(Draw(1500)));
      CancelJobs();
    }
    Run(std::chrono::milliseconds(100 + Draw(900)));
    RepeatRequests();
  }

  /// Cancels one open job to all of them, each at any VM, and submits a
  /// long-running job for each long-running one.
  void CancelJobs() {
    const std::uint64_t wave =
        std::min<std::uint64_t>(1 + Draw(12), open_jobs_.size());
    int to_replace = 0;
    for (std::uint64_t cancelled = 0; cancelled < wave; ++cancelled) {
      std::swap(open_jobs_[Draw(open_jobs_.size())], open_jobs_.back());
      const submitted_job job = open_jobs_.back();
      open_jobs_.pop_back();
      to_replace += job.long_running ? 1 : 0;
      Cancel(job.job);
      cancelled_jobs_.push_back(job);
      fleet_.Advance(std::chrono::milliseconds(Draw(20)));
    }
    for (; to_replace > 0; --to_replace) {
      SubmitLongRunningJob();
    }
    if (Draw(4) == 0) {
      // A cancel may overtake the acceptance of its job.
      SubmitLongRunningJob();
      fleet_.Advance(std::chrono::milliseconds(Draw(100)));
      cancelled_jobs_.push_back(open_jobs_.back());
      open_jobs_.pop_back();
      Cancel(cancelled_jobs_.back().job);
    }
  }

  void Cancel(jobs::job_id job) {
    const std::uint64_t vm = Draw(kScheduleVms);
    Note(absl::StrCat("cancel ", jobs::Format(job), " at VM ", vm));
    const std::uint64_t token = fleet_.Send(vm, caller_method::kCancel, job);
    sent_cancels_.push_back({.job = job, .token = token});
  }

  /// Repeats at any VM the cancels without an acknowledgement and some of the
  /// others, and the submissions of some cancelled jobs.
  void RepeatRequests() {
    for (const sent_cancel& sent : std::exchange(sent_cancels_, {})) {
      const caller_answer* const answer = fleet_.AnswerTo(sent.token);
      const bool acknowledged =
          answer != nullptr && answer->kind == answer_kind::kCancelled;
      if (!acknowledged || Draw(8) == 0) {
        Cancel(sent.job);
      }
    }
    for (const submitted_job& job : cancelled_jobs_) {
      if (Draw(4) == 0) {
        const std::uint64_t vm = Draw(kScheduleVms);
        Note(absl::StrCat("repeat submit ", jobs::Format(job.job), " at VM ",
                          vm));
        fleet_.Submit(vm, job.job, job.body);
      }
    }
    cancelled_jobs_.clear();
  }

  void Disturb(disturbance kind) {
    const std::string worker = absl::StrCat("w", Draw(workers_));
    const auto cell = static_cast<jobs::cell_id>(Draw(cells_));
    switch (kind) {
      case disturbance::kFailRun:
        FailRuns(1 + Draw(3));
        break;
      case disturbance::kReplaceJob:
        ReplaceJob();
        break;
      case disturbance::kCrashWorker:
        Note(absl::StrCat("crash ", worker));
        fleet_.CrashWorker(worker);
        break;
      case disturbance::kDrainWorker:
        if (fleet_.Worker(worker).Up()) {
          Note(absl::StrCat("drain ", worker));
          fleet_.DrainWorker(worker,
                             std::chrono::milliseconds(3000 + Draw(5000)));
        }
        break;
      case disturbance::kKillOwner:
        KillOwner(cell);
        break;
      case disturbance::kSeriesOfTakeovers:
        for (std::uint64_t takeovers = 2 + Draw(2); takeovers > 0;
             --takeovers) {
          KillOwner(cell);
          FailRuns(Draw(2));
          Run(std::chrono::milliseconds(1500 + Draw(2500)));
          StartVms();
        }
        break;
      case disturbance::kCutOwnerFromStore:
        if (const std::optional<std::size_t> owner = fleet_.Owner(cell)) {
          Note(absl::StrCat("cut VM ", *owner, " from the store"));
          fleet_.CutFromStore(*owner, true);
        }
        break;
      case disturbance::kSlowStore: {
        const std::chrono::milliseconds delay(20 + Draw(250));
        Note(absl::StrCat("slow store, ", delay.count(), " ms"));
        fleet_.SetStoreDelay(delay);
        break;
      }
      case disturbance::kSilentStore:
        Note("silent store");
        fleet_.SetStoreDown(true);
        break;
      case disturbance::kRefusingStore:
        Note("refusing store");
        fleet_.SetStoreRefusing(true);
        break;
      case disturbance::kLostAnswers:
        Note("lost answers");
        fleet_.SetLostAnswerShare(0.1);
        break;
      case disturbance::kStopOwner:
        StopOwner(cell);
        break;
      case disturbance::kTrimLogs:
        TrimLogs();
        break;
      case disturbance::kPublishConfiguration:
        Note("publish a configuration");
        fleet_.PublishConfiguration(++configuration_version_);
        break;
      case disturbance::kReplaceWorkers:
        ReplaceWorkers();
        break;
    }
  }

  void FailRuns(std::uint64_t count) {
    for (; count > 0; --count) {
      std::vector<jobs::task_ref> running;
      for (const jobs::task_ref& task : long_running_tasks_) {
        if (fleet_.Checker().Running(task)) {
          running.push_back(task);
        }
      }
      if (running.empty()) {
        return;
      }
      const jobs::task_ref& task = running[Draw(running.size())];
      Note(absl::StrCat("fail ", jobs::Format(task)));
      fleet_.FailRun(task);
    }
  }

  /// Replaces workers behind a cut from all VMs; see
  /// virtual_fleet::ReplaceWorker.
  void ReplaceWorkers() {
    for (std::uint64_t count = 1 + Draw(3); count > 0; --count) {
      const worker_fake* const worker =
          fleet_.WorkerAt(absl::StrCat("w", Draw(workers_)));
      const std::chrono::milliseconds cut(100 + Draw(4000));
      if (worker == nullptr) {
        continue;
      }
      const std::string id = worker->Id();
      CutWorker(id, true);
      Run(std::chrono::milliseconds(Draw(200)));
      const std::string replacement = fleet_.ReplaceWorker(id);
      Note(absl::StrCat("replace ", id, " by ", replacement, ", cut for ",
                        cut.count(), " ms"));
      CutWorker(replacement, true);
      fleet_.ScheduleAfter(cut, [this, id, replacement] {
        CutWorker(id, false);
        CutWorker(replacement, false);
      });
    }
  }
  void CutWorker(const std::string& id, bool cut) {
    for (std::size_t vm = 0; vm < kScheduleVms; ++vm) {
      fleet_.CutFromWorker(vm, id, cut);
    }
  }

  void ReplaceJob() {
    const jobs::job_id job =
        long_running_tasks_[Draw(long_running_tasks_.size())].job;
    Note(absl::StrCat("cancel ", jobs::Format(job)));
    fleet_.Send(Draw(kScheduleVms), caller_method::kCancel, job);
    SubmitLongRunningJob();
  }

  void KillOwner(jobs::cell_id cell) {
    if (const std::optional<std::size_t> owner = fleet_.Owner(cell)) {
      Note(absl::StrCat("kill VM ", *owner, ", owner of cell ", cell));
      fleet_.KillVm(*owner);
    }
  }

  /// Stops the owner of a cell as planned; it starts again after its grace.
  void StopOwner(jobs::cell_id cell) {
    const std::optional<std::size_t> owner = fleet_.Owner(cell);
    if (!owner) {
      return;
    }
    Note(absl::StrCat("stop VM ", *owner, ", owner of cell ", cell));
    fleet_.StopVm(*owner);
    Run(std::chrono::milliseconds(2500));
    if (fleet_.Running(*owner)) {
      fleet_.KillVm(*owner);
    }
    StartVms();
  }

  /// Trims the logs while one VM is behind with its reads.
  void TrimLogs() {
    const std::uint64_t vm = Draw(kScheduleVms);
    Note(absl::StrCat("trim the logs, VM ", vm, " is behind"));
    fleet_.CutFromStore(vm, true);
    Run(std::chrono::milliseconds(Draw(2500)));
    fleet_.TrimStore();
    fleet_.CutFromStore(vm, false);
  }

  void StartVms() {
    for (std::size_t vm = 0; vm < kScheduleVms; ++vm) {
      if (!fleet_.Running(vm)) {
        fleet_.StartVm(vm);
      }
    }
  }

  /// Ends all faults but those of workers, of which half stay away.
  void EndFaults() {
    Note("end faults");
    fleet_.SetStoreDown(false);
    fleet_.SetStoreRefusing(false);
    fleet_.SetStoreDelay(std::chrono::milliseconds(0));
    fleet_.SetLostAnswerShare(0);
    for (std::size_t vm = 0; vm < kScheduleVms; ++vm) {
      fleet_.CutFromStore(vm, false);
    }
    StartVms();
    for (std::size_t worker = 0; worker < workers_; ++worker) {
      const std::string id = absl::StrCat("w", worker);
      // A worker that was replaced does not come back.
      if (Draw(2) == 0 && fleet_.WorkerAt(id) == nullptr) {
        Note(absl::StrCat("start ", id));
        fleet_.StartWorker(id);
      }
    }
  }

  const schedule_profile profile_;
  std::mt19937_64 random_;
  const std::size_t cells_;
  const std::size_t workers_;
  virtual_fleet fleet_;
  std::set<jobs::job_id> batch_jobs_;
  std::vector<jobs::task_ref> long_running_tasks_;
  /// Jobs that were submitted and not cancelled. Some of them may be done.
  std::vector<submitted_job> open_jobs_;
  /// Cancelled since the last RepeatRequests.
  std::vector<submitted_job> cancelled_jobs_;
  std::vector<sent_cancel> sent_cancels_;
  std::uint64_t configuration_version_ = 1;
  std::vector<std::string> history_;
};

inline std::uint64_t EnvironmentOr(const char* name, std::uint64_t fallback) {
  const char* const text = std::getenv(name);
  return text == nullptr ? fallback : std::stoull(text);
}

/// @brief Plays the schedules of a profile up to the first with a violation.
inline void PlaySchedules(const schedule_profile& profile) {
  const std::uint64_t first = EnvironmentOr("FIRST_SCHEDULE", 1);
  const std::uint64_t last = EnvironmentOr("LAST_SCHEDULE", kSchedules);
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    random_schedule schedule(profile, seed);
    schedule.Play();
    ASSERT_EQ(schedule.Violations(), "") << "seed " << seed << "\n"
                                         << schedule.History();
  }
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_RANDOM_SCHEDULE_FAKE_HPP
