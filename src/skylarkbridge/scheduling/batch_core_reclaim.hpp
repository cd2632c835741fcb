#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_RECLAIM_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_RECLAIM_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>
#include <vector>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

// Kinds that one round tries again, and those it takes room back for.
inline constexpr std::size_t kMostRetries = 64;
inline constexpr std::size_t kMostClaims = 8;
// Processor seconds of lost work that weigh as much as doubling the latency of
// a service.
inline constexpr double kHarmCost = 100;
// A reserved worker frees its room after at most the grace for checkpoints and
// the time of one stop.
inline constexpr std::chrono::seconds kReclaimReservation{6};

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ReclaimRound(time_point now) {
  next_round_.reset();
  const std::vector<worker_index> reserved = reserved_;
  for (const worker_index worker : reserved) {
    const worker_entry& entry = workers_[worker];
    if (entry.reserved_until <= now ||
        kinds_[entry.reserved_for].waiting.size == 0) {
      ClearReservation(worker);
      RefreshWorker(worker, now);
    }
  }
  // One search looks at a bounded number of workers, so a kind may have missed
  // the worker with room.
  std::vector<kind_index> waiting;
  for (const queue_key& key : no_room_) {
    if (waiting.size() == kMostRetries) {
      break;
    }
    waiting.push_back(key.kind);
  }
  for (const kind_index kind : waiting) {
    RefreshKind(kind, true, now);
  }
  Dispatch(now);

  // Without a worker there is nothing to take back or to reserve.
  std::size_t left = workers_.Size() > 0 ? options_.reclaim.per_round : 0;
  std::size_t claims = 0;
  for (const kind_index kind : waiting) {
    const kind_entry& entry = kinds_[kind];
    if (entry.state != queue_state::kInsufficientResources) {
      continue;
    }
    const auto waited = now - tasks_[entry.waiting.head].queued_at;
    if (options_.reclaim.enforce_shares && waited >= options_.reclaim.reclaim_after &&
        claims < kMostClaims) {
      ++claims;
      while (left > 0 && ReclaimFor(kind, now)) {
        --left;
      }
    }
    if (workers_.Size() > 0 && waited >= options_.reclaim.reserve_after &&
        entry.reservations == 0) {
      ReserveForAged(kind, now);
    }
  }
  if (!no_room_.empty() || !reserved_.empty()) {
    next_round_ = now + options_.reclaim.interval;
  }
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::ReclaimFor(kind_index kind, time_point now) {
  const kind_entry& entry = kinds_[kind];
  if (entry.reservations >= static_cast<std::int64_t>(entry.waiting.size)) {
    return false;
  }
  const resources need = LeaseFor(kind, tasks_[entry.waiting.head]);
  resources promised = need;
  for (std::int64_t i = 0; i < entry.reservations; ++i) {
    promised += need;
  }
  if (kinds_.BlockingReason(kind, promised, fleet_)) {
    return false;
  }
  candidate best;
  std::vector<task_index> victims;
  for (std::size_t i = 0; i < options_.reclaim.candidates; ++i) {
    const auto worker =
        static_cast<worker_index>(Random() % workers_.Positions());
    const auto found = VictimsOn(worker, kind, need, now);
    if (!found) {
      continue;
    }
    double cost = kHarmCost * ExpectedHarm(workers_[worker], kind, now);
    for (const task_index victim : *found) {
      cost += LostWork(tasks_[victim], now);
    }
    if (best.worker == kNone || cost < best.cost) {
      best = {.worker = worker, .cost = cost};
      victims = *found;
    }
  }
  if (best.worker == kNone) {
    return false;
  }
  for (const task_index victim : victims) {
    Evict(victim, eviction_cause::kShare, now);
  }
  Reserve(best.worker, kind, need, now + kReclaimReservation);
  RefreshWorker(best.worker, now);
  return true;
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::MayTakeFrom(
    const task_entry& victim,
    kind_index kind,
    const std::vector<task_index>& chosen) const {
  if (victim.kind == kind || !Evictable(victim)) {
    return false;
  }
  const kind_entry& claimant = kinds_[kind];
  const resources need = LeaseFor(kind, tasks_[claimant.waiting.head]);
  const bool entitled = kinds_.BelowMinimum(
      kind, fleet_, need.millicores * claimant.reservations);
  if (!entitled &&
      kinds_[victim.kind].declared.urgency >= claimant.declared.urgency) {
    return false;
  }
  resources taken = victim.leased;
  for (const task_index other : chosen) {
    if (tasks_[other].kind == victim.kind) {
      taken += tasks_[other].leased;
    }
  }
  return kinds_.KeepsMinimumWithout(victim.kind, taken, fleet_);
}

template <slowdown_estimator Estimator>
std::optional<std::vector<task_index>> batch_core<Estimator>::VictimsOn(
    worker_index worker,
    kind_index kind,
    const resources& need,
    time_point now) const {
  const worker_entry& entry = workers_[worker];
  if (!Eligible(entry, now) || entry.reserved_for != kNone ||
      !Fits(need, entry.state.capacity)) {
    return std::nullopt;
  }
  const kind_entry& claimant = kinds_[kind];
  if (claimant.declared.rack_limit > 0) {
    const auto rack = claimant.per_rack.find(entry.state.rack);
    if (rack != claimant.per_rack.end() &&
        rack->second >= claimant.declared.rack_limit) {
      return std::nullopt;
    }
  }
  resources room = entry.FreeResources();
  double harm =
      options_.interference.enabled ? ExpectedHarm(entry, kind, now) : 0.0;
  std::vector<task_index> candidates;
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    if (tasks_[task].phase != task_phase::kRunning) {
      room += tasks_[task].leased;
      harm -= TaskHarm(entry, tasks_[task]);
    } else {
      candidates.push_back(task);
    }
  }
  std::sort(candidates.begin(), candidates.end(),
            [&](task_index a, task_index b) {
              const auto urgency_a = kinds_[tasks_[a].kind].declared.urgency;
              const auto urgency_b = kinds_[tasks_[b].kind].declared.urgency;
              return urgency_a != urgency_b
                         ? urgency_a < urgency_b
                         : LostWork(tasks_[a], now) < LostWork(tasks_[b], now);
            });
  const bool outranks =
      std::any_of(candidates.begin(), candidates.end(), [&](task_index task) {
        return kinds_[tasks_[task].kind].declared.urgency <
               claimant.declared.urgency;
      });
  const bool despite_harm =
      outranks && now - tasks_[claimant.waiting.head].queued_at >=
                      options_.reclaim.ignore_slowdown_after;
  const double limit = despite_harm ? std::numeric_limits<double>::infinity()
                                    : options_.interference.max_placement_slowdown - 1.0;
  std::vector<task_index> chosen;
  for (const task_index task : candidates) {
    if (Fits(need, room) && harm <= limit) {
      break;
    }
    if (MayTakeFrom(tasks_[task], kind, chosen)) {
      room += tasks_[task].leased;
      harm -= TaskHarm(entry, tasks_[task]);
      chosen.push_back(task);
    }
  }
  if (!Fits(need, room) || harm > limit) {
    return std::nullopt;
  }
  return chosen;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ReserveForAged(kind_index kind, time_point now) {
  const resources need = LeaseFor(kind, tasks_[kinds_[kind].waiting.head]);
  worker_index best = kNone;
  std::int64_t most = 0;
  for (std::size_t i = 0; i < options_.reclaim.candidates; ++i) {
    const auto worker =
        static_cast<worker_index>(Random() % workers_.Positions());
    const worker_entry& entry = workers_[worker];
    if (!Eligible(entry, now) || entry.reserved_for != kNone ||
        !Fits(need, entry.state.capacity) || Fits(need, entry.FreeResources())) {
      continue;
    }
    if (best == kNone || entry.FreeResources().millicores > most) {
      best = worker;
      most = entry.FreeResources().millicores;
    }
  }
  if (best != kNone) {
    Reserve(best, kind, need, now + options_.reclaim.reservation);
    RefreshWorker(best, now);
  }
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_RECLAIM_HPP
