#ifndef SKYLARKBRIDGE_DAEMON_DAEMON_HPP
#define SKYLARKBRIDGE_DAEMON_DAEMON_HPP

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/daemon/control_port.hpp"
#include "skylarkbridge/daemon/control_thread.hpp"
#include "skylarkbridge/daemon/router.hpp"
#include "skylarkbridge/entry/caller_front_end.hpp"
#include "skylarkbridge/entry/operator_front_end.hpp"
#include "skylarkbridge/entry/task_front_end.hpp"
#include "skylarkbridge/gateway/http_listener.hpp"
#include "skylarkbridge/gateway/upstream_client.hpp"
#include "skylarkbridge/gateway/vm_list_poller.hpp"
#include "skylarkbridge/supervisor/supervisor.hpp"
#include "skylarkbridge/telemetry/metrics.hpp"
#include "skylarkbridge/telemetry/span_buffer.hpp"

namespace skylarkbridge::daemon {

struct daemon_options {
  gateway::http_listener_options callers;
  gateway::http_listener_options operators{.address = {"127.0.0.1", 0},
                                           .threads = 8};
  /// Token for operators; empty refuses all of their calls.
  std::string token;
  gateway::vm_list_poller_options vm_list;
  gateway::upstream_client_options upstreams;
  router_options router;
  gateway::tcp_peer_transport_options peers{
      .listener = {.address = {"127.0.0.1", 0}}};
  control_options control;
  /// File to which spans are appended as OTLP/JSON; empty drops them.
  std::string trace_file;
  std::size_t span_buffer = 10'000;
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

  /// @brief The control thread, for programs that embed the daemon.
  control_port& Port() { return port_; }

  /// @brief Address of the listener for peers; nothing before Run.
  std::optional<ip_address> PeersAddress(time_point deadline) const;
  /// @brief Ports of the listeners; zero when one is not listening by
  /// @p deadline.
  std::uint16_t CallersPort(time_point deadline) {
    return callers_.WaitForPort(deadline);
  }
  std::uint16_t OperatorsPort(time_point deadline) {
    return operators_.WaitForPort(deadline);
  }

 private:
  boost::leaf::result<void> OpenPeers();
  void BuildTree();
  boost::leaf::result<void> RunControlThread(stop_signal& stop);
  boost::leaf::result<void> PassOnPeerMessages(stop_signal& stop);
  boost::leaf::result<void> ExportSpans(stop_signal& stop);

  const daemon_options options_;
  control_port port_;
  gateway::address_book addresses_;
  gateway::upstream_client upstreams_;
  telemetry::metrics_registry metrics_;
  entry::request_metrics request_metrics_;
  telemetry::span_buffer spans_;
  router router_;
  entry::caller_front_end<control_port,
                          gateway::upstream_client,
                          telemetry::span_buffer>
      request_front_end_;
  entry::task_front_end<control_port> task_front_end_;
  entry::operator_front_end<control_port> operator_front_end_;
  gateway::http_listener callers_;
  gateway::http_listener operators_;
  gateway::peer_mailbox peer_messages_;
  std::unique_ptr<gateway::tcp_peer_transport> peers_;
  mutable absl::Mutex mutex_;
  std::optional<ip_address> peers_address_ ABSL_GUARDED_BY(mutex_);
  supervisor::supervisor root_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_DAEMON_HPP
