#ifndef SKYLARKBRIDGE_CONTROL_UNKNOWN_LIFE_RUNS_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_UNKNOWN_LIFE_RUNS_FAKE_HPP

#include <algorithm>
#include <compare>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::control {

/// @brief A run of a task, and the worker that it is on.
struct placed_run {
  std::string worker;
  jobs::run_number run = 0;

  auto operator<=>(const placed_run&) const = default;
};

/// @brief Runs of start orders that were sent to an earlier life of a worker
/// and reached the next one before it had seen the owner's current fencing
/// token. docs/decisions/late_orders.md says why no owner can prevent them.
class unknown_life_runs {
 public:
  /// @brief A worker gets such an order. It may refuse it.
  void Expect(const std::string& worker, const jobs::run_ref& run) {
    runs_.emplace(worker, run);
  }
  /// @brief The worker refused it.
  void Refused(const std::string& worker, const jobs::run_ref& run) {
    runs_.erase({worker, run});
  }
  bool Contains(const std::string& worker, const jobs::run_ref& run) const {
    return runs_.contains({worker, run});
  }
  /// @brief Whether all of @p runs, which belong to the task, are such runs.
  bool RunAll(const jobs::task_ref& task,
              const std::set<placed_run>& runs) const {
    return std::all_of(runs.begin(), runs.end(), [&](const placed_run& run) {
      return Contains(run.worker, {task, run.run});
    });
  }
  std::vector<jobs::run_ref> RunsOn(const std::string& worker) const {
    std::vector<jobs::run_ref> found;
    for (const auto& [place, run] : runs_) {
      if (place == worker) {
        found.push_back(run);
      }
    }
    return found;
  }
  /// @param already_done whether another run has done the task.
  void RunEnded(const std::string& worker,
                const jobs::run_ref& run,
                end_cause cause,
                bool already_done) {
    const bool unknown_life = runs_.erase({worker, run}) > 0;
    if (cause == end_cause::kDone && unknown_life && !already_done) {
      done_.insert(run.task);
    } else if (cause == end_cause::kDone && !unknown_life) {
      done_.erase(run.task);
    }
  }
  /// @brief The owner will not learn that the task is done.
  void EndDeleted(const jobs::task_ref& task) { done_.insert(task); }
  void EndDiscarded(const jobs::task_ref& task) { done_.erase(task); }
  /// @brief Whether only such runs have done the task, or its end was deleted.
  bool Done(const jobs::task_ref& task) const { return done_.contains(task); }

 private:
  std::set<std::pair<std::string, jobs::run_ref>> runs_;
  /// Tasks that only such runs have done, or whose ends were deleted.
  std::set<jobs::task_ref> done_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_UNKNOWN_LIFE_RUNS_FAKE_HPP
