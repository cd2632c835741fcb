#ifndef SKYLARKBRIDGE_JOBS_RESTART_STAGES_HPP
#define SKYLARKBRIDGE_JOBS_RESTART_STAGES_HPP

#include <array>
#include <bitset>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <optional>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/restart_cause.hpp"

/// @brief The stages of a long-running task's wait, their limits, and the
/// account of the time that each waiting task has spent in them.
namespace skylarkbridge::jobs {

/// @brief A part of the time from the end of a long-running task's run to the
/// confirmation of its next start.
enum class restart_stage {
  /// The task has never run. It waits among the first starts.
  kFirstStart,
  /// The owner may give no orders, as its ownership is not confirmed.
  kOwnership,
  /// Workers of an earlier owner have not sent a report.
  kTakeover,
  /// No placement pass has looked at the task yet.
  kNextPass,
  /// The delay after a failed run.
  kRetryDelay,
  /// The end of the last run is not stored.
  kUnstoredEnd,
  /// No usable or no eligible worker.
  kWorker,
  /// The placement policy has permitted no worker.
  kPlacementPolicy,
  /// No eligible worker has enough room.
  kRoom,
  /// The task is kept apart from other suspects of a crash.
  kIsolation,
  /// Other members of the gang can't start.
  kGang,
  /// The worker of an unanswered start, on which alone the task may start, does
  /// not get new tasks or has no room.
  kLateStart,
  /// A start order is under way, or has had no answer and is not ruled out.
  kStartOrder,
};

inline constexpr std::size_t kRestartStageCount = 13;

/// @brief Longest time from the end of a long-running task's run to its next
/// run in calm time, while there is room for it.
inline constexpr std::chrono::milliseconds kMaxRestartWait{6000};

/// @brief How long one wait may stay in a stage, over all its visits to it.
struct restart_stage_bound {
  restart_stage stage = restart_stage::kNextPass;
  /// nullopt when nothing limits the stage.
  std::optional<std::chrono::milliseconds> limit;
  /// Whether a restart in calm time passes through the stage. Such stages can
  /// follow one another, so that the sum of their limits bounds the wait.
  bool in_calm_time = false;
};

/// @brief The bound of each stage, in the order of restart_stage.
/// docs/decisions/restarts.md says what each one rests on.
inline constexpr std::array<restart_stage_bound, kRestartStageCount>
    kRestartStageBounds{{
        // first_start_patience and a pass.
        {restart_stage::kFirstStart, std::chrono::milliseconds(1600), false},
        // As long as the store is down.
        {restart_stage::kOwnership, std::nullopt, false},
        // The last orders of an earlier owner and their leases.
        {restart_stage::kTakeover, std::chrono::milliseconds(12'000), false},
        // Two intervals of Run.
        {restart_stage::kNextPass, std::chrono::milliseconds(200), true},
        // The delay after one failure, and a pass.
        {restart_stage::kRetryDelay, std::chrono::milliseconds(150), true},
        // One write.
        {restart_stage::kUnstoredEnd, std::chrono::milliseconds(500), true},
        {restart_stage::kWorker, std::nullopt, false},
        {restart_stage::kPlacementPolicy, std::nullopt, false},
        // relocation_delay, and the stops of batch work and of the run that
        // moves, 0.9 s each.
        {restart_stage::kRoom, std::chrono::milliseconds(4000), true},
        {restart_stage::kIsolation, std::nullopt, false},
        {restart_stage::kGang, std::nullopt, false},
        // bound_restart_limit and a pass.
        {restart_stage::kLateStart, std::chrono::milliseconds(3800), false},
        // One order without an answer and the report that rules it out.
        {restart_stage::kStartOrder, std::chrono::milliseconds(700), true},
    }};

/// @brief The limit of a stage; nullopt when it has none.
std::optional<std::chrono::milliseconds> LimitOf(restart_stage stage);

/// @brief The stage in which a task waits for what a placement pass lacked.
restart_stage StageOf(restart_obstacle obstacle);

/// @brief The time that a wait has spent in each stage.
class restart_stage_times {
 public:
  time_point::duration& operator[](restart_stage stage) {
    return times_[static_cast<std::size_t>(stage)];
  }
  const time_point::duration& operator[](restart_stage stage) const {
    return times_[static_cast<std::size_t>(stage)];
  }
  time_point::duration Total() const;
  /// @brief Keeps the longer time of each stage.
  void IncludeLongest(const restart_stage_times& other);

 private:
  std::array<time_point::duration, kRestartStageCount> times_{};
};

/// @brief The stage in which a wait has been longest.
struct longest_restart_stage {
  restart_stage stage = restart_stage::kNextPass;
  std::chrono::milliseconds time{};
};

/// @brief What has become of the waits since the last call of Take.
struct restart_stage_report {
  /// The waits that ended with a run or with a move to another cell.
  std::vector<restart_stage_times> ended;
  /// The waits that have exceeded the limit of a stage, each counted once for
  /// each stage when it does so, by number of the stage.
  std::array<std::uint64_t, kRestartStageCount> over_limit{};
  /// The waits that have exceeded kMaxRestartWait in all.
  std::uint64_t over_total = 0;
};

/// @brief What has become of a task whose wait is accounted.
enum class restart_wait_outcome {
  kWaits,
  /// Its run is confirmed, or another cell has the task.
  kEnded,
  /// The task is gone or must not start again; its wait counts for nothing.
  kDropped,
};

/// @brief Accounts the waits of an owner's long-running tasks to stages.
class restart_stages {
 public:
  /// @brief Begins the account of a wait, in @p first since @p since. Has no
  /// effect if the wait that began then is known. Ends another one of the task:
  /// a run that was never confirmed has ended it.
  void Begin(const task_ref& task, time_point since, restart_stage first);
  /// @brief The task, which has never run, waits for its first start. Begins
  /// its account unless one is known.
  void EnterFirstStart(const task_ref& task, time_point now);
  /// @brief The known wait of a first start counts as begun at @p since, see
  /// job_table::WaitAsRestart.
  void ContinueAsRestart(const task_ref& task, time_point since);
  /// @brief The task waits in the stage from now on. Has no effect on tasks
  /// without an account.
  void Enter(const task_ref& task, restart_stage stage, time_point now);
  /// @brief Counts all waits up to @p now, and removes those that are over.
  /// @param outcome_of returns the restart_wait_outcome of a task_ref.
  template <class OutcomeOf>
  void Update(time_point now, OutcomeOf outcome_of) {
    for (auto entry = waits_.begin(); entry != waits_.end();) {
      const restart_wait_outcome outcome = outcome_of(entry->first);
      if (outcome != restart_wait_outcome::kDropped) {
        Count(entry->second, now);
      }
      if (outcome == restart_wait_outcome::kEnded) {
        report_.ended.push_back(entry->second.times);
      }
      entry = outcome == restart_wait_outcome::kWaits ? std::next(entry)
                                                      : waits_.erase(entry);
    }
  }

  /// @brief The stage in which the task has been longest, as counted so far;
  /// nullopt without an account.
  std::optional<longest_restart_stage> Longest(const task_ref& task) const;
  /// @brief By stage, the longest time that one of the waiting tasks has spent
  /// in it.
  restart_stage_times LongestWaits(time_point now) const;
  /// @brief Number of tasks with an account.
  std::size_t Size() const { return waits_.size(); }
  /// @brief Returns what has happened since the last call.
  restart_stage_report Take();
  /// @brief Forgets the waits, but not what Take has not returned yet.
  void Clear() { waits_.clear(); }

 private:
  struct wait {
    /// Tells one wait of a task from the next.
    time_point since;
    restart_stage stage = restart_stage::kNextPass;
    time_point counted_until;
    restart_stage_times times;
    std::bitset<kRestartStageCount> over_limit;
    bool over_total = false;
  };

  void Count(wait& each_wait, time_point now);

  std::map<task_ref, wait> waits_;
  restart_stage_report report_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RESTART_STAGES_HPP
