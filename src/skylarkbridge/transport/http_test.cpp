#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/transport/http_client.hpp"
#include "skylarkbridge/transport/http_server.hpp"

namespace skylarkbridge::transport {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server and a client on one context, with a thread of their own.
class http_pair {
 public:
  http_pair()
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
  ~http_pair() {
    context_.stop();
    thread_.Join();
  }

  void Call(std::string body, std::chrono::milliseconds patience) {
    client_.Send({.address = address_,
                  .method = "POST",
                  .target = "/x",
                  .body = std::move(body),
                  .headers = {{"Deadline-Ms", "250"}},
                  .deadline = boot_clock::now() + patience},
                 [this](http_outcome result) {
                   results_.SendUnbounded(std::move(result));
                 });
  }
  server_request Request() { return Receive(requests_); }
  http_outcome Result() { return Receive(results_); }
  http_server& Server() { return server_; }
  http_client& Client() { return client_; }
  mailbox<http_outcome>& Results() { return results_; }

 private:
  template <class T>
  static T Receive(mailbox<T>& from) {
    auto all = from.ReceiveAll(boot_clock::now() + seconds(20));
    EXPECT_EQ(all.size(), 1U);
    return all.empty() ? T{} : std::move(all.front());
  }

  boost::asio::io_context context_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_ = boost::asio::make_work_guard(context_);
  mailbox<server_request> requests_{10};
  mailbox<http_outcome> results_{10};
  http_server server_;
  http_client client_;
  std::string address_;
  posix_thread thread_;
};

// The answer of one caller must not reach another.
TEST(HttpTest, AnswersEachRequestOnItsConnection) {
  http_pair pair;
  pair.Call("one", seconds(20));
  const server_request first = pair.Request();
  EXPECT_EQ(first.body, "one");
  EXPECT_EQ(first.timeout, milliseconds(250));
  pair.Server().Respond(first.token, {.status = 200, .body = "answer"});
  const http_outcome result = pair.Result();
  ASSERT_TRUE(std::holds_alternative<http_response>(result));
  EXPECT_EQ(std::get<http_response>(result).body, "answer");
}

// A call without an answer may have been carried out, and ends in time.
TEST(HttpTest, ACallEndsAtItsDeadline) {
  http_pair pair;
  pair.Call("silent", milliseconds(100));
  pair.Request();
  EXPECT_EQ(std::get<http_failure>(pair.Result()), http_failure::kNoResponse);
}

// A call that could not connect was certainly not carried out.
TEST(HttpTest, ARefusedConnectionIsNotSent) {
  http_pair pair;
  pair.Client().Send({.address = "127.0.0.1:1",
                      .method = "GET",
                      .target = "/",
                      .deadline = boot_clock::now() + seconds(20)},
                     [&pair](http_outcome result) {
                       pair.Results().SendUnbounded(std::move(result));
                     });
  EXPECT_EQ(std::get<http_failure>(pair.Result()), http_failure::kNotSent);
}

// A body beyond the bound is refused before it takes up memory.
TEST(HttpTest, RefusesALargeBody) {
  http_pair pair;
  pair.Call(std::string(5000, 'x'), seconds(20));
  const http_outcome result = pair.Result();
  ASSERT_TRUE(std::holds_alternative<http_response>(result));
  EXPECT_EQ(std::get<http_response>(result).status, 413);
}

}  // namespace
}  // namespace skylarkbridge::transport
