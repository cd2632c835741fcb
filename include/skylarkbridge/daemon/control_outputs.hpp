#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_OUTPUTS_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_OUTPUTS_HPP

#include <variant>
#include <vector>

#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_outbox.hpp"
#include "skylarkbridge/wire/peer_message.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

/// @brief What the control state asks traffic threads to do.
namespace skylarkbridge::daemon {

struct read_stream {
  coordination::log_stream stream = coordination::log_stream::kTasks;
  coordination::read_log read;
};

/// @brief Send a message to another entry VM; it may be lost.
struct send_to_peer {
  entry_vm_id to;
  ip_address address;
  wire::peer_message message;
};

/// @brief The entry VM is gone; close the link to it.
struct forget_peer {
  entry_vm_id vm;
};

using control_output = std::variant<wire::worker_command,
                                    coordination::append_records,
                                    read_stream,
                                    send_to_peer,
                                    forget_peer>;
using control_outputs = std::vector<control_output>;

/// @brief Point in time on both clocks.
struct instant {
  time_point now;
  wall_time wall;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_OUTPUTS_HPP
