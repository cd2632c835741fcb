#ifndef SKYLARKBRIDGE_GATEWAY_PEER_HELLO_HPP
#define SKYLARKBRIDGE_GATEWAY_PEER_HELLO_HPP

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/coordination/member.hpp"
#include "skylarkbridge/wire/peer_message.hpp"

namespace skylarkbridge::gateway {

/// @brief Who this process is towards peers.
struct peer_identity {
  coordination::member_entry self;
  /// Secret that all VMs share; with an empty one no peer is accepted.
  std::string token;
};

/// @brief Compares without telling by its duration where the texts differ.
bool ConstantTimeEqual(std::string_view secret, std::string_view given);

/// @brief Frame of the hello to @p receiver. Fails with decode_error.
boost::leaf::result<std::string> HelloFrame(const peer_identity& identity,
                                            entry_vm_id receiver);

/// @brief Why the connection must be closed, if it must.
std::optional<std::string> RefuseHello(const peer_identity& identity,
                                       const wire::hello& hello);

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_PEER_HELLO_HPP
