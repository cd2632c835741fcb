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

/// @brief A complete request from a caller.
struct server_request {
  /// Identifies the request until the response is sent.
  std::uint64_t token = 0;
  std::string method;
  std::string target;
  std::string host;
  std::string body;
  /// Time that the caller waits for the response; from the Deadline-Ms header.
  std::optional<std::chrono::milliseconds> timeout;
  time_point received;
};

/// @brief Response to a request.
struct server_response {
  int status = 0;
  std::string body;
  std::string content_type = "application/json";
  /// Delay after which the caller should retry; sent in whole seconds, rounded
  /// up.
  std::optional<std::chrono::milliseconds> retry_after;
};

struct http_server_options {
  /// "IP:PORT"; port 0 selects a free port.
  std::string address;
  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 262'144;
  /// Maximum time to receive a whole request, and to send a response.
  std::chrono::milliseconds transfer_timeout{5000};
  /// An idle connection is closed after this time.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Further connections are closed as soon as they are accepted.
  std::size_t max_connections = 3000;
};

/// @brief HTTP/1.1 server that passes complete requests to a handler, which may
/// respond later.
///
/// Runs on the thread of its context. Respond, Drain and ActiveConnections may
/// be called from any thread.
class http_server {
 public:
  using handler = absl::AnyInvocable<void(server_request)>;

  http_server(boost::asio::io_context& context,
              http_server_options options,
              handler on_request);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// @brief Starts to listen. Fails with `failure`, which names the address.
  boost::leaf::result<void> Listen();
  /// @brief Port on which the server listens.
  std::uint16_t Port() const;

  /// @brief Sends the response to the request with @p token; ignored when the
  /// request is unknown or already has a response.
  void Respond(std::uint64_t token, server_response response);

  /// @brief Closes each connection after its next response.
  void Drain();
  /// @brief Number of connections on which a request is being read or answered.
  std::size_t ActiveConnections() const;

 private:
  class impl;

  std::shared_ptr<impl> impl_;
};

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_HTTP_SERVER_HPP
