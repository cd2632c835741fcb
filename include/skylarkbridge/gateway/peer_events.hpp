#ifndef SKYLARKBRIDGE_GATEWAY_PEER_EVENTS_HPP
#define SKYLARKBRIDGE_GATEWAY_PEER_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 4100 to 4149: links between entry VMs.
namespace skylarkbridge::gateway {

inline constexpr event_definition kPeerLinkUp{4101, event_severity::kInfo,
                                              "peer_link_up", "peer address"};
inline constexpr event_definition kPeerLinkDown{
    4102, event_severity::kWarning, "peer_link_down", "peer address error"};
inline constexpr event_definition kPeerConnectionRefused{
    4103, event_severity::kWarning, "peer_connection_refused",
    "address reason"};
inline constexpr event_definition kPeerMessageInvalid{
    4104, event_severity::kError, "peer_message_invalid", "peer error"};

inline constexpr event_definition kPeerEvents[] = {
    kPeerLinkUp, kPeerLinkDown, kPeerConnectionRefused, kPeerMessageInvalid};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_PEER_EVENTS_HPP
