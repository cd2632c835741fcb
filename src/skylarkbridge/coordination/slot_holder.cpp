#include <algorithm>

#include "skylarkbridge/coordination/slot_leases.hpp"

namespace skylarkbridge::coordination {

slot_holder::slot_holder(slot_lease_options options, slot_holder_id self)
    : options_(options), self_(self) {}

slot_request slot_holder::MakeRequest(std::int64_t wanted, time_point now) {
  if (options_.check_deadline && now >= deadline_) {
    held_.clear();
  }
  std::int64_t total = 0;
  for (const auto& [worker, room] : held_) {
    total += room.slots;
  }
  const std::int64_t target = std::min(wanted, keep_);
  for (auto& [worker, room] : held_) {
    const std::int64_t idle = room.slots - used_[worker];
    const std::int64_t give = std::clamp<std::int64_t>(
        total - target, 0, std::max<std::int64_t>(idle, 0));
    if (give > 0) {
      // The connections of a slot go back with it.
      room.connections -= room.connections * give / room.slots;
      room.slots -= give;
      total -= give;
    }
  }
  answered_ = false;
  return {self_, ++sequence_, now, lender_, held_, wanted};
}

void slot_holder::Apply(const slot_grant& grant, time_point now) {
  if (grant.holder != self_ || grant.lender < lender_ ||
      grant.sequence != sequence_ || answered_) {
    return;
  }
  answered_ = true;
  if (grant.lender != lender_ && !held_.empty() && now >= deadline_) {
    // The earlier lender may have lent the reported slots to another holder
    // before the new one took over.
    held_.clear();
    return;
  }
  lender_ = grant.lender;
  keep_ = grant.keep;
  held_ = grant.lent;
  deadline_ = HolderDeadline(grant.sent, grant.duration, options_.clock);
}

std::int64_t slot_holder::Held(worker_id worker) const {
  const auto found = held_.find(worker);
  return found == held_.end() ? 0 : found->second.slots;
}

std::int64_t slot_holder::Free(worker_id worker, time_point now) const {
  const auto held = held_.find(worker);
  if (held == held_.end() || (options_.check_deadline && now >= deadline_)) {
    return 0;
  }
  const auto used = used_.find(worker);
  const std::int64_t in_use = used == used_.end() ? 0 : used->second;
  return std::min(held->second.slots, held->second.connections) - in_use;
}

bool slot_holder::Use(worker_id worker, time_point ends_by, time_point now) {
  if (Free(worker, now) <= 0 || now >= ends_by ||
      (options_.check_deadline && ends_by > deadline_)) {
    return false;
  }
  ++used_[worker];
  return true;
}

void slot_holder::Release(worker_id worker) {
  const auto used = used_.find(worker);
  if (used != used_.end() && --used->second == 0) {
    used_.erase(used);
  }
}

}  // namespace skylarkbridge::coordination
