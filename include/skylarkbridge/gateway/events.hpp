#ifndef SKYLARKBRIDGE_GATEWAY_EVENTS_HPP
#define SKYLARKBRIDGE_GATEWAY_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 3000 to 3099.
namespace skylarkbridge::gateway {

inline constexpr event_definition kVmListUnavailable{
    3001, event_severity::kWarning, "vm_list_unavailable", "place error"};

inline constexpr event_definition kEvents[] = {kVmListUnavailable};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_EVENTS_HPP
