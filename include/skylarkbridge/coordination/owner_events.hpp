#ifndef SKYLARKBRIDGE_COORDINATION_OWNER_EVENTS_HPP
#define SKYLARKBRIDGE_COORDINATION_OWNER_EVENTS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/ballot.hpp"

/// @brief Events and commands between a shard owner and its workers.
namespace skylarkbridge::coordination {

/// @brief How one attempt at a task ended on a worker.
enum class attempt_end {
  kSucceeded,
  kFailed,
  /// Stopped on request or because the lease expired.
  kStopped,
  /// The worker refused the attempt and will refuse every copy of the command.
  kNotStarted,
};

struct running_attempt {
  task_id task;
  std::uint32_t attempt = 0;

  bool operator==(const running_attempt&) const = default;
};

struct ended_attempt {
  task_id task;
  std::uint32_t attempt = 0;
  attempt_end end = attempt_end::kSucceeded;
  /// Checkpoint at which a kStopped attempt ended; none when work was lost.
  std::optional<std::string> checkpoint;

  bool operator==(const ended_attempt&) const = default;
};

/// @brief What a worker runs, and what has ended there and is unacknowledged.
struct worker_inventory {
  worker_id worker;
  std::vector<running_attempt> running;
  std::vector<ended_attempt> ended;

  bool operator==(const worker_inventory&) const = default;
};

/// @brief Answer of a worker to fence_worker.
struct fence_reply {
  /// Ballot of the command.
  ballot fence;
  /// When the command was issued, by the clock of this VM.
  time_point sent;
  /// Highest ballot that the worker obeys; above `fence` when refused.
  ballot obeyed;
  /// Highest ballot that it obeyed before `fence`; the default value when none.
  ballot displaced;
  /// Time since the worker process started, by its own clock.
  std::chrono::nanoseconds up_for{0};
  /// Worker set of the last renewal that it accepted; 0 when none.
  std::uint64_t worker_set = 0;
  worker_inventory inventory;
};

/// @brief Answer of a worker to renew_lease.
struct renew_reply {
  worker_id worker;
  ballot lease;
  time_point sent;
  /// Granted duration of the command.
  std::chrono::nanoseconds granted{0};
  /// False when the worker refused; `obeyed` tells whether a higher ballot is
  /// the reason.
  bool accepted = false;
  ballot obeyed;
  std::chrono::nanoseconds up_for{0};
  std::uint64_t worker_set = 0;
};

/// @brief Asks a worker to refuse ballots below `fence` and to list its tasks.
struct fence_worker {
  worker_id worker;
  ballot fence;
  time_point sent;

  bool operator==(const fence_worker&) const = default;
};

/// @brief Renews the lease of everything that runs on a worker.
struct renew_lease {
  worker_id worker;
  ballot lease;
  time_point sent;
  std::chrono::nanoseconds granted{0};
  /// Latest known value of the worker's clock; the worker refuses the command
  /// when max_command_age has passed since, and a renewal also when it is below
  /// that of the last one accepted.
  std::chrono::nanoseconds up_for{0};
  /// The worker stores it and lists it in its replies; 0 keeps the stored one.
  std::uint64_t worker_set = 0;

  bool operator==(const renew_lease&) const = default;
};

/// @brief The takeover is complete: tasks that no inventory lists run nowhere.
struct ready {
  ballot takeover;
  std::vector<worker_inventory> inventories;
  /// Since this time nothing that is not listed can run.
  time_point exclusive_since;

  bool operator==(const ready&) const = default;
};

/// @brief A worker became usable after `ready`.
struct worker_joined {
  worker_inventory inventory;

  bool operator==(const worker_joined&) const = default;
};

/// @brief The lease on a worker ran out here; its tasks may still run.
struct worker_unreachable {
  worker_id worker;

  bool operator==(const worker_unreachable&) const = default;
};

/// @brief All leases on a worker have expired; nothing runs there.
struct worker_expired {
  worker_id worker;

  bool operator==(const worker_expired&) const = default;
};

enum class step_down_reason {
  kHigherBallot,
  kNoQuorum,
  kNotExpected,
  kLeaving
};

/// @brief This VM no longer owns the shard and must start nothing on it.
struct step_down {
  step_down_reason reason = step_down_reason::kHigherBallot;

  bool operator==(const step_down&) const = default;
};

using owner_command = std::variant<fence_worker,
                                   renew_lease,
                                   ready,
                                   worker_joined,
                                   worker_unreachable,
                                   worker_expired,
                                   step_down>;
using owner_commands = std::vector<owner_command>;

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_OWNER_EVENTS_HPP
