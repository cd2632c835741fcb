#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_RECLAIM_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_RECLAIM_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <limits>
#include <vector>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

// Maximum number of waiting kinds that one round retries.
inline constexpr std::size_t kMaxRetriedKinds = 64;
// Maximum number of waiting kinds for which one round evicts tasks.
inline constexpr std::size_t kMaxReclaimingKinds = 8;
// Lost work, in processor seconds, that weighs as much as doubling the latency
// of a service.
inline constexpr double kSlowdownCostProcessorSeconds = 100;
// Covers the grace period for a checkpoint and the time to stop a task, after
// which the evicted tasks have left the reserved worker.
inline constexpr std::chrono::seconds kReclaimReservationTimeout{6};

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ReclaimRound(time_point now) {
  next_reclaim_.reset();
  const std::vector<worker_index> reserved = reserved_workers_;
  for (const worker_index worker : reserved) {
    const worker_entry& entry = workers_[worker];
    if (entry.reserved_until <= now ||
        kinds_[entry.reserved_for].waiting.size == 0) {
      ClearReservation(worker);
      RefreshWorker(worker, now);
    }
  }
  // A placement search visits a bounded number of workers, so it may have
  // missed one with enough free resources.
  std::vector<kind_index> waiting;
  for (const queue_key& key : unplaced_kinds_) {
    if (waiting.size() == kMaxRetriedKinds) {
      break;
    }
    waiting.push_back(key.kind);
  }
  for (const kind_index kind : waiting) {
    RefreshKind(kind, true, now);
  }
  Dispatch(now);

  // Without a worker there is nothing to evict or to reserve.
  std::size_t left = workers_.Size() > 0 ? options_.reclaim.per_round : 0;
  std::size_t reclaiming_kinds = 0;
  for (const kind_index kind : waiting) {
    const kind_entry& entry = kinds_[kind];
    if (entry.state != queue_state::kInsufficientResources) {
      continue;
    }
    const auto waited = now - tasks_[entry.waiting.head].queued_at;
    if (options_.reclaim.enforce_shares &&
        waited >= options_.reclaim.reclaim_after &&
        reclaiming_kinds < kMaxReclaimingKinds) {
      ++reclaiming_kinds;
      while (left > 0 && ReclaimFor(kind, now)) {
        --left;
      }
    }
    if (workers_.Size() > 0 && waited >= options_.reclaim.reserve_after &&
        entry.reservations == 0) {
      ReserveForLongWaiting(kind, now);
    }
  }
  if (!unplaced_kinds_.empty() || !reserved_workers_.empty()) {
    next_reclaim_ = now + options_.reclaim.interval;
  }
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::ReclaimFor(kind_index kind, time_point now) {
  const kind_entry& entry = kinds_[kind];
  if (entry.reservations >= static_cast<std::int64_t>(entry.waiting.size)) {
    return false;
  }
  const resources need = LeaseFor(kind, tasks_[entry.waiting.head]);
  resources need_with_reservations = need;
  for (std::int64_t i = 0; i < entry.reservations; ++i) {
    need_with_reservations += need;
  }
  if (kinds_.BlockingReason(kind, need_with_reservations, fleet_capacity_)) {
    return false;
  }
  candidate best;
  std::vector<task_index> victims;
  for (std::size_t i = 0; i < options_.reclaim.candidates; ++i) {
    const auto worker =
        static_cast<worker_index>(Random() % workers_.Positions());
    const auto found = FindVictims(worker, kind, need, now);
    if (!found) {
      continue;
    }
    double cost = kSlowdownCostProcessorSeconds *
                  ExpectedSlowdown(workers_[worker], kind, now);
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
  Reserve(best.worker, kind, need, now + kReclaimReservationTimeout);
  RefreshWorker(best.worker, now);
  return true;
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::MayEvictFor(
    const task_entry& victim,
    kind_index kind,
    const std::vector<task_index>& chosen) const {
  if (victim.kind == kind || !Evictable(victim)) {
    return false;
  }
  const kind_entry& waiting_kind = kinds_[kind];
  const resources need = LeaseFor(kind, tasks_[waiting_kind.waiting.head]);
  const bool entitled = kinds_.BelowMinimum(
      kind, fleet_capacity_, need.millicores * waiting_kind.reservations);
  if (!entitled &&
      kinds_[victim.kind].declared.urgency >= waiting_kind.declared.urgency) {
    return false;
  }
  resources taken = victim.leased;
  for (const task_index other : chosen) {
    if (tasks_[other].kind == victim.kind) {
      taken += tasks_[other].leased;
    }
  }
  return kinds_.KeepsMinimumWithout(victim.kind, taken, fleet_capacity_);
}

template <slowdown_estimator Estimator>
std::optional<std::vector<task_index>> batch_core<Estimator>::FindVictims(
    worker_index worker,
    kind_index kind,
    const resources& need,
    time_point now) const {
  const worker_entry& entry = workers_[worker];
  if (!Eligible(entry, now) || entry.reserved_for != kNone ||
      !Fits(need, entry.state.capacity)) {
    return std::nullopt;
  }
  const kind_entry& waiting_kind = kinds_[kind];
  if (waiting_kind.declared.rack_limit > 0) {
    const auto rack = waiting_kind.per_rack.find(entry.state.rack);
    if (rack != waiting_kind.per_rack.end() &&
        rack->second >= waiting_kind.declared.rack_limit) {
      return std::nullopt;
    }
  }
  resources free_resources = entry.FreeResources();
  double expected_slowdown =
      options_.interference.enabled ? ExpectedSlowdown(entry, kind, now) : 0.0;
  std::vector<task_index> candidates;
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    if (tasks_[task].phase != task_phase::kRunning) {
      free_resources += tasks_[task].leased;
      expected_slowdown -= TaskSlowdown(entry, tasks_[task]);
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
               waiting_kind.declared.urgency;
      });
  const bool ignore_slowdown_limit =
      outranks && now - tasks_[waiting_kind.waiting.head].queued_at >=
                      options_.reclaim.ignore_slowdown_after;
  const double limit = ignore_slowdown_limit
                           ? std::numeric_limits<double>::infinity()
                           : options_.interference.max_placement_slowdown - 1.0;
  std::vector<task_index> chosen;
  for (const task_index task : candidates) {
    if (Fits(need, free_resources) && expected_slowdown <= limit) {
      break;
    }
    if (MayEvictFor(tasks_[task], kind, chosen)) {
      free_resources += tasks_[task].leased;
      expected_slowdown -= TaskSlowdown(entry, tasks_[task]);
      chosen.push_back(task);
    }
  }
  if (!Fits(need, free_resources) || expected_slowdown > limit) {
    return std::nullopt;
  }
  return chosen;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ReserveForLongWaiting(kind_index kind,
                                                  time_point now) {
  const resources need = LeaseFor(kind, tasks_[kinds_[kind].waiting.head]);
  worker_index best = kNone;
  std::int64_t most = 0;
  for (std::size_t i = 0; i < options_.reclaim.candidates; ++i) {
    const auto worker =
        static_cast<worker_index>(Random() % workers_.Positions());
    const worker_entry& entry = workers_[worker];
    if (!Eligible(entry, now) || entry.reserved_for != kNone ||
        !Fits(need, entry.state.capacity) ||
        Fits(need, entry.FreeResources())) {
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
