#include "skylarkbridge/wire/log_protocol.hpp"

#include <array>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/encoding/print_json.hpp"
#include "skylarkbridge/wire/json_fields.hpp"

namespace skylarkbridge::wire {
namespace {

using coordination::configuration_published;
using coordination::configuration_snapshot;
using coordination::log_record;
using coordination::open_task;
using coordination::record_body;
using coordination::record_id;
using coordination::task_accepted;
using coordination::task_cancelled;
using coordination::task_checkpointed;
using coordination::task_finished;
using coordination::task_outcome;
using coordination::task_snapshot;
using coordination::task_start_claimed;

constexpr std::size_t kMaxSnapshotTasks = 10'000;
constexpr std::array kOutcomeNames = {"succeeded", "failed", "cancelled",
                                      "unknown"};

json RecordIdJson(const record_id& id) {
  return {{"writer", id.writer.value}, {"sequence", id.sequence}};
}

record_id ReadRecordId(json_fields fields) {
  return {.writer = {fields.Number("writer")},
          .sequence = fields.Number("sequence")};
}

json OpenTaskJson(const open_task& task) {
  json object = {
      {"task", task.task.value},    {"kind", task.kind},
      {"shard", task.shard.value},  {"idempotent", task.idempotent},
      {"attempts", task.attempts},  {"start_claimed", task.start_claimed},
      {"cancelled", task.cancelled}};
  if (task.checkpoint) {
    object["checkpoint"] = *task.checkpoint;
  }
  return object;
}

open_task ReadOpenTask(json_fields& fields) {
  return {.task = {fields.Number("task")},
          .kind = fields.Text("kind"),
          .shard = {fields.Number("shard")},
          .idempotent = fields.Flag("idempotent"),
          .attempts = fields.Number<std::uint32_t>("attempts"),
          .checkpoint = fields.OptionalText("checkpoint"),
          .start_claimed = fields.Flag("start_claimed"),
          .cancelled = fields.Flag("cancelled")};
}

json Body(const task_accepted& body) {
  return {{"type", "accepted"},
          {"task", body.task.value},
          {"kind", body.kind},
          {"shard", body.shard.value},
          {"idempotent", body.idempotent}};
}

json Body(const task_start_claimed& body) {
  return {{"type", "start_claimed"},
          {"task", body.task.value},
          {"attempt", body.attempt},
          {"claimant", ToJson(body.claimant)}};
}

json Body(const task_checkpointed& body) {
  return {{"type", "checkpointed"},
          {"task", body.task.value},
          {"attempt", body.attempt},
          {"checkpoint", body.checkpoint},
          {"stopped", body.stopped}};
}

json Body(const task_finished& body) {
  return {{"type", "finished"},
          {"task", body.task.value},
          {"attempt", body.attempt},
          {"outcome", kOutcomeNames[static_cast<std::size_t>(body.outcome)]}};
}

json Body(const task_cancelled& body) {
  return {{"type", "cancelled"}, {"task", body.task.value}};
}

json Body(const task_snapshot& body) {
  json tasks = json::array();
  for (const open_task& task : body.tasks) {
    tasks.push_back(OpenTaskJson(task));
  }
  json writers = json::array();
  for (const record_id& writer : body.writers) {
    writers.push_back(RecordIdJson(writer));
  }
  return {{"type", "task_snapshot"},   {"valid_until", body.valid_until},
          {"part", body.part},         {"parts", body.parts},
          {"tasks", std::move(tasks)}, {"writers", std::move(writers)}};
}

json Body(const configuration_published& body) {
  return {{"type", "configuration_published"},
          {"base", body.base},
          {"full", body.full},
          {"text", body.text}};
}

json Body(const configuration_snapshot& body) {
  return {{"type", "configuration_snapshot"},
          {"number", body.version.number},
          {"text", body.version.text},
          {"valid_until", body.version.valid_until}};
}

task_outcome ReadOutcome(json_fields& fields) {
  const std::string name = fields.Text("outcome");
  for (std::size_t i = 0; i < kOutcomeNames.size(); ++i) {
    if (name == kOutcomeNames[i]) {
      return static_cast<task_outcome>(i);
    }
  }
  fields.Fault("outcome", "is not a known outcome");
  return task_outcome::kUnknown;
}

task_snapshot ReadTaskSnapshot(json_fields& fields) {
  task_snapshot body{.valid_until = fields.Number("valid_until"),
                     .part = fields.Number<std::uint32_t>("part"),
                     .parts = fields.Number<std::uint32_t>("parts")};
  fields.ForEach("tasks", kMaxSnapshotTasks, [&](json_fields& item) {
    body.tasks.push_back(ReadOpenTask(item));
  });
  fields.ForEach("writers", kMaxSnapshotTasks, [&](json_fields& item) {
    body.writers.push_back(ReadRecordId(item));
  });
  return body;
}

record_body ReadBody(json_fields fields) {
  const std::string type = fields.Text("type");
  if (type == "accepted") {
    return task_accepted{.task = {fields.Number("task")},
                         .kind = fields.Text("kind"),
                         .shard = {fields.Number("shard")},
                         .idempotent = fields.Flag("idempotent")};
  }
  if (type == "start_claimed") {
    return task_start_claimed{
        .task = {fields.Number("task")},
        .attempt = fields.Number<std::uint32_t>("attempt"),
        .claimant = ReadBallot(fields.Object("claimant"))};
  }
  if (type == "checkpointed") {
    return task_checkpointed{.task = {fields.Number("task")},
                             .attempt = fields.Number<std::uint32_t>("attempt"),
                             .checkpoint = fields.Text("checkpoint"),
                             .stopped = fields.Flag("stopped")};
  }
  if (type == "finished") {
    return task_finished{.task = {fields.Number("task")},
                         .attempt = fields.Number<std::uint32_t>("attempt"),
                         .outcome = ReadOutcome(fields)};
  }
  if (type == "cancelled") {
    return task_cancelled{.task = {fields.Number("task")}};
  }
  if (type == "task_snapshot") {
    return ReadTaskSnapshot(fields);
  }
  if (type == "configuration_published") {
    return configuration_published{.base = fields.Number("base"),
                                   .full = fields.Flag("full"),
                                   .text = fields.Text("text")};
  }
  if (type == "configuration_snapshot") {
    return configuration_snapshot{
        {.number = fields.Number("number"),
         .text = fields.Text("text"),
         .valid_until = fields.Number("valid_until")}};
  }
  fields.Fault("type", "is not a known record type");
  return task_cancelled{};
}

}  // namespace

std::string EncodeRecord(const log_record& record) {
  json object = RecordIdJson(record.id);
  object["written_at_ns"] = record.written_at.time_since_epoch().count();
  object["body"] =
      std::visit([](const auto& body) { return Body(body); }, record.body);
  return encoding::PrintJson(object);
}

std::optional<log_record> DecodeRecord(std::string_view text, findings& found) {
  findings faults;
  const json document = ParseDocument(text);
  json_fields fields(document, "", faults);
  log_record record{.id = ReadRecordId(fields),
                    .written_at = wall_time(std::chrono::nanoseconds(
                        fields.Number<std::int64_t>("written_at_ns"))),
                    .body = ReadBody(fields.Object("body"))};
  found.Append(faults);
  return faults.Empty() ? std::optional(std::move(record)) : std::nullopt;
}

std::string EncodeAppend(const std::vector<log_record>& records) {
  json texts = json::array();
  for (const log_record& record : records) {
    texts.push_back(EncodeRecord(record));
  }
  return encoding::PrintJson(json{{"records", std::move(texts)}});
}

std::optional<std::vector<std::string>> DecodeAppend(std::string_view text,
                                                     findings& found) {
  const json document = ParseDocument(text);
  const auto array =
      document.is_object() ? document.find("records") : document.end();
  if (array == document.end() || !array->is_array()) {
    found.Add("records", "is not an array");
    return std::nullopt;
  }
  std::vector<std::string> records;
  for (const json& record : *array) {
    if (!record.is_string()) {
      found.Add(absl::StrCat("records[", records.size(), "]"), "is not a text");
      return std::nullopt;
    }
    records.push_back(record.get<std::string>());
  }
  return records;
}

std::string EncodePage(const raw_page& page) {
  json records = json::array();
  for (const auto& [offset, data] : page.records) {
    records.push_back({{"offset", offset}, {"data", data}});
  }
  return encoding::PrintJson(json{{"first", page.first},
                                  {"end", page.end},
                                  {"records", std::move(records)}});
}

std::optional<coordination::read_page> DecodePage(std::string_view text,
                                                  findings& found) {
  if (text.size() > kMaxLogPageBytes) {
    found.Add("page", "is too large");
    return std::nullopt;
  }
  findings faults;
  const json document = ParseDocument(text);
  json_fields fields(document, "", faults);
  coordination::read_page page{.first = fields.Number("first"),
                               .end = fields.Number("end")};
  fields.ForEach("records", kMaxLogPageRecords, [&](json_fields& item) {
    const coordination::log_offset offset = item.Number("offset");
    findings record_faults;
    std::optional<log_record> record =
        DecodeRecord(item.Text("data"), record_faults);
    if (record) {
      page.records.push_back({offset, std::move(*record)});
    }
    found.Append(record_faults);
  });
  found.Append(faults);
  return faults.Empty() ? std::optional(std::move(page)) : std::nullopt;
}

}  // namespace skylarkbridge::wire
