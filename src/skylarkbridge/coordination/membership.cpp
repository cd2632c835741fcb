#include "skylarkbridge/coordination/membership.hpp"

#include <algorithm>
#include <utility>

#include "skylarkbridge/coordination/contacts.hpp"

namespace skylarkbridge::coordination {

membership::membership(member_entry self,
                       membership_options options,
                       time_point now)
    : self_(std::move(self)),
      options_(options),
      expected_tick_(now),
      next_local_(now),
      next_remote_(now),
      next_news_(now),
      next_exchange_(now) {}

membership_commands membership::Hear(const heartbeat& message, time_point now) {
  membership_commands commands;
  const member_entry& sender = message.sender;
  if (sender.vm == self_.vm) {
    if (sender.life != self_.life) {
      commands.emplace_back(duplicate_vm{sender});
    }
    return commands;
  }
  seeds_.erase(sender.vm);
  auto found = members_.find(sender.vm);
  if (found != members_.end() && !Supersedes(sender, found->second.entry) &&
      (Ended(found->second.entry) || sender.life != found->second.entry.life)) {
    // The sender counts as dead or replaced. Told so, it refutes that with a
    // higher sequence or finds out that it is a duplicate.
    commands.emplace_back(send_update{
        sender.vm, sender.address, {.members = {found->second.entry}}});
    return commands;
  }
  if (found == members_.end() || Supersedes(sender, found->second.entry)) {
    Accept(sender, kLocal | kRemote, now, commands);
    found = members_.find(sender.vm);
  }
  if (found != members_.end()) {
    member_state& state = found->second;
    if (std::exchange(state.suspected, false)) {
      commands.emplace_back(member_news{state.entry});
    }
    state.heard_until = now + options_.suspect_after;
    state.refutations = 0;
    Postpone(state, now);
    Exchange(state, message.table_digest, now, commands);
  }
  Flush(now, commands);
  return commands;
}

membership_commands membership::Receive(entry_vm_id from,
                                        const member_update& update,
                                        time_point now) {
  membership_commands commands;
  const auto sender = members_.find(from);
  // A member of the own data centre has told the others here itself.
  const bool local = sender != members_.end() && IsLocal(sender->second.entry);
  const unsigned scopes = local ? kRemote : kLocal;
  for (const member_entry& news : update.members) {
    if (news.vm == self_.vm) {
      ReceiveSelf(news, now);
    } else {
      ReceiveMember(news, scopes, now, commands);
    }
  }
  for (const upstream_entry& news : update.upstreams) {
    ReceiveUpstream(news, scopes, now, commands);
  }
  Flush(now, commands);
  return commands;
}

membership_commands membership::ListVms(const std::vector<listed_vm>& list,
                                        time_point now) {
  membership_commands commands;
  std::map<entry_vm_id, const listed_vm*> listed;
  seeds_.clear();
  for (const listed_vm& vm : list) {
    listed[vm.vm] = &vm;
    if (vm.vm != self_.vm && !members_.contains(vm.vm) &&
        seeds_.size() < options_.max_members) {
      seeds_[vm.vm] = vm;
    }
  }
  for (auto& [id, state] : members_) {
    const auto found = listed.find(id);
    const bool leaving = found != listed.end() && found->second->leaving;
    if (Ended(state.entry)) {
      continue;
    }
    if (found != listed.end()) {
      state.drop_at.reset();
    } else if (!IsLocal(state.entry) && !state.drop_at) {
      state.drop_at = now + options_.forget_after;
    }
    member_entry news = state.entry;
    // When a whole data centre is gone, nobody is left there to tell of it. Its
    // members are declared dead and not erased, or VMs that erase them at
    // different times would pass them round.
    if ((state.suspected && (found == listed.end() || leaving)) ||
        (state.drop_at && now >= *state.drop_at)) {
      news.status = member_status::kDead;
    } else if (leaving && news.status == member_status::kAlive) {
      news.status = member_status::kLeaving;
    }
    if (news.status != state.entry.status) {
      Accept(news, kLocal | kRemote, now, commands);
    }
  }
  Flush(now, commands);
  return commands;
}

membership_commands membership::Note(const upstream_entry& upstream,
                                     time_point now) {
  membership_commands commands;
  ReceiveUpstream(upstream, kLocal | kRemote, now, commands);
  Flush(now, commands);
  return commands;
}

membership_commands membership::Announce(member_status status, time_point now) {
  membership_commands commands;
  self_.status = status;
  ++self_.sequence;
  digest_.reset();
  self_unsent_ = kLocal | kRemote;
  news_waiting_ = true;
  // The process may end right after this call, so the news does not wait.
  next_news_ = now;
  Flush(now, commands);
  return commands;
}

membership_commands membership::Tick(time_point now) {
  membership_commands commands;
  if (now - expected_tick_ > options_.pause_threshold) {
    // The silence is this VM's own: heartbeats wait unread in its sockets.
    for (auto& [id, state] : members_) {
      Postpone(state, now);
    }
  }
  if (now >= next_judgement_) {
    JudgeAll(now, commands);
  }
  if (rival_ && now >= rival_->report_at) {
    commands.emplace_back(duplicate_vm{rival_->entry});
    rival_.reset();
  }
  if (now >= next_local_) {
    next_local_ = now + options_.heartbeat_interval;
    BeatLocal(commands);
  }
  if (now >= next_remote_) {
    next_remote_ = now + options_.remote_interval;
    DropForgotten(now);
    BeatRemote(now, commands);
    ProbeDead(commands);
  }
  Flush(now, commands);
  expected_tick_ = NextDeadline();
  return commands;
}

time_point membership::NextDeadline() const {
  const time_point next =
      std::min({next_local_, next_remote_, next_judgement_});
  return news_waiting_ ? std::min(next, next_news_) : next;
}

std::optional<member_entry> membership::Find(entry_vm_id vm) const {
  if (vm == self_.vm) {
    return self_;
  }
  const auto found = members_.find(vm);
  if (found == members_.end()) {
    return std::nullopt;
  }
  member_entry entry = found->second.entry;
  if (found->second.suspected && entry.status == member_status::kAlive) {
    entry.status = member_status::kSuspected;
  }
  return entry;
}

std::vector<entry_vm_id> membership::Live(data_centre_id data_centre) const {
  std::vector<entry_vm_id> live;
  for (const auto& [id, state] : members_) {
    if (state.entry.data_centre == data_centre &&
        state.entry.status == member_status::kAlive) {
      live.push_back(id);
    }
  }
  if (data_centre == self_.data_centre &&
      self_.status == member_status::kAlive) {
    live.insert(std::upper_bound(live.begin(), live.end(), self_.vm), self_.vm);
  }
  return live;
}

std::optional<upstream_entry> membership::Find(worker_id worker) const {
  const auto found = upstreams_.find(worker);
  return found == upstreams_.end() ? std::nullopt
                                   : std::optional(found->second.entry);
}

void membership::Postpone(member_state& state, time_point now) const {
  const int factor = 1 << state.refutations;
  state.suspect_at = now + options_.suspect_after * factor;
  state.dead_at = now + options_.dead_after * factor;
  if (state.contact_deadline) {
    state.contact_deadline = now + options_.contact_timeout;
  }
}

void membership::JudgeAll(time_point now, membership_commands& commands) {
  next_judgement_ = time_point::max();
  for (auto& [id, state] : members_) {
    if (!IsLocal(state.entry) || Ended(state.entry)) {
      continue;
    }
    Judge(state, now, commands);
    if (!Ended(state.entry)) {
      next_judgement_ = std::min(
          next_judgement_, state.suspected ? state.dead_at : state.suspect_at);
    }
  }
}

void membership::Judge(member_state& state,
                       time_point now,
                       membership_commands& commands) {
  if (now >= state.dead_at) {
    member_entry news = state.entry;
    news.status = member_status::kDead;
    Accept(news, kLocal | kRemote, now, commands);
  } else if (now >= state.suspect_at && !state.suspected) {
    state.suspected = true;
    member_entry news = state.entry;
    news.status = member_status::kSuspected;
    commands.emplace_back(member_news{news});
  }
}

void membership::DropForgotten(time_point now) {
  std::erase_if(members_, [now](const auto& entry) {
    const member_state& state = entry.second;
    return Ended(state.entry) && state.drop_at && now >= *state.drop_at;
  });
  std::erase_if(upstreams_, [now](const auto& entry) {
    return now >= entry.second.drop_at;
  });
}

heartbeat membership::Heartbeat() {
  return {self_, configuration_, TableDigest()};
}

void membership::BeatLocal(membership_commands& commands) {
  const heartbeat message = Heartbeat();
  for (const auto& [id, state] : members_) {
    if (IsLocal(state.entry) && !Ended(state.entry)) {
      commands.emplace_back(send_heartbeat{id, state.entry.address, message});
    }
  }
  for (const auto& [id, seed] : seeds_) {
    if (seed.data_centre == self_.data_centre) {
      commands.emplace_back(send_heartbeat{id, seed.address, message});
    }
  }
}

void membership::ProbeDead(membership_commands& commands) {
  // After a partition both sides hold the other one dead; a probe lets each
  // refute that.
  for (const auto& [id, state] : members_) {
    if (IsLocal(state.entry) && state.entry.status == member_status::kDead) {
      commands.emplace_back(
          send_heartbeat{id, state.entry.address, Heartbeat()});
    }
  }
}

void membership::BeatRemote(time_point now, membership_commands& commands) {
  const heartbeat message = Heartbeat();
  for (const data_centre_id other : OtherDataCentres()) {
    for (const entry_vm_id id : Contacts(other, now)) {
      const auto found = members_.find(id);
      if (found == members_.end()) {
        commands.emplace_back(
            send_heartbeat{id, seeds_.at(id).address, message});
        continue;
      }
      member_state& state = found->second;
      if (!state.contact_deadline) {
        state.contact_deadline = now + options_.contact_timeout;
      } else if (now >= *state.contact_deadline) {
        state.contact_deadline.reset();
        state.avoid_until = now + options_.contact_pause;
      }
      commands.emplace_back(send_heartbeat{id, state.entry.address, message});
    }
  }
}

std::vector<data_centre_id> membership::OtherDataCentres() const {
  std::vector<data_centre_id> others;
  for (const auto& [id, state] : members_) {
    others.push_back(state.entry.data_centre);
  }
  for (const auto& [id, seed] : seeds_) {
    others.push_back(seed.data_centre);
  }
  std::sort(others.begin(), others.end());
  others.erase(std::unique(others.begin(), others.end()), others.end());
  std::erase(others, self_.data_centre);
  return others;
}

std::vector<entry_vm_id> membership::Contacts(data_centre_id other,
                                              time_point now) const {
  std::vector<entry_vm_id> usable;
  std::vector<entry_vm_id> all;
  for (const auto& [id, state] : members_) {
    if (state.entry.data_centre == other && !Ended(state.entry)) {
      all.push_back(id);
      if (now >= state.avoid_until) {
        usable.push_back(id);
      }
    }
  }
  if (all.empty()) {
    for (const auto& [id, seed] : seeds_) {
      if (seed.data_centre == other) {
        all.push_back(id);
      }
    }
  }
  std::vector<entry_vm_id> local = Live(self_.data_centre);
  if (local.empty()) {
    local.push_back(self_.vm);
  }
  return ContactsFor(self_.vm, local, self_.data_centre,
                     usable.empty() ? all : usable, other, options_.contacts);
}

}  // namespace skylarkbridge::coordination
