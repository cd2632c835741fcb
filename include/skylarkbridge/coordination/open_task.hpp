#ifndef SKYLARKBRIDGE_COORDINATION_OPEN_TASK_HPP
#define SKYLARKBRIDGE_COORDINATION_OPEN_TASK_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkbridge/base/ids.hpp"

namespace skylarkbridge::coordination {

/// @brief What the durable records say of a task that is accepted and not
/// finished.
struct open_task {
  task_id task;
  /// Name of a declared batch kind.
  std::string kind;
  /// The task runs only on workers of this shard.
  shard_id shard;
  /// Whether the task may run more than once.
  bool idempotent = false;
  /// Highest attempt number in a start claim or checkpoint record. Starts of
  /// idempotent tasks are not recorded, so later attempts may exist.
  std::uint32_t attempts = 0;
  /// Checkpoint of the highest attempt that has one.
  std::optional<std::string> checkpoint;
  /// A start claim is recorded; a non-idempotent task may have run.
  bool start_claimed = false;
  /// Cancellation was requested; the task is open until it has stopped.
  bool cancelled = false;

  bool operator==(const open_task&) const = default;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_OPEN_TASK_HPP
