#ifndef SKYLARKBRIDGE_COORDINATION_OPEN_TASK_HPP
#define SKYLARKBRIDGE_COORDINATION_OPEN_TASK_HPP

#include <cstdint>
#include <optional>
#include <string>

#include "skylarkbridge/base/ids.hpp"

namespace skylarkbridge::coordination {

/// @brief An accepted task that has not finished.
struct open_task {
  task_id task;
  /// Name of a declared batch kind.
  std::string kind;
  shard_id shard;
  bool idempotent = true;
  /// Attempts known to have been started.
  std::uint32_t attempts = 0;
  std::optional<std::string> checkpoint;
  /// A start of this non-idempotent task may have taken place.
  bool start_claimed = false;
  bool cancelled = false;

  bool operator==(const open_task&) const = default;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_OPEN_TASK_HPP
