#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/transport/http_client.hpp"

namespace skylarkbridge::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kResponse =
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

/// An HTTP server whose open connections can go silent: they stay open, but
/// nothing that arrives on them is answered any more. New connections work.
class server_fake {
 public:
  /// @param batch number of requests to receive before the first answers, so
  /// that a client has to open that many connections.
  server_fake(asio::io_context& context, std::size_t batch)
      : acceptor_(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
        batch_(batch) {
    Accept();
  }

  std::string Address() const {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  /// @brief Lets all open connections go silent.
  void GoSilent() {
    for (const auto& each : connections_) {
      each->silent = true;
    }
  }

 private:
  struct connection {
    explicit connection(tcp::socket accepted) : socket(std::move(accepted)) {}
    tcp::socket socket;
    asio::streambuf received;
    bool silent = false;
  };

  void Accept() {
    acceptor_.async_accept([this](const error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      connections_.push_back(std::make_shared<connection>(std::move(socket)));
      Read(connections_.back());
      Accept();
    });
  }
  void Read(const std::shared_ptr<connection>& from) {
    asio::async_read_until(
        from->socket, from->received, "\r\n\r\n",
        [this, from](const error_code& error, std::size_t bytes) {
          if (error) {
            return;
          }
          from->received.consume(bytes);
          if (!from->silent) {
            waiting_.push_back(from);
          }
          if (waiting_.size() >= batch_) {
            batch_ = 1;
            for (const auto& each : std::exchange(waiting_, {})) {
              Answer(each);
            }
          }
          Read(from);
        });
  }
  static void Answer(const std::shared_ptr<connection>& to) {
    asio::async_write(to->socket, asio::buffer(kResponse),
                      [to](const error_code& /*error*/, std::size_t) {});
  }

  tcp::acceptor acceptor_;
  std::size_t batch_;
  std::vector<std::shared_ptr<connection>> connections_;
  /// Connections with a request that is not answered yet.
  std::vector<std::shared_ptr<connection>> waiting_;
};

// Guards against a request that fails once for each idle connection that has
// gone silent. Stop orders to a worker were repeated for 7 s in this way, while
// new connections to it worked.
TEST(SilentConnectionsTest, OneFailedRequestIsEnoughToOpenANewConnection) {
  constexpr std::size_t kConnections = 8;
  asio::io_context context;
  const auto work = asio::make_work_guard(context);
  server_fake server(context, kConnections);
  http_client client(context, {.max_connections = 12});
  mailbox<http_outcome> outcomes(100);
  posix_thread thread =
      posix_thread::Start("http", [&context] { context.run(); }).value();
  const auto send = [&](milliseconds timeout) {
    client.Send({.address = server.Address(),
                 .method = "GET",
                 .target = "/",
                 .deadline = boot_clock::now() + timeout},
                [&outcomes](http_outcome outcome) {
                  outcomes.SendUnbounded(std::move(outcome));
                });
  };
  const auto receive = [&outcomes] {
    return outcomes.ReceiveAll(boot_clock::now() + seconds(20));
  };

  for (std::size_t request = 0; request < kConnections; ++request) {
    send(seconds(20));
  }
  std::size_t answered = 0;
  while (answered < kConnections) {
    const std::vector<http_outcome> batch = receive();
    ASSERT_FALSE(batch.empty());
    answered += batch.size();
  }
  asio::post(context, [&server] { server.GoSilent(); });
  send(milliseconds(100));
  std::vector<http_outcome> outcome = receive();
  ASSERT_EQ(outcome.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<http_failure>(outcome[0]));
  send(seconds(2));
  outcome = receive();
  ASSERT_EQ(outcome.size(), 1U);
  EXPECT_TRUE(std::holds_alternative<http_response>(outcome[0]));
  context.stop();
  thread.Join();
}

}  // namespace
}  // namespace skylarkbridge::transport
