#include "skylarkbridge/gateway/http_listener.hpp"

#include <httplib.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <limits>
#include <memory>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "absl/synchronization/notification.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/wire/error_body.hpp"

namespace skylarkbridge::gateway {
namespace {

namespace leaf = boost::leaf;

// A connection serves requests until it is idle or the listener drains.
constexpr std::size_t kMaxRequestsPerConnection =
    std::numeric_limits<std::size_t>::max();

constexpr int kListenBacklog = 1024;

enum class listener_notice { kStopRequested, kAcceptEnded };

void AddErrorBody(const httplib::Request& request,
                  httplib::Response& response) {
  // The answer of an upstream is passed on as it is, also when it is empty.
  if (!response.body.empty() || response.has_header("Skylarkbridge-Outcome")) {
    return;
  }
  std::string_view code = "http_error";
  if (response.status == 404) {
    code = "not_found";
  } else if (response.status == 413) {
    code = "body_too_large";
  } else if (response.status == 400) {
    code = "bad_request";
  }
  response.set_content(
      wire::ErrorBody(code, absl::StrCat(request.method, " ", request.path,
                                         ": status ", response.status)),
      "application/json");
}

}  // namespace

http_listener::http_listener(http_listener_options options,
                             absl::AnyInvocable<void(httplib::Server&)> install)
    : options_(std::move(options)), install_(std::move(install)) {}

leaf::result<void> http_listener::Run(stop_signal& stop) {
  draining_ = false;
  httplib::Server server;
  Configure(server);
  install_(server);
  BOOST_LEAF_CHECK(Bind(server));
  const absl::Cleanup forget_port = [this] { SetPort(0); };

  // The library ignores a stop before it accepts, and it creates its task queue
  // just after that point.
  absl::Notification accepts;
  const std::size_t threads = options_.threads;
  server.new_task_queue = [&accepts, threads] {
    accepts.Notify();
    return new httplib::ThreadPool(threads);
  };

  const auto notices = std::make_shared<mailbox<listener_notice>>(8);
  BOOST_LEAF_AUTO(accepting, posix_thread::Start("accept", [&] {
                    server.listen_after_bind();
                    notices->TrySend(listener_notice::kAcceptEnded);
                  }));
  const absl::Cleanup end_accepting = [&] {
    server.stop();
    accepting.Join();
  };
  accepts.WaitForNotification();
  stop.OnRequest([this, notices](time_point) {
    draining_ = true;
    notices->TrySend(listener_notice::kStopRequested);
  });
  const listener_notice first = notices->ReceiveAll(std::nullopt).front();
  if (first == listener_notice::kAcceptEnded) {
    return leaf::new_error(
        failure{absl::StrCat("listener ", Format(options_.address)),
                "accepting connections ended"});
  }
  notices->ReceiveAll(
      std::min(*stop.DrainDeadline(), boot_clock::now() + options_.lame_duck));
  return {};
}

std::uint16_t http_listener::WaitForPort(time_point deadline) {
  absl::MutexLock lock(&mutex_);
  mutex_.AwaitWithTimeout(absl::Condition(this, &http_listener::HasPort),
                          absl::FromChrono(deadline - boot_clock::now()));
  return port_;
}

leaf::result<void> http_listener::Bind(httplib::Server& server) {
  // The library's default sets SO_REUSEPORT, with which a second daemon on the
  // same address would take half of the connections unnoticed.
  int listening = -1;
  server.set_socket_options([&listening](int socket) {
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    listening = socket;
  });
  int port = options_.address.port;
  if (port == 0) {
    port = server.bind_to_any_port(options_.address.host);
  } else if (!server.bind_to_port(options_.address.host, port)) {
    port = -1;
  }
  if (port <= 0) {
    return leaf::new_error(
        failure{absl::StrCat("listener ", Format(options_.address)),
                "the address cannot be bound"});
  }
  // The library listens with a backlog of 5, which drops connections that come
  // at the same time; they then wait a second for the next SYN.
  listen(listening, kListenBacklog);
  SetPort(static_cast<std::uint16_t>(port));
  return {};
}

void http_listener::Configure(httplib::Server& server) {
  server.set_payload_max_length(options_.max_body);
  server.set_keep_alive_timeout(options_.keep_alive.count());
  server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server.set_tcp_nodelay(true);
  server.set_error_handler(&AddErrorBody);
  server.set_post_routing_handler(
      [this](const httplib::Request&, httplib::Response& response) {
        if (draining_) {
          response.set_header("Connection", "close");
        }
      });
}

void http_listener::SetPort(std::uint16_t port) {
  absl::MutexLock lock(&mutex_);
  port_ = port;
}

}  // namespace skylarkbridge::gateway
