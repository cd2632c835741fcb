#ifndef SKYLARKBRIDGE_DAEMON_PEER_PART_HPP
#define SKYLARKBRIDGE_DAEMON_PEER_PART_HPP

#include <map>
#include <optional>
#include <vector>

#include "skylarkbridge/coordination/membership.hpp"
#include "skylarkbridge/daemon/control_outputs.hpp"
#include "skylarkbridge/daemon/log_part.hpp"
#include "skylarkbridge/wire/configuration_parts.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace skylarkbridge::daemon {

/// @brief What a message or a tick led to.
struct peer_step {
  control_outputs outputs;
  /// Members joined, left, died or came back.
  bool members_changed = false;
  std::vector<coordination::upstream_entry> upstreams;
  std::vector<coordination::configuration_event> configuration;
};

/// @brief Membership, and the passing on of configurations between entry VMs.
class peer_part {
 public:
  peer_part(coordination::member_entry self,
            coordination::membership_options options,
            log_part& log,
            time_point now);

  peer_step Hear(entry_vm_id from,
                 const coordination::heartbeat& message,
                 time_point now);
  peer_step Hear(entry_vm_id from,
                 const coordination::member_update& message,
                 time_point now);
  peer_step Hear(entry_vm_id from,
                 const wire::leaving& message,
                 time_point now);
  peer_step Hear(entry_vm_id from,
                 const wire::configuration_offer& message,
                 time_point now);
  peer_step Hear(entry_vm_id from,
                 const wire::configuration_fetch& message,
                 time_point now);
  peer_step Hear(entry_vm_id from,
                 const wire::configuration_part& message,
                 time_point now);

  peer_step ListVms(const wire::vm_list& list, time_point now);
  /// @brief Tells the others that a worker is leaving.
  peer_step NoteLeaving(worker_id worker, const instant& at);
  peer_step Announce(coordination::member_status status, time_point now);
  peer_step Tick(time_point now);
  time_point NextDeadline() const { return members_.NextDeadline(); }

  /// @brief Asks the peer of a fetch event.
  peer_step Fetch(const coordination::fetch_configuration& fetch);
  /// @brief Offers the version in effect from now on.
  void SetConfiguration(const coordination::version_tag& version) {
    members_.SetConfiguration(version);
  }

  /// @brief Message to a member; nothing when its address is not known.
  std::optional<control_output> To(entry_vm_id vm,
                                   wire::peer_message message) const;
  const coordination::membership& Members() const { return members_; }
  /// @brief All members that this VM has heard of, ordered by id.
  std::vector<coordination::member_entry> Known() const;

 private:
  peer_step Take(coordination::membership_commands commands);

  coordination::membership members_;
  log_part& log_;
  std::map<entry_vm_id, wire::configuration_assembler> assemblers_;
  /// Latest news of each member.
  std::map<entry_vm_id, coordination::member_entry> known_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_PEER_PART_HPP
