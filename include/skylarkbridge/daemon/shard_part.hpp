#ifndef SKYLARKBRIDGE_DAEMON_SHARD_PART_HPP
#define SKYLARKBRIDGE_DAEMON_SHARD_PART_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/coordination/key_registry.hpp"
#include "skylarkbridge/coordination/shard_owner.hpp"
#include "skylarkbridge/coordination/slot_leases.hpp"
#include "skylarkbridge/coordination/task_ledger.hpp"
#include "skylarkbridge/coordination/task_lifecycle.hpp"
#include "skylarkbridge/daemon/control_outputs.hpp"
#include "skylarkbridge/daemon/log_part.hpp"
#include "skylarkbridge/scheduling/batch_scheduler.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace skylarkbridge::daemon {

struct shard_part_options {
  coordination::shard_owner_options owner;
  coordination::task_lifecycle_options lifecycle;
  scheduling::batch_options batch;
  coordination::slot_lease_options slots;
  coordination::key_registry_options keys;
  /// Interval at which usage reports of workers are read.
  std::chrono::milliseconds report_interval = std::chrono::seconds(1);
};

/// @brief Joins the owner, the task lifecycle and the batch scheduler of one
/// shard. The owner decides who may command the workers, the lifecycle which
/// tasks may start, and the scheduler where.
class shard_part {
 public:
  shard_part(const shard_part_options& options, log_part& log);

  control_outputs Configure(const declaration::configuration& configuration,
                            const instant& at);
  control_outputs SetWorkers(std::vector<wire::worker_vm> workers,
                             const instant& at);
  control_outputs SetExpected(bool expected, const instant& at);
  control_outputs Leave(const instant& at);

  /// @brief A worker answered; nothing when the call failed.
  control_outputs Answered(const wire::worker_command& command,
                           const std::optional<wire::worker_reply>& reply,
                           const instant& at);
  /// @brief A record of a task of this shard was folded.
  control_outputs Folded(const task_record_folded& folded, const instant& at);
  /// @brief The open tasks were replaced as a whole.
  control_outputs TasksReplaced(const instant& at);
  control_outputs TasksCurrent(time_point read_sent, const instant& at);
  /// @brief A start claim was not written and will not be.
  control_outputs Refused(const coordination::record_id& record,
                          const instant& at);
  control_outputs Tick(const instant& at);
  std::optional<time_point> NextDeadline() const;

  bool Owned(time_point now) const { return owner_.Holds(now); }
  coordination::ownership State() const { return owner_.State(); }
  const coordination::shard_owner& Owner() const { return owner_; }
  const std::vector<wire::worker_vm>& Workers() const { return workers_; }
  /// @brief Lends the request slots of the shard; null unless it is owned.
  coordination::slot_lender* Lender() { return lender_ ? &*lender_ : nullptr; }
  /// @brief Outcomes of idempotency keys; null unless the shard is owned.
  coordination::key_registry* Keys(time_point now) {
    return keys_ && owner_.Holds(now) ? &*keys_ : nullptr;
  }
  const scheduling::batch_scheduler* Scheduler() const {
    return scheduler_ ? &*scheduler_ : nullptr;
  }

 private:
  /// Where the scheduler placed a task.
  struct placement {
    worker_id worker;
    /// Number by which the scheduler knows the attempt.
    std::uint32_t attempt = 0;
    resources leased;
  };
  struct claim {
    task_id task;
    std::uint32_t attempt = 0;
  };

  void Do(const coordination::owner_commands& commands);
  void Do(const coordination::fence_worker& command);
  void Do(const coordination::renew_lease& command);
  void Do(const coordination::ready& command);
  void Do(const coordination::worker_joined& command);
  void Do(const coordination::worker_unreachable& command);
  void Do(const coordination::worker_expired& command);
  void Do(const coordination::step_down& command);

  void Do(const coordination::lifecycle_commands& commands);
  void Do(const coordination::offer_task& command);
  void Do(const coordination::withdraw_task& command);
  void Do(const coordination::claim_start& command);
  void Do(const coordination::run_attempt& command);
  void Do(const coordination::stop_attempt& command);
  void Do(const coordination::acknowledge_attempt& command);
  void Do(const coordination::record_checkpoint& command);
  void Do(const coordination::record_end& command);

  void Do(const scheduling::task_commands& commands);
  void Do(const scheduling::start_task& command);
  void Do(const scheduling::throttle_task& command);
  void Do(const scheduling::checkpoint_task& command);
  void Do(const scheduling::stop_task& command);
  void Do(const scheduling::refuse_task& command);

  void On(const coordination::fence_worker& command,
          const wire::worker_reply& reply);
  void On(const coordination::renew_lease& command,
          const wire::worker_reply& reply);
  void On(const wire::start_on_worker& command,
          const wire::worker_reply& reply);
  void On(const wire::stop_on_worker& command, const wire::worker_reply& reply);
  void On(const wire::throttle_on_worker& command,
          const wire::worker_reply& reply);
  void On(const wire::checkpoint_on_worker& command,
          const wire::worker_reply& reply);
  void On(const wire::acknowledge_on_worker& command,
          const wire::worker_reply& reply);
  void On(const wire::read_report& command, const wire::worker_reply& reply);

  void FoldOpen(const coordination::open_task& task,
                const coordination::log_record& record);
  void Ended(worker_id worker, const coordination::ended_attempt& ended);
  /// Tells the scheduler that an attempt it placed is over.
  void Released(task_id task, scheduling::task_result result);
  void AdoptRunning(const coordination::worker_inventory& inventory);
  void UpdateWorker(worker_id worker, scheduling::worker_status status);
  std::optional<wire::worker_permission> Permission(worker_id worker) const;
  void ReadReports();
  std::string KindOf(task_id task) const;
  control_outputs TakeOutputs(const instant& at);
  void SyncWorkers();
  void SyncSlots();
  bool NeverOwned() const;

  const shard_part_options options_;
  log_part& log_;
  coordination::shard_owner owner_;
  std::optional<coordination::task_lifecycle> tasks_;
  std::optional<scheduling::batch_scheduler> scheduler_;
  std::optional<coordination::slot_lender> lender_;
  std::optional<coordination::key_registry> keys_;
  declaration::configuration configuration_;
  std::vector<wire::worker_vm> workers_;
  absl::flat_hash_map<task_id, placement> placed_;
  std::map<coordination::record_id, claim> claims_;
  /// Workers that the scheduler may use now.
  absl::flat_hash_map<worker_id, scheduling::worker_status> usable_;
  /// Whether a worker had obeyed no ballot for longer than slots are lent when
  /// it was fenced first, so that no earlier owner can have lent its slots.
  absl::flat_hash_map<worker_id, bool> never_owned_;
  time_point next_sync_;
  time_point joined_at_;
  time_point next_report_;
  instant at_;
  control_outputs outputs_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_SHARD_PART_HPP
