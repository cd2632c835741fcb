#include "skylarkbridge/entry/answer_json.hpp"

#include <httplib.h>

#include <array>
#include <nlohmann/json.hpp>
#include <string_view>

#include "skylarkbridge/encoding/print_json.hpp"
#include "skylarkbridge/wire/error_body.hpp"

namespace skylarkbridge::entry {
namespace {

using json = nlohmann::ordered_json;

constexpr char kJsonType[] = "application/json";
constexpr char kOutcomeHeader[] = "Skylarkbridge-Outcome";

std::string_view OutcomeName(coordination::task_outcome outcome) {
  static constexpr std::array kNames = {"succeeded", "failed", "cancelled",
                                        "unknown"};
  return kNames[static_cast<std::size_t>(outcome)];
}

std::string_view PhaseName(task_answer::state phase) {
  static constexpr std::array kNames = {"unknown", "waiting", "running",
                                        "ended"};
  return kNames[static_cast<std::size_t>(phase)];
}

void SetJson(const json& body, httplib::Response& response) {
  response.set_content(encoding::PrintJson(body) + "\n", kJsonType);
}

void SetError(int status,
              std::string_view code,
              std::string_view message,
              httplib::Response& response) {
  response.status = status;
  response.set_content(wire::ErrorBody(code, message), kJsonType);
}

json TaskJson(const task_answer& answer) {
  json body = {{"id", std::to_string(answer.task.value)},
               {"state", PhaseName(answer.phase)},
               {"kind", answer.kind},
               {"shard", answer.shard.value},
               {"attempts", answer.attempts},
               {"cancelled", answer.cancelled}};
  if (answer.outcome) {
    body["outcome"] = OutcomeName(*answer.outcome);
  }
  if (!answer.detail.empty()) {
    body["detail"] = answer.detail;
  }
  return body;
}

}  // namespace

void WriteAnswer(const submit_answer& answer, httplib::Response& response) {
  switch (answer.outcome) {
    case submit_answer::result::kAccepted:
      response.status = 202;
      SetJson({{"id", std::to_string(answer.task.value)}}, response);
      return;
    case submit_answer::result::kNotRun: {
      const bool lasting =
          answer.code == "unknown_kind" || answer.code == "never_fits" ||
          answer.code == "over_quota" || answer.code == "unknown_task";
      response.set_header(kOutcomeHeader, "not-run");
      if (!lasting) {
        response.set_header("Retry-After", "1");
      }
      SetError(lasting ? (answer.code == "unknown_task" ? 404 : 422) : 503,
               answer.code, answer.detail, response);
      return;
    }
    case submit_answer::result::kUnknown:
      response.set_header(kOutcomeHeader, "unknown");
      response.set_header("Location",
                          "/v1/tasks/" + std::to_string(answer.task.value));
      SetError(504, "outcome_unknown",
               "The record may have been written; ask for the task later.",
               response);
      return;
  }
}

void WriteAnswer(const task_answer& answer, httplib::Response& response) {
  if (answer.phase == task_answer::state::kUnknownTask) {
    SetError(404, "unknown_task", "No such task is open or ended recently.",
             response);
    return;
  }
  SetJson(TaskJson(answer), response);
}

void WriteAnswer(const task_list_answer& answer, httplib::Response& response) {
  json tasks = json::array();
  for (const task_answer& task : answer.tasks) {
    tasks.push_back(TaskJson(task));
  }
  SetJson({{"total", answer.total}, {"tasks", std::move(tasks)}}, response);
}

void WriteAnswer(const publish_answer& answer, httplib::Response& response) {
  const std::string version = std::to_string(answer.version);
  switch (answer.outcome) {
    case publish_answer::result::kAccepted:
      response.status = 201;
      response.set_header("Skylarkbridge-Version", version);
      SetJson({{"version", version}}, response);
      return;
    case publish_answer::result::kConflict:
      response.status = 409;
      SetJson({{"code", "conflict"},
               {"message", "Another version was published on this base."},
               {"version", version},
               {"changes", answer.changes}},
              response);
      return;
    case publish_answer::result::kInvalid:
      response.status = 422;
      response.set_content(
          wire::ErrorBody("invalid_configuration",
                          "The configuration has faults.", answer.faults),
          kJsonType);
      return;
    case publish_answer::result::kRefused:
      response.set_header("Retry-After", "1");
      SetError(503, "log_down", "The log is down; nothing was published.",
               response);
      return;
    case publish_answer::result::kUnknown:
      SetError(504, "outcome_unknown",
               "The version may have been published; read the configuration.",
               response);
      return;
  }
}

void WriteAnswer(const status_answer& answer, httplib::Response& response) {
  json shards = json::array();
  for (const shard_status_row& row : answer.shards) {
    shards.push_back({{"shard", row.shard.value},
                      {"state", row.state},
                      {"ballot", row.ballot},
                      {"workers", row.workers}});
  }
  json workers = json::array();
  for (const worker_status_row& row : answer.workers) {
    workers.push_back({{"worker", row.worker.value},
                       {"status", row.status},
                       {"shard", row.shard.value},
                       {"slots", row.slots},
                       {"slots_held", row.slots_held},
                       {"tasks", row.tasks}});
  }
  json members = json::array();
  for (const member_status_row& row : answer.members) {
    members.push_back({{"vm", row.vm.value}, {"status", row.status}});
  }
  SetJson({{"vm", answer.vm.value},
           {"data_centre", answer.data_centre.value},
           {"version", std::to_string(answer.version)},
           {"configuration", answer.configuration_state},
           {"log", answer.log_up ? "up" : "down"},
           {"open_tasks", answer.open_tasks},
           {"unwritten_records", answer.unwritten_records},
           {"shards", std::move(shards)},
           {"workers", std::move(workers)},
           {"members", std::move(members)}},
          response);
}

void WriteAnswer(const configuration_answer& answer,
                 httplib::Response& response) {
  if (answer.version == 0) {
    SetError(404, "no_configuration", "No configuration is in effect.",
             response);
    response.set_header("Skylarkbridge-Version", "0");
    return;
  }
  response.set_header("Skylarkbridge-Version", std::to_string(answer.version));
  response.set_content(answer.text, kJsonType);
}

}  // namespace skylarkbridge::entry
