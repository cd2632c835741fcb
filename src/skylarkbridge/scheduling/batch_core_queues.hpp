#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_QUEUES_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_QUEUES_HPP

#include <algorithm>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

template <slowdown_estimator Estimator>
resources batch_core<Estimator>::LeaseFor(kind_index kind,
                                          const task_entry& task) const {
  const kind_entry& entry = kinds_[kind];
  const resources& declared = entry.usage.Declared();
  resources lease = entry.usage.Lease(options_.usage);
  const resources largest = capacities_.Largest();
  if (!entry.usage.Learnt(options_.usage)) {
    // Before usage is learnt, the safety margin may raise a lease to at most
    // half of the largest worker.
    lease.millicores =
        std::max(declared.millicores,
                 std::min(lease.millicores, largest.millicores / 2));
    lease.memory_mib =
        std::max(declared.memory_mib,
                 std::min(lease.memory_mib, largest.memory_mib / 2));
  }
  lease.millicores = std::max(lease.millicores, task.min_lease.millicores);
  lease.memory_mib = std::max(lease.memory_mib, task.min_lease.memory_mib);

  const team_entry& team = kinds_.Team(kind);
  const auto limit = [](std::int64_t value, std::int64_t most) {
    return most > 0 ? std::min(value, most) : value;
  };
  lease.millicores = limit(lease.millicores, team.declared.quota.millicores);
  lease.memory_mib = limit(lease.memory_mib, team.declared.quota.memory_mib);
  const std::int64_t cap = std::min(entry.declared.claim.cap_permille,
                                    team.declared.claim.cap_permille);
  if (options_.reclaim.enforce_shares && cap < 1000) {
    lease.millicores = std::max(
        std::min(lease.millicores, fleet_capacity_.millicores * cap / 1000),
        std::min(lease.millicores, declared.millicores));
  }
  if (capacities_.NextFrom(0, lease) == resource_index::kNotFound) {
    lease.millicores = std::min(lease.millicores, largest.millicores);
    lease.memory_mib = std::min(lease.memory_mib, largest.memory_mib);
    if (capacities_.NextFrom(0, lease) == resource_index::kNotFound) {
      return declared;
    }
  }
  return lease;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RefreshKind(kind_index kind,
                                        bool retry,
                                        time_point now) {
  kind_entry& entry = kinds_[kind];
  queue_state state = queue_state::kEmpty;
  queue_key key{.kind = kind};
  if (entry.waiting.head != kNone) {
    const task_entry& head = tasks_[entry.waiting.head];
    key.sequence = head.sequence;
    state = !retry && entry.state == queue_state::kInsufficientResources
                ? queue_state::kInsufficientResources
                : queue_state::kReady;
    if (options_.reclaim.enforce_shares) {
      key.below_minimum = kinds_.BelowMinimum(kind, fleet_capacity_);
      key.urgency = entry.declared.urgency;
      if (const auto reason = kinds_.BlockingReason(kind, LeaseFor(kind, head),
                                                    fleet_capacity_)) {
        state = queue_state::kHeld;
        entry.held_reason = *reason;
      }
    }
    if (const auto until = entry.failures.HeldUntil();
        until && (now < *until || entry.trials > 0)) {
      state = queue_state::kHeld;
      entry.held_reason = waiting_reason::kFailureBackoff;
    }
  }
  if (state == entry.state && key == entry.key) {
    return;
  }
  if (entry.state == queue_state::kReady) {
    ready_kinds_.erase(entry.key);
  } else if (entry.state == queue_state::kInsufficientResources) {
    unplaced_kinds_.erase(entry.key);
  }
  entry.state = state;
  entry.key = key;
  if (state == queue_state::kReady) {
    ready_kinds_.insert(key);
  } else if (state == queue_state::kInsufficientResources) {
    unplaced_kinds_.insert(key);
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RefreshTeam(kind_index kind, time_point now) {
  for (const kind_index other : kinds_.Team(kind).kinds) {
    if (kinds_[other].waiting.head != kNone || other == kind) {
      RefreshKind(other, false, now);
    }
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RefreshAllKinds(time_point now) {
  for (kind_index kind = 0; kind < kinds_.Size(); ++kind) {
    RefreshKind(kind, true, now);
  }
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::Eligible(const worker_entry& worker,
                                     time_point now) const {
  return worker.used && worker.state.status == worker_status::kLive &&
         worker.state.lease_deadline > now && worker.not_before <= now &&
         !worker.failures.Quarantined(now) &&
         !(worker.failures.OnProbation() && worker.tasks.size > 0);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RefreshWorker(worker_index worker, time_point now) {
  worker_entry& entry = workers_[worker];
  if (!Eligible(entry, now)) {
    free_resources_.Clear(worker);
    return;
  }
  free_resources_.Set(worker, entry.FreeResources() - entry.reserved);
  if (!entry.freed) {
    entry.freed = true;
    freed_workers_.push_back(worker);
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Reserve(worker_index worker,
                                    kind_index kind,
                                    const resources& need,
                                    time_point until) {
  worker_entry& entry = workers_[worker];
  entry.reserved = need;
  entry.reserved_for = kind;
  entry.reserved_until = until;
  ++kinds_[kind].reservations;
  reserved_workers_.push_back(worker);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ClearReservation(worker_index worker) {
  worker_entry& entry = workers_[worker];
  if (entry.reserved_for == kNone) {
    return;
  }
  --kinds_[entry.reserved_for].reservations;
  entry.reserved_for = kNone;
  entry.reserved = {};
  std::erase(reserved_workers_, worker);
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_QUEUES_HPP
