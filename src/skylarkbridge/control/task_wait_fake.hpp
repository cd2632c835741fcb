#ifndef SKYLARKBRIDGE_CONTROL_TASK_WAIT_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_TASK_WAIT_FAKE_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/jobs/ids.hpp"

/// @brief The waits of long-running tasks, with what the scheduler says that
/// they wait for.
namespace skylarkbridge::control {

/// @brief What a task waits for at one time.
enum class wait_stage {
  /// The store answers no calls.
  kOutage,
  /// The cell has no owner.
  kNoOwner,
  /// Workers of earlier owners that have not reported.
  kUnreportedWorkers,
  /// The owner has not learnt that the run ended.
  kUnreportedEnd,
  /// The end of the run is not stored.
  kUnstoredEnd,
  kRetryDelay,
  /// A start order has no answer.
  kUnansweredStart,
  /// An earlier start without an answer binds the task to a worker.
  kLateStart,
  kRoom,
  /// Its job has begun, and the task has never run.
  kFirstStart,
  kOther,
};
constexpr std::array<const char*, 11> kWaitStageNames{
    "outage",           "no_owner",     "unreported_workers",
    "unreported_end",   "unstored_end", "retry_delay",
    "unanswered_start", "late_start",   "room",
    "first_start",      "other"};
inline const char* Name(wait_stage stage) {
  return kWaitStageNames[static_cast<std::size_t>(stage)];
}

/// @brief Kinds of long waits, by what took most of their time.
enum class wait_class {
  kRoomInPieces,
  kFirstStart,
  /// The end of the last run is not known to an owner, or not stored.
  kUnstoredEnd,
  kLateStart,
  kOther,
};
inline const char* Name(wait_class kind) {
  constexpr std::array<const char*, 5> kNames{"room in pieces", "never run",
                                              "unknown or unstored end",
                                              "late start", "other"};
  return kNames[static_cast<std::size_t>(kind)];
}

inline wait_class ClassOf(wait_stage stage) {
  switch (stage) {
    case wait_stage::kRoom:
      return wait_class::kRoomInPieces;
    case wait_stage::kFirstStart:
      return wait_class::kFirstStart;
    case wait_stage::kNoOwner:
    case wait_stage::kUnreportedWorkers:
    case wait_stage::kUnreportedEnd:
    case wait_stage::kUnstoredEnd:
    case wait_stage::kRetryDelay:
      return wait_class::kUnstoredEnd;
    case wait_stage::kUnansweredStart:
    case wait_stage::kLateStart:
      return wait_class::kLateStart;
    default:
      return wait_class::kOther;
  }
}

/// @brief A task that waits, as seen at one time.
struct wait_view {
  wait_stage stage = wait_stage::kOther;
  /// Whether no fault is present or was so within kCalmTime that leaves the
  /// task no way to start.
  bool calm = false;
  /// Whether the cell has room for the task, after moves if need be.
  bool room = false;
  /// The moves that make the room.
  std::string plan;
};

/// @brief The wait of one task for its start.
struct task_wait {
  jobs::task_ref task;
  bool has_run = false;
  /// When its last run ended, or when it could first have started.
  time_point since;
  /// The time from which the scheduler can know of the wait.
  time_point counts_from;
  /// The time from which the cell has had room; empty while it has none.
  std::optional<time_point> room_since;
  std::map<wait_stage, std::chrono::milliseconds> stages;
  std::string plan;
  /// When it had waited for too long.
  std::optional<time_point> overdue_since;

  std::chrono::milliseconds Length(time_point now) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - since);
  }
  /// @brief The class to which most of its time belongs, without that of an
  /// outage.
  wait_class Class() const {
    std::map<wait_class, std::chrono::milliseconds> times;
    for (const auto& [stage, time] : stages) {
      if (stage != wait_stage::kOutage) {
        times[ClassOf(stage)] += time;
      }
    }
    const auto longest = std::max_element(
        times.begin(), times.end(), [](const auto& left, const auto& right) {
          return left.second < right.second;
        });
    return longest == times.end() ? wait_class::kOther : longest->first;
  }
};

/// @brief A task that did not start in time.
struct wait_violation {
  wait_class kind = wait_class::kOther;
  std::string text;
};

