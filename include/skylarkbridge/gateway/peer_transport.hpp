#ifndef SKYLARKBRIDGE_GATEWAY_PEER_TRANSPORT_HPP
#define SKYLARKBRIDGE_GATEWAY_PEER_TRANSPORT_HPP

#include <concepts>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/wire/peer_message.hpp"

namespace skylarkbridge::gateway {

/// @brief A message for the control thread.
struct received_peer_message {
  /// Sender that the connection's hello named.
  entry_vm_id from;
  wire::peer_message message;
};

using peer_mailbox = mailbox<received_peer_message>;

/// @brief Carries messages to other entry VMs. Received messages go to a
/// peer_mailbox.
template <class T>
concept peer_transport = requires(T& transport,
                                  entry_vm_id to,
                                  const ip_address& address,
                                  const wire::peer_message& message) {
  /// Queues a message without blocking. False when it is refused; a message
  /// that was taken may still be lost.
  { transport.Send(to, address, message) } -> std::same_as<bool>;
  /// Closes the link to a VM and drops what is queued for it.
  transport.Forget(to);
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_PEER_TRANSPORT_HPP
