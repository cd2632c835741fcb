#include "skylarkbridge/gateway/peer_hello.hpp"

#include <cstddef>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::gateway {

bool ConstantTimeEqual(std::string_view secret, std::string_view given) {
  if (secret.empty()) {
    return false;
  }
  // The duration depends on the length of the given text only.
  unsigned difference = secret.size() == given.size() ? 0 : 1;
  for (std::size_t i = 0; i < given.size(); ++i) {
    difference |= static_cast<unsigned char>(secret[i % secret.size()]) ^
                  static_cast<unsigned char>(given[i]);
  }
  return difference == 0;
}

boost::leaf::result<std::string> HelloFrame(const peer_identity& identity,
                                            entry_vm_id receiver) {
  BOOST_LEAF_AUTO(body, wire::EncodePeerMessage(wire::hello{
                            identity.self, receiver, identity.token}));
  return wire::EncodeFrame(body);
}

std::optional<std::string> RefuseHello(const peer_identity& identity,
                                       const wire::hello& hello) {
  if (!ConstantTimeEqual(identity.token, hello.token)) {
    return "the token does not match";
  }
  if (hello.receiver != identity.self.vm) {
    return absl::StrCat("meant for VM ", hello.receiver.value, ", this is ",
                        identity.self.vm.value);
  }
  return std::nullopt;
}

}  // namespace skylarkbridge::gateway
