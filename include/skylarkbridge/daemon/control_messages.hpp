#ifndef SKYLARKBRIDGE_DAEMON_CONTROL_MESSAGES_HPP
#define SKYLARKBRIDGE_DAEMON_CONTROL_MESSAGES_HPP

#include <memory>
#include <variant>

#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/entry/request_control.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

/// @brief Messages that traffic threads send to the control thread.
namespace skylarkbridge::daemon {

struct request_message {
  scheduling::request_arrived arrived;
  std::shared_ptr<entry::request_reply> reply;
};

struct attempt_message {
  scheduling::attempt_finished finished;
  std::shared_ptr<entry::request_reply> reply;
};

struct configuration_message {
  std::shared_ptr<const declaration::configuration> configuration;
};

struct vm_list_message {
  wire::vm_list list;
};

using control_message = std::variant<request_message,
                                     attempt_message,
                                     configuration_message,
                                     vm_list_message>;

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONTROL_MESSAGES_HPP
