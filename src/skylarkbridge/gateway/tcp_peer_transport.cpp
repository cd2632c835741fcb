#include "skylarkbridge/gateway/tcp_peer_transport.hpp"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <utility>

#include "skylarkbridge/gateway/peer_events.hpp"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;

}  // namespace

leaf::result<std::unique_ptr<tcp_peer_transport>> tcp_peer_transport::Open(
    peer_identity identity,
    tcp_peer_transport_options options,
    peer_mailbox& mailbox) {
  std::unique_ptr<tcp_peer_transport> transport(
      new tcp_peer_transport(std::move(identity), std::move(options)));
  const tcp_peer_transport_options& settings = transport->options_;
  BOOST_LEAF_ASSIGN(
      transport->listener_,
      peer_listener::Open(transport->identity_, settings.listener, mailbox));
  for (std::size_t i = 0; i < settings.links; ++i) {
    BOOST_LEAF_AUTO(link, peer_link::Open(transport->identity_, settings.link,
                                          settings.seed + i));
    transport->links_.push_back(std::move(link));
    transport->free_links_.push_back(i);
  }
  return transport;
}

tcp_peer_transport::tcp_peer_transport(peer_identity identity,
                                       tcp_peer_transport_options options)
    : identity_(std::move(identity)), options_(std::move(options)) {}

void tcp_peer_transport::AddChildren(supervisor::supervisor& parent) {
  parent.Add({.name = "peer_listener", .run = [this](stop_signal& stop) {
                return listener_->Run(stop);
              }});
  for (std::size_t i = 0; i < links_.size(); ++i) {
    parent.Add({.name = "peer_link_" + std::to_string(i),
                .run = [link = links_[i].get()](stop_signal& stop) {
                  return link->Run(stop);
                }});
  }
}

bool tcp_peer_transport::Send(entry_vm_id to,
                              const ip_address& address,
                              const wire::peer_message& message) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<bool> {
        BOOST_LEAF_AUTO(body, wire::EncodePeerMessage(message));
        BOOST_LEAF_AUTO(frame, wire::EncodeFrame(body));
        peer_link* link = LinkTo(to, boot_clock::now());
        if (link == nullptr) {
          return false;
        }
        link->SetTarget(peer_target{to, address});
        return link->TrySend(std::move(frame));
      },
      [&](const wire::decode_error& error) {
        LogEvent(kPeerMessageInvalid, {{"peer", std::to_string(to.value)},
                                       {"error", Format(error)}});
        return false;
      },
      [] { return false; });
}

void tcp_peer_transport::Forget(entry_vm_id to) {
  const auto found = in_use_.find(to);
  if (found != in_use_.end()) {
    links_[found->second.link]->SetTarget(std::nullopt);
    free_links_.push_back(found->second.link);
    in_use_.erase(found);
  }
}

peer_link* tcp_peer_transport::LinkTo(entry_vm_id to, time_point now) {
  const auto found = in_use_.find(to);
  if (found != in_use_.end()) {
    found->second.last_send = now;
    return links_[found->second.link].get();
  }
  if (free_links_.empty()) {
    const auto oldest = std::min_element(
        in_use_.begin(), in_use_.end(), [](const auto& a, const auto& b) {
          return a.second.last_send < b.second.last_send;
        });
    if (oldest == in_use_.end() ||
        now < oldest->second.last_send + options_.link_idle) {
      return nullptr;
    }
    Forget(oldest->first);
  }
  const std::size_t link = free_links_.back();
  free_links_.pop_back();
  in_use_[to] = {link, now};
  return links_[link].get();
}

}  // namespace skylarkbridge::gateway
