#ifndef SKYLARKBRIDGE_DAEMON_SLOT_PART_HPP
#define SKYLARKBRIDGE_DAEMON_SLOT_PART_HPP

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/coordination/shard_map.hpp"
#include "skylarkbridge/coordination/slot_leases.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace skylarkbridge::daemon {

struct slot_part_options {
  /// An attempt ends with the lease at the latest, and the slots of a VM that
  /// died are free again after that time.
  coordination::slot_lease_options lease;
  /// Interval at which the leases are renewed.
  std::chrono::milliseconds renewal_interval = std::chrono::seconds(1);
};

/// @brief A request for slots of one shard that is due.
struct due_slot_request {
  shard_id shard;
  coordination::slot_request request;
};

/// @brief Request slots that this VM holds on the workers of its data centre.
class slot_part {
 public:
  slot_part(slot_part_options options,
            coordination::shard_map shards,
            coordination::slot_holder_id self);

  /// @brief Sets the workers of the data centre.
  void SetWorkers(const std::vector<wire::worker_vm>& workers);

  /// @brief Requests that are due. Each shard's goes to its owner.
  std::vector<due_slot_request> Tick(time_point now);
  /// @brief Requests that return what is not in use, at a graceful stop.
  std::vector<due_slot_request> Return(time_point now);
  time_point NextDeadline() const { return next_renewal_; }

  /// @brief Applies an owner's answer. Returns what this VM may use now.
  std::vector<scheduling::upstream_state>
  Apply(shard_id shard, const coordination::slot_grant& grant, time_point now);
  /// @brief What this VM may use on a worker.
  scheduling::upstream_state Describe(const wire::worker_vm& worker) const;

  /// @brief Takes a slot for an attempt. Returns the time by which it must have
  /// ended, at most @p deadline; nothing when no slot is held.
  std::optional<time_point> Use(worker_id worker,
                                time_point deadline,
                                time_point now);
  void Release(worker_id worker);

 private:
  coordination::slot_holder& Holder(worker_id worker);

  const slot_part_options options_;
  const coordination::shard_map shard_map_;
  std::map<shard_id, coordination::slot_holder> holders_;
  std::map<shard_id, std::vector<wire::worker_vm>> workers_;
  time_point next_renewal_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_SLOT_PART_HPP
