#ifndef SKYLARKBRIDGE_COORDINATION_TASK_LIFECYCLE_HPP
#define SKYLARKBRIDGE_COORDINATION_TASK_LIFECYCLE_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/open_task.hpp"
#include "skylarkbridge/coordination/owner_events.hpp"
#include "skylarkbridge/coordination/task_outcome.hpp"

namespace skylarkbridge::coordination {

/// @brief The task may be started; the scheduler chooses a worker.
struct offer_task {
  task_id task;
  std::string kind;
  /// Attempts so far; the next one gets the number after.
  std::uint32_t attempts = 0;
  std::optional<std::string> checkpoint;

  bool operator==(const offer_task&) const = default;
};

/// @brief An offered task must no longer be started.
struct withdraw_task {
  task_id task;

  bool operator==(const withdraw_task&) const = default;
};

/// @brief Makes the start claim of a non-idempotent task durable.
struct claim_start {
  task_id task;
  std::uint32_t attempt = 0;

  bool operator==(const claim_start&) const = default;
};

/// @brief Starts an attempt on a worker; repeated until the worker answers.
struct run_attempt {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  std::optional<std::string> checkpoint;

  bool operator==(const run_attempt&) const = default;
};

/// @brief Stops an attempt; repeated until the worker reports its end.
struct stop_attempt {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;

  bool operator==(const stop_attempt&) const = default;
};

/// @brief The worker may forget how the attempt ended.
struct acknowledge_attempt {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;

  bool operator==(const acknowledge_attempt&) const = default;
};

struct record_checkpoint {
  task_id task;
  std::uint32_t attempt = 0;
  std::string checkpoint;
  /// The attempt was stopped at this checkpoint.
  bool stopped = false;

  bool operator==(const record_checkpoint&) const = default;
};

/// @brief Makes the end of the task durable; answered by Recorded.
struct record_end {
  task_id task;
  std::uint32_t attempt = 0;
  task_outcome outcome = task_outcome::kSucceeded;

  bool operator==(const record_end&) const = default;
};

using lifecycle_command = std::variant<offer_task,
                                       withdraw_task,
                                       claim_start,
                                       run_attempt,
                                       stop_attempt,
                                       acknowledge_attempt,
                                       record_checkpoint,
                                       record_end>;
using lifecycle_commands = std::vector<lifecycle_command>;

/// @brief Protections that tests switch off to show that the explorer notices.
struct lifecycle_test_options {
  /// Makes the start claim durable before a non-idempotent task starts.
  bool claim_before_start = true;
  /// Ignores reports that are not of the current attempt and worker.
  bool check_attempts = true;
};

struct task_lifecycle_options {
  /// Interval at which unanswered starts and stops are sent again.
  std::chrono::milliseconds resend_interval{200};
  lifecycle_test_options test;
};

/// @brief Decides which open tasks of an owned shard may be started, which must
/// wait, and how each one ends. Exists from `ready` until `step_down`.
class task_lifecycle {
 public:
  explicit task_lifecycle(task_lifecycle_options options = {})
      : options_(options) {}

  /// @brief Starts from the open tasks of the log and the inventories of a
  /// complete takeover. A task that runs twice is stopped in all places but
  /// one.
  lifecycle_commands Own(const ready& takeover,
                         std::span<const open_task> open,
                         time_point now);
  /// @brief A task of the shard was accepted; repeated reports are ignored.
  lifecycle_commands Accept(const open_task& task, time_point now);
  lifecycle_commands Cancel(task_id task, time_point now);
  /// @brief The scheduler chose a worker for an offered task.
  lifecycle_commands Start(task_id task, worker_id worker, time_point now);
  /// @brief The log shows a start claim, in log order. The attempt starts when
  /// it is this owner's; a claim of another ballot ends the task as unknown.
  lifecycle_commands Claimed(task_id task,
                             std::uint32_t attempt,
                             const ballot& claimant,
                             time_point now);
  /// @brief The start claim of this attempt was not written and will not be;
  /// the task is offered again.
  lifecycle_commands NotClaimed(task_id task,
                                std::uint32_t attempt,
                                time_point now);
  /// @brief The first run_attempt of this attempt was not sent because the
  /// worker is not usable; the task is offered again.
  lifecycle_commands NotSent(task_id task,
                             std::uint32_t attempt,
                             time_point now);
  lifecycle_commands Started(worker_id worker,
                             const running_attempt& attempt,
                             time_point now);
  lifecycle_commands Ended(worker_id worker,
                           const ended_attempt& attempt,
                           time_point now);
  lifecycle_commands Checkpointed(worker_id worker,
                                  const running_attempt& attempt,
                                  std::string checkpoint,
                                  time_point now);
  /// @brief Stops an attempt so that the task resumes elsewhere.
  lifecycle_commands Evict(task_id task, time_point now);
  /// @brief The log shows the end of the task, recorded by any owner.
  lifecycle_commands Recorded(task_id task, time_point now);
  /// @brief The fold has reached an end of the log that was read after the
  /// takeover and after the latest Joined; attempts of tasks that are still
  /// unknown belong to ended tasks.
  lifecycle_commands LogCurrent(time_point now);
  lifecycle_commands Joined(const worker_inventory& inventory, time_point now);
  lifecycle_commands Unreachable(worker_id worker, time_point now);
  lifecycle_commands Expired(worker_id worker, time_point now);
  lifecycle_commands Tick(time_point now);

  std::optional<time_point> NextDeadline() const;
  std::size_t Open() const { return tasks_.size(); }

 private:
  enum class phase {
    kOffered,
    kClaiming,
    kStarting,
    kRunning,
    kStopping,
    /// The worker is unreachable and may still run the task.
    kHeld,
    /// The end is known and is being recorded.
    kEnding,
  };
  struct entry {
    open_task facts;
    /// False while only an inventory shows the task: its accepted record has
    /// not been folded yet, or it has ended already.
    bool known = true;
    phase state = phase::kOffered;
    std::optional<worker_id> worker;
    std::uint32_t attempt = 0;
    /// Number of the next attempt minus one.
    std::uint32_t attempts = 0;
    /// A non-idempotent attempt was sent to a worker and may have run.
    bool sent = false;
    std::uint32_t sends = 0;
    time_point resend_at = time_point::max();
    /// Ends that are acknowledged once the task's end is durable.
    std::vector<acknowledge_attempt> unacknowledged;
  };

  void Offer(entry& task, lifecycle_commands& out);
  void End(entry& task, task_outcome outcome, lifecycle_commands& out);
  /// @brief The attempt ended or can no longer run, without a result.
  void Release(entry& task, bool may_have_run, lifecycle_commands& out);
  void Send(entry& task, time_point now, lifecycle_commands& out);
  void StopRunning(entry& task, time_point now, lifecycle_commands& out);
  bool Current(const entry& task,
               worker_id worker,
               std::uint32_t attempt) const;
  void Adopt(entry& task, worker_id worker, std::uint32_t attempt, phase state);
  void Inventory(std::span<const worker_inventory> inventories,
                 time_point now,
                 lifecycle_commands& out);

  task_lifecycle_options options_;
  ballot takeover_;
  // Ordered, so that commands come out in the same order in every run.
  std::map<task_id, entry> tasks_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_TASK_LIFECYCLE_HPP
