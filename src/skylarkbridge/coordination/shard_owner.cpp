#include "skylarkbridge/coordination/shard_owner.hpp"

#include <algorithm>
#include <functional>
#include <utility>
#include <vector>

#include "skylarkbridge/coordination/shard_map.hpp"

namespace skylarkbridge::coordination {

shard_owner::shard_owner(shard_owner_options options)
    : options_(options), ballots_(options.vm, options.incarnation) {}

bool shard_owner::Active() const {
  return state_ == ownership::kTakingOver || state_ == ownership::kOwner;
}

owner_commands shard_owner::SetWorkers(std::span<const worker_id> workers,
                                       time_point now) {
  wanted_ = {workers.begin(), workers.end()};
  return Advance(now, {});
}

owner_commands shard_owner::SetExpected(bool expected, time_point now) {
  expected_ = expected;
  owner_commands out;
  if (!expected && state_ == ownership::kTakingOver && !majority_fenced_at_) {
    StepDown(step_down_reason::kNotExpected, now, out);
  }
  return Advance(now, std::move(out));
}

owner_commands shard_owner::Leave(time_point now) {
  owner_commands out;
  leaving_ = true;
  if (Active()) {
    StepDown(step_down_reason::kLeaving, now, out);
  }
  return out;
}

owner_commands shard_owner::Tick(time_point now) {
  return Advance(now, {});
}

owner_commands shard_owner::Refused(const ballot& higher, time_point now) {
  owner_commands out;
  ballots_.Observe(higher);
  if (Active()) {
    StepDown(step_down_reason::kHigherBallot, now, out);
  }
  return out;
}

owner_commands shard_owner::Fenced(const fence_reply& reply, time_point now) {
  owner_commands out;
  ballots_.Observe(reply.obeyed);
  const auto found = workers_.find(reply.inventory.worker);
  if (!Active() || !CheckAuthority(now, out) || found == workers_.end() ||
      reply.fence != found->second.lease ||
      found->second.phase == worker_phase::kHeld) {
    return Advance(now, std::move(out));
  }
  const bool displaced_other =
      reply.displaced > takeover_ &&
      (reply.displaced.vm != options_.vm ||
       reply.displaced.incarnation != options_.incarnation);
  if (reply.obeyed > reply.fence || displaced_other) {
    // A displaced ballot above the takeover's belongs to a later owner, which
    // this fence must not undo.
    StepDown(step_down_reason::kHigherBallot, now, out);
    return out;
  }
  if (reply.up_for < LongestForeignLease(options_.lease)) {
    // A restarted worker has forgotten ballots. It counts and is used only when
    // no owner that it had refused before can still act.
    return Advance(now, std::move(out));
  }
  worker_entry& entry = found->second;
  entry.phase = worker_phase::kHeld;
  entry.acknowledged = reply.sent;
  entry.granted = false;
  entry.up_for = reply.up_for;
  entry.clock_read_at = now;
  entry.worker_set = reply.worker_set;
  entry.inventory = reply.inventory;
  // What the worker runs may still hold a lease of an earlier owner.
  entry.expired_at =
      std::max(entry.expired_at, now + LongestForeignLease(options_.lease));
  // The first renewal starts the lease; until then nothing may be started.
  entry.deadline = reply.sent;
  entry.next_send = now;
  if (state_ == ownership::kOwner) {
    out.emplace_back(worker_joined{entry.inventory});
  }
  return Advance(now, std::move(out));
}

owner_commands shard_owner::Renewed(const renew_reply& reply, time_point now) {
  owner_commands out;
  ballots_.Observe(reply.obeyed);
  const auto found = workers_.find(reply.worker);
  if (!Active() || !CheckAuthority(now, out) || found == workers_.end() ||
      reply.lease != found->second.lease) {
    return Advance(now, std::move(out));
  }
  worker_entry& entry = found->second;
  if (reply.obeyed > reply.lease) {
    StepDown(step_down_reason::kHigherBallot, now, out);
    return out;
  }
  if (entry.phase != worker_phase::kHeld) {
    return Advance(now, std::move(out));
  }
  if (reply.obeyed < reply.lease) {
    // The worker restarted and forgot the fence.
    entry.deadline = now;
    entry.acknowledged.reset();
    return Advance(now, std::move(out));
  }
  ReadClock(entry, reply.up_for, now);
  if (reply.accepted) {
    entry.acknowledged = std::max(*entry.acknowledged, reply.sent);
    entry.deadline =
        std::max(entry.deadline,
                 HolderDeadline(reply.sent, reply.granted, options_.lease));
    entry.worker_set = reply.worker_set;
  } else {
    // Refused as too old; the reply has brought a fresh clock value.
    entry.next_send = now;
  }
  return Advance(now, std::move(out));
}

std::optional<shard_owner::permission> shard_owner::MayCommand(
    worker_id worker,
    time_point now) const {
  const auto found = workers_.find(worker);
  const std::optional<time_point> authority = AuthorityDeadline();
  if (state_ != ownership::kOwner || found == workers_.end() ||
      found->second.phase != worker_phase::kHeld || found->second.pending ||
      !authority) {
    return std::nullopt;
  }
  const time_point deadline = std::min(found->second.deadline, *authority);
  if (now >= deadline) {
    return std::nullopt;
  }
  return permission{found->second.lease, ClockOf(found->second, now), deadline};
}

bool shard_owner::Holds(time_point now) const {
  const std::optional<time_point> authority = AuthorityDeadline();
  return state_ == ownership::kOwner && authority && now < *authority;
}

std::optional<time_point> shard_owner::AuthorityDeadline() const {
  std::vector<time_point> sent;
  for (const auto& [worker, entry] : workers_) {
    if (entry.acknowledged) {
      sent.push_back(*entry.acknowledged);
    }
  }
  if (workers_.empty() || sent.size() < Majority()) {
    return std::nullopt;
  }
  const auto nth = sent.begin() + static_cast<std::ptrdiff_t>(Majority() - 1);
  std::nth_element(sent.begin(), nth, sent.end(), std::greater<>());
  return HolderDeadline(*nth, options_.lease.duration, options_.lease);
}

void shard_owner::StartTakeover(time_point now) {
  state_ = ownership::kTakingOver;
  takeover_ = ballots_.Next();
  majority_fenced_at_.reset();
  workers_.clear();
  for (const worker_id worker : wanted_) {
    workers_[worker] = {.lease = takeover_, .next_send = now};
  }
  UpdateWorkerSet();
}

void shard_owner::StepDown(step_down_reason reason,
                           time_point now,
                           owner_commands& out) {
  state_ = reason == step_down_reason::kHigherBallot ||
                   reason == step_down_reason::kNoQuorum
               ? ownership::kLost
               : ownership::kNotOwner;
  // The shift by VM keeps two claimants from refusing each other for ever.
  retry_at_ =
      now + options_.retry_interval +
      std::chrono::milliseconds(Mix(options_.vm.value ^ takeover_.round) % 200);
  workers_.clear();
  out.emplace_back(step_down{reason});
}

bool shard_owner::CheckAuthority(time_point now, owner_commands& out) {
  if (!majority_fenced_at_) {
    return true;
  }
  const std::optional<time_point> deadline = AuthorityDeadline();
  if (deadline && now < *deadline) {
    return true;
  }
  StepDown(step_down_reason::kNoQuorum, now, out);
  return false;
}

std::chrono::nanoseconds shard_owner::ClockOf(const worker_entry& entry,
                                              time_point now) const {
  // A lower bound: an estimate ahead of the worker's clock would let a delayed
  // command pass as fresh.
  const std::chrono::nanoseconds passed = now - entry.clock_read_at;
  return entry.up_for + passed -
         passed * options_.lease.rate_difference_permille / 1000;
}

void shard_owner::ReadClock(worker_entry& entry,
                            std::chrono::nanoseconds up_for,
                            time_point now) const {
  if (up_for > ClockOf(entry, now)) {
    entry.up_for = up_for;
    entry.clock_read_at = now;
  }
}

time_point shard_owner::RenewalDue(worker_id worker,
                                   worker_entry& entry,
                                   time_point now) {
  const std::uint64_t jitter =
      Mix(Mix(worker.value ^ options_.vm.value) + ++entry.renewals) % 101;
  return now + options_.renewal_interval -
         options_.renewal_interval * jitter / 1000;
}

void shard_owner::SendDue(time_point now, owner_commands& out) {
  const std::optional<time_point> authority = AuthorityDeadline();
  for (auto& [worker, entry] : workers_) {
    if (entry.next_send > now) {
      continue;
    }
    if (entry.phase != worker_phase::kHeld) {
      out.emplace_back(fence_worker{worker, entry.lease, now});
      entry.next_send = now + (entry.phase == worker_phase::kExpired
                                   ? options_.renewal_interval
                                   : options_.fence_interval);
    } else if (authority && now < *authority) {
      // A lease never outlasts the majority's acknowledgement, because the
      // successor counts from the moment at which it has fenced a majority.
      const std::chrono::nanoseconds granted =
          std::min<std::chrono::nanoseconds>(options_.lease.duration,
                                             *authority - now);
      entry.expired_at = std::max(entry.expired_at,
                                  SurelyExpired(now, granted, options_.lease));
      // The set of the last owner must stay readable until its leases have
      // expired, also for a successor that interrupts this takeover.
      out.emplace_back(
          renew_lease{worker, entry.lease, now, granted, ClockOf(entry, now),
                      state_ == ownership::kOwner ? worker_set_ : 0});
      entry.granted = true;
      entry.next_send = RenewalDue(worker, entry, now);
    } else {
      // Waits for a majority; a due time in the past would make callers spin.
      entry.next_send = now + options_.fence_interval;
    }
  }
}

void shard_owner::ExpireWorkers(time_point now, owner_commands& out) {
  if (state_ != ownership::kOwner) {
    return;
  }
  for (auto& [worker, entry] : workers_) {
    if (entry.phase == worker_phase::kHeld && entry.granted &&
        now >= entry.deadline && now >= entry.next_send) {
      // A new ballot makes the worker refuse commands that are still on their
      // way, so that its next inventory is final.
      entry.phase = worker_phase::kUnreachable;
      entry.lease = ballots_.Next();
      entry.next_send = now;
      out.emplace_back(worker_unreachable{worker});
    }
    if (entry.phase == worker_phase::kUnreachable && now >= entry.expired_at) {
      entry.phase = worker_phase::kExpired;
      out.emplace_back(worker_expired{worker});
    }
  }
}

void shard_owner::FinishTakeover(time_point now, owner_commands& out) {
  if (state_ != ownership::kTakingOver) {
    return;
  }
  const auto held = [](const auto& item) {
    return item.second.phase == worker_phase::kHeld;
  };
  const auto fenced = static_cast<std::size_t>(
      std::count_if(workers_.begin(), workers_.end(), held));
  if (workers_.empty() || fenced < Majority()) {
    return;
  }
  if (!majority_fenced_at_) {
    majority_fenced_at_ = now;
    for (auto& [worker, entry] : workers_) {
      entry.next_send =
          entry.phase == worker_phase::kHeld ? now : entry.next_send;
    }
  }
  // The earlier owner may know workers that this VM does not. Equal worker sets
  // at the fenced workers show that it does not.
  std::size_t same_set = 0;
  bool other_set = false;
  for (const auto& [worker, entry] : workers_) {
    if (entry.phase == worker_phase::kHeld) {
      same_set += entry.worker_set == worker_set_ ? 1 : 0;
      other_set |= entry.worker_set != 0 && entry.worker_set != worker_set_;
    }
  }
  const bool complete =
      fenced == workers_.size() && same_set >= Majority() && !other_set;
  const time_point expired =
      *majority_fenced_at_ + LongestForeignLease(options_.lease);
  if (!complete && now < expired && options_.test.wait_for_leases) {
    return;
  }
  state_ = ownership::kOwner;
  ready done{.takeover = takeover_, .exclusive_since = now};
  for (auto& [worker, entry] : workers_) {
    if (entry.phase == worker_phase::kHeld) {
      if (!complete) {
        // Sends the worker set at once.
        entry.next_send = now;
      }
      done.inventories.push_back(entry.inventory);
    } else {
      entry.phase = worker_phase::kExpired;
      entry.lease = ballots_.Next();
    }
  }
  out.emplace_back(std::move(done));
}

void shard_owner::UpdateWorkerSet() {
  worker_set_ = Mix(workers_.size());
  for (const auto& [worker, entry] : workers_) {
    worker_set_ = Mix(worker_set_ ^ Mix(worker.value));
  }
}

bool shard_owner::WorkerSetKnown() const {
  return static_cast<std::size_t>(std::count_if(
             workers_.begin(), workers_.end(), [this](const auto& item) {
               return item.second.phase == worker_phase::kHeld &&
                      item.second.worker_set == worker_set_;
             })) >= Majority();
}

void shard_owner::ConfirmWorkerSet() {
  if (state_ == ownership::kOwner && WorkerSetKnown()) {
    for (auto& [worker, entry] : workers_) {
      entry.pending = false;
    }
  }
}

void shard_owner::ApplyWorkerChange(time_point now) {
  if (state_ != ownership::kOwner || !WorkerSetKnown()) {
    return;
  }
  for (auto& [worker, entry] : workers_) {
    if (!wanted_.contains(worker) && entry.phase == worker_phase::kExpired) {
      workers_.erase(worker);
      UpdateWorkerSet();
      return;
    }
  }
  for (const worker_id worker : wanted_) {
    if (!workers_.contains(worker)) {
      workers_[worker] = {.phase = worker_phase::kExpired,
                          .lease = ballots_.Next(),
                          .next_send = now};
      UpdateWorkerSet();
      return;
    }
  }
}

owner_commands shard_owner::Advance(time_point now, owner_commands out) {
  if (Active()) {
    CheckAuthority(now, out);
  }
  if (!Active() && expected_ && !leaving_ && now >= retry_at_ &&
      !wanted_.empty()) {
    StartTakeover(now);
  }
  if (Active()) {
    FinishTakeover(now, out);
    ExpireWorkers(now, out);
    ConfirmWorkerSet();
    ApplyWorkerChange(now);
    SendDue(now, out);
  }
  return out;
}

std::optional<time_point> shard_owner::NextDeadline() const {
  std::optional<time_point> next;
  const auto consider = [&next](time_point at) {
    next = next ? std::min(*next, at) : at;
  };
  if (!Active()) {
    if (expected_ && !leaving_ && !wanted_.empty()) {
      consider(retry_at_);
    }
    return next;
  }
  for (const auto& [worker, entry] : workers_) {
    consider(entry.next_send);
    if (entry.phase == worker_phase::kUnreachable) {
      consider(entry.expired_at);
    }
  }
  if (const auto authority = AuthorityDeadline();
      authority && majority_fenced_at_) {
    consider(*authority);
  }
  if (state_ == ownership::kTakingOver && majority_fenced_at_) {
    consider(*majority_fenced_at_ + LongestForeignLease(options_.lease));
  }
  return next;
}

}  // namespace skylarkbridge::coordination
