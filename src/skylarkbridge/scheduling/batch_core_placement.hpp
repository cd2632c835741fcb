#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_PLACEMENT_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_PLACEMENT_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

// Maximum number of kinds tried on one worker with freed capacity; bounds the
// cost of one event.
inline constexpr std::size_t kMaxKindsPerWorker = 64;
// Maximum number of tasks at the head of one queue that are skipped because
// they avoid the worker.
inline constexpr int kMaxSkippedTasks = 4;
// Reports whose window began longer ago are ignored, and service views that
// were last updated longer ago are dropped.
inline constexpr std::chrono::seconds kMaxReportAge{60};

/// @brief Returns the slowdown that the model does not explain, as a fraction.
/// The first 4% are attributed to the variance of p99 that remains after
/// averaging.
inline double UnexplainedSlowdown(const service_measurement& view) {
  return std::max(view.unexplained_slowdown - 0.04, 0.0);
}

template <slowdown_estimator Estimator>
std::uint64_t batch_core<Estimator>::Random() {
  // SplitMix64: small state, and every seed is usable.
  random_ += 0x9E3779B97F4A7C15U;
  std::uint64_t mixed = random_;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9U;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBU;
  return mixed ^ (mixed >> 31U);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Dispatch(time_point now) {
  if (!freed_workers_.empty() && !unplaced_kinds_.empty()) {
    // Freed capacity goes to ready kinds first if they are ahead of all kinds
    // that could not be placed.
    const queue_key first = *unplaced_kinds_.begin();
    StartReadyKinds(&first, now);
  }
  while (!freed_workers_.empty()) {
    const worker_index worker = freed_workers_.back();
    freed_workers_.pop_back();
    workers_[worker].freed = false;
    FillFreedCapacity(worker, now);
  }
  StartReadyKinds(nullptr, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::StartReadyKinds(const queue_key* before,
                                            time_point now) {
  while (!ready_kinds_.empty() &&
         (before == nullptr || *ready_kinds_.begin() < *before)) {
    const kind_index kind = ready_kinds_.begin()->kind;
    if (!StartNext(kind, now)) {
      kind_entry& entry = kinds_[kind];
      entry.unplaceable_lease = LeaseFor(kind, tasks_[entry.waiting.head]);
      entry.state = queue_state::kInsufficientResources;
      ready_kinds_.erase(ready_kinds_.begin());
      unplaced_kinds_.insert(entry.key);
      if (!next_reclaim_) {
        next_reclaim_ = now + options_.reclaim.interval;
      }
    }
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::FillFreedCapacity(worker_index worker,
                                              time_point now) {
  kinds_to_try_.clear();
  if (workers_[worker].reserved_for != kNone) {
    kinds_to_try_.push_back(workers_[worker].reserved_for);
  }
  const worker_entry& host = workers_[worker];
  double expected_slowdown = 0;
  for (const service_measurement& view : host.services) {
    if (view.last_report >= now - kMaxReportAge) {
      expected_slowdown =
          std::max(expected_slowdown,
                   view.expected_slowdown + UnexplainedSlowdown(view));
    }
  }
  // Above the slowdown limit, only the kind that holds the reservation may
  // start.
  const bool accepts_unreserved =
      !options_.interference.enabled ||
      expected_slowdown <= options_.interference.max_placement_slowdown - 1.0;
  const resources free_resources = host.FreeResources() - host.reserved;
  std::size_t seen = 0;
  for (const queue_key& key : unplaced_kinds_) {
    if (!accepts_unreserved || ++seen > kMaxKindsPerWorker) {
      break;
    }
    // `tried` is the lease of the last failed attempt. A lease that shrank
    // since that attempt has moved its kind back to ready_kinds_.
    if (Fits(kinds_[key.kind].unplaceable_lease, free_resources) ||
        kinds_[key.kind].key.below_minimum) {
      kinds_to_try_.push_back(key.kind);
    }
  }
  for (const kind_index kind : kinds_to_try_) {
    while (kinds_[kind].state == queue_state::kInsufficientResources &&
           TryPlaceOn(kind, worker, now)) {
    }
  }
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::TryPlaceOn(kind_index kind,
                                       worker_index worker,
                                       time_point now) {
  task_index task = kinds_[kind].waiting.head;
  // A task that avoids this worker must not block the others of its kind.
  for (int i = 0; i < kMaxSkippedTasks && task != kNone; ++i) {
    const task_entry& current = tasks_[task];
    if (current.avoided_worker != workers_[worker].state.worker ||
        now >= current.avoid_until) {
      break;
    }
    task = current.next;
  }
  if (task == kNone) {
    return false;
  }
  const resources need = LeaseFor(kind, tasks_[task]);
  if (!PlacementCost(kind, tasks_[task], need, worker, now)) {
    return false;
  }
  Place(task, worker, need, now);
  return true;
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::StartNext(kind_index kind, time_point now) {
  const task_index head = kinds_[kind].waiting.head;
  const task_index next = tasks_[head].next;
  const bool avoids = now < tasks_[head].avoid_until;
  return StartTask(head, now) ||
         (avoids && next != kNone && StartTask(next, now));
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::StartTask(task_index task, time_point now) {
  const kind_index kind = tasks_[task].kind;
  const resources need = LeaseFor(kind, tasks_[task]);
  if (free_resources_.Size() == 0) {
    return false;
  }
  // Two ranges from random positions, because workers at adjacent positions are
  // often in one rack.
  constexpr std::size_t kSearchRanges = 2;
  candidate best;
  for (std::size_t range = 0; range < kSearchRanges; ++range) {
    std::size_t visits = 0;
    std::size_t accepted = 0;
    const std::size_t start = Random() % free_resources_.Size();
    std::size_t position = start;
    bool wrapped = false;
    while (visits < options_.placement.max_visits / kSearchRanges &&
           accepted < options_.placement.candidates / kSearchRanges) {
      position = free_resources_.NextFrom(position, need);
      if (position == resource_index::kNotFound && !wrapped) {
        wrapped = true;
        position = free_resources_.NextFrom(0, need);
      }
      if (position == resource_index::kNotFound ||
          (wrapped && position >= start)) {
        break;
      }
      ++visits;
      const auto worker = static_cast<worker_index>(position);
      if (const auto cost =
              PlacementCost(kind, tasks_[task], need, worker, now)) {
        ++accepted;
        if (best.worker == kNone || *cost < best.cost) {
          best = {.worker = worker, .cost = *cost};
        }
      }
      ++position;
    }
    if (visits == 0) {
      break;
    }
  }
  if (best.worker == kNone) {
    return false;
  }
  Place(task, best.worker, need, now);
  return true;
}

template <slowdown_estimator Estimator>
double batch_core<Estimator>::ExpectedSlowdown(const worker_entry& worker,
                                               kind_index kind,
                                               time_point now) const {
  double highest = 0;
  const double scale = worker.ExposurePerTask();
  if (worker.services.empty() && !service_declarations_.empty() &&
      now < worker.joined_at + options_.interference.unreported_wait &&
      worker.tasks.size > 0 &&
      static_cast<double>(worker.tasks.size + 1) * scale >
          options_.interference.unreported_tasks) {
    // Exceeds the limit of max_placement_slowdown - 1, so no further task is
    // placed before the first report.
    return options_.interference.max_placement_slowdown;
  }
  for (const service_measurement& view : worker.services) {
    if (view.last_report < now - kMaxReportAge) {
      continue;
    }
    const slowdown_estimate added =
        estimator_.EstimateSlowdown(view.service, kind, view.load);
    const double expected_slowdown =
        view.expected_slowdown + UnexplainedSlowdown(view) +
        scale * (added.mean +
                 options_.interference.margin_deviations * added.deviation);
    highest = std::max(highest, expected_slowdown);
  }
  return highest;
}

template <slowdown_estimator Estimator>
std::optional<double> batch_core<Estimator>::PlacementCost(
    kind_index kind,
    const task_entry& task,
    const resources& need,
    worker_index worker,
    time_point now) const {
  const worker_entry& entry = workers_[worker];
  const kind_entry& owner = kinds_[kind];
  const bool reserved = entry.reserved_for == kind;
  const resources free_resources =
      reserved ? entry.FreeResources() : entry.FreeResources() - entry.reserved;
  if (!Fits(need, free_resources) || !Eligible(entry, now)) {
    return std::nullopt;
  }
  if ((task.avoided_worker == entry.state.worker && now < task.avoid_until) ||
      (owner.failures.OnTrial() &&
       owner.failures.FailedOn(entry.state.worker) &&
       !owner.failures.TrialOnAnyWorker(now))) {
    return std::nullopt;
  }
  const auto rack = owner.per_rack.find(entry.state.rack);
  const std::int64_t on_rack = rack == owner.per_rack.end() ? 0 : rack->second;
  if (owner.declared.rack_limit > 0 && on_rack >= owner.declared.rack_limit) {
    return std::nullopt;
  }
  double expected_slowdown = 0;
  if (options_.interference.enabled) {
    expected_slowdown = ExpectedSlowdown(entry, kind, now);
    const bool ignores_slowdown_limit =
        reserved ||
        (entry.state.capacity.millicores > 0 && owner.key.below_minimum &&
         now - task.queued_at > options_.reclaim.reserve_after);
    if (!ignores_slowdown_limit &&
        (expected_slowdown >
             options_.interference.max_placement_slowdown - 1.0 ||
         (entry.interference.mitigating && expected_slowdown > 0.02))) {
      return std::nullopt;
    }
  }
  const double rack_share =
      static_cast<double>(on_rack) /
      static_cast<double>(std::max<std::int64_t>(owner.running, 1));
  const auto fraction = [](std::int64_t available, std::int64_t total) {
    return total > 0
               ? static_cast<double>(available) / static_cast<double>(total)
               : 0.0;
  };
  const double free_fraction = std::min(
      fraction(free_resources.millicores, entry.state.capacity.millicores),
      fraction(free_resources.memory_mib, entry.state.capacity.memory_mib));
  // Tasks that need no accelerators prefer workers without free ones.
  const double wasted =
      need.accelerators == 0 && free_resources.accelerators > 0 ? 0.5 : 0.0;
  return options_.placement.slowdown_weight * expected_slowdown +
         options_.placement.rack_weight * rack_share -
         options_.placement.free_resources_weight * free_fraction + wasted;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Place(task_index task,
                                  worker_index worker,
                                  const resources& need,
                                  time_point now) {
  task_entry& entry = tasks_[task];
  kind_entry& kind = kinds_[entry.kind];
  tasks_.Unlink(kind.waiting, task);
  ++entry.attempt;
  entry.trial = kind.failures.OnTrial();
  kind.trials += entry.trial ? 1 : 0;
  if (workers_[worker].reserved_for == entry.kind) {
    ClearReservation(worker);
  }
  RecordRun(task, worker, need, now);
  ++counters_.started;
  commands_.emplace_back(start_task{.task = entry.id,
                                    .worker = workers_[worker].state.worker,
                                    .attempt = entry.attempt,
                                    .leased = need,
                                    .checkpoint = entry.checkpoint});
  free_resources_.Set(
      worker, workers_[worker].FreeResources() - workers_[worker].reserved);
  if (workers_[worker].failures.OnProbation()) {
    free_resources_.Clear(worker);
  }
  RefreshTeam(entry.kind, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RecordRun(task_index task,
                                      worker_index worker,
                                      const resources& lease,
                                      time_point now) {
  task_entry& entry = tasks_[task];
  worker_entry& host = workers_[worker];
  entry.phase = task_phase::kRunning;
  entry.known_attempt = true;
  entry.leased = lease;
  entry.worker = worker;
  entry.started_at = now;
  entry.progress_saved_at = now;
  entry.processor_permille = 1000;
  entry.throttled_for_capacity = false;
  tasks_.PushBack(host.tasks, task);
  host.leased += lease;
  host.BeginExposure(entry, now);
  AddExpectedSlowdown(host, entry.kind, 1.0);
  kinds_.Lease(entry.kind, lease);
  ++kinds_[entry.kind].running;
  ++kinds_[entry.kind].per_rack[host.state.rack];
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::AddExpectedSlowdown(worker_entry& worker,
                                                kind_index kind,
                                                double amount) {
  const double scaled = amount * worker.ExposurePerTask();
  for (service_measurement& view : worker.services) {
    view.expected_slowdown +=
        scaled *
        estimator_.EstimateSlowdown(view.service, kind, view.load).mean;
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RecomputeExpectedSlowdown(worker_entry& worker) {
  for (service_measurement& view : worker.services) {
    view.expected_slowdown = 0;
  }
  for (task_index task = worker.tasks.head; task != kNone;
       task = tasks_[task].next) {
    AddExpectedSlowdown(
        worker, tasks_[task].kind,
        static_cast<double>(tasks_[task].processor_permille) / 1000);
  }
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_PLACEMENT_HPP
