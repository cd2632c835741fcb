#ifndef SKYLARKBRIDGE_GATEWAY_WORKER_CLIENT_HPP
#define SKYLARKBRIDGE_GATEWAY_WORKER_CLIENT_HPP

#include <chrono>
#include <concepts>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/gateway/address_book.hpp"
#include "skylarkbridge/gateway/http_call.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge::gateway {

/// @brief Carries commands to workers.
template <class T>
concept worker_gateway = requires(T& gateway,
                                  const wire::worker_command& command) {
  // Nothing when there is no reply that can be read; the command may then have
  // taken effect.
  { gateway.Call(command) } -> std::same_as<std::optional<wire::worker_reply>>;
};

struct worker_client_options {
  /// Time for one command. The lease protocol refuses a command that is older
  /// than 250 ms, so a longer wait is of no use.
  std::chrono::milliseconds timeout = std::chrono::milliseconds(200);
  /// A worker that did not answer gets no command for this time, so that it
  /// does not hold up the commands to the others of this thread.
  std::chrono::milliseconds pause = std::chrono::milliseconds(400);
  /// Unused connections are closed after this time.
  std::chrono::milliseconds max_idle = std::chrono::seconds(3);
};

/// @brief Worker gateway over HTTP, for one thread.
class worker_client {
 public:
  worker_client(worker_client_options options, const address_book& addresses)
      : options_(options), addresses_(addresses) {}

  std::optional<wire::worker_reply> Call(const wire::worker_command& command);

 private:
  struct connection {
    ip_address address;
    http_call call;
    time_point paused_until;
    time_point reusable_until;
  };

  connection* Connect(worker_id worker, time_point now);

  const worker_client_options options_;
  const address_book& addresses_;
  absl::flat_hash_map<worker_id, connection> connections_;
};

static_assert(worker_gateway<worker_client>);

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_WORKER_CLIENT_HPP
