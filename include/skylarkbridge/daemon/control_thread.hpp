#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_THREAD_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_THREAD_HPP

#include <boost/leaf/result.hpp>
#include <chrono>
#include <concepts>
#include <utility>
#include <vector>

#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/daemon/control_state.hpp"

namespace skylarkbridge::daemon {

/// @brief Hands what the control state asks for to traffic threads. Never
/// blocks; what it cannot hand over is lost and asked for again later.
template <class T>
concept output_router = requires(T& router, control_output output) {
  router.Route(std::move(output));
};

/// @brief Body of the control child: runs until @p stop is requested. The state
/// belongs to one run; it is filled again from the log, the VM list and the
/// peers.
template <output_router Router>
boost::leaf::result<void> RunControl(control_state state,
                                     control_port& port,
                                     Router& router,
                                     stop_signal& stop) {
  const auto route = [&](control_outputs outputs) {
    for (control_output& output : outputs) {
      router.Route(std::move(output));
    }
  };
  const auto now = [] {
    return instant{boot_clock::now(), std::chrono::system_clock::now()};
  };
  mailbox<control_message>& messages = port.Messages();
  messages.Reopen();
  stop.OnRequest([&messages](time_point) { messages.Close(); });
  while (!messages.Closed()) {
    for (control_message& message : messages.ReceiveAll(state.NextDeadline())) {
      route(state.Handle(std::move(message), now()));
    }
    route(state.Tick(now()));
  }
  return {};
}

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_THREAD_HPP
