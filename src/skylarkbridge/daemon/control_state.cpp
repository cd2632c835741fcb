#include "skylarkbridge/daemon/control_state.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace skylarkbridge::daemon {
namespace {

using entry::publish_answer;

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

void control_state::On(cancel_task_message message, const instant& at) {
  tasks_.Cancel(std::move(message), at);
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

void control_state::Add(control_outputs outputs) {
  std::move(outputs.begin(), outputs.end(), std::back_inserter(outputs_));
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

const shard_part* control_state::FindShard(shard_id shard) const {
  const auto found = shards_.find(shard);
  return found == shards_.end() ? nullptr : found->second.get();
}

}  // namespace skylarkbridge::daemon
