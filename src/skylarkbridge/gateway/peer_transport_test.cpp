#include <gtest/gtest.h>

#include <array>
#include <boost/leaf/handle_errors.hpp>

#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/gateway/reconnect_delay.hpp"
#include "skylarkbridge/gateway/tcp_peer_transport.hpp"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"
#include "tcp_socket.hpp"

namespace skylarkbridge::gateway {
namespace {

using coordination::heartbeat;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Far beyond what any step takes; only a failure reaches it.
time_point Patience() {
  return boot_clock::now() + seconds(60);
}

coordination::member_entry Entry(std::uint64_t vm) {
  return {.vm = {vm}, .address = {"127.0.0.1", 1}, .life = {{}, {vm}}};
}

/// A VM whose children run under a supervisor on a thread of the test.
class node_fake {
 public:
  explicit node_fake(std::uint64_t vm,
                     tcp_peer_transport_options options = {},
                     std::size_t mailbox_size = 1000)
      : mailbox(mailbox_size) {
    if (options.listener.address.host.empty()) {
      options.listener.address = {"127.0.0.1", 0};
    }
    options.links = std::min<std::size_t>(options.links, 2);
    transport =
        tcp_peer_transport::Open({Entry(vm), "secret"}, options, mailbox)
            .value();
    Start();
  }
  ~node_fake() { Stop(boot_clock::now()); }

  /// Starts all children again; the address stays bound meanwhile.
  void Start() {
    tree_ = std::make_unique<supervisor::supervisor>(
        "peers", supervisor::supervisor_options{});
    stop_ = std::make_unique<stop_signal>();
    transport->AddChildren(*tree_);
    thread_ = posix_thread::Start("node", [this] {
                EXPECT_TRUE(tree_->Run(*stop_));
              }).value();
  }
  void Stop(time_point drain_deadline) {
    stop_->Request(drain_deadline);
    thread_.Join();
  }

  /// Sends again and again, as a message may be lost, until @p to has one.
  std::optional<received_peer_message> SendUntilReceived(node_fake& to,
                                                         entry_vm_id vm) {
    const time_point deadline = Patience();
    while (boot_clock::now() < deadline) {
      transport->Send(vm, to.transport->Address(), heartbeat{Entry(1), {}, 7});
      auto received =
          to.mailbox.ReceiveAll(boot_clock::now() + milliseconds(50));
      if (!received.empty()) {
        return received.front();
      }
    }
    return std::nullopt;
  }

  peer_mailbox mailbox;
  std::unique_ptr<tcp_peer_transport> transport;

 private:
  std::unique_ptr<supervisor::supervisor> tree_;
  std::unique_ptr<stop_signal> stop_;
  posix_thread thread_;
};

/// A connection whose bytes the test writes itself.
class stranger_fake {
 public:
  explicit stranger_fake(const ip_address& address)
      : socket_(StartConnect(address, seconds(60)).value()) {
    Await(POLLOUT);
    EXPECT_TRUE(FinishConnect(socket_, address));
  }
  void Write(std::string_view bytes) {
    EXPECT_EQ(WriteSome(socket_, bytes).value(), bytes.size());
  }
  /// Reads until the other side closes; true when it did.
  bool IsClosed() {
    const time_point deadline = Patience();
    while (boot_clock::now() < deadline) {
      Await(POLLIN);
      std::string bytes;
      const bool open = boost::leaf::try_handle_all(
          [&]() -> boost::leaf::result<bool> {
            BOOST_LEAF_AUTO(state, ReadSome(socket_, 4096, bytes));
            return state == read_state::kOpen;
          },
          [] { return false; });
      if (!open) {
        return true;
      }
    }
    return false;
  }
  void Await(short events) {
    std::array descriptors = {pollfd{socket_.Get(), events, 0}};
    PollUntil(descriptors, Patience());
    EXPECT_NE(descriptors[0].revents, 0);
  }

 private:
  file_descriptor socket_;
};

/// An address that takes connections and never says hello.
class mute_peer_fake {
 public:
  ip_address Address() const { return LocalAddress(socket_).value(); }

