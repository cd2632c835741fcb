#ifndef SKYLARKBRIDGE_ENTRY_TASK_FRONT_END_HPP
#define SKYLARKBRIDGE_ENTRY_TASK_FRONT_END_HPP

#include <httplib.h>

#include <chrono>
#include <string>

#include "absl/strings/numbers.h"
#include "skylarkbridge/entry/answer_json.hpp"
#include "skylarkbridge/entry/submit_request.hpp"
#include "skylarkbridge/entry/task_control.hpp"
#include "skylarkbridge/wire/error_body.hpp"

namespace skylarkbridge::entry {

/// @brief HTTP interface for batch tasks, shared by callers and operators:
/// POST /v1/tasks with {"kind": NAME}, GET and DELETE /v1/tasks/ID, and
/// GET /v1/health/ready and /v1/health/live.
template <task_control Control>
class task_front_end {
 public:
  explicit task_front_end(Control& control) : control_(control) {}

  void Install(httplib::Server& server) {
    using httplib::Request;
    using httplib::Response;
    server.Post("/v1/tasks", [this](const Request& request, Response& answer) {
      findings found;
      const auto kind = ReadSubmitRequest(request.body, found);
      if (!kind) {
        answer.status = 400;
        answer.set_header("Skylarkbridge-Outcome", "not-run");
        answer.set_content(
            wire::ErrorBody("bad_request", "The body is malformed.", found),
            "application/json");
        return;
      }
      WriteAnswer(control_.Submit(*kind, Deadline()), answer);
    });
    server.Get(kTask, [this](const Request& request, Response& answer) {
      WriteAnswer(control_.FindTask(ReadId(request), Deadline()), answer);
    });
    server.Delete(kTask, [this](const Request& request, Response& answer) {
      WriteAnswer(control_.CancelTask(ReadId(request), Deadline()), answer);
    });
    server.Get("/v1/health/live", [](const Request&, Response& answer) {
      answer.set_content("live\n", "text/plain");
    });
    server.Get("/v1/health/ready", [this](const Request&, Response& answer) {
      const bool ready = control_.Ready();
      answer.status = ready ? 200 : 503;
      answer.set_content(ready ? "ready\n" : "not ready\n", "text/plain");
    });
  }

 private:
  static constexpr char kTask[] = R"(/v1/tasks/([0-9]{1,20}))";
  // A record is durable or refused within the time after which the log counts
  // as down, 3 s by default.
  static constexpr auto kAnswerTime = std::chrono::seconds(10);

  static time_point Deadline() { return boot_clock::now() + kAnswerTime; }
  static task_id ReadId(const httplib::Request& request) {
    task_id task;
    if (!absl::SimpleAtoi(std::string(request.matches[1]), &task.value)) {
      task.value = 0;
    }
    return task;
  }

  Control& control_;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_TASK_FRONT_END_HPP
