#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_STATUS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_STATUS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"

/// @brief Read-only views of the batch scheduler for status pages.
namespace skylarkbridge::scheduling {

enum class waiting_reason {
  /// Older or more urgent tasks of the kind come first.
  kBehindOthers,
  /// No worker has room, or only workers where the expected harm is too high.
  kNoRoom,
  /// The kind or its team holds the most that its share allows.
  kShareCap,
  /// The team holds its quota.
  kTeamQuota,
  /// The kind failed on several workers and waits before the next trial.
  kHeldBack,
  kNoWorkers,
};

struct waiting_status {
  waiting_reason reason = waiting_reason::kNoRoom;
  /// For example "kind draw is held back after failures on 3 workers".
  std::string detail;
  time_point since;
  std::uint32_t attempts = 0;
  std::uint32_t failed_attempts = 0;
};

struct held_task {
  task_id task;
  std::string kind;
  std::uint32_t attempt = 0;
  resources leased;
  std::int64_t processor_permille = 1000;
  /// An eviction or a cancellation is under way.
  bool ending = false;
};

struct worker_holdings {
  worker_state state;
  resources leased;
  /// Kept free for a task that waits for this worker.
  resources reserved;
  std::vector<held_task> tasks;
  /// Set while the worker gets no work because of failures.
  std::optional<time_point> quarantined_until;
  bool probation = false;
  /// Largest slowdown of a service that the last usable report showed, as a
  /// factor; 1 when none is known.
  double slowdown = 1.0;
};

struct kind_status {
  std::string kind;
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  resources leased;
  /// Lease that the next task of the kind gets.
  resources next_lease;
  std::optional<time_point> held_back_until;
};

struct batch_counters {
  std::uint64_t started = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t throttled = 0;
  /// Evicted to protect a service from slowdown.
  std::uint64_t evicted_for_interference = 0;
  /// Evicted to return lent share.
  std::uint64_t evicted_for_share = 0;
  /// Evicted because measured use or a smaller capacity left no room.
  std::uint64_t evicted_for_room = 0;
  /// Events about old attempts or unknown tasks, which changed nothing.
  std::uint64_t stale_events = 0;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_STATUS_HPP
