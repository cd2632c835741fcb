#include "skylarkbridge/gateway/peer_listener.hpp"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <iterator>
#include <utility>
#include <vector>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/gateway/peer_events.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"
#include "tcp_socket.hpp"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;

constexpr int kBacklog = 128;
constexpr std::size_t kReadBytes = 64U << 10U;
// A stranger must not make the process hold a whole frame.
constexpr std::size_t kMaxHelloBytes = 16U << 10U;

void ReportRefusal(const ip_address& address, const std::string& reason) {
  LogEvent(kPeerConnectionRefused,
           {{"address", Format(address)}, {"reason", reason}});
}

}  // namespace

leaf::result<std::unique_ptr<peer_listener>> peer_listener::Open(
    const peer_identity& identity,
    peer_listener_options options,
    peer_mailbox& mailbox) {
  BOOST_LEAF_AUTO(socket, ListenTcp(options.address, kBacklog));
  BOOST_LEAF_AUTO(address, LocalAddress(socket));
  BOOST_LEAF_AUTO(wake, wake_event::Open());
  return std::unique_ptr<peer_listener>(new peer_listener(
      identity, std::move(options), mailbox, std::move(socket),
      std::move(address), std::move(wake)));
}

peer_listener::peer_listener(const peer_identity& identity,
                             peer_listener_options options,
                             peer_mailbox& mailbox,
                             file_descriptor socket,
                             ip_address address,
                             wake_event wake)
    : identity_(identity),
      options_(std::move(options)),
      mailbox_(mailbox),
      socket_(std::move(socket)),
      address_(std::move(address)),
      wake_(std::move(wake)),
      accept_at_(time_point::min()) {}

leaf::result<void> peer_listener::Run(stop_signal& stop) {
  stop.OnRequest([this](time_point) { wake_.Signal(); });
  connection_list connections;
  std::vector<pollfd> descriptors;
  while (!stop.Requested()) {
    time_point now = boot_clock::now();
    std::optional<time_point> deadline;
    const auto consider = [&deadline](time_point at) {
      deadline = deadline ? std::min(*deadline, at) : at;
    };
    const bool accepting = now >= accept_at_;
    if (!accepting) {
      consider(accept_at_);
    }
    descriptors.assign(
        {{wake_.Descriptor(), POLLIN, 0},
         {socket_.Get(), static_cast<short>(accepting ? POLLIN : 0), 0}});
    for (const connection& open : connections) {
      descriptors.push_back({open.socket.Get(), POLLIN, 0});
      consider(open.deadline);
    }
    PollUntil(descriptors, deadline);
    wake_.Clear();
    now = boot_clock::now();
    std::size_t index = 2;
    for (auto it = connections.begin(); it != connections.end();) {
      const auto current = it++;
      const bool ready = descriptors[index++].revents != 0;
      // A new connection of a peer has closed its former one.
      const bool replaced = !current->socket.Valid();
      if (replaced || (ready ? !ReadFrom(*current, connections, now)
                             : now >= current->deadline)) {
        connections.erase(current);
      }
    }
    std::erase_if(connections,
                  [](const connection& open) { return !open.socket.Valid(); });
    if (descriptors[1].revents != 0) {
      Accept(connections, now);
    }
  }
  return {};
}

void peer_listener::Accept(connection_list& connections, time_point now) {
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(accepted, AcceptTcp(socket_));
        if (!accepted) {
          return {};
        }
        if (connections.size() >= options_.max_connections) {
          ReportRefusal(accepted->address, "too many connections");
          return {};
        }
        connections.push_back({.socket = std::move(accepted->socket),
                               .address = accepted->address,
                               .deadline = now + options_.hello_timeout});
        return {};
      },
      [&](const failure& error) {
        // Without a pause the waiting connection would wake poll at once.
        accept_at_ = now + options_.accept_pause;
        ReportRefusal(address_, Format(error));
      },
      [] {});
}

bool peer_listener::ReadFrom(connection& from,
                             connection_list& all,
                             time_point now) {
  const auto report = [&from](const std::string& error) {
    if (from.peer) {
      LogEvent(kPeerMessageInvalid,
               {{"peer", std::to_string(from.peer->value)}, {"error", error}});
    } else {
      ReportRefusal(from.address, error);
    }
    return false;
  };
  return leaf::try_handle_all(
      [&] { return Read(from, all, now); },
      [&](const failure& error) { return report(Format(error)); },
      [&](const wire::decode_error& error) { return report(Format(error)); },
      [&] { return report("unknown error"); });
}

leaf::result<bool> peer_listener::Read(connection& from,
                                       connection_list& all,
                                       time_point now) {
  std::string bytes;
  BOOST_LEAF_AUTO(state, ReadSome(from.socket, kReadBytes, bytes));
  if (state == read_state::kClosed) {
    return false;
  }
  from.decoder.Feed(bytes);
  if (from.peer) {
    from.deadline = now + options_.idle_timeout;
  }
  std::string body;
  while (true) {
    BOOST_LEAF_AUTO(complete, from.decoder.Next(body));
    if (!complete) {
      break;
    }
    BOOST_LEAF_AUTO(keep, Handle(from, all, body));
    if (!keep) {
      return false;
    }
  }
  if (!from.peer && from.decoder.Buffered() > kMaxHelloBytes) {
    return leaf::new_error(
        failure{Format(from.address), "the hello is too large"});
  }
  return true;
}

leaf::result<bool> peer_listener::Handle(connection& from,
                                         connection_list& all,
                                         const std::string& body) {
  BOOST_LEAF_AUTO(message, wire::DecodePeerMessage(body));
  if (!from.peer) {
    return Greet(from, all, message);
  }
  if (std::holds_alternative<wire::hello>(message)) {
    return leaf::new_error(failure{Format(from.address), "a second hello"});
  }
  if (mailbox_.TrySend({*from.peer, std::move(message)})) {
    ++received_;
  } else {
    ++dropped_;
  }
  return true;
}

leaf::result<bool> peer_listener::Greet(connection& from,
                                        connection_list& all,
                                        const wire::peer_message& message) {
  const auto* hello = std::get_if<wire::hello>(&message);
  const std::optional<std::string> refusal =
      hello == nullptr ? "the first message is not a hello"
                       : RefuseHello(identity_, *hello);
  if (refusal) {
    return leaf::new_error(failure{Format(from.address), *refusal});
  }
  BOOST_LEAF_AUTO(frame, HelloFrame(identity_, hello->sender.vm));
  BOOST_LEAF_AUTO(written, WriteSome(from.socket, frame));
  if (written != frame.size()) {
    return leaf::new_error(
        failure{Format(from.address), "the hello was not taken whole"});
  }
  for (connection& other : all) {
    if (other.peer == hello->sender.vm) {
      other.socket.Reset();
    }
  }
  from.peer = hello->sender.vm;
  from.deadline = boot_clock::now() + options_.idle_timeout;
  return true;
}

}  // namespace skylarkbridge::gateway
