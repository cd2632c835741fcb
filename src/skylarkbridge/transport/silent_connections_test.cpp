#include <gtest/gtest.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/transport/http_client.hpp"
#include "skylarkbridge/transport/http_server.hpp"
#include "skylarkbridge/transport/silent_server_fake.hpp"

namespace skylarkbridge::transport {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sends requests from the test's own thread, which also runs the server.
struct silent_loopback {
  silent_loopback(std::size_t batch, std::size_t max_connections)
      : server(context, batch), client(context, {max_connections}) {}

  void Send(milliseconds timeout) {
    client.Send(
        {.address = server.Address(),
         .method = "GET",
         .target = "/",
         .deadline = boot_clock::now() + timeout},
        [this](const http_outcome& outcome) { outcomes.push_back(outcome); });
  }
  /// Runs until there are @p count outcomes, for at most 5 s.
  void Await(std::size_t count) {
    const time_point give_up = boot_clock::now() + seconds(5);
    while (outcomes.size() < count && boot_clock::now() < give_up) {
      context.run_one_for(milliseconds(100));
    }
    ASSERT_EQ(outcomes.size(), count);
  }
  bool Answered(std::size_t outcome) const {
    return std::holds_alternative<http_response>(outcomes.at(outcome));
  }

  asio::io_context context;
  silent_server server;
  http_client client;
  std::vector<http_outcome> outcomes;
};

// Guards against a request that fails once for each idle connection that has
// gone silent. Stop orders to a worker were repeated for 7 s in this way, while
// new connections to it worked.
TEST(SilentConnectionsTest, OneFailedRequestIsEnoughToOpenANewConnection) {
  constexpr std::size_t kConnections = 8;
  asio::io_context context;
  const auto work = asio::make_work_guard(context);
  silent_server server(context, kConnections);
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

// Guards against a request that waits for a free connection and is answered
// long after its deadline: the connections were in use by requests without an
// answer, and only their ends were looked at.
TEST(SilentConnectionsTest, ARequestThatWaitsForAConnectionFailsAtItsDeadline) {
  constexpr std::size_t kNeverAnswers = 100;
  silent_loopback loopback(kNeverAnswers, 1);
  loopback.Send(seconds(20));
  loopback.Send(milliseconds(100));
  loopback.Await(1);
  ASSERT_FALSE(loopback.Answered(0));
  EXPECT_EQ(std::get<http_failure>(loopback.outcomes[0]),
            http_failure::kNotSent);
}

// Guards against a request that fails on a connection which answered while an
// earlier one was under way, before both went silent.
TEST(SilentConnectionsTest, SilenceThatBeginsDuringARequestFailsOnlyThatOne) {
  silent_loopback loopback(2, 12);
  loopback.Send(seconds(20));
  loopback.Send(seconds(20));
  loopback.Await(2);
  loopback.server.HoldNextRequest();
  loopback.Send(milliseconds(400));
  loopback.Send(seconds(20));
  loopback.Await(3);
  ASSERT_TRUE(loopback.Answered(2));
  loopback.server.GoSilent();
  loopback.Await(4);
  ASSERT_FALSE(loopback.Answered(3));
  loopback.Send(seconds(2));
  loopback.Await(5);
  EXPECT_TRUE(loopback.Answered(4));
}

// As above, with a connection that had answered nothing before.
TEST(SilentConnectionsTest, SilenceOnANewConnectionClosesTheOlderOnes) {
  silent_loopback loopback(1, 12);
  loopback.Send(seconds(20));
  loopback.Await(1);
  loopback.server.HoldNextRequest();
  loopback.Send(milliseconds(400));
  loopback.server.HoldNextRequest();
  loopback.Send(milliseconds(200));
  loopback.Await(3);
  loopback.server.GoSilent();
  loopback.Send(seconds(2));
  loopback.Await(4);
  EXPECT_TRUE(loopback.Answered(3));
}

// Guards against callers whose connections went silent and that use up the
// connections of a server, before a request or within one.
TEST(SilentConnectionsTest, AServerClosesTheConnectionsOfSilentCallers) {
  asio::io_context context(1);
  http_server server(context,
                     {.address = "127.0.0.1:0",
                      .transfer_timeout = milliseconds(100),
                      .idle_timeout = milliseconds(100),
                      .max_connections = 2},
                     [&server](const server_request& request) {
                       server.Respond(request.token, {.status = 200});
                     });
  server.Listen().value();
  const tcp::endpoint address(asio::ip::address_v4::loopback(), server.Port());
  const std::string_view half_request =
      "POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nab";
  std::size_t closed = 0;
  char byte = 0;
  std::vector<tcp::socket> callers;
  for (const std::string_view sent : {std::string_view(), half_request}) {
    callers.emplace_back(context).connect(address);
    asio::write(callers.back(), asio::buffer(sent));
  }
  for (tcp::socket& caller : callers) {
    caller.async_receive(
        asio::buffer(&byte, 1),
        [&closed](const error_code& error, std::size_t /*bytes*/) {
          closed += error ? 1 : 0;
        });
  }
  const time_point give_up = boot_clock::now() + seconds(5);
  while (closed < 2 && boot_clock::now() < give_up) {
    context.run_one_for(milliseconds(100));
  }
  EXPECT_EQ(closed, 2U);

  http_client client(context, {});
  std::optional<http_outcome> outcome;
  client.Send({.address = "127.0.0.1:" + std::to_string(server.Port()),
               .method = "GET",
               .target = "/",
               .deadline = boot_clock::now() + seconds(2)},
              [&outcome](const http_outcome& received) { outcome = received; });
  while (!outcome && context.run_one_for(seconds(5)) > 0) {
  }
  ASSERT_TRUE(outcome);
  EXPECT_TRUE(std::holds_alternative<http_response>(*outcome));
}

}  // namespace
}  // namespace skylarkbridge::transport
