#include "skylarkbridge/daemon/slot_part.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::daemon {

slot_part::slot_part(slot_part_options options,
                     coordination::shard_map shards,
                     coordination::slot_holder_id self)
    : options_(options), shard_map_(shards) {
  for (std::uint64_t i = 0; i < shards.Shards(); ++i) {
    holders_.emplace(shard_id{i},
                     coordination::slot_holder(options_.lease, self));
  }
}

void slot_part::SetWorkers(const std::vector<wire::worker_vm>& workers) {
  workers_.clear();
  for (const wire::worker_vm& worker : workers) {
    workers_[shard_map_.ShardOf(worker.worker)].push_back(worker);
  }
}

std::vector<due_slot_request> slot_part::Tick(time_point now) {
  std::vector<due_slot_request> due;
  if (now < next_renewal_) {
    return due;
  }
  next_renewal_ = now + options_.renewal_interval;
  for (const auto& [shard, workers] : workers_) {
    std::int64_t wanted = 0;
    for (const wire::worker_vm& worker : workers) {
      wanted += worker.slots;
    }
    due.push_back({shard, holders_.at(shard).MakeRequest(wanted, now)});
  }
  return due;
}

std::vector<due_slot_request> slot_part::Return(time_point now) {
  std::vector<due_slot_request> due;
  for (auto& [shard, holder] : holders_) {
    due.push_back({shard, holder.MakeRequest(0, now)});
  }
  return due;
}

std::vector<scheduling::upstream_state> slot_part::Apply(
    shard_id shard,
    const coordination::slot_grant& grant,
    time_point now) {
  std::vector<scheduling::upstream_state> states;
  const auto holder = holders_.find(shard);
  if (holder == holders_.end()) {
    return states;
  }
  holder->second.Apply(grant, now);
  for (const wire::worker_vm& worker : workers_[shard]) {
    states.push_back(Describe(worker));
  }
  return states;
}

scheduling::upstream_state slot_part::Describe(
    const wire::worker_vm& worker) const {
  const coordination::slot_holder& holder =
      holders_.at(shard_map_.ShardOf(worker.worker));
  return {.upstream = worker.worker,
          .status = worker.status == wire::vm_status::kLive
                        ? scheduling::upstream_status::kLive
                        : scheduling::upstream_status::kLeaving,
          .data_centre = worker.data_centre,
          .slots = holder.Held(worker.worker),
          .connections = worker.connections,
          .lease_deadline = holder.Deadline()};
}

std::optional<time_point> slot_part::Use(worker_id worker,
                                         time_point deadline,
                                         time_point now) {
  coordination::slot_holder& holder = Holder(worker);
  // An attempt that outlasts the lease could overlap with the next holder's.
  const time_point ends_by = std::min(deadline, holder.Deadline());
  if (!holder.Use(worker, ends_by, now)) {
    return std::nullopt;
  }
  return ends_by;
}

void slot_part::Release(worker_id worker) {
  Holder(worker).Release(worker);
}

coordination::slot_holder& slot_part::Holder(worker_id worker) {
  return holders_.at(shard_map_.ShardOf(worker));
}

}  // namespace skylarkbridge::daemon
