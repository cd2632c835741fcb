#ifndef SKYLARKBRIDGE_GATEWAY_HTTP_LISTENER_HPP
#define SKYLARKBRIDGE_GATEWAY_HTTP_LISTENER_HPP

#include <atomic>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/base/thread_annotations.h"
#include "absl/functional/any_invocable.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/stop_signal.hpp"

namespace httplib {
class Server;
}

namespace skylarkbridge::gateway {

struct http_listener_options {
  /// Port 0 takes any free port.
  ip_address address;
  /// Most connections served at a time; each holds one thread.
  std::size_t threads = 128;
  /// Most bytes of a request body.
  std::size_t max_body = 1 << 20;
  /// Idle connections are closed after this time.
  std::chrono::seconds keep_alive = std::chrono::seconds(5);
  /// During a stop, requests are still answered for this long, each with
  /// `Connection: close`, so that callers and the balancer can move away.
  std::chrono::milliseconds lame_duck = std::chrono::seconds(1);
};

/// @brief HTTP server that runs as a child of a supervisor and stops without
/// cutting off a request in progress.
class http_listener {
 public:
  /// @param install adds the routes; called at each start.
  http_listener(http_listener_options options,
                absl::AnyInvocable<void(httplib::Server&)> install);

  /// @brief Serves until @p stop is requested. Fails with `failure` when the
  /// address cannot be bound or accepting ends early.
  boost::leaf::result<void> Run(stop_signal& stop);

  /// @brief Port that is listened on; waits until @p deadline for it. Zero when
  /// it is not known by then.
  std::uint16_t WaitForPort(time_point deadline);

  /// @brief True once a stop was requested.
  bool Draining() const { return draining_.load(); }

 private:
  bool HasPort() const ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_) {
    return port_ != 0;
  }
  boost::leaf::result<void> Bind(httplib::Server& server);
  void Configure(httplib::Server& server);
  void SetPort(std::uint16_t port);

  const http_listener_options options_;
  absl::AnyInvocable<void(httplib::Server&)> install_;
  std::atomic<bool> draining_ = false;
  absl::Mutex mutex_;
  std::uint16_t port_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_HTTP_LISTENER_HPP