 private:
  file_descriptor socket_ = ListenTcp({"127.0.0.1", 0}, 16).value();
};

std::string Frame(const wire::peer_message& message) {
  return wire::EncodeFrame(wire::EncodePeerMessage(message).value()).value();
}

// Each message must arrive whole and under the name of its sender.
TEST(TcpPeerTransportTest, CarriesMessagesBothWays) {
  node_fake a(1);
  node_fake b(2);
  const auto at_b = a.SendUntilReceived(b, {2});
  ASSERT_TRUE(at_b);
  EXPECT_EQ(at_b->from, entry_vm_id{1});
  EXPECT_EQ(std::get<heartbeat>(at_b->message).table_digest, 7);
  const auto at_a = b.SendUntilReceived(a, {1});
  ASSERT_TRUE(at_a);
  EXPECT_EQ(at_a->from, entry_vm_id{2});
}

// A peer whose connections broke must be reached again without a restart of
// this VM.
TEST(TcpPeerTransportTest, ConnectsAgainAfterTheOtherSideRestarts) {
  node_fake a(1);
  node_fake b(2);
  ASSERT_TRUE(a.SendUntilReceived(b, {2}));
  b.Stop(boot_clock::now());
  b.Start();
  b.mailbox.ReceiveAll(boot_clock::now());
  EXPECT_TRUE(a.SendUntilReceived(b, {2}));
}

// A VM that was replaced must be reached at its new address.
TEST(TcpPeerTransportTest, FollowsANewAddress) {
  node_fake a(1);
  node_fake former(2);
  ASSERT_TRUE(a.SendUntilReceived(former, {2}));
  node_fake replacement(2);
  EXPECT_TRUE(a.SendUntilReceived(replacement, {2}));
}

// What was queued before a graceful stop, such as the news of leaving, must
// still be sent.
TEST(TcpPeerTransportTest, SendsWhatIsQueuedBeforeItStops) {
  node_fake a(1, {.link = {.message_age = seconds(60)}});
  node_fake b(2);
  ASSERT_TRUE(
      a.transport->Send({2}, b.transport->Address(), wire::leaving{Entry(1)}));
  a.Stop(Patience());
  const auto received = b.mailbox.ReceiveAll(Patience());
  ASSERT_EQ(received.size(), 1);
  EXPECT_TRUE(std::holds_alternative<wire::leaving>(received[0].message));
}

// A peer that does not answer must not fill the memory.
TEST(TcpPeerTransportTest, RefusesWhenTheQueueIsFull) {
  node_fake a(1,
              {.link = {.queue = {.frames = 2}, .message_age = seconds(60)}});
  const mute_peer_fake mute;
  const ip_address nobody = mute.Address();
  const wire::peer_message message = heartbeat{Entry(1), {}, 7};
  EXPECT_TRUE(a.transport->Send({5}, nobody, message));
  EXPECT_TRUE(a.transport->Send({5}, nobody, message));
  EXPECT_FALSE(a.transport->Send({5}, nobody, message));
}

// More peers than links must be refused, and a peer that is forgotten must
// make room.
TEST(TcpPeerTransportTest, BoundsItsLinks) {
  node_fake a(1, {.link_idle = seconds(600)});
  const mute_peer_fake mute;
  const ip_address nobody = mute.Address();
  const wire::peer_message message = heartbeat{Entry(1), {}, 7};
  EXPECT_TRUE(a.transport->Send({5}, nobody, message));
  EXPECT_TRUE(a.transport->Send({6}, nobody, message));
  EXPECT_FALSE(a.transport->Send({7}, nobody, message));
  a.transport->Forget({5});
  EXPECT_TRUE(a.transport->Send({7}, nobody, message));
}

// A process without the token, one that means another VM and one that sends
// anything else first must be cut off before a message of theirs is passed on.
TEST(PeerListenerTest, ClosesConnectionsOfStrangers) {
  node_fake node(2);
  const std::string beat = Frame(heartbeat{Entry(1), {}, 7});
  const std::string openings[] = {
      Frame(wire::hello{Entry(1), {2}, "secreT"}) + beat,
      Frame(wire::hello{Entry(1), {3}, "secret"}) + beat,
      beat,
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\xff\xff\x0f\0\x01\0\0\0", 8) + std::string(20'000, 'x'),
  };
  for (const std::string& opening : openings) {
    stranger_fake stranger(node.transport->Address());
    stranger.Write(opening);
    EXPECT_TRUE(stranger.IsClosed()) << opening.substr(0, 40);
  }
  EXPECT_EQ(node.transport->Listener().Received(), 0);
}

// Connections that never say hello must neither stay nor exceed the bound.
TEST(PeerListenerTest, BoundsItsConnections) {
  node_fake node(
      2, {.listener = {.max_connections = 1, .hello_timeout = seconds(600)}});
  stranger_fake first(node.transport->Address());
  stranger_fake second(node.transport->Address());
  EXPECT_TRUE(second.IsClosed());
  node_fake hasty(3, {.listener = {.hello_timeout = milliseconds(1)}});
  stranger_fake silent(hasty.transport->Address());
  EXPECT_TRUE(silent.IsClosed());
}

// A control thread that is behind must not stop the listener; messages are
// refused and counted.
TEST(PeerListenerTest, DropsWhenTheMailboxIsFull) {
  node_fake node(2, {}, 1);
  stranger_fake peer(node.transport->Address());
  const std::string beat = Frame(heartbeat{Entry(1), {}, 7});
  peer.Write(Frame(wire::hello{Entry(1), {2}, "secret"}) + beat + beat + beat);
  // The second hello ends the connection after the messages were handled.
  peer.Write(Frame(wire::hello{Entry(1), {2}, "secret"}));
  EXPECT_TRUE(peer.IsClosed());
  EXPECT_EQ(node.transport->Listener().Received(), 1);
  EXPECT_EQ(node.transport->Listener().Dropped(), 2);
  EXPECT_EQ(node.mailbox.ReceiveAll(Patience()).size(), 1);
}

TEST(PeerHelloTest, ComparesWholeTokens) {
  EXPECT_TRUE(ConstantTimeEqual("secret", "secret"));
  EXPECT_FALSE(ConstantTimeEqual("secret", "secreT"));
  EXPECT_FALSE(ConstantTimeEqual("secret", "secretsecret"));
  EXPECT_FALSE(ConstantTimeEqual("secret", ""));
  EXPECT_FALSE(ConstantTimeEqual("", "")) << "an unset token admits nobody";
}

// Fixed waits would bring all peers of a restarted VM back at the same time.
TEST(ReconnectDelayTest, GrowsWithJitterUpToItsLimit) {
  reconnect_delay delay({.first = milliseconds(100), .longest = seconds(1)}, 7);
  milliseconds bound(100);
  for (int i = 0; i < 8; ++i) {
    const milliseconds wait = delay.Next();
    EXPECT_GE(wait, bound / 2);
    EXPECT_LE(wait, bound);
    bound = std::min(bound * 2, milliseconds(1000));
  }
  delay.Reset();
  EXPECT_LE(delay.Next(), milliseconds(100));
}

// A heartbeat that waited out a broken link would pass a dead VM off as alive.
TEST(SendQueueTest, DropsWhatIsTooOld) {
  send_queue queue({.frames = 2, .bytes = 100});
  const time_point now{seconds(1)};
  EXPECT_TRUE(queue.TryAdd("old", now + seconds(1), now));
  EXPECT_TRUE(queue.TryAdd("new", now + seconds(3), now));
  EXPECT_FALSE(queue.TryAdd("more", now + seconds(3), now));
  std::string out;
  queue.TakeInto(out, 100, now + seconds(2));
  EXPECT_EQ(out, "new");
  EXPECT_FALSE(queue.HasFrames(now));
}

}  // namespace
}  // namespace skylarkbridge::gateway
