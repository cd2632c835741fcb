#include "skylarkbridge/base/ip_address.hpp"

#include <arpa/inet.h>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge {
namespace {

constexpr int kMaxPort = 65535;

}  // namespace

std::string Format(const ip_address& address) {
  return absl::StrCat(address.host, ":", address.port);
}

std::optional<ip_address> ParseIpAddress(std::string_view text,
                                         std::string_view place,
                                         findings& found) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    found.Add(place, absl::StrCat("\"", ToAbsl(text), "\" has no port"));
    return std::nullopt;
  }
  const std::string host(text.substr(0, colon));
  bool valid = true;
  in_addr parsed{};
  if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
    found.Add(place, absl::StrCat("\"", host, "\" is not an IPv4 number"));
    valid = false;
  }
  int port = 0;
  if (!absl::SimpleAtoi(ToAbsl(text.substr(colon + 1)), &port) || port < 0) {
    found.Add(place, absl::StrCat("\"", ToAbsl(text.substr(colon + 1)),
                                  "\" is not a port number"));
    valid = false;
  } else if (port > kMaxPort) {
    found.Add(place, absl::StrCat("port ", port, " is above ", kMaxPort));
    valid = false;
  }
  if (!valid) {
    return std::nullopt;
  }
  return ip_address{host, static_cast<std::uint16_t>(port)};
}

}  // namespace skylarkbridge
