#ifndef SKYLARKBRIDGE_WIRE_PEER_CODEC_HPP
#define SKYLARKBRIDGE_WIRE_PEER_CODEC_HPP

#include <boost/leaf/result.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "skylarkbridge/wire/decode_error.hpp"
#include "skylarkbridge/wire/peer_message.hpp"

namespace skylarkbridge::wire {

/// @brief Bounds of what a peer may send, beyond that of the frame.
struct peer_limits {
  /// Members and upstreams of an update, lots of a grant.
  std::size_t entries = 4096;
  std::size_t headers = 128;
  /// Bytes of a name, path, token, key or header.
  std::size_t text = 8192;
  std::uint32_t parts = 1024;
  /// Longest lease, time left or wait.
  std::chrono::nanoseconds duration = std::chrono::hours(24);
};

/// @brief Encodes a message as the body of a frame. Fails with decode_error
/// (kTooLarge, kOutOfRange) when a peer would refuse it.
boost::leaf::result<std::string> EncodePeerMessage(
    const peer_message& message,
    const peer_limits& limits = {});

/// @brief Verifies and decodes the body of a frame. Fails with decode_error
/// (kMalformed, kTooLarge, kOutOfRange).
boost::leaf::result<peer_message> DecodePeerMessage(
    std::string_view body,
    const peer_limits& limits = {});

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_PEER_CODEC_HPP
