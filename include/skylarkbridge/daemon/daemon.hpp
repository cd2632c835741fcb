#ifndef SKYLARKBRIDGE_DAEMON_DAEMON_HPP
#define SKYLARKBRIDGE_DAEMON_DAEMON_HPP

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/daemon/control_port.hpp"
#include "skylarkbridge/daemon/control_thread.hpp"
#include "skylarkbridge/entry/caller_front_end.hpp"
#include "skylarkbridge/gateway/http_listener.hpp"
#include "skylarkbridge/gateway/upstream_client.hpp"
#include "skylarkbridge/gateway/vm_list_poller.hpp"
#include "skylarkbridge/supervisor/supervisor.hpp"

namespace skylarkbridge::daemon {

struct daemon_options {
  gateway::http_listener_options callers;
  gateway::vm_list_poller_options vm_list;
  gateway::upstream_client_options upstreams;
  control_options control;
  /// Most messages that wait for the control thread.
  std::size_t mailbox_capacity = 10'000;
};

/// @brief The daemon of an entry VM: the supervisor tree and what its children
/// share.
class daemon {
 public:
  explicit daemon(daemon_options options);

  /// @brief Runs the tree until @p stop is requested. Fails with `failure` when
  /// the root supervisor gives up.
  boost::leaf::result<void> Run(stop_signal& stop);

  /// @brief Puts a configuration into effect without the log; for a single VM.
  void Configure(std::shared_ptr<const declaration::configuration> declared) {
    port_.Configure(std::move(declared));
  }

  /// @brief Configuration in force, or null.
  std::shared_ptr<const declaration::configuration> Declared() const {
    return port_.Declared();
  }

  /// @brief Port of the callers' listener; zero when it is not listening by
  /// @p deadline.
  std::uint16_t CallersPort(time_point deadline) {
    return callers_.WaitForPort(deadline);
  }

 private:
  void BuildTree();

  const daemon_options options_;
  control_port port_;
  gateway::upstream_client upstreams_;
  telemetry::null_span_sink spans_;
  entry::caller_front_end<control_port,
                          gateway::upstream_client,
                          telemetry::null_span_sink>
      front_end_;
  gateway::http_listener callers_;
  supervisor::supervisor root_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_DAEMON_HPP
