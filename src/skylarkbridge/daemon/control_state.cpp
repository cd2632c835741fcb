#include "skylarkbridge/daemon/control_state.hpp"

#include <algorithm>
#include <sstream>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/daemon/events.hpp"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::daemon {
namespace {

// Later than the shortest time between two rounds of news, so that the last
// news of this VM goes out at once.
constexpr std::chrono::seconds kNewsDelay{1};

using entry::publish_answer;
using entry::task_answer;

scheduling::dispatcher_options DispatcherOptions(
    const control_options& options) {
  scheduling::dispatcher_options result = options.dispatcher;
  result.upstreams.data_centre = options.data_centre;
  return result;
}

shard_part_options ShardOptions(const control_options& options,
                                shard_id shard,
                                incarnation_id incarnation) {
  shard_part_options result = options.shard;
  result.owner.shard = shard;
  result.owner.vm = options.vm;
  result.owner.incarnation = incarnation;
  result.slots = options.slots.lease;
  return result;
}

std::string OwnershipName(coordination::ownership state) {
  switch (state) {
    case coordination::ownership::kNotOwner:
      return "not_owner";
    case coordination::ownership::kTakingOver:
      return "taking_over";
    case coordination::ownership::kOwner:
      return "owner";
    case coordination::ownership::kLost:
      return "lost";
  }
  return "";
}

std::string Text(const coordination::ballot& ballot) {
  std::ostringstream text;
  text << ballot;
  return text.str();
}

}  // namespace

control_state::control_state(const control_options& options,
                             incarnation_id incarnation,
                             control_port& port,
                             gateway::upstream_client& upstreams,
                             gateway::address_book& workers,
                             const instant& at)
    : options_(options),
      port_(port),
      upstreams_(upstreams),
      addresses_(workers),
      shard_map_(options.shards),
      log_(options.log, options.vm, incarnation),
      peers_({.vm = options.vm,
              .data_centre = options.data_centre,
              .address = options.peers_address,
              .life = {at.wall, incarnation}},
             options.membership,
             log_,
             at.now),
      slots_(options.slots, shard_map_, {options.vm, incarnation}),
      requests_(DispatcherOptions(options), slots_),
      tasks_(options.tasks, shard_map_, incarnation, log_) {
  for (std::uint64_t i = 0; i < options.shards; ++i) {
    shards_.emplace(shard_id{i},
                    std::make_unique<shard_part>(
                        ShardOptions(options, shard_id{i}, incarnation), log_));
  }
}

control_outputs control_state::Handle(control_message message,
                                      const instant& at) {
  std::visit([&](auto& one) { On(std::move(one), at); }, message);
  return std::exchange(outputs_, {});
}

control_outputs control_state::Tick(const instant& at) {
  requests_.Tick(at.now);
  SettleKeys(at);
  for (auto& [id, shard] : shards_) {
    Add(shard->Tick(at));
  }
  Take(peers_.Tick(at.now), at);
  for (const due_slot_request& due : slots_.Tick(at.now)) {
    RequestSlots(due, at);
  }
  Take(log_.Tick(peers_.Members().Live(options_.data_centre), at), at);
  return std::exchange(outputs_, {});
}

time_point control_state::NextDeadline() const {
  time_point next = std::min(
      {log_.NextDeadline(), peers_.NextDeadline(), slots_.NextDeadline()});
  next = std::min(next, requests_.NextDeadline().value_or(next));
  for (const auto& [id, shard] : shards_) {
    next = std::min(next, shard->NextDeadline().value_or(next));
  }
  return next;
}

void control_state::On(const leave_message& message, const instant& at) {
  for (const due_slot_request& due : slots_.Return(at.now)) {
    RequestSlots(due, at);
  }
  for (auto& [id, shard] : shards_) {
    Add(shard->Leave(at));
  }
  Take(peers_.Announce(coordination::member_status::kLeft, at.now), at);
  Take(peers_.Tick(at.now + kNewsDelay), at);
  message.reply->Set(true);
}

void control_state::On(const received_message& message, const instant& at) {
  std::visit([&](const auto& one) { Hear(message.from, one, at); },
             message.message);
}

