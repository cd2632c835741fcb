#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/transport/http_client.hpp"
#include "skylarkbridge/transport/silent_server_fake.hpp"

namespace skylarkbridge::transport {
namespace {

namespace asio = boost::asio;
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

}  // namespace
}  // namespace skylarkbridge::transport
