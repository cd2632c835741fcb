#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_STATE_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_STATE_HPP

#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "skylarkbridge/coordination/shard_map.hpp"
#include "skylarkbridge/daemon/control_outputs.hpp"
#include "skylarkbridge/daemon/control_port.hpp"
#include "skylarkbridge/daemon/key_part.hpp"
#include "skylarkbridge/daemon/log_part.hpp"
#include "skylarkbridge/daemon/peer_part.hpp"
#include "skylarkbridge/daemon/request_table.hpp"
#include "skylarkbridge/daemon/shard_part.hpp"
#include "skylarkbridge/daemon/slot_part.hpp"
#include "skylarkbridge/daemon/task_desk.hpp"
#include "skylarkbridge/gateway/address_book.hpp"
#include "skylarkbridge/gateway/upstream_client.hpp"

namespace skylarkbridge::daemon {

struct control_options {
  entry_vm_id vm{1};
  data_centre_id data_centre{1};
  /// Shards of the data centre; the same on all of its VMs.
  std::uint64_t shards = 4;
  scheduling::dispatcher_options dispatcher;
  log_part_options log;
  slot_part_options slots;
  coordination::membership_options membership;
  /// Where this VM listens for peers.
  ip_address peers_address{"127.0.0.1", 0};
  /// Applied to each shard; its ids are set by the control state.
  shard_part_options shard;
  task_desk_options tasks;
};

/// @brief Owns all control state and handles one message after another. Used by
/// the control thread only.
class control_state {
 public:
  /// @param incarnation random number of this process, unlike any other's.
  control_state(const control_options& options,
                incarnation_id incarnation,
                control_port& port,
                gateway::upstream_client& upstreams,
                gateway::address_book& workers,
                const instant& at);

  control_outputs Handle(control_message message, const instant& at);
  control_outputs Tick(const instant& at);
  time_point NextDeadline() const;

 private:
  using peer_body = wire::peer_message;
  struct waiting_publish {
    reply_to<entry::publish_answer> reply;
  };

  void On(const leave_message& message, const instant& at);
  void On(const received_message& message, const instant& at);
  void On(request_message message, const instant& at);
  void On(attempt_message message, const instant& at);
  void On(const vm_list_message& message, const instant& at);
  void On(submit_message message, const instant& at);
  void On(const find_task_message& message, const instant& at);
  void On(cancel_task_message message, const instant& at);
  void On(const list_tasks_message& message, const instant& at);
  void On(const publish_message& message, const instant& at);
  void On(const configuration_query& message, const instant& at);
  void On(const status_query& message, const instant& at);
  void On(const drain_message& message, const instant& at);
  void On(const worker_message& message, const instant& at);
  void On(const append_message& message, const instant& at);
  void On(page_message message, const instant& at);

  void Take(log_step step, const instant& at);
  void OnLog(const task_record_folded& folded, const instant& at);
  void OnLog(const tasks_current& current, const instant& at);
  void OnLog(const coordination::configuration_event& event, const instant& at);
  void OnLog(const coordination::record_durable& durable, const instant& at);
  void OnLog(const coordination::record_refused& refused, const instant& at);
  void OnLog(const coordination::log_availability& state, const instant& at);

  void Take(peer_step step, const instant& at);
  template <class Message>
  void Hear(entry_vm_id from, const Message& message, const instant& at);
  void Lend(entry_vm_id to,
            const wire::slot_request& message,
            const instant& at);
  void ApplyGrant(shard_id shard,
                  const coordination::slot_grant& grant,
                  const instant& at);
  void RequestSlots(const due_slot_request& due, const instant& at);
  void UpdateExpected(const instant& at);
  shard_id HomeOf(const entry::arriving_request& request) const;
  /// Tells the registries about requests that ended without an answer.
  void SettleKeys(const instant& at);

  void Add(control_outputs outputs);
  void Answer(const coordination::record_id& record,
              entry::publish_answer answer);
  void PutIntoEffect(const instant& at);
  void UpdateWorkers(const instant& at);
  void UpdateReadiness();
  wire::vm_status StatusOf(const wire::worker_vm& worker) const;
  entry::task_answer Describe(const coordination::open_task& task) const;
  const shard_part* FindShard(shard_id shard) const;

  const control_options options_;
  control_port& port_;
  gateway::upstream_client& upstreams_;
  gateway::address_book& addresses_;
  const coordination::shard_map shard_map_;
  log_part log_;
  peer_part peers_;
  slot_part slots_;
  request_table requests_;
  key_part keys_;
  task_desk tasks_;
  std::map<shard_id, std::unique_ptr<shard_part>> shards_;
  /// Workers of this data centre.
  std::vector<wire::worker_vm> workers_;
  /// Workers that an operator or a peer reported as leaving, until the VM list
  /// lacks them.
  absl::flat_hash_set<worker_id> drained_;
  std::map<coordination::record_id, waiting_publish> publishes_;
  control_outputs outputs_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_STATE_HPP
