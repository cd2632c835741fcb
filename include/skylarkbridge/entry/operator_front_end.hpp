#ifndef SKYLARKBRIDGE_ENTRY_OPERATOR_FRONT_END_HPP
#define SKYLARKBRIDGE_ENTRY_OPERATOR_FRONT_END_HPP

#include <httplib.h>

#include <chrono>
#include <functional>
#include <string>
#include <utility>

#include "absl/strings/numbers.h"
#include "skylarkbridge/entry/answer_json.hpp"
#include "skylarkbridge/entry/task_control.hpp"
#include "skylarkbridge/entry/token.hpp"
#include "skylarkbridge/wire/error_body.hpp"

namespace skylarkbridge::entry {

/// @brief HTTP interface for operators, guarded by a token: status,
/// configuration, the list of tasks, draining of a worker, and metrics.
template <task_control Control>
class operator_front_end {
 public:
  /// @param token expected in `Authorization: Bearer TOKEN`; without one all
  /// calls are refused.
  /// @param metrics gives the metrics in the Prometheus text format.
  operator_front_end(Control& control,
                     std::string token,
                     std::function<std::string()> metrics)
      : control_(control),
        token_(std::move(token)),
        metrics_(std::move(metrics)) {}

  void Install(httplib::Server& server) {
    using httplib::Request;
    using httplib::Response;
    server.set_pre_routing_handler(
        [this](const Request& request, Response& answer) {
          if (request.path.rfind("/v1/health/", 0) == 0 ||
              TokenMatches(request.get_header_value("Authorization"), token_)) {
            return httplib::Server::HandlerResponse::Unhandled;
          }
          Refuse(401, "unauthorised", "The token is missing or wrong.", answer);
          return httplib::Server::HandlerResponse::Handled;
        });
    server.Get("/v1/status", [this](const Request&, Response& answer) {
      WriteAnswer(control_.Status(Deadline()), answer);
    });
    server.Get("/v1/configuration", [this](const Request&, Response& answer) {
      WriteAnswer(control_.Configuration(Deadline()), answer);
    });
    server.Post("/v1/configuration",
                [this](const Request& request, Response& answer) {
                  Publish(request, answer);
                });
    server.Get("/v1/tasks", [this](const Request&, Response& answer) {
      WriteAnswer(control_.ListTasks(kListedTasks, Deadline()), answer);
    });
    server.Post(R"(/v1/workers/([0-9]{1,20})/drain)",
                [this](const Request& request, Response& answer) {
                  Drain(request, answer);
                });
    server.Get("/metrics", [this](const Request&, Response& answer) {
      answer.set_content(metrics_(), "text/plain; version=0.0.4");
    });
  }

 private:
  static constexpr std::size_t kListedTasks = 1000;
  static constexpr auto kAnswerTime = std::chrono::seconds(10);

  static time_point Deadline() { return boot_clock::now() + kAnswerTime; }

  static void Refuse(int status,
                     std::string_view code,
                     std::string_view message,
                     httplib::Response& answer) {
    answer.status = status;
    answer.set_content(wire::ErrorBody(code, message), "application/json");
  }

  void Publish(const httplib::Request& request, httplib::Response& answer) {
    coordination::version_number base = 0;
    if (!absl::SimpleAtoi(request.get_param_value("base"), &base)) {
      Refuse(400, "bad_request", "Parameter base is not a version number.",
             answer);
      return;
    }
    WriteAnswer(control_.Publish(base, request.body, Deadline()), answer);
  }

  void Drain(const httplib::Request& request, httplib::Response& answer) {
    worker_id worker;
    if (!absl::SimpleAtoi(std::string(request.matches[1]), &worker.value) ||
        !control_.Drain(worker, Deadline())) {
      Refuse(404, "unknown_worker", "No such worker is known.", answer);
      return;
    }
    answer.status = 202;
    answer.set_content("{\"status\":\"leaving\"}\n", "application/json");
  }

  Control& control_;
  const std::string token_;
  const std::function<std::string()> metrics_;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_OPERATOR_FRONT_END_HPP
