#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_THREAD_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_THREAD_HPP

#include <boost/leaf/result.hpp>

#include "absl/container/flat_hash_set.h"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/daemon/control_port.hpp"
#include "skylarkbridge/daemon/request_table.hpp"
#include "skylarkbridge/gateway/upstream_client.hpp"

namespace skylarkbridge::daemon {

struct control_options {
  scheduling::dispatcher_options dispatcher;
};

/// @brief Owns all control state and handles one message after another.
class control_state {
 public:
  control_state(const control_options& options,
                control_port& port,
                gateway::upstream_client& upstreams);

  void Handle(control_message message, time_point now);
  void Tick(time_point now);
  std::optional<time_point> NextDeadline() const;

 private:
  void On(request_message message, time_point now);
  void On(attempt_message message, time_point now);
  void On(configuration_message message, time_point now);
  void On(const vm_list_message& message, time_point now);

  control_port& port_;
  gateway::upstream_client& upstreams_;
  request_table requests_;
  absl::flat_hash_set<worker_id> known_workers_;
};

/// @brief Body of the control child: runs until @p stop is requested. Each run
/// starts with empty state, which is filled again from the log, the VM list and
/// the peers.
boost::leaf::result<void> RunControl(const control_options& options,
                                     control_port& port,
                                     gateway::upstream_client& upstreams,
                                     stop_signal& stop);

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_THREAD_HPP
