#include <algorithm>

#include "skylarkbridge/coordination/slot_leases.hpp"

namespace skylarkbridge::coordination {

namespace {

std::int64_t Slots(const worker_slots& all) {
  std::int64_t sum = 0;
  for (const auto& [worker, room] : all) {
    sum += room.slots;
  }
  return sum;
}

}  // namespace

slot_lender::slot_lender(slot_lease_options options,
                         const ballot& takeover,
                         time_point exclusive_since)
    : options_(options),
      takeover_(takeover),
      foreign_leases_end_(
          exclusive_since +
          WithRateMargin(options.duration + options.clock.max_command_age,
                         options.clock)) {}

void slot_lender::SetWorker(worker_id worker,
                            const slot_room& room,
                            time_point) {
  workers_[worker] = room;
}

slot_room slot_lender::Lent(worker_id worker) const {
  slot_room sum;
  for (const auto& [holder, entry] : borrowers_) {
    const auto found = entry.lent.find(worker);
    if (found != entry.lent.end()) {
      sum.slots += found->second.slots;
      sum.connections += found->second.connections;
    }
  }
  return sum;
}

slot_room slot_lender::InUse(worker_id worker, time_point now) const {
  const auto found = workers_.find(worker);
  if (now < foreign_leases_end_ && found != workers_.end()) {
    return found->second;
  }
  return Lent(worker);
}

std::int64_t slot_lender::FairShare(const slot_holder_id& holder,
                                    std::int64_t wanted) const {
  // Max-min fairness: holders that want less than an equal part leave the rest
  // to the others.
  std::vector<std::int64_t> others;
  for (const auto& [id, entry] : borrowers_) {
    if (id != holder) {
      others.push_back(entry.wanted);
    }
  }
  std::sort(others.begin(), others.end());
  std::int64_t left = Slots(workers_);
  auto claimants = static_cast<std::int64_t>(others.size()) + 1;
  for (const std::int64_t other : others) {
    if (other * claimants >= left) {
      break;
    }
    left -= other;
    --claimants;
  }
  // Rounded up, so that a remainder is not left idle.
  return std::min(wanted, (left + claimants - 1) / claimants);
}

void slot_lender::Lend(borrower& to, std::int64_t count, time_point now) {
  while (count > 0) {
    // One slot at a time from the worker with the most left, which spreads a
    // holder over the workers.
    worker_id best;
    std::int64_t most = 0;
    for (const auto& [worker, room] : workers_) {
      const std::int64_t free = room.slots - InUse(worker, now).slots;
      if (free > most) {
        best = worker;
        most = free;
      }
    }
    if (most == 0) {
      return;
    }
    const slot_room& room = workers_.at(best);
    const slot_room lent = InUse(best, now);
    slot_room& mine = to.lent[best];
    ++mine.slots;
    mine.connections += (room.connections - lent.connections) / most;
    --count;
  }
}

void slot_lender::AdoptReported(borrower& to,
                                const slot_request& request,
                                time_point now) {
  if (now >= foreign_leases_end_ || request.lender >= takeover_) {
    return;
  }
  for (const auto& [worker, held] : request.held) {
    const auto found = workers_.find(worker);
    if (found == workers_.end()) {
      continue;
    }
    const slot_room lent = Lent(worker);
    if (lent.slots + held.slots <= found->second.slots &&
        lent.connections + held.connections <= found->second.connections) {
      to.lent[worker] = held;
    }
  }
}

std::optional<slot_grant> slot_lender::Request(const slot_request& request,
                                               time_point now) {
  Tick(now);
  const auto [found, added] = borrowers_.try_emplace(request.holder);
  borrower& to = found->second;
  if (!added && request.sequence < to.sequence) {
    return std::nullopt;
  }
  const bool repeated = !added && request.sequence == to.sequence;
  to.sequence = request.sequence;
  if (added) {
    AdoptReported(to, request, now);
  } else if (!repeated) {
    for (auto& [worker, room] : to.lent) {
      const auto kept = request.held.find(worker);
      const slot_room held =
          kept == request.held.end() ? slot_room{} : kept->second;
      room.slots = std::min(room.slots, held.slots);
      room.connections = std::min(room.connections, held.connections);
    }
    std::erase_if(to.lent,
                  [](const auto& item) { return item.second.slots == 0; });
  }
  to.wanted = std::max<std::int64_t>(request.wanted, 0);
  const std::int64_t share = FairShare(request.holder, to.wanted);
  if (!repeated) {
    Lend(to, share - Slots(to.lent), now);
  }
  to.expired_at = std::max(
      to.expired_at,
      now + WithRateMargin(options_.duration + options_.clock.max_command_age,
                           options_.clock));
  return slot_grant{request.holder, takeover_,         request.sequence,
                    request.sent,   options_.duration, to.lent,
                    share};
}

void slot_lender::Tick(time_point now) {
  std::erase_if(borrowers_, [now](const auto& item) {
    return item.second.expired_at <= now;
  });
}

std::optional<time_point> slot_lender::NextDeadline() const {
  std::optional<time_point> next;
  for (const auto& [holder, entry] : borrowers_) {
    next = next ? std::min(*next, entry.expired_at) : entry.expired_at;
  }
  return next;
}

}  // namespace skylarkbridge::coordination
