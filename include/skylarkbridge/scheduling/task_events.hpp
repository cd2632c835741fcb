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

/// @brief Events and commands of the scheduler of batch tasks of one shard.
namespace skylarkbridge::scheduling {

/// @brief An accepted task waits for a worker, at first or after an eviction or
/// a takeover.
struct task_submitted {
  task_id task;
  /// Name of a declared batch kind.
  std::string kind;
  /// Attempts that were started before; the next one gets the number after.
  std::uint32_t attempts = 0;
  /// Checkpoint to resume from, if any.
  std::optional<std::string> checkpoint;
  /// Attempts among them that failed.
  std::uint32_t failed_attempts = 0;
  /// Accepted earlier, for example before a takeover: it then waits instead of
  /// being refused for its size or for a full queue.
  bool resumed = false;
};

/// @brief A worker confirmed the start of a task, or an inventory showed that
/// it runs there.
struct task_started {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  /// Needed when the scheduler did not start the task itself.
  std::string kind;
};

enum class task_result {
  kSucceeded,
  /// The task itself failed or its worker did.
  kFailed,
  /// The worker proved that the task did not start.
  kNotStarted,
  /// Stopped on request, at the checkpoint reported before.
  kStopped,
};

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

/// @brief Measured use of one task over a window.
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

/// @brief Lagging report of one worker over a past window.
struct usage_report {
  worker_id worker;
  time_point window_begin;
  time_point window_end;
  std::vector<task_usage> tasks;
  std::vector<service_latency> services;
};

enum class worker_status {
  kLive,
  /// Finishes what it has and gets no new work.
  kLeaving,
  /// Unreachable; its leases may still run.
  kUnreachable,
  /// All its leases have expired; nothing runs there.
  kGone,
};

struct worker_state {
  worker_id worker;
  worker_status status = worker_status::kLive;
  rack_id rack;
  /// Room for batch tasks, after what services need.
  resources capacity;
  /// Time at which the leases of this shard on the worker end.
  time_point lease_deadline = time_point::max();
};

struct start_task {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  /// Resources that are leased for the task.
  resources leased;
  std::optional<std::string> checkpoint;

  bool operator==(const start_task&) const = default;
};

/// @brief Limits the processor time of a running task, or changes its lease.
struct throttle_task {
  task_id task;
  worker_id worker;
  /// Thousandths of the leased processors; 1000 lifts the limit.
  std::int64_t processor_permille = 1000;
  /// Attempt that is meant; a worker ignores the command for any other.
  std::uint32_t attempt = 0;
  /// The lease from now on, which may differ from that of start_task.
  resources leased;

  bool operator==(const throttle_task&) const = default;
};

/// @brief Asks for a checkpoint, after which the task is stopped.
struct checkpoint_task {
  task_id task;
  worker_id worker;
  /// Attempt that is meant; a worker ignores the command for any other.
  std::uint32_t attempt = 0;

  bool operator==(const checkpoint_task&) const = default;
};

enum class stop_reason { kCancelled, kEvicted, kWorkerLeaving, kOverQuota };

struct stop_task {
  task_id task;
  worker_id worker;
  stop_reason reason = stop_reason::kCancelled;
  /// Attempt that is meant; a worker ignores the command for any other.
  std::uint32_t attempt = 0;

  bool operator==(const stop_task&) const = default;
};

enum class task_refusal {
  kUnknownKind,
  kNeverFits,
  kQueueFull,
  kTooManyFailures,
  kOverQuota,
  /// A task that is not idempotent was started, and its worker is gone or
  /// stopped it without a checkpoint.
  kOutcomeUnknown,
};

/// @brief The task will not run; reported to who submitted it.
struct refuse_task {
  task_id task;
  task_refusal reason = task_refusal::kUnknownKind;
  /// For example "kind colour-match needs 2 accelerators; no worker has more
  /// than 1".
  std::string detail;

  bool operator==(const refuse_task&) const = default;
};

using task_command = std::
    variant<start_task, throttle_task, checkpoint_task, stop_task, refuse_task>;
using task_commands = std::vector<task_command>;

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_TASK_EVENTS_HPP
