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
  /// Other tasks of the kind are ahead in the queue.
  kBehindInQueue,
  /// No worker has enough free capacity, or the expected slowdown of services
  /// is too high on those that have.
  kNoRoom,
  /// The kind or its team has reached its cap of the fleet.
  kShareCap,
  /// The team has reached its quota.
  kTeamQuota,
  /// The kind failed on several workers and backs off before the next trial.
  kFailureBackoff,
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

struct allocated_task {
  task_id task;
  std::string kind;
  std::uint32_t attempt = 0;
  resources leased;
  std::int64_t processor_permille = 1000;
  /// An eviction or a cancellation is under way.
  bool ending = false;
};

struct worker_allocation {
  worker_state state;
  resources leased;
  /// Kept free for a kind whose next task is to run on this worker.
  resources reserved;
  std::vector<allocated_task> tasks;
  /// End of the quarantine after failures; stays set during probation.
  std::optional<time_point> quarantined_until;
  /// Quarantined, or on trial with one task at a time after a quarantine.
  bool probation = false;
  /// Largest slowdown factor of any service in the last usable report; 1 if
  /// none is known.
  double slowdown = 1.0;
};

struct kind_status {
  std::string kind;
  std::int64_t waiting = 0;
  std::int64_t running = 0;
  resources leased;
  /// Lease of the next task of the kind to start.
  resources next_lease;
  std::optional<time_point> backoff_until;
};

struct batch_counters {
  std::uint64_t started = 0;
  std::uint64_t succeeded = 0;
  std::uint64_t failed = 0;
  std::uint64_t refused = 0;
  std::uint64_t throttled = 0;
  /// Evicted to protect a service from slowdown.
  std::uint64_t evicted_for_interference = 0;
  /// Evicted so that another kind reaches its guaranteed minimum or a more
  /// urgent task can start.
  std::uint64_t evicted_for_share = 0;
  /// Evicted because measured use or a reduced capacity exceeded the worker.
  std::uint64_t evicted_for_capacity = 0;
  /// Ignored events: duplicates, old attempts, unknown tasks or old reports.
  std::uint64_t stale_events = 0;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_STATUS_HPP
