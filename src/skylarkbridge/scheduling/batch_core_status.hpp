#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_STATUS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_STATUS_HPP

#include <string>
#include <vector>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

template <slowdown_estimator Estimator>
std::optional<waiting_status> batch_core<Estimator>::WaitingStatus(
    task_id id) const {
  const task_index task = tasks_.Find(id);
  if (task == kNone || tasks_[task].phase != task_phase::kWaiting) {
    return std::nullopt;
  }
  const task_entry& entry = tasks_[task];
  const kind_entry& kind = kinds_[entry.kind];
  const std::string name = "kind " + kind.declared.name;
  waiting_status status{.since = entry.queued_at,
                        .attempts = entry.attempt,
                        .failed_attempts = entry.failures};
  if (workers_.Size() == 0) {
    status.reason = waiting_reason::kNoWorkers;
    status.detail = "no worker is known";
  } else if (kind.state == queue_state::kHeld) {
    status.reason = kind.held_reason;
    switch (kind.held_reason) {
      case waiting_reason::kFailureBackoff:
        status.detail = name + " is held back after failures on " +
                        std::to_string(kind.failures.FailedWorkers().size()) +
                        " workers";
        break;
      case waiting_reason::kTeamQuota:
        status.detail = "team " + kind.declared.team + " holds its quota";
        break;
      default:
        status.detail = name + " or its team holds its cap of the fleet";
        break;
    }
  } else if (kind.waiting.head != task) {
    status.reason = waiting_reason::kBehindInQueue;
    status.detail = std::to_string(kind.waiting.size) + " tasks of " + name +
                    " wait, and others are first";
  } else {
    const resources need = LeaseFor(entry.kind, entry);
    status.reason = waiting_reason::kNoRoom;
    status.detail =
        free_resources_.Size() > 0 &&
                free_resources_.NextFrom(0, need) != resource_index::kNotFound
            ? "the expected harm to services is too high on the "
              "workers with room for " +
                  name
            : "no worker has room for " + name;
  }
  return status;
}

template <slowdown_estimator Estimator>
std::optional<worker_allocation> batch_core<Estimator>::Allocation(
    worker_id id) const {
  const worker_index worker = workers_.Find(id);
  if (worker == kNone) {
    return std::nullopt;
  }
  const worker_entry& entry = workers_[worker];
  worker_allocation allocation{.state = entry.state,
                               .leased = entry.leased,
                               .reserved = entry.reserved,
                               .probation = entry.failures.OnProbation(),
                               .slowdown = entry.interference.slowdown};
  if (entry.failures.OnProbation()) {
    allocation.quarantined_until = entry.failures.QuarantinedUntil();
  }
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    const task_entry& held = tasks_[task];
    allocation.tasks.push_back({.task = held.id,
                                .kind = kinds_[held.kind].declared.name,
                                .attempt = held.attempt,
                                .leased = held.leased,
                                .processor_permille = held.processor_permille,
                                .ending = held.phase != task_phase::kRunning});
  }
  return allocation;
}

template <slowdown_estimator Estimator>
std::vector<worker_id> batch_core<Estimator>::Workers() const {
  std::vector<worker_id> known;
  for (worker_index worker = 0; worker < workers_.Positions(); ++worker) {
    if (workers_[worker].used) {
      known.push_back(workers_[worker].state.worker);
    }
  }
  return known;
}

template <slowdown_estimator Estimator>
std::vector<kind_status> batch_core<Estimator>::Kinds() const {
  std::vector<kind_status> statuses;
  for (kind_index kind = 0; kind < kinds_.Size(); ++kind) {
    const kind_entry& entry = kinds_[kind];
    statuses.push_back(
        {.kind = entry.declared.name,
         .waiting = static_cast<std::int64_t>(entry.waiting.size),
         .running = entry.running,
         .leased = entry.leased,
         .next_lease = LeaseFor(kind, {}),
         .backoff_until = entry.failures.HeldUntil()});
  }
  return statuses;
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_STATUS_HPP
