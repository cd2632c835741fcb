#ifndef SKYLARKBRIDGE_GATEWAY_TCP_PEER_TRANSPORT_HPP
#define SKYLARKBRIDGE_GATEWAY_TCP_PEER_TRANSPORT_HPP

#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/gateway/peer_hello.hpp"
#include "skylarkbridge/gateway/peer_link.hpp"
#include "skylarkbridge/gateway/peer_listener.hpp"
#include "skylarkbridge/gateway/peer_transport.hpp"
#include "skylarkbridge/supervisor/supervisor.hpp"

namespace skylarkbridge::gateway {

struct tcp_peer_transport_options {
  peer_listener_options listener;
  peer_link_options link;
  /// Peers that this VM sends to at a time; each link is a thread. At 23 data
  /// centres a VM has 13 on average.
  std::size_t links = 32;
  /// A link without messages for this time may pass to another peer.
  std::chrono::milliseconds link_idle{10'000};
  /// Seed of the random part of the waits.
  std::uint64_t seed = 1;
};

/// @brief Carries peer messages over TCP.
///
/// Send and Forget belong to one thread, the control thread. Everything else
/// runs in the children.
class tcp_peer_transport {
 public:
  /// @brief Binds the listener. Fails with `failure`. The mailbox must outlive
  /// the transport.
  static boost::leaf::result<std::unique_ptr<tcp_peer_transport>> Open(
      peer_identity identity,
      tcp_peer_transport_options options,
      peer_mailbox& mailbox);

  /// @brief Adds the listener and the links to a one-for-one supervisor. The
  /// transport must outlive it.
  void AddChildren(supervisor::supervisor& parent);

  /// @brief Queues a message without blocking. False when the message breaks a
  /// limit, the queue of the link is full, or all links are in use.
  bool Send(entry_vm_id to,
            const ip_address& address,
            const wire::peer_message& message);

  /// @brief Closes the link to a VM and drops what is queued for it.
  void Forget(entry_vm_id to);

  const ip_address& Address() const { return listener_->Address(); }
  const peer_listener& Listener() const { return *listener_; }

 private:
  struct link_use {
    std::size_t link = 0;
    time_point last_send;
  };

  tcp_peer_transport(peer_identity identity,
                     tcp_peer_transport_options options);

  peer_link* LinkTo(entry_vm_id to, time_point now);

  const peer_identity identity_;
  const tcp_peer_transport_options options_;
  std::unique_ptr<peer_listener> listener_;
  std::vector<std::unique_ptr<peer_link>> links_;
  std::vector<std::size_t> free_links_;
  absl::flat_hash_map<entry_vm_id, link_use> in_use_;
};

static_assert(peer_transport<tcp_peer_transport>);

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_TCP_PEER_TRANSPORT_HPP
