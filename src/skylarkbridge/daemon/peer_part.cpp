#include "skylarkbridge/daemon/peer_part.hpp"

#include <string>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/daemon/events.hpp"

namespace skylarkbridge::daemon {
namespace {

using coordination::member_status;

bool Ended(member_status status) {
  return status == member_status::kDead || status == member_status::kLeft;
}

std::vector<coordination::listed_vm> ToListed(const wire::vm_list& list) {
  std::vector<coordination::listed_vm> listed;
  for (const wire::entry_vm& vm : list.entry_vms) {
    listed.push_back({.vm = vm.vm,
                      .data_centre = vm.data_centre,
                      .address = vm.address,
                      .leaving = vm.status == wire::vm_status::kLeaving});
  }
  return listed;
}

}  // namespace

peer_part::peer_part(coordination::member_entry self,
                     coordination::membership_options options,
                     log_part& log,
                     time_point now)
    : members_(std::move(self), options, now), log_(log) {}

peer_step peer_part::Hear(entry_vm_id from,
                          const coordination::heartbeat& message,
                          time_point now) {
  peer_step step = Take(members_.Hear(message, now));
  step.configuration =
      log_.Configuration().Offer(from, message.configuration, now);
  return step;
}

peer_step peer_part::Hear(entry_vm_id from,
                          const coordination::member_update& message,
                          time_point now) {
  return Take(members_.Receive(from, message, now));
}

peer_step peer_part::Hear(entry_vm_id from,
                          const wire::leaving& message,
                          time_point now) {
  return Take(members_.Receive(from, {.members = {message.sender}}, now));
}

peer_step peer_part::Hear(entry_vm_id from,
                          const wire::configuration_offer& message,
                          time_point now) {
  peer_step step;
  step.configuration = log_.Configuration().Offer(from, message.version, now);
  return step;
}

peer_step peer_part::Hear(entry_vm_id from,
                          const wire::configuration_fetch&,
                          time_point) {
  peer_step step;
  const coordination::known_version version = log_.Configuration().ForPeer();
  if (version.number == 0) {
    return step;
  }
  for (wire::configuration_part& part : wire::SplitConfiguration(version)) {
    if (auto output = To(from, std::move(part))) {
      step.outputs.push_back(std::move(*output));
    }
  }
  return step;
}

peer_step peer_part::Hear(entry_vm_id from,
                          const wire::configuration_part& message,
                          time_point) {
  peer_step step;
  const auto whole = assemblers_[from].Add(message);
  if (whole && *whole) {
    step.configuration = log_.Configuration().Receive(message.version, **whole);
  }
  return step;
}

peer_step peer_part::ListVms(const wire::vm_list& list, time_point now) {
  return Take(members_.ListVms(ToListed(list), now));
}

peer_step peer_part::NoteLeaving(worker_id worker, const instant& at) {
  return Take(members_.Note({.worker = worker,
                             .status = coordination::upstream_status::kLeaving,
                             .noted_at = at.wall},
                            at.now));
}

peer_step peer_part::Announce(member_status status, time_point now) {
  return Take(members_.Announce(status, now));
}

peer_step peer_part::Tick(time_point now) {
  return Take(members_.Tick(now));
}

peer_step peer_part::Fetch(const coordination::fetch_configuration& fetch) {
  peer_step step;
  if (auto output = To(fetch.peer, wire::configuration_fetch{fetch.version})) {
    step.outputs.push_back(std::move(*output));
  }
  return step;
}

std::optional<control_output> peer_part::To(entry_vm_id vm,
                                            wire::peer_message message) const {
  const auto member = members_.Find(vm);
  if (!member) {
    return std::nullopt;
  }
  return send_to_peer{vm, member->address, std::move(message)};
}

std::vector<coordination::member_entry> peer_part::Known() const {
  std::vector<coordination::member_entry> all;
  all.reserve(known_.size());
  for (const auto& [vm, entry] : known_) {
    all.push_back(entry);
  }
  return all;
}

peer_step peer_part::Take(coordination::membership_commands commands) {
  peer_step step;
  for (coordination::membership_command& command : commands) {
    if (auto* beat = std::get_if<coordination::send_heartbeat>(&command)) {
      step.outputs.emplace_back(
          send_to_peer{beat->to, beat->address, std::move(beat->message)});
    } else if (auto* update =
                   std::get_if<coordination::send_update>(&command)) {
      step.outputs.emplace_back(send_to_peer{update->to, update->address,
                                             std::move(update->message)});
    } else if (const auto* news =
                   std::get_if<coordination::member_news>(&command)) {
      step.members_changed = true;
      const coordination::member_entry& member = news->member;
      known_[member.vm] = member;
      LogEvent(kMemberChanged, {{"vm", absl::StrCat(member.vm.value)},
                                {"status", std::string(Name(member.status))}});
      if (Ended(member.status)) {
        step.outputs.emplace_back(forget_peer{member.vm});
        log_.Configuration().Forget(member.vm);
        assemblers_.erase(member.vm);
      }
    } else if (const auto* upstream =
                   std::get_if<coordination::upstream_news>(&command)) {
      step.upstreams.push_back(upstream->upstream);
    } else if (const auto* other =
                   std::get_if<coordination::duplicate_vm>(&command)) {
      LogEvent(kDuplicateVm, {{"vm", absl::StrCat(other->other.vm.value)},
                              {"address", Format(other->other.address)}});
    }
  }
  return step;
}

}  // namespace skylarkbridge::daemon
