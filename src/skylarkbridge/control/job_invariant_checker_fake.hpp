#ifndef SKYLARKBRIDGE_CONTROL_JOB_INVARIANT_CHECKER_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_JOB_INVARIANT_CHECKER_FAKE_HPP

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/cancel_invariant_fake.hpp"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/unknown_life_runs_fake.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::control {

/// @brief Crashed workers under a task after which its job may be given up.
constexpr int kCrashesToGiveUp = 2;
/// @brief Crashed workers under a task after which its starts are counted.
constexpr int kCrashesBeforeBudget = 3;
/// @brief Counted starts that are one too many.
constexpr int kStartsOverBudget = 3;

/// @brief Checks the runs of the fake workers against the invariants of the
/// scheduler, and collects the violations.
class job_invariant_checker {
 public:
  /// @param max_attempts number of failed runs after which a task must not
  /// start again, unless it is long-running.
  explicit job_invariant_checker(std::size_t max_attempts,
                                 cancel_bounds bounds = {})
      : max_attempts_(max_attempts), cancels_(bounds) {}

  void JobSubmitted(jobs::job_id job, const jobs::job_spec& spec) {
    specs_[job] = spec;
    ++submissions_[job];
  }
  /// @brief One submission was answered as not run, or did not reach its VM.
  void JobRefused(jobs::job_id job) { ++refusals_[job]; }
  void JobAccepted(jobs::job_id job) { accepted_.insert(job); }
  /// @brief The caller sent a cancel, which may not have reached the owner.
  void JobCancelled(jobs::job_id job) {
    cancelled_.insert(job);
    restarts_.JobCancelled(job);
  }
  /// @brief The cancel was acknowledged, or an append of it is durable.
  void CancelStored(jobs::job_id job, time_point now) {
    cancels_.CancelStored(job, now);
  }

  void RunStarted(const std::string& worker,
                  const jobs::run_ref& run,
                  const jobs::resources& available,
                  time_point now) {
    const jobs::task_ref& task = run.task;
    const auto spec = specs_.find(task.job);
    if (spec == specs_.end()) {
      AddViolation("UNASKED", run, "no caller sent the job");
      return;
    }
    const jobs::step_spec& step = spec->second.steps[task.step];
    const bool unknown_life = unknown_lives_.Contains(worker, run);
    if (!jobs::Fits(step.need, available)) {
      jobs::resources without_late_starts = available;
      without_late_starts += NeedOfLateStarts(worker);
      AddViolation("LIMIT", run, absl::StrCat("no room on ", worker),
                   unknown_life || shrunk_lives_.Contains(worker, run) ||
                       jobs::Fits(step.need, without_late_starts));
    }
    if (!running_[task].empty()) {
      AddViolation(
          "TWICE", run,
          absl::StrCat("already runs on ", running_[task].begin()->worker),
          unknown_life || unknown_lives_.RunAll(task, running_[task]));
    }
    if (done_.contains(task) && !step.long_running) {
      AddViolation("TWICE", run, "is already done",
                   unknown_life || unknown_lives_.Done(task));
    }
    if (failed_[task].size() >= max_attempts_ && !step.long_running) {
      AddViolation("BUDGET", run,
                   absl::StrCat("has failed in runs ",
                                absl::StrJoin(failed_[task], " ")));
    }
    if (crashes_[task] >= kCrashesBeforeBudget &&
        ++starts_after_crashes_[task] >= kStartsOverBudget) {
      AddViolation("BUDGET", run,
                   absl::StrCat("has crashed ", crashes_[task], " workers"));
    }
    for (const std::uint32_t dependency : step.depends_on) {
      for (std::uint32_t index = 0;
           index < spec->second.steps[dependency].count; ++index) {
        if (!ever_done_.contains(
                {task.job, task.occurrence, dependency, index})) {
          AddViolation("ORDER", run,
                       absl::StrCat("step ", dependency, " is not done"));
        }
      }
    }
    if (refusals_[task.job] == submissions_[task.job] &&
        !accepted_.contains(task.job) && !uncertain_.contains(task.job)) {
      AddViolation("REFUSED", run, "every submission attempt was refused");
    }
    running_[task].insert({.worker = worker, .run = run.run});
    restarts_.RunStarted(task);
    cancels_.RunStarted(worker, run, now);
  }

