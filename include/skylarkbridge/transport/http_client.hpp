#ifndef SKYLARKBRIDGE_TRANSPORT_HTTP_CLIENT_HPP
#define SKYLARKBRIDGE_TRANSPORT_HTTP_CLIENT_HPP

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/functional/any_invocable.h"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::transport {

/// @brief One call to a server.
struct http_request {
  /// "IP:PORT".
  std::string address;
  /// "GET", "POST" or another method.
  std::string method;
  std::string target;
  std::string body;
  std::string content_type;
  std::vector<std::pair<std::string, std::string>> headers;
  /// Time at which the call is given up and its connection closed.
  time_point deadline;
};

struct http_response {
  int status = 0;
  std::string body;
};

enum class http_failure {
  /// No byte of the call was sent.
  kNotSent,
  /// The server may have read the call.
  kNoResponse,
};

using http_outcome = std::variant<http_response, http_failure>;
using http_callback = absl::AnyInvocable<void(http_outcome)>;

struct http_client_options {
  /// Most connections to one address; further calls wait for one.
  std::size_t max_connections = 16;
  /// Largest body of an answer.
  std::size_t max_body_bytes = 16U << 20U;
};

/// @brief HTTP/1.1 client with connections that stay open, one call at a time
/// on each.
///
/// Calls may come from any thread; callbacks run on the thread of the context,
/// each exactly once.
class http_client {
 public:
  http_client(boost::asio::io_context& context, http_client_options options);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  void Send(http_request call, http_callback callback);

 private:
  class pool;

  std::shared_ptr<pool> pool_;
};

}  // namespace skylarkbridge::transport

#endif  // SKYLARKBRIDGE_TRANSPORT_HTTP_CLIENT_HPP
