#include "skylarkbridge/daemon/daemon.hpp"

#include <string>
#include <utility>

#include "absl/random/random.h"
#include "skylarkbridge/telemetry/span_export_child.hpp"

namespace skylarkbridge::daemon {
namespace {

/// Drops spans when no trace file is set.
struct null_writer {
  boost::leaf::result<void> operator()(std::string_view) const { return {}; }
};

incarnation_id DrawIncarnation() {
  // Seeded from the operating system, so that no two processes draw the same.
  absl::BitGen generator;
  return {absl::Uniform<std::uint64_t>(generator)};
}

}  // namespace

using supervisor::restart_strategy;

daemon::daemon(daemon_options options)
    : options_(std::move(options)),
      port_(options_.mailbox_capacity),
      upstreams_(options_.upstreams),
      request_metrics_(metrics_),
      spans_(options_.span_buffer),
      router_(options_.router, port_, addresses_),
      request_front_end_(port_, upstreams_, spans_, request_metrics_),
      task_front_end_(port_),
      operator_front_end_(port_,
                          options_.token,
                          [this] { return metrics_.PrometheusText(); }),
      callers_(options_.callers,
               [this](httplib::Server& server) {
                 request_front_end_.Install(server);
                 task_front_end_.Install(server);
               }),
      operators_(options_.operators,
                 [this](httplib::Server& server) {
                   operator_front_end_.Install(server);
                   task_front_end_.Install(server);
                 }),
      peer_messages_(options_.mailbox_capacity),
      root_("root", {.strategy = restart_strategy::kRestForOne}) {}

boost::leaf::result<void> daemon::Run(stop_signal& stop) {
  BOOST_LEAF_CHECK(OpenPeers());
  BuildTree();
  return root_.Run(stop);
}

std::optional<ip_address> daemon::PeersAddress(time_point deadline) const {
  absl::MutexLock lock(&mutex_);
  const auto bound = [this]() ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return peers_address_.has_value();
  };
  mutex_.AwaitWithTimeout(absl::Condition(&bound),
                          absl::FromChrono(deadline - boot_clock::now()));
  return peers_address_;
}

boost::leaf::result<void> daemon::OpenPeers() {
  const gateway::peer_identity identity{
      .self = {.vm = options_.control.vm,
               .data_centre = options_.control.data_centre,
               .address = options_.peers.listener.address,
               .life = {std::chrono::system_clock::now(), DrawIncarnation()}},
      .token = options_.token};
  BOOST_LEAF_ASSIGN(peers_, gateway::tcp_peer_transport::Open(
                                identity, options_.peers, peer_messages_));
  router_.SetPeers(peers_.get());
  absl::MutexLock lock(&mutex_);
  peers_address_ = peers_->Address();
  return {};
}

boost::leaf::result<void> daemon::RunControlThread(stop_signal& stop) {
  // Each run has an incarnation of its own, so that ballots of an earlier run
  // are never drawn again.
  control_options control = options_.control;
  control.peers_address = peers_->Address();
  return RunControl(
      control_state(control, DrawIncarnation(), port_, upstreams_, addresses_,
                    {boot_clock::now(), std::chrono::system_clock::now()}),
      port_, router_, stop);
}

boost::leaf::result<void> daemon::PassOnPeerMessages(stop_signal& stop) {
  peer_messages_.Reopen();
  stop.OnRequest([this](time_point) { peer_messages_.Close(); });
  while (!peer_messages_.Closed()) {
    for (gateway::received_peer_message& received :
         peer_messages_.ReceiveAll(std::nullopt)) {
      // A lost message is sent again by its protocol.
      port_.Messages().TrySend(
          received_message{received.from, std::move(received.message)});
    }
  }
  return {};
}

boost::leaf::result<void> daemon::ExportSpans(stop_signal& stop) {
  const telemetry::otlp_resource resource{
      .service_instance = std::to_string(options_.control.vm.value),
      .data_centre = std::to_string(options_.control.data_centre.value)};
  if (options_.trace_file.empty()) {
    telemetry::span_export_child child(
        spans_, telemetry::otlp_json_exporter(resource, null_writer()));
    return child(stop);
  }
  telemetry::span_export_child child(
      spans_, telemetry::otlp_json_exporter(
                  resource, telemetry::file_writer(options_.trace_file)));
  return child(stop);
}

void daemon::BuildTree() {
  root_.Add({.name = "telemetry",
             .run = [this](stop_signal& stop) { return ExportSpans(stop); }});
  root_.Add({.name = "control", .run = [this](stop_signal& stop) {
               return RunControlThread(stop);
             }});
  supervisor::supervisor& platform = root_.AddSupervisor("platform", {});
  router_.AddChildren(platform);
  platform.Add({.name = "vm_list", .run = [this](stop_signal& stop) {
                  gateway::vm_list_poller poller(
                      options_.vm_list, [this](wire::vm_list list) {
                        port_.Messages().TrySend(
                            vm_list_message{std::move(list)});
                      });
                  return poller.Run(stop);
                }});
  supervisor::supervisor& peers = root_.AddSupervisor("peers", {});
  peers_->AddChildren(peers);
  peers.Add({.name = "peer_messages", .run = [this](stop_signal& stop) {
               return PassOnPeerMessages(stop);
             }});
  // Stops after the listeners and before the links to peers and workers, which
  // carry what it causes.
  root_.Add({.name = "departure", .run = [this](stop_signal& stop) {
               stop.Wait();
               port_.Leave(*stop.DrainDeadline());
               return boost::leaf::result<void>();
             }});
  supervisor::supervisor& entry = root_.AddSupervisor("entry", {});
  entry.Add({.name = "operators", .run = [this](stop_signal& stop) {
               return operators_.Run(stop);
             }});
  entry.Add({.name = "callers",
             .run = [this](stop_signal& stop) { return callers_.Run(stop); }});
}

}  // namespace skylarkbridge::daemon
