#include "skylarkbridge/coordination/shard_map.hpp"

#include <algorithm>

namespace skylarkbridge::coordination {

shard_map::shard_map(std::uint64_t shards)
    : shards_(std::max<std::uint64_t>(shards, 1)) {}

shard_id shard_map::ShardOf(worker_id worker) const {
  return {Mix(worker.value) % shards_};
}

shard_id shard_map::ShardOf(task_id task) const {
  return {Mix(task.value) % shards_};
}

shard_id shard_map::ShardOfKey(std::uint64_t key_hash) const {
  return {Mix(key_hash) % shards_};
}

std::vector<worker_id> shard_map::WorkersOf(
    shard_id shard,
    std::span<const worker_id> all) const {
  std::vector<worker_id> members;
  for (const worker_id worker : all) {
    if (ShardOf(worker) == shard) {
      members.push_back(worker);
    }
  }
  return members;
}

std::optional<entry_vm_id> ExpectedOwner(shard_id shard,
                                         std::span<const entry_vm_id> live) {
  const auto score = [shard](entry_vm_id vm) {
    return std::pair(Mix(Mix(vm.value) ^ shard.value), vm);
  };
  const auto best = std::max_element(
      live.begin(), live.end(),
      [&](entry_vm_id a, entry_vm_id b) { return score(a) < score(b); });
  if (best == live.end()) {
    return std::nullopt;
  }
  return *best;
}

}  // namespace skylarkbridge::coordination
