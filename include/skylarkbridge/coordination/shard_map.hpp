#ifndef SKYLARKBRIDGE_COORDINATION_SHARD_MAP_HPP
#define SKYLARKBRIDGE_COORDINATION_SHARD_MAP_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/coordination/digest.hpp"

namespace skylarkbridge::coordination {

/// @brief Assigns the workers and tasks of one data centre to a fixed number of
/// shards, and names the expected owner of each shard.
class shard_map {
 public:
  /// @param shards number of shards, at least 1; the same on every VM.
  explicit shard_map(std::uint64_t shards);

  std::uint64_t Shards() const { return shards_; }
  shard_id ShardOf(worker_id worker) const;
  shard_id ShardOf(task_id task) const;
  /// @brief Home shard of an idempotency key, from a stable hash of the key.
  shard_id ShardOfKey(std::uint64_t key_hash) const;

  /// @brief Workers of @p all that belong to @p shard, in the order given.
  std::vector<worker_id> WorkersOf(shard_id shard,
                                   std::span<const worker_id> all) const;

 private:
  std::uint64_t shards_;
};

/// @brief Live member with the highest rendezvous hash for @p shard; none when
/// @p live is empty. A hint for liveness: safety does not depend on it.
std::optional<entry_vm_id> ExpectedOwner(shard_id shard,
                                         std::span<const entry_vm_id> live);

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_SHARD_MAP_HPP