/// @brief Checks that each long-running task, those that have never run
/// included, starts within kMaxRestartTime.
///
/// A fault does not begin the time anew, as it does in restart_invariant: a
/// wait that is longer is a violation as soon as the fleet is calm. A lack of
/// room does.
class task_waits {
 public:
  /// @brief A task begins to wait. Does nothing for one that waits already.
  void Begin(const task_wait& wait) { waits_.try_emplace(wait.task, wait); }
  void Started(const jobs::task_ref& task, time_point now) {
    const auto wait = waits_.find(task);
    if (wait != waits_.end()) {
      Count(wait->second, now);
      waits_.erase(wait);
    }
  }
  /// @brief The tasks of the job wait no more.
  void Cancelled(jobs::job_id job, time_point now) {
    std::erase_if(waits_, [this, job, now](const auto& entry) {
      if (entry.first.job != job) {
        return false;
      }
      Count(entry.second, now);
      return true;
    });
  }
  /// @brief The owner can know of the wait from @p now on at the latest.
  void CountFrom(const jobs::task_ref& task, time_point now) {
    task_wait& wait = waits_.at(task);
    wait.counts_from = std::min(wait.counts_from, now);
  }
  bool Waits(const jobs::task_ref& task) const { return waits_.contains(task); }
  /// @brief Those that have run come first, each the longest wait first.
  std::vector<task_wait> InOrder() const {
    std::vector<task_wait> order;
    for (const auto& [task, wait] : waits_) {
      order.push_back(wait);
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const task_wait& left, const task_wait& right) {
                       return std::make_pair(!left.has_run, left.since) <
                              std::make_pair(!right.has_run, right.since);
                     });
    return order;
  }

  /// @brief Adds what was seen of a waiting task since the last call for it.
  void Observe(const jobs::task_ref& task,
               const wait_view& seen,
               std::chrono::milliseconds interval,
               time_point now) {
    task_wait& wait = waits_.at(task);
    wait.stages[seen.stage] += interval;
    if (!seen.room) {
      wait.room_since.reset();
      return;
    }
    wait.plan = seen.plan;
    if (!wait.room_since) {
      wait.room_since = std::max(now, wait.counts_from);
    }
    if (seen.calm && !wait.overdue_since &&
        now > *wait.room_since + kMaxRestartTime) {
      wait.overdue_since = now;
    }
  }

  /// @brief Ends the count. Tasks that still wait count as well.
  void Finish(time_point now) {
    for (const auto& [task, wait] : waits_) {
      Count(wait, now);
    }
    waits_.clear();
  }

  /// @brief The waits that have ended and were too long.
  const std::vector<wait_violation>& Violations() const { return violations_; }
  /// @brief Number of waits over kMaxRestartTime, whatever their cause.
  std::size_t LongWaits() const { return long_waits_; }
  std::chrono::milliseconds Longest() const { return longest_; }
  /// @brief The longest time that a task has waited for each thing.
  const std::map<wait_stage, std::chrono::milliseconds>& LongestStages() const {
    return longest_stages_;
  }

 private:
  void Count(const task_wait& wait, time_point now) {
    const std::chrono::milliseconds length = wait.Length(now);
    long_waits_ += length > kMaxRestartTime ? 1 : 0;
    longest_ = std::max(longest_, length);
    for (const auto& [stage, time] : wait.stages) {
      longest_stages_[stage] = std::max(longest_stages_[stage], time);
    }
    if (wait.overdue_since) {
      violations_.push_back(
          {.kind = wait.Class(), .text = Describe(wait, now)});
    }
  }
  static std::string Describe(const task_wait& wait, time_point now) {
    std::string text =
        absl::StrCat("WAIT: ", jobs::Format(wait.task), " ", Name(wait.Class()),
                     ", waits ", wait.Length(now).count(), " ms");
    for (const auto& [stage, time] : wait.stages) {
      absl::StrAppend(&text, " ", Name(stage), "=", time.count());
    }
    return absl::StrCat(text, ", room: ", wait.plan);
  }

  std::map<jobs::task_ref, task_wait> waits_;
  std::vector<wait_violation> violations_;
  std::size_t long_waits_ = 0;
  std::chrono::milliseconds longest_{};
  std::map<wait_stage, std::chrono::milliseconds> longest_stages_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_TASK_WAIT_FAKE_HPP
