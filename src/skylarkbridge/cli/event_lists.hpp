#ifndef SKYLARKBRIDGE_CLI_EVENT_LISTS_HPP
#define SKYLARKBRIDGE_CLI_EVENT_LISTS_HPP

#include <span>
#include <string_view>

#include "skylarkbridge/base/events.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/daemon/events.hpp"
#include "skylarkbridge/gateway/events.hpp"
#include "skylarkbridge/gateway/peer_events.hpp"
#include "skylarkbridge/service/events.hpp"
#include "skylarkbridge/supervisor/events.hpp"
#include "skylarkbridge/telemetry/events.hpp"

namespace skylarkbridge::cli {

struct event_list {
  std::string_view module;
  std::span<const event_definition> events;
};

/// The events of all modules. A new events.hpp is added here.
inline constexpr event_list kEventLists[] = {
    {"base", base::kEvents},
    {"control", control::kEvents},
    {"service", service::kEvents},
    {"daemon", daemon::kEvents},
    {"gateway", gateway::kEvents},
    {"gateway", gateway::kPeerEvents},
    {"supervisor", supervisor::kEvents},
    {"telemetry", telemetry::kEvents},
};

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_EVENT_LISTS_HPP
