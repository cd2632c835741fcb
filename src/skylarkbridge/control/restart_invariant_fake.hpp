#ifndef SKYLARKBRIDGE_CONTROL_RESTART_INVARIANT_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_RESTART_INVARIANT_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::control {

/// @brief Longest time from the end of a long-running task's run until its next
/// run, in calm times and while there is room for it.
constexpr std::chrono::milliseconds kMaxRestartTime{6000};
/// @brief Time after a fault until the fleet counts as calm.
constexpr std::chrono::milliseconds kCalmTime{4000};
/// @brief There is room for a task when this many more of it would fit.
constexpr std::uint32_t kSlotsForRoom = 2;

/// @brief Why a run ended.
enum class end_cause {
  kDone,
  kFailed,
  kStopped,
  kLeaseExpired,
  kWorkerCrashed,
};

inline const char* Name(end_cause cause) {
  switch (cause) {
    case end_cause::kDone:
      return "done";
    case end_cause::kFailed:
      return "failed";
    case end_cause::kStopped:
      return "stopped";
    case end_cause::kLeaseExpired:
      return "lost with its lease";
    case end_cause::kWorkerCrashed:
      return "lost with its worker";
  }
  return "unknown";
}

/// @brief A worker that is up and not draining.
struct worker_view {
  std::string worker;
  /// Capacity that no long-running task holds. Other work counts as free.
  jobs::resources room;
  /// The runs on the worker, including those that are not long-running.
  std::vector<jobs::task_ref> running;
};

/// @brief The state of the fleet at one time.
struct fleet_view {
  /// Whether a fault is present, or occurred since the last view.
  bool disrupted = false;
  /// The workers of all cells.
  std::vector<worker_view> workers;
};

/// @brief A long-running task that did not run again in time.
struct restart_violation {
  /// The run that ended.
  jobs::run_ref run;
  end_cause cause = end_cause::kFailed;
  /// Time since the end of the run.
  std::chrono::milliseconds wait{};
  /// The workers with room for the task.
  std::vector<worker_view> workers_with_room;
};

inline std::string Format(const restart_violation& violation) {
  std::string text =
      absl::StrCat("RESTART: ", jobs::Format(violation.run.task), "/",
                   violation.run.run, " ", Name(violation.cause), ", waits ",
                   violation.wait.count(), " ms, room:");
  for (const worker_view& worker : violation.workers_with_room) {
    absl::StrAppend(&text, " ", worker.worker, "=", worker.room.millicores);
  }
  return text;
}

/// @brief Number of further tasks of the step that fit on the worker, at most
/// kSlotsForRoom.
inline std::uint32_t Slots(const jobs::task_ref& task,
                           const jobs::step_spec& step,
                           const worker_view& worker) {
  std::uint32_t limit = kSlotsForRoom;
  if (step.max_per_worker > 0) {
    const auto siblings = static_cast<std::uint32_t>(std::count_if(
        worker.running.begin(), worker.running.end(),
        [&task](const jobs::task_ref& other) {
          return other.job == task.job && other.occurrence == task.occurrence &&
                 other.step == task.step;
        }));
    limit = siblings >= step.max_per_worker
                ? 0
                : std::min(limit, step.max_per_worker - siblings);
  }
  jobs::resources room = worker.room;
  std::uint32_t slots = 0;
  while (slots < limit && jobs::Fits(step.need, room)) {
    room -= step.need;
    ++slots;
  }
  return slots;
}

/// @brief Checks that a long-running task whose run ended runs again within
/// kMaxRestartTime.
///
/// Only time counts in which the fleet is calm and has room for the task
/// without a break, so that a fault or a lack of room starts the time anew.
class restart_invariant {
 public:
  /// @param is_owed whether the job is accepted and not cancelled.
  using job_predicate = std::function<bool(jobs::job_id)>;
  /// Returns the step of a task.
  using step_lookup =
      std::function<const jobs::step_spec&(const jobs::task_ref&)>;

  void RunStarted(const jobs::task_ref& task) { waiting_.erase(task); }
  /// @brief The last run of a long-running task ended.
  void RunEnded(const jobs::run_ref& run, end_cause cause, time_point now) {
    waiting_[run.task] = {.run = run, .cause = cause, .ended_at = now};
  }
  void JobCancelled(jobs::job_id job) {
    std::erase_if(waiting_,
                  [job](const auto& entry) { return entry.first.job == job; });
  }

  /// @brief Returns the tasks whose time is over, each only once for each end.
  std::vector<restart_violation> Observe(const fleet_view& fleet,
                                         const job_predicate& is_owed,
                                         const step_lookup& step_of,
                                         time_point now) {
    if (fleet.disrupted) {
      calm_from_ = now + kCalmTime;
    }
    std::vector<restart_violation> violations;
    for (auto& [task, wait] : waiting_) {
      std::vector<worker_view> workers =
          WorkersWithRoom(task, step_of(task), fleet);
      if (now < calm_from_ || workers.empty() || !is_owed(task.job)) {
        wait.due.reset();
        continue;
      }
      if (!wait.due) {
        wait.due = now + kMaxRestartTime;
      }
      if (now > *wait.due && !wait.reported) {
        wait.reported = true;
        violations.push_back(
            {.run = wait.run,
             .cause = wait.cause,
             .wait = std::chrono::duration_cast<std::chrono::milliseconds>(
                 now - wait.ended_at),
             .workers_with_room = std::move(workers)});
      }
    }
    return violations;
  }

 private:
  struct waiting_task {
    jobs::run_ref run;
    end_cause cause = end_cause::kFailed;
    time_point ended_at;
    /// Empty while the fleet is not calm or has no room for the task.
    std::optional<time_point> due;
    bool reported = false;
  };

  /// Returns nothing when fewer than kSlotsForRoom more tasks fit.
  static std::vector<worker_view> WorkersWithRoom(const jobs::task_ref& task,
                                                  const jobs::step_spec& step,
                                                  const fleet_view& fleet) {
    std::vector<worker_view> workers;
    std::uint32_t slots = 0;
    for (const worker_view& worker : fleet.workers) {
      if (const std::uint32_t here = Slots(task, step, worker); here > 0) {
        slots += here;
        workers.push_back(worker);
      }
    }
    if (slots < kSlotsForRoom) {
      workers.clear();
    }
    return workers;
  }

  std::map<jobs::task_ref, waiting_task> waiting_;
  time_point calm_from_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_RESTART_INVARIANT_FAKE_HPP
