#ifndef SKYLARKBRIDGE_GATEWAY_TCP_SOCKET_HPP
#define SKYLARKBRIDGE_GATEWAY_TCP_SOCKET_HPP

#include <poll.h>

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "skylarkbridge/base/file_descriptor.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"

/// @brief Non-blocking TCP sockets. All functions fail with `failure`.
namespace skylarkbridge::gateway {

boost::leaf::result<file_descriptor> ListenTcp(const ip_address& address,
                                               int backlog);

/// @brief Address that a listening socket got; for port 0.
boost::leaf::result<ip_address> LocalAddress(const file_descriptor& socket);

struct accepted_socket {
  file_descriptor socket;
  ip_address address;
};

/// @brief Takes a waiting connection; nothing when there is none.
boost::leaf::result<std::optional<accepted_socket>> AcceptTcp(
    const file_descriptor& listener);

/// @brief Starts to connect; the socket becomes writable when it is done.
/// @param unacknowledged longest time for which sent data may stay without an
/// acknowledgement before the connection fails.
boost::leaf::result<file_descriptor> StartConnect(
    const ip_address& address,
    std::chrono::milliseconds unacknowledged);

/// @brief Result of a connect whose socket became writable.
boost::leaf::result<void> FinishConnect(const file_descriptor& socket,
                                        const ip_address& address);

/// @brief Writes what the socket takes now, and returns the number of bytes.
boost::leaf::result<std::size_t> WriteSome(const file_descriptor& socket,
                                           std::string_view bytes);

enum class read_state { kOpen, kClosed };

/// @brief Appends what is there now to @p bytes, at most @p limit bytes.
boost::leaf::result<read_state> ReadSome(const file_descriptor& socket,
                                         std::size_t limit,
                                         std::string& bytes);

/// @brief Waits until a descriptor is ready or @p deadline has passed.
void PollUntil(std::span<pollfd> descriptors,
               std::optional<time_point> deadline);

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_TCP_SOCKET_HPP
