#ifndef SKYLARKBRIDGE_BASE_IP_ADDRESS_HPP
#define SKYLARKBRIDGE_BASE_IP_ADDRESS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkbridge/base/findings.hpp"

namespace skylarkbridge {

/// @brief IPv4 address and TCP port.
struct ip_address {
  std::string host;
  std::uint16_t port = 0;

  auto operator<=>(const ip_address&) const = default;
};

/// @brief "host:port".
std::string Format(const ip_address& address);

/// @brief Reads "a.b.c.d:port". Names are refused, as processes meet by IP
/// numbers. Adds a finding with @p place for each fault and returns nothing.
std::optional<ip_address> ParseIpAddress(std::string_view text,
                                         std::string_view place,
                                         findings& found);

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_IP_ADDRESS_HPP
