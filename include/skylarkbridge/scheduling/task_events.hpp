#ifndef SKYLARKBRIDGE_SCHEDULING_TASK_EVENTS_HPP
#define SKYLARKBRIDGE_SCHEDULING_TASK_EVENTS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/base/time.hpp"

/// @brief Events and commands of the batch scheduler of one shard.
namespace skylarkbridge::scheduling {

/// @brief An accepted task waits for a worker, either for the first time or
/// again after an eviction or a takeover.
struct task_submitted {
  task_id task;
  /// Name of a declared batch kind.
  std::string kind;
  /// Number of attempts started so far; the next one gets this number plus 1.
  std::uint32_t attempts = 0;
  /// Checkpoint to resume from, if any.
  std::optional<std::string> checkpoint;
  /// Number of these attempts that failed.
  std::uint32_t failed_attempts = 0;
  /// True if the task was accepted earlier, for example before a takeover. It
  /// is then not refused for its size or for a full queue, but waits.
  bool previously_accepted = false;
};

/// @brief A worker confirmed the start of a task, or an inventory showed that
/// it runs there.
struct task_started {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  /// Kind of the task; required if this scheduler did not start it.
  std::string kind;
};

/// @brief Outcome of one attempt.
enum class task_result {
  kSucceeded,
  /// The task or its worker failed.
  kFailed,
  /// The worker proved that the task did not start.
  kNotStarted,
  /// Stopped on request; progress is kept up to the last reported checkpoint.
  kStopped,
};

/// @brief An attempt ended.
struct task_finished {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  task_result result = task_result::kSucceeded;
};

/// @brief A worker wrote a checkpoint from which the task can resume.
struct task_checkpointed {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  std::string checkpoint;
};

/// @brief Measured resource use of one task over a window.
struct task_usage {
  task_id task;
  resources used;
};

/// @brief Measured latency of one service on one worker over a window.
struct service_latency {
  std::string service;
  std::int64_t requests = 0;
  std::chrono::microseconds p99{0};
};

/// @brief Measurements of one worker over a past window; may arrive late.
struct usage_report {
  worker_id worker;
  time_point window_begin;
  time_point window_end;
  std::vector<task_usage> tasks;
  std::vector<service_latency> services;
};

/// @brief Availability of a worker to the scheduler.
enum class worker_status {
  kLive,
  /// Finishes its running tasks and gets no new ones.
  kLeaving,
  /// Unreachable; its leases may still be valid.
  kUnreachable,
  /// All its leases have expired; nothing runs there.
  kGone,
};

/// @brief Current state of one worker.
struct worker_state {
  worker_id worker;
  worker_status status = worker_status::kLive;
  rack_id rack;
  /// Resources for batch tasks, without those that services need.
  resources capacity;
  /// Time at which the leases of this shard on the worker expire.
  time_point lease_deadline = time_point::max();
};

/// @brief Starts an attempt of a task on a worker.
struct start_task {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  /// Resources that are leased for the task.
  resources leased;
  std::optional<std::string> checkpoint;

  bool operator==(const start_task&) const = default;
};

/// @brief Limits the processor time of a running task or changes its lease.
struct throttle_task {
  task_id task;
  worker_id worker;
  /// Thousandths of the leased processors; 1000 lifts the limit.
  std::int64_t processor_permille = 1000;
  /// A worker ignores the command for any other attempt.
  std::uint32_t attempt = 0;
  /// New lease, which may differ from that of start_task.
  resources leased;

  bool operator==(const throttle_task&) const = default;
};

/// @brief Requests a checkpoint, after which the task is stopped.
struct checkpoint_task {
  task_id task;
  worker_id worker;
  /// A worker ignores the command for any other attempt.
  std::uint32_t attempt = 0;

  bool operator==(const checkpoint_task&) const = default;
};

enum class stop_reason { kCancelled, kEvicted, kWorkerLeaving, kOverQuota };

/// @brief Stops a running task.
struct stop_task {
  task_id task;
  worker_id worker;
  stop_reason reason = stop_reason::kCancelled;
  /// A worker ignores the command for any other attempt.
  std::uint32_t attempt = 0;

  bool operator==(const stop_task&) const = default;
};

enum class task_refusal {
  kUnknownKind,
  kNeverFits,
  kQueueFull,
  kTooManyFailures,
  kOverQuota,
  /// A task that is not idempotent was started, and its worker has gone or
  /// stopped it without a checkpoint.
  kOutcomeUnknown,
};

/// @brief The task will not run; reported to the submitter.
struct refuse_task {
  task_id task;
  task_refusal reason = task_refusal::kUnknownKind;
  /// Explanation for the submitter, for example "kind colour-match needs 2
  /// accelerators; no worker has more than 1".
  std::string detail;

  bool operator==(const refuse_task&) const = default;
};

using task_command = std::
    variant<start_task, throttle_task, checkpoint_task, stop_task, refuse_task>;
using task_commands = std::vector<task_command>;

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_TASK_EVENTS_HPP
