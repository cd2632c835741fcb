// What the streams of the log lead to.

#include "skylarkbridge/daemon/control_state.hpp"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/daemon/events.hpp"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::daemon {

using entry::publish_answer;

void control_state::Take(log_step step, const instant& at) {
  Add(std::move(step.outputs));
  for (const log_event& event : step.events) {
    std::visit([&](const auto& one) { OnLog(one, at); }, event);
  }
}

void control_state::OnLog(const task_record_folded& folded, const instant& at) {
  tasks_.Folded(folded);
  for (auto& [id, shard] : shards_) {
    Add(shard->Folded(folded, at));
  }
  for (const coordination::ledger_event& event : folded.events) {
    if (std::holds_alternative<coordination::tasks_replaced>(event)) {
      for (auto& [id, shard] : shards_) {
        Add(shard->TasksReplaced(at));
      }
    }
  }
}

void control_state::OnLog(const tasks_current& current, const instant& at) {
  for (auto& [id, shard] : shards_) {
    Add(shard->TasksCurrent(current.read_sent, at));
  }
}

void control_state::OnLog(const coordination::configuration_event& event,
                          const instant& at) {
  if (std::holds_alternative<coordination::configuration_in_effect>(event)) {
    PutIntoEffect(at);
  } else if (const auto* fetch =
                 std::get_if<coordination::fetch_configuration>(&event)) {
    Take(peers_.Fetch(*fetch), at);
  } else if (const auto* accepted =
                 std::get_if<coordination::publish_accepted>(&event)) {
    Answer(accepted->record, {.outcome = publish_answer::result::kAccepted,
                              .version = accepted->version.number});
  } else if (const auto* conflict =
                 std::get_if<coordination::publish_conflict>(&event)) {
    Answer(conflict->record, {.outcome = publish_answer::result::kConflict,
                              .version = conflict->latest.number,
                              .changes = conflict->changes});
  } else if (const auto* invalid =
                 std::get_if<coordination::publish_invalid>(&event)) {
    findings faults;
    for (const finding& fault : invalid->faults) {
      faults.Add(fault.place, fault.message);
    }
    Answer(invalid->record, {.outcome = publish_answer::result::kInvalid,
                             .faults = std::move(faults)});
  }
}

void control_state::OnLog(const coordination::record_durable& durable,
                          const instant&) {
  tasks_.Resolved(durable.id, true);
}

void control_state::OnLog(const coordination::record_refused& refused,
                          const instant& at) {
  tasks_.Resolved(refused.id, false);
  Answer(refused.id, {.outcome = publish_answer::result::kRefused});
  for (auto& [id, shard] : shards_) {
    Add(shard->Refused(refused.id, at));
  }
}

void control_state::OnLog(const coordination::log_availability& state,
                          const instant&) {
  LogEvent(state.up ? kLogUp : kLogDown,
           {{"stream", state.stream == coordination::log_stream::kTasks
                           ? "tasks"
                           : "configuration"}});
}

void control_state::Answer(const coordination::record_id& record,
                           publish_answer answer) {
  const auto found = publishes_.find(record);
  if (found != publishes_.end()) {
    found->second.reply->Set(std::move(answer));
    publishes_.erase(found);
  }
}

void control_state::PutIntoEffect(const instant& at) {
  const coordination::known_version& version = log_.Configuration().InEffect();
  findings ignored;
  const auto parsed = declaration::ParseJson(version.text, ignored);
  if (!parsed) {
    return;
  }
  LogEvent(kConfigurationInEffect, {{"version", absl::StrCat(version.number)}});
  const auto declared =
      std::make_shared<const declaration::configuration>(*parsed);
  requests_.Configure(*declared, at.now);
  tasks_.Configure(*declared);
  for (auto& [id, shard] : shards_) {
    Add(shard->Configure(*declared, at));
  }
  peers_.SetConfiguration(log_.Configuration().Tag());
  port_.SetDeclared(declared);
  UpdateReadiness();
}

}  // namespace skylarkbridge::daemon
