#ifndef SKYLARKBRIDGE_CLI_OPERATOR_SERVER_FAKE_HPP
#define SKYLARKBRIDGE_CLI_OPERATOR_SERVER_FAKE_HPP

#include <httplib.h>

#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/posix_thread.hpp"

namespace skylarkbridge::cli {

/// Answers each call on loopback with one prepared answer and keeps what was
/// asked.
class operator_server_fake {
 public:
  struct call {
    std::string method;
    std::string target;
    std::string authorization;
    std::string body;
  };

  operator_server_fake(int status, std::string body, std::string version = "")
      : status_(status), body_(std::move(body)), version_(std::move(version)) {
    server_.set_pre_routing_handler(
        [this](const httplib::Request& request, httplib::Response& answer) {
          // The body is not read yet here; routes below read it.
          if (request.method == "POST") {
            return httplib::Server::HandlerResponse::Unhandled;
          }
          Answer(request, answer);
          return httplib::Server::HandlerResponse::Handled;
        });
    server_.Post(
        ".*", [this](const httplib::Request& request,
                     httplib::Response& answer) { Answer(request, answer); });
    port_ = server_.bind_to_any_port("127.0.0.1");
    thread_ =
        *posix_thread::Start("fake", [this] { server_.listen_after_bind(); });
  }

  ~operator_server_fake() { Stop(); }

  std::string Address() const { return "127.0.0.1:" + std::to_string(port_); }

  /// Ends the server, after which the calls can be read.
  const std::vector<call>& Stop() {
    // stop() does nothing before the server runs, which the answer proves.
    httplib::Client("127.0.0.1", port_).Get(kProbe);
    server_.stop();
    thread_.Join();
    return calls_;
  }

 private:
  static constexpr char kProbe[] = "/probe";

  void Answer(const httplib::Request& request, httplib::Response& answer) {
    if (request.path == kProbe) {
      return;
    }
    calls_.push_back({request.method, request.target,
                      request.get_header_value("Authorization"), request.body});
    answer.status = status_;
    if (!version_.empty()) {
      answer.set_header("Skylarkbridge-Version", version_);
    }
    answer.set_content(body_, "application/json");
  }

  int status_;
  std::string body_;
  std::string version_;
  std::vector<call> calls_;
  httplib::Server server_;
  int port_ = 0;
  posix_thread thread_;
};

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_OPERATOR_SERVER_FAKE_HPP
