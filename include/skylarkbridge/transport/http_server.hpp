#ifndef SKYLARKBRIDGE_TRANSPORT_HTTP_SERVER_HPP
#define SKYLARKBRIDGE_TRANSPORT_HTTP_SERVER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "absl/functional/any_invocable.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::transport {

/// @brief A whole request of a caller.
struct server_request {
  /// Names the request until it is answered.
  std::uint64_t token = 0;
  std::string method;
  std::string target;
  std::string host;
  std::string body;
  /// How long the caller waits for an answer, as its header states.
  std::optional<std::chrono::milliseconds> timeout;
  time_point received;
};

struct server_response {
  int status = 0;
  std::string body;
  std::string content_type = "application/json";
  /// When the caller should come back.
  std::optional<std::chrono::milliseconds> retry_after;
};

struct http_server_options {
  /// "IP:PORT"; port 0 takes a free one.
  std::string address;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 262'144;
  /// A request has to arrive whole within this time.
  std::chrono::milliseconds read_timeout{5000};
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  std::size_t max_connections = 3000;
};

/// @brief HTTP/1.1 server that hands whole requests over and writes the answers
/// when they come.
///
/// Runs on the thread of its context. Answer and Drain may be called from any
/// thread.
class http_server {
 public:
  using handler = absl::AnyInvocable<void(server_request)>;

  http_server(boost::asio::io_context& context,
              http_server_options options,
              handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @brief Starts to listen. Fails with `failure` naming the address.
  boost::leaf::result<void> Listen();
  /// @brief Port of the listener.
  std::uint16_t Port() const;

  void Respond(std::uint64_t token, server_response answer);

  /// @brief Every further answer closes its connection.
  void Drain();
  /// @brief Connections on which a request is being read or answered.
  std::size_t ActiveConnections() const;

 private:
  class core;

  std::shared_ptr<core> core_;
};

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_HTTP_SERVER_HPP