  void RunEnded(const std::string& worker,
                const jobs::run_ref& run,
                end_cause cause,
                time_point now) {
    running_[run.task].erase({.worker = worker, .run = run.run});
    unknown_lives_.RunEnded(worker, run, cause, done_.contains(run.task));
    shrunk_lives_.RunEnded(worker, run, cause, done_.contains(run.task));
    cancels_.RunEnded(worker, run);
    if (cause == end_cause::kDone) {
      done_.insert(run.task);
      ever_done_.insert(run.task);
    }
    if (cause == end_cause::kFailed) {
      failed_[run.task].insert(run.run);
      ever_failed_[run.task].insert(run.run);
    }
    const auto spec = specs_.find(run.task.job);
    if (spec != specs_.end() &&
        spec->second.steps[run.task.step].long_running &&
        running_[run.task].empty() && !cancelled_.contains(run.task.job)) {
      restarts_.RunEnded(run, cause, now);
    }
  }

  /// @brief A worker gets a start order that its earlier lives would have
  /// refused, before it has seen the token to refuse it itself. Violations that
  /// this run takes part in are counted apart.
  void ExpectRunOfUnknownLife(const std::string& worker,
                              const jobs::run_ref& run) {
    unknown_lives_.Expect(worker, run);
  }
  /// @brief A worker gets a start order that was sent to an earlier life with a
  /// larger capacity. That it takes too much room is counted apart.
  void ExpectRunOfShrunkLife(const std::string& worker,
                             const jobs::run_ref& run) {
    shrunk_lives_.Expect(worker, run);
  }
  /// @brief A late acknowledgement deletes the end of a run before the owner
  /// has seen it. That the task runs again is counted apart.
  void EndOfUnknownLifeDeleted(const jobs::run_ref& run) {
    unknown_lives_.EndDeleted(run.task);
  }
  /// @brief The worker refused such an order.
  void LateStartRefused(const std::string& worker, const jobs::run_ref& run) {
    unknown_lives_.Refused(worker, run);
    shrunk_lives_.Refused(worker, run);
  }
  /// @brief Violations of TWICE and LIMIT that a run of ExpectRunOfUnknownLife
  /// takes part in, and of LIMIT by one of ExpectRunOfShrunkLife. Violations()
  /// holds the others.
  const std::vector<std::string>& ViolationsOfUnknownLives() const {
    return violations_of_unknown_lives_;
  }

  /// @brief The task crashed a worker that had started it.
  void WorkerCrashedUnder(const jobs::task_ref& task) { ++crashes_[task]; }

  /// @brief A caller was told that the job has failed.
  void JobShownFailed(jobs::job_id job) {
    if (!HasTaskThatMayBeGivenUp(job) && !HasTaskWithoutAttempts(job)) {
      violations_.push_back(
          absl::StrCat("LOST: ", jobs::Format(job), " failed without cause"));
    }
  }
  /// @brief Number of workers that the task has crashed.
  int Crashes(const jobs::task_ref& task) const {
    const auto count = crashes_.find(task);
    return count == crashes_.end() ? 0 : count->second;
  }

  /// @brief Checks what depends on the state of the whole fleet.
  void Observe(const fleet_view& fleet, time_point now) {
    const auto is_owed = [this](jobs::job_id job) {
      return accepted_.contains(job) && !cancelled_.contains(job) &&
             !HasTaskThatMayBeGivenUp(job);
    };
    const auto step_of =
        [this](const jobs::task_ref& task) -> const jobs::step_spec& {
      return specs_.at(task.job).steps[task.step];
    };
    for (const restart_violation& violation :
         restarts_.Observe(fleet, is_owed, step_of, now)) {
      violations_.push_back(Format(violation));
    }
    for (const cancel_violation& violation :
         cancels_.Observe(fleet.disrupted, now)) {
      violations_.push_back(Format(violation));
    }
  }

  /// @brief Removes the outcome that RunEnded recorded: the worker crashed, or
  /// its lease expired, before the end was acknowledged.
  void DiscardRunEnd(const jobs::run_ref& run, bool done) {
    if (done) {
      done_.erase(run.task);
      unknown_lives_.EndDiscarded(run.task);
    } else {
      failed_[run.task].erase(run.run);
    }
  }

