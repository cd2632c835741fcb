#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_OUTPUTS_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_OUTPUTS_HPP

#include <variant>
#include <vector>

#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_outbox.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

/// @brief What the control state asks traffic threads to do.
namespace skylarkbridge::daemon {

struct read_stream {
  coordination::log_stream stream = coordination::log_stream::kTasks;
  coordination::read_log read;
};

using control_output = std::
    variant<wire::worker_command, coordination::append_records, read_stream>;
using control_outputs = std::vector<control_output>;

/// @brief Point in time on both clocks.
struct instant {
  time_point now;
  wall_time wall;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_OUTPUTS_HPP
