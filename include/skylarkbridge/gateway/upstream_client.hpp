#ifndef SKYLARKBRIDGE_GATEWAY_UPSTREAM_CLIENT_HPP
#define SKYLARKBRIDGE_GATEWAY_UPSTREAM_CLIENT_HPP

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/container/flat_hash_map.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace httplib {
class Client;
}

namespace skylarkbridge::gateway {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// @brief A request on its way to an upstream.
struct upstream_request {
  std::string method = "POST";
  std::string path = "/";
  header_list headers;
  std::string body;
};

struct upstream_response {
  int status = 0;
  header_list headers;
  std::string body;
};

/// @brief How an attempt ended, with the whole answer if there is one.
struct upstream_result {
  scheduling::attempt_result result = scheduling::attempt_result::kUnknown;
  std::optional<upstream_response> response;
  /// Why there is no answer.
  std::string detail;
};

/// @brief Sends requests to upstreams.
template <class T>
concept upstream_gateway = requires(T& gateway,
                                    worker_id upstream,
                                    const upstream_request& request,
                                    time_point deadline) {
  {
    gateway.Send(upstream, request, deadline)
    } -> std::same_as<upstream_result>;
};

struct upstream_client_options {
  /// Most idle connections kept for one upstream.
  std::size_t max_idle = 8;
  /// Idle connections are closed before the upstream is likely to close them:
  /// a request that meets a closing connection has an unknown outcome.
  std::chrono::milliseconds max_idle_time = std::chrono::seconds(2);
  std::chrono::milliseconds connect_timeout = std::chrono::milliseconds(250);
  /// Most bytes of an answer.
  std::size_t max_body = 8 << 20;
};

/// @brief HTTP client with a pool of connections for each upstream.
///
/// A connection carries one request at a time. After a timeout or a read that
/// did not complete it is closed and never reused, so that a late answer cannot
/// reach another caller. All functions are safe to call from many threads.
class upstream_client {
 public:
  explicit upstream_client(upstream_client_options options = {});
  ~upstream_client();

  /// @brief Sets where an upstream listens; closes its idle connections when
  /// the address has changed.
  void SetAddress(worker_id upstream, const ip_address& address);
  void Forget(worker_id upstream);

  /// @brief Sends a request and reads the whole answer by @p deadline.
  ///
  /// The result is kNotStarted only when it is proven that the upstream did not
  /// start: the connection could not be opened, or the upstream answered 503
  /// with the header `Skylarkbridge-Not-Started`.
  upstream_result Send(worker_id upstream,
                       const upstream_request& request,
                       time_point deadline);

 private:
  struct connection;
  struct upstream {
    ip_address address;
    std::vector<std::unique_ptr<connection>> idle;
  };

  std::unique_ptr<connection> Take(worker_id upstream, time_point now);
  void Return(worker_id upstream,
              std::unique_ptr<connection> used,
              time_point now);

  const upstream_client_options options_;
  absl::Mutex mutex_;
  absl::flat_hash_map<worker_id, upstream> upstreams_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_UPSTREAM_CLIENT_HPP
