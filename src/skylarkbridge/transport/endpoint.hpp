#ifndef SKYLARKBRIDGE_TRANSPORT_ENDPOINT_HPP
#define SKYLARKBRIDGE_TRANSPORT_ENDPOINT_HPP

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string_view>

namespace skylarkbridge::transport {

/// @brief Parses "IP:PORT". Returns nothing for any other text.
std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text);

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_ENDPOINT_HPP
