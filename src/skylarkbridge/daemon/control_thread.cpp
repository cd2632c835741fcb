#include "skylarkbridge/daemon/control_thread.hpp"

#include <utility>
#include <variant>

namespace skylarkbridge::daemon {
namespace {

scheduling::upstream_state ToUpstreamState(const wire::worker_vm& worker) {
  return {.upstream = worker.worker,
          .status = worker.status == wire::vm_status::kLive
                        ? scheduling::upstream_status::kLive
                        : scheduling::upstream_status::kLeaving,
          .data_centre = worker.data_centre,
          .slots = worker.slots,
          .connections = worker.connections};
}

}  // namespace

control_state::control_state(const control_options& options,
                             control_port& port,
                             gateway::upstream_client& upstreams)
    : port_(port), upstreams_(upstreams), requests_(options.dispatcher) {}

void control_state::Handle(control_message message, time_point now) {
  std::visit([&](auto& one) { On(std::move(one), now); }, message);
}

void control_state::Tick(time_point now) {
  requests_.Tick(now);
}

std::optional<time_point> control_state::NextDeadline() const {
  return requests_.NextDeadline();
}

void control_state::On(request_message message, time_point now) {
  requests_.Handle(std::move(message), now);
}

void control_state::On(attempt_message message, time_point now) {
  requests_.Handle(std::move(message), now);
}

void control_state::On(configuration_message message, time_point now) {
  requests_.Configure(*message.configuration, now);
  port_.SetDeclared(std::move(message.configuration));
}

void control_state::On(const vm_list_message& message, time_point now) {
  absl::flat_hash_set<worker_id> listed;
  for (const wire::worker_vm& worker : message.list.workers) {
    listed.insert(worker.worker);
    upstreams_.SetAddress(worker.worker, worker.address);
    requests_.Update(ToUpstreamState(worker), now);
  }
  for (const worker_id worker : known_workers_) {
    if (!listed.contains(worker)) {
      requests_.Update(
          {.upstream = worker, .status = scheduling::upstream_status::kGone},
          now);
      upstreams_.Forget(worker);
    }
  }
  known_workers_ = std::move(listed);
}

boost::leaf::result<void> RunControl(const control_options& options,
                                     control_port& port,
                                     gateway::upstream_client& upstreams,
                                     stop_signal& stop) {
  mailbox<control_message>& messages = port.Messages();
  messages.Reopen();
  stop.OnRequest([&messages](time_point) { messages.Close(); });
  control_state state(options, port, upstreams);
  while (!messages.Closed()) {
    std::vector<control_message> received =
        messages.ReceiveAll(state.NextDeadline());
    for (control_message& message : received) {
      state.Handle(std::move(message), boot_clock::now());
    }
    state.Tick(boot_clock::now());
  }
  return {};
}

}  // namespace skylarkbridge::daemon
