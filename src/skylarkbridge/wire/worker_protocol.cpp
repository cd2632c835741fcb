#include "skylarkbridge/wire/worker_protocol.hpp"

#include <array>
#include <utility>

#include "skylarkbridge/encoding/print_json.hpp"
#include "skylarkbridge/wire/json_fields.hpp"

namespace skylarkbridge::wire {
namespace {

using coordination::attempt_end;
using coordination::ended_attempt;
using coordination::fence_reply;
using coordination::fence_worker;
using coordination::renew_lease;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;

constexpr std::size_t kMaxAttempts = 10'000;
constexpr std::size_t kMaxWindows = 100;
constexpr std::array kEndNames = {"succeeded", "failed", "stopped",
                                  "not_started"};

json EndedJson(const ended_attempt& ended) {
  json object = {{"task", ended.task.value},
                 {"attempt", ended.attempt},
                 {"end", kEndNames[static_cast<std::size_t>(ended.end)]}};
  if (ended.checkpoint) {
    object["checkpoint"] = *ended.checkpoint;
  }
  return object;
}

ended_attempt ReadEnded(json_fields& fields) {
  ended_attempt ended{.task = {fields.Number("task")},
                      .attempt = fields.Number<std::uint32_t>("attempt"),
                      .checkpoint = fields.OptionalText("checkpoint")};
  const std::string name = fields.Text("end");
  for (std::size_t i = 0; i < kEndNames.size(); ++i) {
    if (name == kEndNames[i]) {
      ended.end = static_cast<attempt_end>(i);
      return ended;
    }
  }
  fields.Fault("end", "is not a known end");
  return ended;
}

json EndedArray(const std::vector<ended_attempt>& all) {
  json array = json::array();
  for (const ended_attempt& ended : all) {
    array.push_back(EndedJson(ended));
  }
  return array;
}

json Permission(const worker_permission& permission) {
  return {{"lease", ToJson(permission.lease)},
          {"up_for_ns", permission.up_for.count()}};
}

worker_permission ReadPermission(json_fields& fields) {
  return {.lease = ReadBallot(fields.Object("lease")),
          .up_for = fields.Duration<nanoseconds>("up_for_ns")};
}

template <class Command>
json AttemptJson(const Command& command) {
  json object = Permission(command.permission);
  object["worker"] = command.worker.value;
  object["task"] = command.task.value;
  object["attempt"] = command.attempt;
  return object;
}

template <class Command>
Command ReadAttempt(json_fields& fields) {
  Command command;
  command.worker = {fields.Number("worker")};
  command.permission = ReadPermission(fields);
  command.task = {fields.Number("task")};
  command.attempt = fields.Number<std::uint32_t>("attempt");
  return command;
}

json Encode(const fence_worker& command) {
  return {{"worker", command.worker.value}, {"fence", ToJson(command.fence)}};
}

json Encode(const renew_lease& command) {
  return {{"worker", command.worker.value},
          {"lease", ToJson(command.lease)},
          {"granted_ns", command.granted.count()},
          {"up_for_ns", command.up_for.count()},
          {"worker_set", command.worker_set}};
}

json Encode(const start_on_worker& command) {
  json object = AttemptJson(command);
  object["kind"] = command.kind;
  object["leased"] = ToJson(command.leased);
  if (command.checkpoint) {
    object["checkpoint"] = *command.checkpoint;
  }
  return object;
}

json Encode(const throttle_on_worker& command) {
  json object = AttemptJson(command);
  object["processor_permille"] = command.processor_permille;
  object["leased"] = ToJson(command.leased);
  return object;
}

template <class Command>
json Encode(const Command& command) {
  return AttemptJson(command);
}

json Encode(const read_report& command) {
  return {{"worker", command.worker.value}};
}

worker_command ReadFence(json_fields& fields) {
  return fence_worker{.worker = {fields.Number("worker")},
                      .fence = ReadBallot(fields.Object("fence"))};
}

worker_command ReadRenew(json_fields& fields) {
  return renew_lease{.worker = {fields.Number("worker")},
                     .lease = ReadBallot(fields.Object("lease")),
                     .granted = fields.Duration<nanoseconds>("granted_ns"),
                     .up_for = fields.Duration<nanoseconds>("up_for_ns"),
                     .worker_set = fields.Number("worker_set")};
}

worker_command ReadStart(json_fields& fields) {
  auto command = ReadAttempt<start_on_worker>(fields);
  command.kind = fields.Text("kind");
  command.leased = ReadResources(fields.Object("leased"));
  command.checkpoint = fields.OptionalText("checkpoint");
  return command;
}

worker_command ReadThrottle(json_fields& fields) {
  auto command = ReadAttempt<throttle_on_worker>(fields);
  command.processor_permille =
      fields.Number<std::int64_t>("processor_permille");
  command.leased = ReadResources(fields.Object("leased"));
  return command;
}

json Encode(const fence_reply& reply) {
  json running = json::array();
  for (const coordination::running_attempt& one : reply.inventory.running) {
    running.push_back({{"task", one.task.value}, {"attempt", one.attempt}});
  }
  return {{"obeyed", ToJson(reply.obeyed)},
          {"displaced", ToJson(reply.displaced)},
          {"up_for_ns", reply.up_for.count()},
          {"worker_set", reply.worker_set},
          {"running", std::move(running)},
          {"ended", EndedArray(reply.inventory.ended)}};
}

json Encode(const renew_answer& reply) {
  return {{"accepted", reply.renewal.accepted},
          {"obeyed", ToJson(reply.renewal.obeyed)},
          {"up_for_ns", reply.renewal.up_for.count()},
          {"worker_set", reply.renewal.worker_set},
          {"ended", EndedArray(reply.ended)}};
}

json Encode(const attempt_answer& reply) {
  json object = {{"obeyed", ToJson(reply.obeyed)}, {"refused", reply.refused}};
  if (reply.ended) {
    object["ended"] = EndedJson(*reply.ended);
  }
  if (reply.checkpoint) {
    object["checkpoint"] = *reply.checkpoint;
  }
  return object;
}

json Encode(const report_answer& reply) {
  json windows = json::array();
  for (const usage_window& window : reply.windows) {
    json tasks = json::array();
    for (const scheduling::task_usage& usage : window.tasks) {
      tasks.push_back(
          {{"task", usage.task.value}, {"used", ToJson(usage.used)}});
    }
    json services = json::array();
    for (const scheduling::service_latency& latency : window.services) {
      services.push_back({{"service", latency.service},
                          {"requests", latency.requests},
                          {"p99_us", latency.p99.count()}});
    }
    windows.push_back({{"begin_ago_ms", window.begin_ago.count()},
                       {"end_ago_ms", window.end_ago.count()},
                       {"tasks", std::move(tasks)},
                       {"services", std::move(services)}});
  }
  return {{"windows", std::move(windows)}};
}

std::vector<ended_attempt> ReadEndedArray(json_fields& fields) {
  std::vector<ended_attempt> all;
  fields.ForEach("ended", kMaxAttempts,
                 [&](json_fields& item) { all.push_back(ReadEnded(item)); });
  return all;
}

worker_reply ReadReply(const fence_worker& command, json_fields& fields) {
  fence_reply reply{.fence = command.fence,
                    .sent = command.sent,
                    .obeyed = ReadBallot(fields.Object("obeyed")),
                    .displaced = ReadBallot(fields.Object("displaced")),
                    .up_for = fields.Duration<nanoseconds>("up_for_ns"),
                    .worker_set = fields.Number("worker_set"),
                    .inventory = {.worker = command.worker}};
  fields.ForEach("running", kMaxAttempts, [&](json_fields& item) {
    reply.inventory.running.push_back(
        {.task = {item.Number("task")},
         .attempt = item.Number<std::uint32_t>("attempt")});
  });
  reply.inventory.ended = ReadEndedArray(fields);
  return reply;
}

worker_reply ReadReply(const renew_lease& command, json_fields& fields) {
  return renew_answer{
      .renewal = {.worker = command.worker,
                  .lease = command.lease,
                  .sent = command.sent,
                  .granted = command.granted,
                  .accepted = fields.Flag("accepted"),
                  .obeyed = ReadBallot(fields.Object("obeyed")),
                  .up_for = fields.Duration<nanoseconds>("up_for_ns"),
                  .worker_set = fields.Number("worker_set")},
      .ended = ReadEndedArray(fields)};
}

template <class Command>
worker_reply ReadReply(const Command&, json_fields& fields) {
  attempt_answer reply{.obeyed = ReadBallot(fields.Object("obeyed")),
                       .refused = fields.Flag("refused"),
                       .checkpoint = fields.OptionalText("checkpoint")};
  if (fields.Has("ended")) {
    json_fields ended = fields.Object("ended");
    reply.ended = ReadEnded(ended);
  }
  return reply;
}

worker_reply ReadReply(const read_report&, json_fields& fields) {
  report_answer reply;
  fields.ForEach("windows", kMaxWindows, [&](json_fields& item) {
    usage_window window{
        .begin_ago = item.Duration<milliseconds>("begin_ago_ms"),
        .end_ago = item.Duration<milliseconds>("end_ago_ms")};
    item.ForEach("tasks", kMaxAttempts, [&](json_fields& usage) {
      window.tasks.push_back({.task = {usage.Number("task")},
                              .used = ReadResources(usage.Object("used"))});
    });
    item.ForEach("services", kMaxAttempts, [&](json_fields& latency) {
      window.services.push_back(
          {.service = latency.Text("service"),
           .requests = latency.Number<std::int64_t>("requests"),
           .p99 = latency.Duration<std::chrono::microseconds>("p99_us")});
    });
    reply.windows.push_back(std::move(window));
  });
  return reply;
}

}  // namespace

worker_id WorkerOf(const worker_command& command) {
  return std::visit([](const auto& one) { return one.worker; }, command);
}

std::string_view NameOf(const worker_command& command) {
  static constexpr std::array kNames = {"fence",       "renew",      "start",
                                        "throttle",    "checkpoint", "stop",
                                        "acknowledge", "report"};
  static_assert(kNames.size() == std::variant_size_v<worker_command>);
  return kNames[command.index()];
}

std::string EncodeCommand(const worker_command& command) {
  return std::visit(
      [](const auto& one) { return encoding::PrintJson(Encode(one)); },
      command);
}

std::optional<worker_command> DecodeCommand(std::string_view name,
                                            std::string_view text,
                                            findings& found) {
  findings faults;
  const json document = ParseDocument(text);
  json_fields fields(document, "", faults);
  std::optional<worker_command> command;
  if (name == "fence") {
    command = ReadFence(fields);
  } else if (name == "renew") {
    command = ReadRenew(fields);
  } else if (name == "start") {
    command = ReadStart(fields);
  } else if (name == "throttle") {
    command = ReadThrottle(fields);
  } else if (name == "checkpoint") {
    command = ReadAttempt<checkpoint_on_worker>(fields);
  } else if (name == "stop") {
    command = ReadAttempt<stop_on_worker>(fields);
  } else if (name == "acknowledge") {
    command = ReadAttempt<acknowledge_on_worker>(fields);
  } else if (name == "report") {
    command = read_report{.worker = {fields.Number("worker")}};
  } else {
    faults.Add("command", "is not known");
  }
  found.Append(faults);
  return faults.Empty() ? command : std::nullopt;
}

std::string EncodeReply(const worker_reply& reply) {
  return std::visit(
      [](const auto& one) { return encoding::PrintJson(Encode(one)); }, reply);
}

std::optional<worker_reply> DecodeReply(const worker_command& command,
                                        std::string_view text,
                                        findings& found) {
  if (text.size() > kMaxWorkerReplyBytes) {
    found.Add("reply", "is too large");
    return std::nullopt;
  }
  findings faults;
  const json document = ParseDocument(text);
  json_fields fields(document, "", faults);
  worker_reply reply = std::visit(
      [&](const auto& one) { return ReadReply(one, fields); }, command);
  found.Append(faults);
  return faults.Empty() ? std::optional(std::move(reply)) : std::nullopt;
}

}  // namespace skylarkbridge::wire
