// Messages of other entry VMs, and the departure of this one.

#include "skylarkbridge/daemon/control_state.hpp"

#include <chrono>
#include <type_traits>
#include <utility>
#include <variant>

namespace skylarkbridge::daemon {
namespace {

// Later than the shortest time between two rounds of news, so that the last
// news of this VM goes out at once.
constexpr std::chrono::seconds kNewsDelay{1};

}  // namespace

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

}  // namespace skylarkbridge::daemon
