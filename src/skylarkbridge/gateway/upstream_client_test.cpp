#include "skylarkbridge/gateway/upstream_client.hpp"

#include <gtest/gtest.h>
#include <httplib.h>

#include "absl/synchronization/notification.h"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/gateway/http_listener.hpp"

namespace skylarkbridge::gateway {
namespace {

using scheduling::attempt_result;

constexpr worker_id kUpstream{1};

time_point In(std::chrono::milliseconds wait) {
  return boot_clock::now() + wait;
}

/// Upstream that holds "/slow" until it is released and counts connections by
/// the remote port.
class upstream_fake {
 public:
  upstream_fake()
      : listener_({.address = {"127.0.0.1", 0},
                   .threads = 8,
                   .lame_duck = std::chrono::milliseconds(0)},
                  [this](httplib::Server& server) { Install(server); }),
        thread_(posix_thread::Start("upstream", [this] {
                  static_cast<void>(listener_.Run(stop_));
                }).value()) {}
  ~upstream_fake() {
    Release();
    stop_.Request(boot_clock::now());
  }

  ip_address Address() {
    return {"127.0.0.1", listener_.WaitForPort(In(std::chrono::seconds(20)))};
  }
  void Release() {
    if (!released_.HasBeenNotified()) {
      released_.Notify();
    }
  }

 private:
  void Install(httplib::Server& server) {
    server.Post("/echo", [](const httplib::Request& request,
                            httplib::Response& response) {
      response.set_content(request.body, "text/plain");
      response.set_header("Connection-Port",
                          std::to_string(request.remote_port));
    });
    server.Post("/slow",
                [this](const httplib::Request&, httplib::Response& response) {
                  released_.WaitForNotification();
                  response.set_content("late", "text/plain");
                });
    server.Post("/half",
                [](const httplib::Request&, httplib::Response& response) {
                  response.set_content_provider(
                      1000, "text/plain",
                      [](std::size_t, std::size_t, httplib::DataSink& sink) {
                        sink.write("half", 4);
                        return false;
                      });
                });
    server.Post("/refuses",
                [](const httplib::Request&, httplib::Response& response) {
                  response.status = 503;
                  response.set_header("Skylarkbridge-Not-Started", "1");
                });
    server.Post("/busy",
                [](const httplib::Request&, httplib::Response& response) {
                  response.status = 503;
                });
  }

  absl::Notification released_;
  stop_signal stop_;
  http_listener listener_;
  posix_thread thread_;
};

class UpstreamClientTest : public testing::Test {
 protected:
  UpstreamClientTest() { client_.SetAddress(kUpstream, upstream_.Address()); }

  upstream_result Post(
      const std::string& path,
      const std::string& body,
      std::chrono::milliseconds wait = std::chrono::seconds(20)) {
    return client_.Send(kUpstream, {.path = path, .body = body}, In(wait));
  }

  static std::string PortOf(const upstream_result& result) {
    for (const auto& [name, value] : result.response->headers) {
      if (name == "Connection-Port") {
        return value;
      }
    }
    return "";
  }

  upstream_fake upstream_;
  upstream_client client_;
};

TEST_F(UpstreamClientTest, ReusesConnectionAfterWholeAnswer) {
  const upstream_result first = Post("/echo", "one");
  const upstream_result second = Post("/echo", "two");
  ASSERT_EQ(second.result, attempt_result::kAnswered);
  EXPECT_EQ(second.response->body, "two");
  EXPECT_EQ(PortOf(first), PortOf(second));
}

// A late answer on a reused connection would reach the next caller.
TEST_F(UpstreamClientTest, DropsConnectionAfterTimeout) {
  const std::string port = PortOf(Post("/echo", "one"));
  EXPECT_EQ(Post("/slow", "held", std::chrono::milliseconds(50)).result,
            attempt_result::kUnknown);
  upstream_.Release();
  const upstream_result next = Post("/echo", "two");
  ASSERT_EQ(next.result, attempt_result::kAnswered);
  EXPECT_EQ(next.response->body, "two");
  EXPECT_NE(PortOf(next), port);
}

// Half an answer must not be passed on as a whole one.
TEST_F(UpstreamClientTest, HalfAnswerIsUnknown) {
  const upstream_result half = Post("/half", "");
  EXPECT_EQ(half.result, attempt_result::kUnknown);
  EXPECT_FALSE(half.response);
  EXPECT_EQ(Post("/echo", "two").response->body, "two");
}

// Only the upstream's own word proves that it did not start; a plain 503 may
// come after the request ran.
TEST_F(UpstreamClientTest, NotStartedOnlyWhenProven) {
  EXPECT_EQ(Post("/refuses", "").result, attempt_result::kNotStarted);
  EXPECT_EQ(Post("/busy", "").result, attempt_result::kAnswered);
}

TEST_F(UpstreamClientTest, RefusedConnectionProvesNotStarted) {
  // Port 1 on loopback has no listener.
  client_.SetAddress(kUpstream, {"127.0.0.1", 1});
  EXPECT_EQ(Post("/echo", "one").result, attempt_result::kNotStarted);
}

TEST_F(UpstreamClientTest, UnknownUpstreamAndPastDeadlineStartNothing) {
  EXPECT_EQ(client_.Send(worker_id{9}, {}, In(std::chrono::seconds(1))).result,
            attempt_result::kNotStarted);
  EXPECT_EQ(Post("/echo", "one", std::chrono::milliseconds(0)).result,
            attempt_result::kNotStarted);
}

}  // namespace
}  // namespace skylarkbridge::gateway