template <class Message>
void control_state::Hear(entry_vm_id from,
                         const Message& message,
                         const instant& at) {
  using wire::forward_answer;
  using wire::forward_request;
  if constexpr (std::is_same_v<Message, wire::slot_request>) {
    Lend(from, message, at);
  } else if constexpr (std::is_same_v<Message, wire::slot_grant>) {
    ApplyGrant(message.shard, message.grant, at);
  } else if constexpr (!std::is_same_v<Message, wire::hello> &&
                       !std::is_same_v<Message, forward_request> &&
                       !std::is_same_v<Message, forward_answer>) {
    Take(peers_.Hear(from, message, at.now), at);
  }
}

void control_state::Take(peer_step step, const instant& at) {
  Add(std::move(step.outputs));
  for (const coordination::configuration_event& event : step.configuration) {
    OnLog(event, at);
  }
  for (const coordination::upstream_entry& upstream : step.upstreams) {
    if (upstream.status == coordination::upstream_status::kLeaving) {
      drained_.insert(upstream.worker);
    }
  }
  if (!step.upstreams.empty()) {
    UpdateWorkers(at);
  }
  if (step.members_changed) {
    UpdateExpected(at);
  }
}

void control_state::Lend(entry_vm_id to,
                         const wire::slot_request& message,
                         const instant& at) {
  const auto shard = shards_.find(message.shard);
  if (shard == shards_.end() || !shard->second->Owned(at.now) ||
      shard->second->Lender() == nullptr || message.request.holder.vm != to) {
    return;
  }
  auto grant = shard->second->Lender()->Request(message.request, at.now);
  if (!grant) {
    return;
  }
  if (auto output =
          peers_.To(to, wire::slot_grant{message.shard, std::move(*grant)})) {
    outputs_.push_back(std::move(*output));
  }
}

void control_state::ApplyGrant(shard_id shard,
                               const coordination::slot_grant& grant,
                               const instant& at) {
  for (const scheduling::upstream_state& state :
       slots_.Apply(shard, grant, at.now)) {
    requests_.Update(state, at.now);
  }
  UpdateReadiness();
}

void control_state::RequestSlots(const due_slot_request& due,
                                 const instant& at) {
  shard_part& shard = *shards_.at(due.shard);
  if (shard.Owned(at.now) && shard.Lender() != nullptr) {
    if (const auto grant = shard.Lender()->Request(due.request, at.now)) {
      ApplyGrant(due.shard, *grant, at);
    }
    return;
  }
  const auto owner = coordination::ExpectedOwner(
      due.shard, peers_.Members().Live(options_.data_centre));
  if (!owner || *owner == options_.vm) {
    return;
  }
  if (auto output =
          peers_.To(*owner, wire::slot_request{due.shard, due.request})) {
    outputs_.push_back(std::move(*output));
  }
}

void control_state::UpdateExpected(const instant& at) {
  const std::vector<entry_vm_id> live =
      peers_.Members().Live(options_.data_centre);
  for (auto& [id, shard] : shards_) {
    Add(shard->SetExpected(
        !shard->Workers().empty() &&
            coordination::ExpectedOwner(id, live) == options_.vm,
        at));
  }
}

void control_state::On(request_message message, const instant& at) {
  if (!message.request.idempotency_key.empty()) {
    const shard_id home = HomeOf(message.request);
    if (!keys_.Admit(message, home, shards_.at(home)->Keys(at.now), at.now)) {
      return;
    }
  }
  requests_.Handle(std::move(message), at.now);
}

void control_state::On(attempt_message message, const instant& at) {
  const scheduling::attempt_finished& finished = message.attempt.finished;
  if (finished.result == scheduling::attempt_result::kAnswered) {
    if (const auto home = keys_.HomeOf(finished.request)) {
      keys_.Answered(message.attempt, shards_.at(*home)->Keys(at.now));
    }
  }
  requests_.Handle(std::move(message), at.now);
}

shard_id control_state::HomeOf(const entry::arriving_request& request) const {
  return shard_map_.ShardOfKey(coordination::Digest(request.idempotency_key));
}

