#ifndef SKYLARKBRIDGE_CONTROL_PROMISE_CHECKER_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_PROMISE_CHECKER_FAKE_HPP

#include <map>
#include <set>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::control {

/// @brief Watches what the workers of a test do and collects broken promises.
class promise_checker {
 public:
  /// @param attempts failed runs after which a task must not start again.
  explicit promise_checker(std::size_t attempts) : attempts_(attempts) {}

  void JobSubmitted(jobs::job_id job, const jobs::job_spec& spec) {
    specs_[job] = spec;
  }
  void JobRefused(jobs::job_id job) { refused_.insert(job); }
  void JobAccepted(jobs::job_id job) { accepted_.insert(job); }

  void Started(const std::string& worker,
               const jobs::run_ref& run,
               const jobs::resources& room) {
    const jobs::task_ref& task = run.task;
    const auto spec = specs_.find(task.job);
    if (spec == specs_.end()) {
      Break("UNASKED", run, "no caller sent the job");
      return;
    }
    const jobs::step_spec& step = spec->second.steps[task.step];
    if (!jobs::Fits(step.need, room)) {
      Break("LIMIT", run, absl::StrCat("no room on ", worker));
    }
    if (!running_[task].empty()) {
      Break("TWICE", run, absl::StrCat("runs on ", *running_[task].begin()));
    }
    if (done_.contains(task) && !step.long_running) {
      Break("TWICE", run, "is done");
    }
    if (failed_[task].size() >= attempts_ && !step.long_running) {
      Break("BUDGET", run,
            absl::StrCat("has failed in runs ",
                         absl::StrJoin(failed_[task], " ")));
    }
    for (const std::uint32_t earlier : step.depends_on) {
      for (std::uint32_t index = 0; index < spec->second.steps[earlier].count;
           ++index) {
        if (!ever_done_.contains({task.job, task.occurrence, earlier, index})) {
          Break("ORDER", run, absl::StrCat("step ", earlier, " is not done"));
        }
      }
    }
    if (refused_.contains(task.job) && !accepted_.contains(task.job) &&
        !uncertain_.contains(task.job)) {
      Break("REFUSED", run, "every attempt to hand it in was refused");
    }
    running_[task].insert(worker);
  }

  void Ended(const std::string& worker,
             const jobs::run_ref& run,
             bool done,
             bool failed) {
    running_[run.task].erase(worker);
    if (done) {
      done_.insert(run.task);
      ever_done_.insert(run.task);
    }
    if (failed) {
      failed_[run.task].insert(run.run);
    }
  }

  /// @brief The worker crashed, or its lease ended, before the end was
  /// acknowledged, so the end does not count.
  void EndForgotten(const jobs::run_ref& run, bool done) {
    if (done) {
      done_.erase(run.task);
    } else {
      failed_[run.task].erase(run.run);
    }
  }

  void JobUncertain(jobs::job_id job) { uncertain_.insert(job); }

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
  const std::set<jobs::job_id>& Accepted() const { return accepted_; }
  const std::vector<std::string>& Broken() const { return broken_; }

 private:
  void Break(const std::string& promise,
             const jobs::run_ref& run,
             const std::string& why) {
    broken_.push_back(absl::StrCat(promise, ": ", jobs::Format(run.task), "/",
                                   run.run, " ", why));
  }

  const std::size_t attempts_;
  std::map<jobs::job_id, jobs::job_spec> specs_;
  std::set<jobs::job_id> refused_;
  std::set<jobs::job_id> accepted_;
  std::set<jobs::job_id> uncertain_;
  std::map<jobs::task_ref, std::set<std::string>> running_;
  std::map<jobs::task_ref, std::set<jobs::run_number>> failed_;
  std::set<jobs::task_ref> done_;
  /// Also those whose end was lost with the worker, which later steps may have
  /// followed.
  std::set<jobs::task_ref> ever_done_;
  std::vector<std::string> broken_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_PROMISE_CHECKER_FAKE_HPP
