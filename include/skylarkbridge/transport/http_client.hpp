#ifndef SKYLARKBRIDGE_TRANSPORT_HTTP_CLIENT_HPP
#define SKYLARKBRIDGE_TRANSPORT_HTTP_CLIENT_HPP

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::transport {

/// @brief A request and the address of the server that receives it.
struct http_request {
  /// "IP:PORT".
  std::string address;
  /// Name of an HTTP method, such as "GET".
  std::string method;
  std::string target;
  std::string body;
  std::string content_type;
  std::vector<std::pair<std::string, std::string>> headers;
  /// When the client stops waiting for the response and closes the connection.
  time_point deadline;
  /// Until then a connection that can't be opened is tried again, in turn with
  /// those of other such requests. Empty: the request fails at once.
  std::optional<time_point> reconnect_until;
};

/// @brief Status and body of a response.
struct http_response {
  int status = 0;
  std::string body;
};

/// @brief Why a request got no response.
enum class http_failure {
  /// No byte of the request was sent.
  kNotSent,
  /// The request was sent in part or whole, so the server may have acted on it.
  kNoResponse,
};

using http_outcome = std::variant<http_response, http_failure>;
using http_callback = absl::AnyInvocable<void(http_outcome)>;

struct http_client_options {
  /// Maximum number of connections to one address; further requests are queued.
  std::size_t max_connections = 16;
  /// A response with a larger body counts as no response.
  std::size_t max_body_bytes = 16U << 20U;
  /// Interval of the connection attempts of all requests with a
  /// `reconnect_until` together.
  std::chrono::milliseconds reconnect_interval{5};
};

/// @brief HTTP/1.1 client that keeps connections open and sends one request at
/// a time on each.
///
/// Send may be called from any thread. Each callback runs exactly once, on the
/// thread of the context.
class http_client {
 public:
  http_client(boost::asio::io_context& context, http_client_options options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// @brief Sends @p request and passes the outcome to @p callback.
  void Send(http_request request, http_callback callback);

 private:
  class connection_pool;

  std::shared_ptr<connection_pool> pool_;
};

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_HTTP_CLIENT_HPP
