#ifndef SKYLARKBRIDGE_WIRE_PEER_CHECK_HPP
#define SKYLARKBRIDGE_WIRE_PEER_CHECK_HPP

#include <optional>

#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::wire {

/// @brief First value of the message that breaks a limit, if any. Applied
/// before encoding and after decoding, so that both sides agree.
std::optional<decode_error> CheckPeerMessage(const peer_message& message,
                                             const peer_limits& limits);

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_PEER_CHECK_HPP
