// Requests that go on trying to open a connection to a server that is down.

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "skylarkbridge/transport/http_client.hpp"

namespace skylarkbridge::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tcp = boost::asio::ip::tcp;

/// A server that refuses connections until it listens, and closes each one that
/// it accepts.
class closing_server {
 public:
  explicit closing_server(boost::asio::io_context& context)
      : acceptor_(context, tcp::v4()) {
    acceptor_.bind({boost::asio::ip::address_v4::loopback(), 0});
  }
  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  void Listen() {
    acceptor_.listen();
    Accept();
  }
  int Accepted() const { return accepted_; }

 private:
  void Accept() {
    acceptor_.async_accept(
        [this](const boost::system::error_code& error, tcp::socket socket) {
          if (error) {
            return;
          }
          ++accepted_;
          socket.close();
          Accept();
        });
  }

  tcp::acceptor acceptor_;
  int accepted_ = 0;
};

/// A client and a server that is down, both on the context of the test.
struct client_of_a_server_that_is_down {
  void Send(std::optional<time_point> reconnect_until) {
    client.Send({.address = server.Address(),
                 .method = "POST",
                 .target = "/",
                 .deadline = boot_clock::now() + seconds(20),
                 .reconnect_until = reconnect_until},
                [this](http_outcome result) {
                  outcome = std::move(result);
                  ended_at = boot_clock::now();
                });
  }
  void RunUntilEnded() {
    const time_point give_up = boot_clock::now() + seconds(20);
    while (!outcome && boot_clock::now() < give_up) {
      context.run_one_for(milliseconds(100));
    }
  }

  boost::asio::io_context context{1};
  closing_server server{context};
  http_client client{context, {}};
  std::optional<http_outcome> outcome;
  time_point ended_at;
};

// Guards against a next life of a worker that is reached late beside load
// (TWICE, review/7): each attempt waited until the control thread had learnt of
// the failure of the one before, and had been woken up for the next.
TEST(ReconnectTest, ARequestReachesAServerThatBeginsToListenMeanwhile) {
  client_of_a_server_that_is_down play;
  play.Send(boot_clock::now() + seconds(20));
  play.context.run_for(milliseconds(50));
  ASSERT_FALSE(play.outcome);
  play.server.Listen();
  play.RunUntilEnded();
  EXPECT_EQ(play.server.Accepted(), 1);
}

// Guards against a request that is sent again after the server may have acted
// on it.
TEST(ReconnectTest, ARequestIsNotRepeatedOnceItWasSent) {
  client_of_a_server_that_is_down play;
  play.Send(boot_clock::now() + seconds(20));
  play.server.Listen();
  play.RunUntilEnded();
  ASSERT_TRUE(play.outcome);
  EXPECT_EQ(std::get<http_failure>(*play.outcome), http_failure::kNoResponse);
  play.context.run_for(milliseconds(50));
  EXPECT_EQ(play.server.Accepted(), 1);
}

// Guards against a sender that learns only at the deadline that a server is
// down.
TEST(ReconnectTest, ARequestFailsOnceItsTimeToReconnectIsOver) {
  client_of_a_server_that_is_down play;
  const time_point until = boot_clock::now() + milliseconds(50);
  play.Send(until);
  play.RunUntilEnded();
  ASSERT_TRUE(play.outcome);
  EXPECT_EQ(std::get<http_failure>(*play.outcome), http_failure::kNotSent);
  EXPECT_GE(play.ended_at, until);
  EXPECT_LT(play.ended_at, until + seconds(10));
}

// Guards against attempts that go on for other requests.
TEST(ReconnectTest, ARequestWithoutATimeToReconnectFailsAtOnce) {
  client_of_a_server_that_is_down play;
  play.Send(std::nullopt);
  play.RunUntilEnded();
  ASSERT_TRUE(play.outcome);
  EXPECT_EQ(std::get<http_failure>(*play.outcome), http_failure::kNotSent);
}

}  // namespace
}  // namespace skylarkbridge::transport