void control_state::SettleKeys(const instant& at) {
  for (const scheduling::finish_request& finish : requests_.TakeEnded()) {
    if (const auto home = keys_.HomeOf(finish.request)) {
      keys_.Ended(finish, shards_.at(*home)->Keys(at.now));
    }
  }
}

void control_state::On(const vm_list_message& message, const instant& at) {
  absl::flat_hash_set<worker_id> listed;
  std::vector<wire::worker_vm> own;
  for (const wire::worker_vm& worker : message.list.workers) {
    if (worker.data_centre != options_.data_centre) {
      continue;
    }
    own.push_back(worker);
    listed.insert(worker.worker);
    upstreams_.SetAddress(worker.worker, worker.address);
    addresses_.Set(worker.worker, worker.address);
  }
  for (const wire::worker_vm& worker : workers_) {
    if (listed.contains(worker.worker)) {
      continue;
    }
    requests_.Update({.upstream = worker.worker,
                      .status = scheduling::upstream_status::kGone},
                     at.now);
    upstreams_.Forget(worker.worker);
    addresses_.Remove(worker.worker);
    drained_.erase(worker.worker);
  }
  workers_ = std::move(own);
  UpdateWorkers(at);
  Take(peers_.ListVms(message.list, at.now), at);
}

void control_state::On(submit_message message, const instant& at) {
  tasks_.Submit(std::move(message), at);
}

void control_state::On(const find_task_message& message, const instant&) {
  const coordination::open_task* open = log_.Tasks().Find(message.task);
  task_answer answer;
  if (open != nullptr) {
    answer = Describe(*open);
  } else if (const auto outcome = tasks_.Ended(message.task)) {
    answer = {.phase = task_answer::state::kEnded,
              .task = message.task,
              .outcome = outcome};
  }
  message.reply->Set(std::move(answer));
}

void control_state::On(cancel_task_message message, const instant& at) {
  tasks_.Cancel(std::move(message), at);
}

void control_state::On(const list_tasks_message& message, const instant&) {
  const auto& open = log_.Tasks().OpenTasks();
  entry::task_list_answer answer{.total =
                                     static_cast<std::int64_t>(open.size())};
  for (const auto& [id, task] : open) {
    if (answer.tasks.size() >= message.limit) {
      break;
    }
    answer.tasks.push_back(Describe(task));
  }
  std::sort(answer.tasks.begin(), answer.tasks.end(),
            [](const task_answer& a, const task_answer& b) {
              return a.task < b.task;
            });
  message.reply->Set(std::move(answer));
}

void control_state::On(const publish_message& message, const instant& at) {
  const auto added = log_.Add(
      coordination::configuration_published{
          .base = message.base, .full = true, .text = message.text},
      at);
  if (const auto* id = std::get_if<coordination::record_id>(&added)) {
    publishes_[*id] = {message.reply};
    return;
  }
  message.reply->Set({.outcome = publish_answer::result::kRefused});
}

void control_state::On(const configuration_query& message, const instant&) {
  const coordination::known_version& version = log_.Configuration().InEffect();
  message.reply->Set({version.number, version.text});
}

void control_state::On(const status_query& message, const instant& at) {
  entry::status_answer answer{
      .vm = options_.vm,
      .data_centre = options_.data_centre,
      .version = log_.Configuration().InEffect().number,
      .configuration_state =
          log_.Configuration().State() ==
                  coordination::configuration_state::kInEffect
              ? "in_effect"
              : "none",
      .log_up = log_.Outbox().Up(coordination::log_stream::kTasks),
      .open_tasks = static_cast<std::int64_t>(log_.Tasks().OpenTasks().size()),
      .unwritten_records = static_cast<std::int64_t>(log_.Outbox().Size())};
  for (const auto& [id, shard] : shards_) {
    answer.shards.push_back(
        {.shard = id,
         .state =
             shard->Owned(at.now) ? "owner" : OwnershipName(shard->State()),
         .ballot = Text(shard->Owner().Takeover()),
         .workers = static_cast<std::int64_t>(shard->Workers().size())});
  }
  for (const wire::worker_vm& worker : workers_) {
    const shard_id shard = shard_map_.ShardOf(worker.worker);
    entry::worker_status_row row{
        .worker = worker.worker,
        .status =
            StatusOf(worker) == wire::vm_status::kLive ? "live" : "leaving",
        .shard = shard,
        .slots = worker.slots,
        .slots_held = slots_.Describe(worker).slots};
    const shard_part* part = FindShard(shard);
    if (part != nullptr && part->Scheduler() != nullptr) {
      if (const auto held = part->Scheduler()->Holdings(worker.worker)) {
        row.tasks = static_cast<std::int64_t>(held->tasks.size());
      }
    }
    answer.workers.push_back(std::move(row));
  }
  for (const entry_vm_id vm : peers_.Members().Live(options_.data_centre)) {
    answer.members.push_back({vm, "live"});
  }
  message.reply->Set(std::move(answer));
}

