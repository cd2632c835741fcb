#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/transport/http_client.hpp"
#include "skylarkbridge/transport/http_server.hpp"

namespace skylarkbridge::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An HTTP server and a client that run on one context in a thread of its own.
class http_loopback {
 public:
  http_loopback()
      : server_(context_,
                {.address = "127.0.0.1:0", .max_body_bytes = 1000},
                [this](server_request request) {
                  requests_.TrySend(std::move(request));
                }),
        client_(context_, {.max_connections = 2}) {
    server_.Listen().value();
    address_ = "127.0.0.1:" + std::to_string(server_.Port());
    thread_ = posix_thread::Start("http", [this] { context_.run(); }).value();
  }
  ~http_loopback() {
    context_.stop();
    thread_.Join();
  }

  void Send(std::string body, std::chrono::milliseconds timeout) {
    client_.Send({.address = address_,
                  .method = "POST",
                  .target = "/x",
                  .body = std::move(body),
                  .headers = {{"Deadline-Ms", "250"}},
                  .deadline = boot_clock::now() + timeout},
                 [this](http_outcome outcome) {
                   outcomes_.SendUnbounded(std::move(outcome));
                 });
  }
  server_request ReceiveRequest() { return ReceiveOne(requests_); }
  http_outcome ReceiveOutcome() { return ReceiveOne(outcomes_); }
  const std::string& Address() const { return address_; }
  http_server& Server() { return server_; }
  http_client& Client() { return client_; }
  mailbox<http_outcome>& Outcomes() { return outcomes_; }

 private:
  template <class T>
  static T ReceiveOne(mailbox<T>& source) {
    auto messages = source.ReceiveAll(boot_clock::now() + seconds(20));
    EXPECT_EQ(messages.size(), 1U);
    return messages.empty() ? T{} : std::move(messages.front());
  }

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(context_);
  mailbox<server_request> requests_{10};
  mailbox<http_outcome> outcomes_{10};
  http_server server_;
  http_client client_;
  std::string address_;
  posix_thread thread_;
};

// Guards against a lost request body, timeout header or response.
TEST(HttpTest, DeliversRequestAndResponse) {
  http_loopback loopback;
  loopback.Send("one", seconds(20));
  const server_request first = loopback.ReceiveRequest();
  EXPECT_EQ(first.body, "one");
  EXPECT_EQ(first.timeout, milliseconds(250));
  loopback.Server().Respond(first.token, {.status = 200, .body = "answer"});
  const http_outcome outcome = loopback.ReceiveOutcome();
  ASSERT_TRUE(std::holds_alternative<http_response>(outcome));
  EXPECT_EQ(std::get<http_response>(outcome).body, "answer");
}

// Guards against a request that waits forever for a silent server. The server
// may have acted on it, so the failure must not be kNotSent.
TEST(HttpTest, RequestFailsAtItsDeadline) {
  http_loopback loopback;
  loopback.Send("silent", milliseconds(100));
  loopback.ReceiveRequest();
  EXPECT_EQ(std::get<http_failure>(loopback.ReceiveOutcome()),
            http_failure::kNoResponse);
}

// Guards against kNoResponse for a refused connection: the sender would not
// retry a request that is safe to retry.
TEST(HttpTest, RefusedConnectionReportsNotSent) {
  http_loopback loopback;
  loopback.Client().Send(
      {.address = "127.0.0.1:1",
       .method = "GET",
       .target = "/",
       .deadline = boot_clock::now() + seconds(20)},
      [&loopback](http_outcome outcome) {
        loopback.Outcomes().SendUnbounded(std::move(outcome));
      });
  EXPECT_EQ(std::get<http_failure>(loopback.ReceiveOutcome()),
            http_failure::kNotSent);
}

// Guards against orders that a suspended VM sends after it resumes: a request
// whose deadline had passed while it was queued was written to a connection
// that was still open.
TEST(HttpTest, DoesNotSendAQueuedRequestAfterItsDeadline) {
  http_loopback loopback;
  boost::asio::io_context context(1);
  http_client client(context, {});
  std::vector<http_outcome> outcomes;
  const auto send = [&](std::string body, milliseconds timeout) {
    client.Send(
        {.address = loopback.Address(),
         .method = "POST",
         .target = "/",
         .body = std::move(body),
         .deadline = boot_clock::now() + timeout},
        [&](http_outcome outcome) { outcomes.push_back(std::move(outcome)); });
  };
  send("in time", seconds(20));
  context.run_for(milliseconds(200));
  loopback.Server().Respond(loopback.ReceiveRequest().token, {.status = 200});
  while (outcomes.empty() && context.run_one_for(seconds(20)) > 0) {
  }
  ASSERT_EQ(outcomes.size(), 1U);
  ASSERT_TRUE(std::holds_alternative<http_response>(outcomes[0]));

  send("late", milliseconds(20));
  // The thread of the context does not run meanwhile.
  std::this_thread::sleep_for(milliseconds(50));
  context.restart();
  context.run_for(milliseconds(200));
  ASSERT_EQ(outcomes.size(), 2U);
  EXPECT_EQ(std::get<http_failure>(outcomes[1]), http_failure::kNotSent);
  loopback.Send("next", seconds(20));
  EXPECT_EQ(loopback.ReceiveRequest().body, "next");
}

