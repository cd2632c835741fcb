#include "skylarkbridge/transport/endpoint.hpp"

#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cstdint>
#include <string>

namespace skylarkbridge::transport {

std::optional<boost::asio::ip::tcp::endpoint> ParseEndpoint(
    std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  boost::system::error_code address_error;
  const auto address = boost::asio::ip::make_address(
      std::string(text.substr(0, colon)), address_error);
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [parse_end, parse_error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (address_error || parse_error != std::errc{} ||
      parse_end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

}  // namespace skylarkbridge::transport
