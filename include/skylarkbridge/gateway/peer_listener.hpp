#ifndef SKYLARKBRIDGE_GATEWAY_PEER_LISTENER_HPP
#define SKYLARKBRIDGE_GATEWAY_PEER_LISTENER_HPP

#include <atomic>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "skylarkbridge/base/file_descriptor.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/gateway/peer_hello.hpp"
#include "skylarkbridge/gateway/peer_transport.hpp"
#include "skylarkbridge/gateway/wake_event.hpp"
#include "skylarkbridge/wire/frame.hpp"

namespace skylarkbridge::gateway {

struct peer_listener_options {
  ip_address address;
  /// Further connections are closed at once. A VM has about 7 peers in its
  /// data centre and 6 in others.
  std::size_t max_connections = 64;
  /// Time for a new connection to send its hello.
  std::chrono::milliseconds hello_timeout{2000};
  /// A connection that is silent for this time is closed; heartbeats come
  /// every 2 s at least.
  std::chrono::milliseconds idle_timeout{30'000};
  /// Wait after the process ran out of descriptors.
  std::chrono::milliseconds accept_pause{200};
};

/// @brief Accepts connections of peers and puts their messages into a mailbox.
class peer_listener {
 public:
  /// @brief Binds the address. Fails with `failure`.
  static boost::leaf::result<std::unique_ptr<peer_listener>> Open(
      const peer_identity& identity,
      peer_listener_options options,
      peer_mailbox& mailbox);

  /// @brief Address that is bound, also when port 0 was asked for.
  const ip_address& Address() const { return address_; }

  /// @brief Body of the child that runs the listener. The address stays bound
  /// between runs.
  boost::leaf::result<void> Run(stop_signal& stop);

  /// @brief Messages that the mailbox refused.
  std::uint64_t Dropped() const { return dropped_.load(); }
  std::uint64_t Received() const { return received_.load(); }

 private:
  struct connection {
    file_descriptor socket;
    ip_address address;
    wire::frame_decoder decoder;
    /// Set by the hello.
    std::optional<entry_vm_id> peer;
    /// The connection is closed when nothing arrives before.
    time_point deadline;
  };
  using connection_list = std::list<connection>;

  peer_listener(const peer_identity& identity,
                peer_listener_options options,
                peer_mailbox& mailbox,
                file_descriptor socket,
                ip_address address,
                wake_event wake);

  void Accept(connection_list& connections, time_point now);
  /// False when the connection has to be closed.
  bool ReadFrom(connection& from, connection_list& all, time_point now);
  boost::leaf::result<bool> Read(connection& from,
                                 connection_list& all,
                                 time_point now);
  boost::leaf::result<bool> Handle(connection& from,
                                   connection_list& all,
                                   const std::string& body);
  boost::leaf::result<bool> Greet(connection& from,
                                  connection_list& all,
                                  const wire::peer_message& message);

  const peer_identity& identity_;
  const peer_listener_options options_;
  peer_mailbox& mailbox_;
  const file_descriptor socket_;
  const ip_address address_;
  const wake_event wake_;
  /// Nothing is accepted before this time.
  time_point accept_at_;
  std::atomic<std::uint64_t> dropped_{0};
  std::atomic<std::uint64_t> received_{0};
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_PEER_LISTENER_HPP