// Guards against a client that reads a large response in many small pieces.
// Each piece waits for the other handlers of the context, so that a busy thread
// did not finish a page of a log within its timeout, and the next page was
// larger.
TEST(HttpTest, ReadsALargeResponseInFewSteps) {
  constexpr std::size_t kBodyBytes = 100'000;
  http_loopback loopback;
  boost::asio::io_context context(1);
  http_client client(context, {});
  std::optional<http_outcome> outcome;
  client.Send({.address = loopback.Address(),
               .method = "GET",
               .target = "/",
               .deadline = boot_clock::now() + seconds(20)},
              [&](http_outcome result) { outcome = std::move(result); });
  context.run_for(milliseconds(200));
  loopback.Server().Respond(
      loopback.ReceiveRequest().token,
      {.status = 200, .body = std::string(kBodyBytes, 'x')});
  // The response arrives before the client reads on.
  std::this_thread::sleep_for(milliseconds(200));
  std::size_t steps = 0;
  while (!outcome && context.run_one_for(seconds(20)) > 0) {
    ++steps;
  }
  ASSERT_TRUE(outcome && std::holds_alternative<http_response>(*outcome));
  EXPECT_EQ(std::get<http_response>(*outcome).body.size(), kBodyBytes);
  EXPECT_LE(steps, 16U);
}

// Guards against a renewal that was answered in time and counted as unanswered,
// since the thread of the client was busy until after its deadline.
TEST(HttpTest, CountsAResponseThatArrivedBeforeTheDeadline) {
  for (const std::size_t body_bytes : {10UL, 100'000UL}) {
    http_loopback loopback;
    boost::asio::io_context context(1);
    http_client client(context, {});
    std::optional<http_outcome> outcome;
    client.Send({.address = loopback.Address(),
                 .method = "GET",
                 .target = "/",
                 .deadline = boot_clock::now() + milliseconds(2000)},
                [&](http_outcome result) { outcome = std::move(result); });
    context.run_for(milliseconds(1000));
    loopback.Server().Respond(
        loopback.ReceiveRequest().token,
        {.status = 200, .body = std::string(body_bytes, 'x')});
    // The response arrives and the deadline passes before the client reads.
    std::this_thread::sleep_for(milliseconds(1200));
    while (!outcome && context.run_one_for(seconds(20)) > 0) {
    }
    ASSERT_TRUE(outcome);
    EXPECT_TRUE(std::holds_alternative<http_response>(*outcome)) << body_bytes;
  }
}

// Guards against a server that reads a large request in many small pieces: on a
// busy thread a job of 64 KB did not reach the control thread in time.
TEST(HttpTest, ReadsALargeRequestInFewSteps) {
  constexpr std::size_t kJobBytes = 64'000;
  boost::asio::io_context context(1);
  std::size_t received = 0;
  http_server server(context, {.address = "127.0.0.1:0"},
                     [&server, &received](const server_request& request) {
                       received = request.body.size();
                       server.Respond(request.token, {.status = 200});
                     });
  server.Listen().value();
  http_loopback loopback;
  loopback.Client().Send(
      {.address = "127.0.0.1:" + std::to_string(server.Port()),
       .method = "POST",
       .target = "/job",
       .body = std::string(kJobBytes, 'x'),
       .deadline = boot_clock::now() + seconds(20)},
      [&loopback](http_outcome outcome) {
        loopback.Outcomes().SendUnbounded(std::move(outcome));
      });
  // The request arrives before the server reads it.
  std::this_thread::sleep_for(milliseconds(200));
  std::size_t steps = 0;
  while (received == 0 && context.run_one_for(seconds(20)) > 0) {
    ++steps;
  }
  EXPECT_EQ(received, kJobBytes);
  EXPECT_LE(steps, 16U);
  context.run_for(milliseconds(200));
  EXPECT_TRUE(std::holds_alternative<http_response>(loopback.ReceiveOutcome()));
}

// Guards against a server that accepts a body above its limit, with which a
// caller could exhaust its memory.
TEST(HttpTest, RejectsBodyAboveLimit) {
  http_loopback loopback;
  loopback.Send(std::string(5000, 'x'), seconds(20));
  const http_outcome outcome = loopback.ReceiveOutcome();
  ASSERT_TRUE(std::holds_alternative<http_response>(outcome));
  EXPECT_EQ(std::get<http_response>(outcome).status, 413);
}

}  // namespace
}  // namespace skylarkbridge::transport