void control_state::On(const drain_message& message, const instant& at) {
  const bool known = std::any_of(workers_.begin(), workers_.end(),
                                 [&](const wire::worker_vm& worker) {
                                   return worker.worker == message.worker;
                                 });
  if (known) {
    drained_.insert(message.worker);
    UpdateWorkers(at);
    Take(peers_.NoteLeaving(message.worker, at), at);
  }
  message.reply->Set(known);
}

void control_state::On(const worker_message& message, const instant& at) {
  const shard_id shard = shard_map_.ShardOf(wire::WorkerOf(message.command));
  Add(shards_.at(shard)->Answered(message.command, message.reply, at));
}

void control_state::On(const append_message& message, const instant& at) {
  Take(log_.Appended(message.append, message.result, at), at);
}

void control_state::On(page_message message, const instant& at) {
  Take(log_.PageRead(message.stream, message.read, std::move(message.page), at),
       at);
}

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

void control_state::Add(control_outputs outputs) {
  std::move(outputs.begin(), outputs.end(), std::back_inserter(outputs_));
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

void control_state::UpdateWorkers(const instant& at) {
  std::map<shard_id, std::vector<wire::worker_vm>> by_shard;
  std::vector<wire::worker_vm> known = workers_;
  for (wire::worker_vm& worker : known) {
    worker.status = StatusOf(worker);
    by_shard[shard_map_.ShardOf(worker.worker)].push_back(worker);
  }
  slots_.SetWorkers(known);
  for (const wire::worker_vm& worker : known) {
    requests_.Update(slots_.Describe(worker), at.now);
  }
  tasks_.SetWorkers(std::move(known));
  for (auto& [id, shard] : shards_) {
    Add(shard->SetWorkers(std::move(by_shard[id]), at));
  }
  UpdateExpected(at);
  UpdateReadiness();
}

void control_state::UpdateReadiness() {
  const bool has_slots = std::any_of(workers_.begin(), workers_.end(),
                                     [&](const wire::worker_vm& worker) {
                                       return slots_.Describe(worker).slots > 0;
                                     });
  port_.SetReady(port_.Declared() != nullptr && has_slots);
}

wire::vm_status control_state::StatusOf(const wire::worker_vm& worker) const {
  return drained_.contains(worker.worker) ? wire::vm_status::kLeaving
                                          : worker.status;
}

task_answer control_state::Describe(const coordination::open_task& task) const {
  task_answer answer{.phase = task_answer::state::kRunning,
                     .task = task.task,
                     .kind = task.kind,
                     .shard = task.shard,
                     .attempts = task.attempts,
                     .cancelled = task.cancelled};
  const shard_part* shard = FindShard(task.shard);
  if (shard == nullptr || shard->Scheduler() == nullptr) {
    answer.phase = task_answer::state::kWaiting;
    answer.detail = "Another VM owns the shard, or nobody yet.";
    return answer;
  }
  if (const auto waiting = shard->Scheduler()->WhyWaiting(task.task)) {
    answer.phase = task_answer::state::kWaiting;
    answer.attempts = std::max(answer.attempts, waiting->attempts);
    answer.detail = waiting->detail;
  }
  return answer;
}

const shard_part* control_state::FindShard(shard_id shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? nullptr : found->second.get();
}

}  // namespace skylarkbridge::daemon
