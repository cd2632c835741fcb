#include "skylarkbridge/daemon/daemon.hpp"

namespace skylarkbridge::daemon {

using supervisor::restart_strategy;

daemon::daemon(daemon_options options)
    : options_(std::move(options)),
      port_(options_.mailbox_capacity),
      upstreams_(options_.upstreams),
      front_end_(port_, upstreams_, spans_),
      callers_(options_.callers,
               [this](httplib::Server& server) { front_end_.Install(server); }),
      root_("root", {.strategy = restart_strategy::kRestForOne}) {
  BuildTree();
}

boost::leaf::result<void> daemon::Run(stop_signal& stop) {
  return root_.Run(stop);
}

void daemon::BuildTree() {
  root_.Add({.name = "control", .run = [this](stop_signal& stop) {
               return RunControl(options_.control, port_, upstreams_, stop);
             }});
  supervisor::supervisor& platform = root_.AddSupervisor("platform", {});
  platform.Add({.name = "vm_list", .run = [this](stop_signal& stop) {
                  gateway::vm_list_poller poller(
                      options_.vm_list, [this](wire::vm_list list) {
                        port_.Update(std::move(list));
                      });
                  return poller.Run(stop);
                }});
  supervisor::supervisor& entry = root_.AddSupervisor("entry", {});
  entry.Add({.name = "callers",
             .run = [this](stop_signal& stop) { return callers_.Run(stop); }});
}

}  // namespace skylarkbridge::daemon
