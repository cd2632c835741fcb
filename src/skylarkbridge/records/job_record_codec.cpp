#include "skylarkbridge/records/job_record_codec.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/encoding/bounded_parse.hpp"
#include "skylarkbridge/encoding/numbers.hpp"
#include "skylarkbridge/jobs/job_limits.hpp"

namespace skylarkbridge::records {
namespace {

using encoding::RequireArray;
using encoding::ToInteger;
using encoding::ToMilliseconds;
using nlohmann::json;
using namespace jobs;

/// Kinds of the records of a job: the first letter of the key, which the job's
/// identifier follows. The letters stand for the job as accepted, its
/// cancellation and its progress; snapshots are ordered by them.
constexpr char kAcceptedKind = 'j';
constexpr char kCancelledKind = 'c';
constexpr char kAdvancedKind = 'p';
/// Keys of the records that concern no job.
constexpr std::string_view kOwnerKey = "owner";
constexpr std::string_view kLeasedWorkersKey = "leased";
constexpr std::string_view kReturnedTasksKey = "returned";
/// Column of step_progress::started. Rows without started tasks, and those of
/// earlier versions, end before it; earlier versions ignore it.
constexpr std::size_t kStartedColumn = 4;
/// Column of ownership_record::millicores_per_cell, which earlier versions
/// neither write nor read.
constexpr std::size_t kMillicoresPerCellColumn = 5;
/// Column of leased_workers::unreported, under the same rules.
constexpr std::size_t kUnreportedColumn = 2;
constexpr std::size_t kEndsStoredFromColumn = 3;
constexpr std::size_t kAddressesColumn = 4;
/// Columns of step_progress::crashes and step_progress::last_ended_runs, under
/// the same rules.
constexpr std::size_t kCrashesColumn = 5;
constexpr std::size_t kLastEndedRunsColumn = 6;
/// Column of step_progress::delegations, under the same rules.
constexpr std::size_t kDelegationsColumn = 7;
/// Column of step_progress::waiting_since, under the same rules.
constexpr std::size_t kWaitingSinceColumn = 8;
/// Position of delegated_task::owner_epoch in a row of that column. Rows of
/// earlier versions end before it.
constexpr std::size_t kOwnerEpochOfDelegation = 3;
/// Position of returned_task::crashes in a row. Rows of tasks without crashes,
/// and those of earlier versions, end before it; earlier versions ignore it.
constexpr std::size_t kCrashesOfReturn = 3;
/// Position of returned_task::waiting_since, under the same rules.
constexpr std::size_t kWaitingSinceOfReturn = 4;
/// Column of ownership_record::room, which earlier versions neither write nor
/// read.
constexpr std::size_t kRoomColumn = 6;
/// Flags of up to so many tasks are written as digits.
constexpr std::size_t kMaxFlagDigits = 64;
constexpr std::size_t kFlagsPerCharacter = 6;
constexpr char kFirstFlagCharacter = '0';
/// Column of job_progress::complete_occurrences, which earlier versions neither
/// write nor read.
constexpr std::size_t kCompleteOccurrencesColumn = 3;
/// Column of job_accepted::settings, under the same rules.
constexpr std::size_t kSettingsColumn = 8;
/// Stands for settings without queue_configuration::max_attempts.
constexpr std::uint32_t kUnknownMaxAttempts = 0;
constexpr double kMaxSlackFactor = 1e6;

std::string Key(char kind, job_id job) {
  return absl::StrCat(std::string(1, kind), Format(job));
}

std::string Pack(const json& value) {
  std::string bytes;
  json::to_msgpack(value, bytes);
  return bytes;
}

json ToJson(const resources& amounts) {
  return json::array(
      {amounts.millicores, amounts.memory_mb, amounts.accelerators});
}

resources ToResources(const json& value) {
  return {.millicores = ToInteger<std::int64_t>(value.at(0)),
          .memory_mb = ToInteger<std::int64_t>(value.at(1)),
          .accelerators = ToInteger<std::int64_t>(value.at(2))};
}

json ToJson(const step_spec& step) {
  return json::array({step.count, ToJson(step.need), step.estimate.count(),
                      step.depends_on, step.checkpoints, step.gang,
                      step.rack_local, step.required_label, step.data_rack,
                      step.max_per_worker, step.speculative, step.long_running,
                      step.image, step.latency_target.count(), step.best_effort,
                      step.disruption_budget});
}

std::vector<std::uint32_t> ToDependencies(const json& value) {
  std::vector<std::uint32_t> steps;
  for (const json& step : RequireArray(value)) {
    steps.push_back(ToInteger<std::uint32_t>(step));
  }
  return steps;
}

step_spec ToStep(const json& value) {
  return {.count = ToInteger<std::uint32_t>(value.at(0)),
          .need = ToResources(value.at(1)),
          .estimate = ToMilliseconds(value.at(2)),
          .depends_on = ToDependencies(value.at(3)),
          .checkpoints = value.at(4),
          .gang = value.at(5),
          .rack_local = value.at(6),
          .required_label = value.at(7),
          .data_rack = value.at(8),
          .max_per_worker = ToInteger<std::uint32_t>(value.at(9)),
          .speculative = value.at(10),
          .long_running = value.at(11),
          .image = value.at(12),
          .latency_target = ToMilliseconds(value.at(13)),
          .best_effort = value.at(14),
          .disruption_budget = ToInteger<std::int32_t>(value.at(15))};
}

json ToJson(const queue_configuration& settings) {
  return json::array({settings.service, settings.priority,
                      settings.max_attempts.value_or(kUnknownMaxAttempts),
                      settings.slack_factor, settings.slack_time.count(),
                      settings.policy.decision_time.count(),
                      settings.policy.time_per_worker.count(),
                      settings.policy.permit_validity.count()});
}

queue_configuration ToSettings(const json& row) {
  queue_configuration settings{
      .service = row.at(0),
      .priority = ToInteger<int>(row.at(1), {.min = 0}),
      .slack_factor = row.at(3),
      .slack_time = ToMilliseconds(row.at(4)),
      .policy = {.decision_time = ToMilliseconds(row.at(5)),
                 .time_per_worker = ToMilliseconds(row.at(6)),
                 .permit_validity = ToMilliseconds(row.at(7))}};
  if (!(settings.slack_factor >= 0 &&
        settings.slack_factor <= kMaxSlackFactor)) {
    encoding::ThrowInvalid("the slack factor is out of its range");
  }
  const auto max_attempts = ToInteger<std::uint32_t>(row.at(2));
  if (max_attempts != kUnknownMaxAttempts) {
    settings.max_attempts = max_attempts;
  }
  return settings;
}

/// Odd settings must not hide the job: they count as unknown.
std::optional<queue_configuration> ToSettingsOrNone(const json& row) {
  try {
    return ToSettings(row);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

keyed_record ToRecord(const job_accepted& record) {
  json steps = json::array();
  for (const step_spec& step : record.spec.steps) {
    steps.push_back(ToJson(step));
  }
  json row = json::array(
      {record.queue, record.accepted_at.time_since_epoch().count(),
       record.spec.payload, std::move(steps), record.spec.repeat_count,
       record.spec.first_due.time_since_epoch().count(),
       record.spec.interval.count(), record.cell});
  if (record.settings) {
    row.push_back(ToJson(*record.settings));
  }
  return {.key = Key(kAcceptedKind, record.job), .value = Pack(row)};
}

keyed_record ToRecord(const job_cancelled& record) {
  return {.key = Key(kCancelledKind, record.job), .value = Pack(json(true))};
}

/// A few flags are a string of the digits 0 and 1. More are an array of their
/// number and a string of characters from '0' on, each of which holds six.
json ToJson(const std::vector<bool>& flags) {
  std::string text;
  if (flags.size() <= kMaxFlagDigits) {
    for (const bool flag : flags) {
      text.push_back(flag ? '1' : '0');
    }
    return text;
  }
  text.assign((flags.size() + kFlagsPerCharacter - 1) / kFlagsPerCharacter,
              kFirstFlagCharacter);
  for (std::size_t index = 0; index < flags.size(); ++index) {
    if (flags[index]) {
      const unsigned bit = 1U << (index % kFlagsPerCharacter);
      char& character = text[index / kFlagsPerCharacter];
      character = static_cast<char>(static_cast<unsigned>(character) + bit);
    }
  }
  return json::array({flags.size(), std::move(text)});
}

std::vector<bool> ToFlags(const json& value) {
  std::vector<bool> flags;
  if (value.is_string()) {
    for (const char digit : value.get<std::string>()) {
      flags.push_back(digit == '1');
    }
    return flags;
  }
  const auto count = ToInteger<std::size_t>(
      value.at(0), {0, static_cast<std::size_t>(kMaxTasksPerJob)});
  const std::string text = value.at(1);
  if (text.size() != (count + kFlagsPerCharacter - 1) / kFlagsPerCharacter) {
    encoding::ThrowInvalid("the flags have another number than stated");
  }
  for (std::size_t index = 0; index < count; ++index) {
    const auto character = static_cast<unsigned char>(
        text[index / kFlagsPerCharacter] - kFirstFlagCharacter);
    flags.push_back((character >> (index % kFlagsPerCharacter) & 1U) != 0);
  }
  return flags;
}

json ToJson(const crashed_runs& crashes) {
  json rows = json::array();
  for (const auto& [run, evidence] : crashes) {
    rows.push_back(json::array({run, static_cast<int>(evidence)}));
  }
  return rows;
}

json CrashesToJson(const step_progress& step) {
  json rows = json::array();
  for (const auto& [index, crashes] : step.crashes) {
    rows.push_back(json::array({index, ToJson(crashes)}));
  }
  return rows;
}

json EndedRunsToJson(const step_progress& step) {
  json rows = json::array();
  for (const auto& [index, run] : step.last_ended_runs) {
    rows.push_back(json::array({index, run}));
  }
  return rows;
}

json DelegationsToJson(const step_progress& step) {
  json rows = json::array();
  for (const auto& [index, delegation] : step.delegations) {
    rows.push_back(json::array({index, delegation.cell, delegation.first_run,
                                delegation.owner_epoch}));
  }
  return rows;
}

std::int64_t ToMilliseconds(wall_time time) {
  return std::chrono::floor<std::chrono::milliseconds>(time.time_since_epoch())
      .count();
}

/// Returns a time from 1970 to kMaxDueTime.
wall_time ToTimeOfMilliseconds(const json& value) {
  const auto latest =
      std::chrono::floor<std::chrono::milliseconds>(kMaxDueTime);
  return wall_time(std::chrono::milliseconds(
      ToInteger<std::int64_t>(value, {0, latest.count()})));
}

json WaitsToJson(const step_progress& step) {
  json rows = json::array();
  for (const auto& [index, since] : step.waiting_since) {
    rows.push_back(json::array({index, ToMilliseconds(since)}));
  }
  return rows;
}

/// Each row holds a service and its pieces, largest first. Earlier versions
/// write and read the first piece only.
json RoomToJson(const room_pieces& room) {
  json rows = json::array();
  for (const auto& [service, pieces] : room) {
    json row = json::array({service});
    for (const resources& piece : pieces) {
      row.push_back(ToJson(piece));
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

/// Leaves out pieces that cannot be stated.
room_pieces ToRoom(const json& rows) {
  room_pieces room;
  for (const json& row : RequireArray(rows)) {
    const std::string service = row.at(0);
    const std::size_t end = std::min(row.size(), 1 + kMaxStatedPieces);
    for (std::size_t index = 1; index < end; ++index) {
      const resources piece = ToResources(row.at(index));
      if (CanBeStated(piece)) {
        room[service].push_back(piece);
      }
    }
  }
  return room;
}

/// An odd statement of room must not hide the owner: it states none.
room_pieces ToRoomOrNone(const json& rows) {
  try {
    return ToRoom(rows);
  } catch (const json::exception&) {
    return {};
  }
}

run_number ToRunNumber(const json& value) {
  return ToInteger<run_number>(value, {0, kMaxRunNumber});
}

failed_runs ToFailedRuns(const json& value) {
  failed_runs runs;
  for (const json& run : RequireArray(value)) {
    runs.insert(ToRunNumber(run));
  }
  return runs;
}

crashed_runs ToCrashedRuns(const json& rows) {
  crashed_runs crashes;
  for (const json& row : RequireArray(rows)) {
    crashes[ToRunNumber(row.at(0))] =
        static_cast<crash_evidence>(ToInteger<int>(
            row.at(1), {0, static_cast<int>(crash_evidence::kBlamed)}));
  }
  return crashes;
}

json ToJson(const step_progress& step) {
  json failures = json::array();
  for (const auto& [index, runs] : step.failures) {
    failures.push_back(json::array({index, runs}));
  }
  json row = json::array(
      {step.occurrence, step.step, ToJson(step.done), std::move(failures)});
  // A column is written when it or a later one is not empty.
  const bool has_waits = !step.waiting_since.empty();
  const bool has_delegations = !step.delegations.empty() || has_waits;
  const bool has_ended_runs = !step.last_ended_runs.empty() || has_delegations;
  const bool has_crashes = !step.crashes.empty() || has_ended_runs;
  if (!step.started.empty() || has_crashes) {
    row.push_back(ToJson(step.started));
  }
  if (has_crashes) {
    row.push_back(CrashesToJson(step));
  }
  if (has_ended_runs) {
    row.push_back(EndedRunsToJson(step));
  }
  if (has_delegations) {
    row.push_back(DelegationsToJson(step));
  }
  if (has_waits) {
    row.push_back(WaitsToJson(step));
  }
  return row;
}

epoch ToEpoch(const json& value) {
  return ToInteger<epoch>(value, {0, kMaxEpoch});
}

step_progress ToStepProgress(const json& row) {
  step_progress step{.occurrence = ToInteger<std::uint32_t>(row.at(0)),
                     .step = ToInteger<std::uint32_t>(row.at(1)),
                     .done = ToFlags(row.at(2))};
  for (const json& failure_row : RequireArray(row.at(3))) {
    step.failures[ToInteger<std::uint32_t>(failure_row.at(0))] =
        ToFailedRuns(failure_row.at(1));
  }
  if (row.size() > kStartedColumn) {
    step.started = ToFlags(row.at(kStartedColumn));
  }
  if (row.size() > kCrashesColumn) {
    for (const json& crash_row : RequireArray(row.at(kCrashesColumn))) {
      step.crashes[ToInteger<std::uint32_t>(crash_row.at(0))] =
          ToCrashedRuns(crash_row.at(1));
    }
  }
  if (row.size() > kLastEndedRunsColumn) {
    for (const json& run_row : RequireArray(row.at(kLastEndedRunsColumn))) {
      step.last_ended_runs[ToInteger<std::uint32_t>(run_row.at(0))] =
          ToRunNumber(run_row.at(1));
    }
  }
  if (row.size() > kDelegationsColumn) {
    for (const json& delegation_row :
         RequireArray(row.at(kDelegationsColumn))) {
      delegated_task& delegation =
          step.delegations[ToInteger<std::uint32_t>(delegation_row.at(0))];
      delegation.cell = ToInteger<cell_id>(delegation_row.at(1));
      delegation.first_run =
          ToInteger<run_number>(delegation_row.at(2), {1, kMaxRunNumber});
      if (delegation_row.size() > kOwnerEpochOfDelegation) {
        delegation.owner_epoch =
            ToEpoch(delegation_row.at(kOwnerEpochOfDelegation));
      }
    }
  }
  if (row.size() > kWaitingSinceColumn) {
    for (const json& wait_row : RequireArray(row.at(kWaitingSinceColumn))) {
      step.waiting_since[ToInteger<std::uint32_t>(wait_row.at(0))] =
          ToTimeOfMilliseconds(wait_row.at(1));
    }
  }
  return step;
}

keyed_record ToRecord(const job_advanced& record) {
  json steps = json::array();
  for (const step_progress& step : record.progress.steps) {
    steps.push_back(ToJson(step));
  }
  json row =
      json::array({record.progress.started,
                   static_cast<int>(record.progress.status), std::move(steps)});
  if (record.progress.complete_occurrences > 0) {
    row.push_back(record.progress.complete_occurrences);
  }
  return {.key = Key(kAdvancedKind, record.job), .value = Pack(row)};
}

keyed_record ToRecord(const job_dropped& record) {
  return {.key = Key(kAcceptedKind, record.job), .value = std::nullopt};
}

keyed_record ToRecord(const ownership_record& record) {
  json row = json::array({record.claim_epoch, record.vm, record.incarnation,
                          record.released, record.predecessor_validity.count(),
                          record.millicores_per_cell});
  if (!record.room.empty()) {
    row.push_back(RoomToJson(record.room));
  }
  return {.key = std::string(kOwnerKey), .value = Pack(row)};
}

keyed_record ToRecord(const leased_workers& record) {
  json unreported = json::array();
  for (const auto& [worker, validity] : record.unreported) {
    unreported.push_back(json::array({worker, validity.count()}));
  }
  return {.key = std::string(kLeasedWorkersKey),
          .value = Pack(json::array(
              {record.claim_epoch, record.workers, std::move(unreported),
               record.ends_stored_from, record.addresses}))};
}

keyed_record ToRecord(const returned_tasks& record) {
  json rows = json::array();
  for (const returned_task& returned : record.tasks) {
    json row = json::array(
        {Format(returned.task), returned.first_run, returned.next_run});
    if (!returned.crashes.empty() || returned.waiting_since) {
      row.push_back(ToJson(returned.crashes));
    }
    if (returned.waiting_since) {
      row.push_back(ToMilliseconds(*returned.waiting_since));
    }
    rows.push_back(std::move(row));
  }
  return {.key = std::string(kReturnedTasksKey),
          .value = Pack(json::array({record.claim_epoch, std::move(rows)}))};
}

/// Returns a time from 1970 to kMaxDueTime.
wall_time ToWallTime(const json& value) {
  const wall_time::duration latest = kMaxDueTime;
  return wall_time(
      wall_time::duration(ToInteger<std::int64_t>(value, {0, latest.count()})));
}

job_accepted ToAccepted(job_id job, const json& value) {
  job_accepted record{
      .job = job,
      .queue = value.at(0),
      .accepted_at = ToWallTime(value.at(1)),
      .spec = {.payload = value.at(2),
               .repeat_count = ToInteger<std::uint32_t>(value.at(4)),
               .first_due = ToWallTime(value.at(5)),
               .interval = ToMilliseconds(value.at(6))},
      .cell = ToInteger<cell_id>(value.at(7))};
  for (const json& step : RequireArray(value.at(3))) {
    record.spec.steps.push_back(ToStep(step));
  }
  if (const auto fault = FindFault(record.spec)) {
    encoding::ThrowInvalid(std::string(*fault));
  }
  if (value.size() > kSettingsColumn) {
    record.settings = ToSettingsOrNone(value.at(kSettingsColumn));
  }
  return record;
}

job_advanced ToAdvanced(job_id job, const json& value) {
  job_advanced record{
      .job = job,
      .progress = {
          .started = value.at(0),
          .status = static_cast<job_status>(ToInteger<int>(
              value.at(1), {0, static_cast<int>(job_status::kFailed)}))}};
  for (const json& row : RequireArray(value.at(2))) {
    record.progress.steps.push_back(ToStepProgress(row));
  }
  if (value.size() > kCompleteOccurrencesColumn) {
    record.progress.complete_occurrences =
        ToInteger<std::uint32_t>(value.at(kCompleteOccurrencesColumn));
  }
  return record;
}

ownership_record ToOwnership(const json& value) {
  ownership_record record{.claim_epoch = ToEpoch(value.at(0)),
                          .vm = value.at(1),
                          .incarnation = ToInteger<std::uint64_t>(value.at(2)),
                          .released = value.at(3),
                          .predecessor_validity = ToMilliseconds(value.at(4))};
  if (value.size() > kMillicoresPerCellColumn) {
    record.millicores_per_cell = ToInteger<std::int64_t>(
        value.at(kMillicoresPerCellColumn), {0, kMaxAmount});
  }
  if (value.size() > kRoomColumn) {
    record.room = ToRoomOrNone(value.at(kRoomColumn));
  }
  return record;
}

leased_workers ToLeasedWorkers(const json& value) {
  leased_workers record{.claim_epoch = ToEpoch(value.at(0)),
                        .workers = value.at(1)};
  if (value.size() > kUnreportedColumn) {
    for (const json& row : value.at(kUnreportedColumn)) {
      record.unreported[row.at(0)] = encoding::ToMilliseconds(row.at(1));
    }
  }
  if (value.size() > kEndsStoredFromColumn) {
    record.ends_stored_from = ToEpoch(value.at(kEndsStoredFromColumn));
  }
  if (value.size() > kAddressesColumn) {
    record.addresses = value.at(kAddressesColumn);
  }
  return record;
}

returned_task ToReturnedTask(const json& row) {
  const std::optional<task_ref> task =
      ParseTaskRef(row.at(0).get<std::string>());
  if (!task) {
    encoding::ThrowInvalid("is not a task");
  }
  returned_task returned{
      .task = *task,
      .first_run = ToInteger<run_number>(row.at(1), {1, kMaxRunNumber}),
      .next_run = ToInteger<run_number>(row.at(2), {1, kMaxRunNumber})};
  if (row.size() > kCrashesOfReturn) {
    returned.crashes = ToCrashedRuns(row.at(kCrashesOfReturn));
  }
  if (row.size() > kWaitingSinceOfReturn) {
    returned.waiting_since =
        ToTimeOfMilliseconds(row.at(kWaitingSinceOfReturn));
  }
  return returned;
}

returned_tasks ToReturnedTasks(const json& value) {
  returned_tasks record{.claim_epoch = ToEpoch(value.at(0))};
  for (const json& row : RequireArray(value.at(1))) {
    record.tasks.push_back(ToReturnedTask(row));
  }
  return record;
}

/// Decodes a record of a job; @p bytes is null when the key was deleted.
std::optional<log_record> DecodeJobRecord(char kind,
                                          job_id job,
                                          const std::string_view* bytes) {
  if (bytes == nullptr) {
    return kind == kAcceptedKind ? std::optional<log_record>(job_dropped{job})
                                 : std::nullopt;
  }
  const json value = encoding::ParseMessagePack(*bytes);
  switch (kind) {
    case kAcceptedKind:
      return ToAccepted(job, value);
    case kCancelledKind:
      return job_cancelled{job};
    default:
      return ToAdvanced(job, value);
  }
}

bool IsKnownKind(char kind) {
  return kind == kAcceptedKind || kind == kCancelledKind ||
         kind == kAdvancedKind;
}

}  // namespace

std::string AcceptedKey(job_id job) {
  return Key(kAcceptedKind, job);
}

std::optional<job_id> JobOfProgress(const keyed_record& record) {
  return record.key.starts_with(kAdvancedKind)
             ? ParseJobId(std::string_view(record.key).substr(1))
             : std::nullopt;
}

std::vector<keyed_record> EncodeDrop(job_id job) {
  return {{.key = Key(kAcceptedKind, job)},
          {.key = Key(kCancelledKind, job)},
          {.key = Key(kAdvancedKind, job)}};
}

keyed_record Encode(const log_record& record) {
  return std::visit([](const auto& typed) { return ToRecord(typed); }, record);
}

boost::leaf::result<std::optional<log_record>> Decode(
    std::string_view key,
    std::optional<std::string_view> value) {
  const std::string record_name = absl::StrCat("record ", std::string(key));
  try {
    if (key == kOwnerKey) {
      return value ? std::optional<log_record>(
                         ToOwnership(encoding::ParseMessagePack(*value)))
                   : std::nullopt;
    }
    if (key == kLeasedWorkersKey) {
      return value ? std::optional<log_record>(
                         ToLeasedWorkers(encoding::ParseMessagePack(*value)))
                   : std::nullopt;
    }
    if (key == kReturnedTasksKey) {
      return value ? std::optional<log_record>(
                         ToReturnedTasks(encoding::ParseMessagePack(*value)))
                   : std::nullopt;
    }
    const std::optional<job_id> job =
        ParseJobId(key.empty() ? key : key.substr(1));
    if (!job || !IsKnownKind(key.front())) {
      return boost::leaf::new_error(failure{record_name, "unknown key"});
    }
    return DecodeJobRecord(key.front(), *job, value ? &*value : nullptr);
  } catch (const json::exception& error) {
    return boost::leaf::new_error(
        failure{record_name, encoding::Message(error)});
  }
}

}  // namespace skylarkbridge::records
