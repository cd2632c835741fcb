#include <algorithm>
#include <utility>

#include "skylarkbridge/coordination/digest.hpp"
#include "skylarkbridge/coordination/membership.hpp"

namespace skylarkbridge::coordination {
namespace {

std::uint64_t Nanoseconds(wall_time time) {
  return static_cast<std::uint64_t>(time.time_since_epoch().count());
}

std::uint64_t EntryDigest(const member_entry& entry) {
  std::uint64_t hash = Mix(entry.vm.value);
  hash = Mix(hash ^ entry.life.incarnation.value);
  hash = Mix(hash ^ Nanoseconds(entry.life.started_at));
  hash = Mix(hash ^ entry.sequence);
  return Mix(hash ^ static_cast<std::uint64_t>(entry.status));
}

}  // namespace

std::uint64_t membership::TableDigest() {
  if (digest_) {
    return *digest_;
  }
  // A sum does not depend on the order. Members that have ended are left out,
  // as VMs forget them at different times.
  std::uint64_t sum = Ended(self_) ? 0 : EntryDigest(self_);
  for (const auto& [id, state] : members_) {
    if (!Ended(state.entry)) {
      sum += EntryDigest(state.entry);
    }
  }
  for (const auto& [id, state] : upstreams_) {
    if (state.entry.status == upstream_status::kLeaving) {
      sum += Mix(Mix(id.value) ^ Nanoseconds(state.entry.noted_at));
    }
  }
  digest_ = sum;
  return sum;
}

void membership::Accept(const member_entry& news,
                        unsigned scopes,
                        time_point now,
                        membership_commands& commands) {
  const auto found = members_.find(news.vm);
  if (found == members_.end() &&
      (Ended(news) || members_.size() >= options_.max_members)) {
    return;
  }
  member_state& state =
      found == members_.end() ? members_[news.vm] : found->second;
  const bool refuted = state.entry.life == news.life &&
                       state.entry.status == member_status::kDead &&
                       !Ended(news);
  state.refutations =
      refuted ? std::min(state.refutations + 1, options_.max_doublings)
      : state.entry.life == news.life ? state.refutations
                                      : 0;
  state.entry = news;
  state.suspected = false;
  state.changed_at = now;
  state.drop_at.reset();
  if (Ended(news)) {
    state.drop_at = now + options_.forget_after;
  }
  Postpone(state, now);
  next_judgement_ = std::min(next_judgement_, state.suspect_at);
  digest_.reset();
  state.unsent |= scopes;
  news_waiting_ = true;
  seeds_.erase(news.vm);
  commands.emplace_back(member_news{news});
}

void membership::ReceiveMember(const member_entry& news,
                               unsigned scopes,
                               time_point now,
                               membership_commands& commands) {
  const auto found = members_.find(news.vm);
  if (found == members_.end()) {
    Accept(news, scopes, now, commands);
    return;
  }
  const member_state& state = found->second;
  if (!Supersedes(news, state.entry)) {
    return;
  }
  if (news.status == member_status::kDead && news.life == state.entry.life &&
      IsLocal(news) && now < state.heard_until) {
    // This VM still hears the member, so only the link to the reporter is
    // broken. The member learns of the report and refutes it.
    commands.emplace_back(
        send_update{news.vm, state.entry.address, {.members = {news}}});
    return;
  }
  Accept(news, scopes, now, commands);
}

void membership::ReceiveSelf(const member_entry& news, time_point now) {
  if (news.life > self_.life) {
    if (!Ended(news)) {
      // Another process with this id, or an earlier one whose clock was ahead.
      // The latter is declared dead in the meantime.
      if (!rival_) {
        rival_ = rival_process{news, now + options_.dead_after * 2};
      }
      return;
    }
    rival_.reset();
    self_.life.started_at = news.life.started_at + std::chrono::nanoseconds(1);
  } else if (news.life < self_.life || !Ended(news) || Ended(self_) ||
             news.sequence < self_.sequence) {
    return;
  } else {
    self_.sequence = news.sequence + 1;
  }
  digest_.reset();
  self_unsent_ = kLocal | kRemote;
  news_waiting_ = true;
}

void membership::ReceiveUpstream(const upstream_entry& news,
                                 unsigned scopes,
                                 time_point now,
                                 membership_commands& commands) {
  const auto found = upstreams_.find(news.worker);
  if (found == upstreams_.end()
          ? upstreams_.size() >= options_.max_upstreams
          : found->second.entry.noted_at >= news.noted_at) {
    return;
  }
  const bool changed = found == upstreams_.end()
                           ? news.status != upstream_status::kLive
                           : found->second.entry.status != news.status;
  if (!changed) {
    return;
  }
  upstream_state& state = upstreams_[news.worker];
  state.entry = news;
  state.drop_at = news.status == upstream_status::kLeaving
                      ? time_point::max()
                      : now + options_.forget_after;
  digest_.reset();
  state.unsent |= scopes;
  news_waiting_ = true;
  commands.emplace_back(upstream_news{news});
}

void membership::Flush(time_point now, membership_commands& commands) {
  if (!news_waiting_ || now < next_news_) {
    return;
  }
  next_news_ = now + options_.news_interval;
  news_waiting_ = false;
  SendNews(kLocal, now, commands);
  SendNews(kRemote, now, commands);
}

void membership::SendNews(unsigned scope,
                          time_point now,
                          membership_commands& commands) {
  member_update update;
  const auto full = [&] {
    return update.members.size() + update.upstreams.size() >=
           options_.page_entries;
  };
  const auto take = [&](unsigned& unsent, const auto& entry, auto& list) {
    if ((unsent & scope) == 0) {
      return;
    }
    if (full()) {
      news_waiting_ = true;
      return;
    }
    unsent &= ~scope;
    list.push_back(entry);
  };
  take(self_unsent_, self_, update.members);
  for (auto& [id, state] : members_) {
    take(state.unsent, state.entry, update.members);
  }
  for (auto& [id, state] : upstreams_) {
    take(state.unsent, state.entry, update.upstreams);
  }
  if (update.members.empty() && update.upstreams.empty()) {
    return;
  }
  if (scope == kLocal) {
    for (const auto& [id, state] : members_) {
      if (IsLocal(state.entry) && !Ended(state.entry)) {
        commands.emplace_back(send_update{id, state.entry.address, update});
      }
    }
    return;
  }
  for (const data_centre_id other : OtherDataCentres()) {
    for (const entry_vm_id id : Contacts(other, now)) {
      const auto found = members_.find(id);
      if (found != members_.end()) {
        commands.emplace_back(
            send_update{id, found->second.entry.address, update});
      }
    }
  }
}

void membership::Exchange(member_state& peer,
                          std::uint64_t digest,
                          time_point now,
                          membership_commands& commands) {
  if (digest == TableDigest()) {
    peer.differing = 0;
    peer.sent_entries = 0;
    return;
  }
  // One difference is usual while news travels. A new member's first heartbeat
  // finds nothing known, so it gets a page at once.
  const bool newcomer = peer.changed_at == now;
  if (++peer.differing < 2 && !newcomer) {
    return;
  }
  if (now < next_exchange_) {
    return;
  }
  next_exchange_ = now + options_.exchange_interval;
  SendPage(peer, commands);
  peer.sent_entries += options_.page_entries;
}

void membership::SendPage(member_state& peer,
                          membership_commands& commands) const {
  // The latest changes come first, as the difference is most likely there.
  std::vector<const member_state*> order;
  order.reserve(members_.size());
  for (const auto& [id, state] : members_) {
    order.push_back(&state);
  }
  std::stable_sort(order.begin(), order.end(),
                   [](const member_state* a, const member_state* b) {
                     return a->changed_at > b->changed_at;
                   });
  const std::size_t total = order.size() + upstreams_.size();
  const std::size_t begin = total == 0 ? 0 : peer.sent_entries % total;
  member_update update{.members = {self_}};
  auto upstream = upstreams_.begin();
  if (begin > order.size()) {
    std::advance(upstream, begin - order.size());
  }
  for (std::size_t i = begin;
       i < std::min(total, begin + options_.page_entries); ++i) {
    if (i < order.size()) {
      update.members.push_back(order[i]->entry);
    } else {
      update.upstreams.push_back((upstream++)->second.entry);
    }
  }
  commands.emplace_back(
      send_update{peer.entry.vm, peer.entry.address, std::move(update)});
}

}  // namespace skylarkbridge::coordination