  /// @brief The caller was told that the job may have been stored.
  void JobUncertain(jobs::job_id job) { uncertain_.insert(job); }

  /// @brief Whether each task of the job's first occurrence has been done.
  bool Done(jobs::job_id job) const {
    const jobs::job_spec& spec = specs_.at(job);
    for (std::uint32_t step = 0; step < spec.steps.size(); ++step) {
      for (std::uint32_t index = 0; index < spec.steps[step].count; ++index) {
        if (!ever_done_.contains({job, 0, step, index})) {
          return false;
        }
      }
    }
    return true;
  }
  /// @brief Whether a run of the task is on some worker.
  bool Running(const jobs::task_ref& task) const {
    return !WorkerOf(task).empty();
  }
  /// @brief A worker that runs the task; empty when none does.
  std::string WorkerOf(const jobs::task_ref& task) const {
    const auto runs = running_.find(task);
    return runs == running_.end() || runs->second.empty()
               ? ""
               : runs->second.begin()->worker;
  }
  const std::set<jobs::job_id>& Accepted() const { return accepted_; }
  const std::vector<std::string>& Violations() const { return violations_; }

 private:
  bool HasTaskThatMayBeGivenUp(jobs::job_id job) const {
    return std::any_of(
        crashes_.begin(), crashes_.end(), [job](const auto& entry) {
          return entry.first.job == job && entry.second >= kCrashesToGiveUp;
        });
  }
  bool HasTaskWithoutAttempts(jobs::job_id job) const {
    return std::any_of(ever_failed_.begin(), ever_failed_.end(),
                       [this, job](const auto& entry) {
                         return entry.first.job == job &&
                                entry.second.size() >= max_attempts_;
                       });
  }

  void AddViolation(const std::string& invariant,
                    const jobs::run_ref& run,
                    const std::string& reason,
                    bool by_unknown_life = false) {
    (by_unknown_life ? violations_of_unknown_lives_ : violations_)
        .push_back(absl::StrCat(invariant, ": ", jobs::Format(run.task), "/",
                                run.run, " ", reason));
  }
  /// What the runs of late orders that no owner could prevent take on a worker.
  jobs::resources NeedOfLateStarts(const std::string& worker) const {
    jobs::resources need;
    std::vector<jobs::run_ref> runs = unknown_lives_.RunsOn(worker);
    for (const jobs::run_ref& run : shrunk_lives_.RunsOn(worker)) {
      if (!unknown_lives_.Contains(worker, run)) {
        runs.push_back(run);
      }
    }
    for (const jobs::run_ref& run : runs) {
      need += specs_.at(run.task.job).steps[run.task.step].need;
    }
    return need;
  }

  const std::size_t max_attempts_;
  std::map<jobs::job_id, jobs::job_spec> specs_;
  /// Submissions of each job, and how many of them were refused. One without
  /// an answer may be stored.
  std::map<jobs::job_id, int> submissions_;
  std::map<jobs::job_id, int> refusals_;
  std::set<jobs::job_id> accepted_;
  std::set<jobs::job_id> uncertain_;
  std::set<jobs::job_id> cancelled_;
  std::map<jobs::task_ref, std::set<placed_run>> running_;
  std::map<jobs::task_ref, std::set<jobs::run_number>> failed_;
  /// As failed_, with the ends that were discarded later.
  std::map<jobs::task_ref, std::set<jobs::run_number>> ever_failed_;
  /// Workers that each task has crashed.
  std::map<jobs::task_ref, int> crashes_;
  /// Starts of each task after kCrashesBeforeBudget crashes.
  std::map<jobs::task_ref, int> starts_after_crashes_;
  std::set<jobs::task_ref> done_;
  /// Also holds tasks whose end was discarded later, as dependent steps may
  /// have started before that.
  std::set<jobs::task_ref> ever_done_;
  restart_invariant restarts_;
  cancel_invariant cancels_;
  unknown_life_runs unknown_lives_;
  unknown_life_runs shrunk_lives_;
  std::vector<std::string> violations_;
  std::vector<std::string> violations_of_unknown_lives_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_JOB_INVARIANT_CHECKER_FAKE_HPP
