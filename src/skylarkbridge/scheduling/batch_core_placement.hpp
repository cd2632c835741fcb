#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_PLACEMENT_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_PLACEMENT_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

// Kinds that are offered the room of one worker; bounds the cost of one event.
inline constexpr std::size_t kMostOffers = 64;
// Tasks of one kind that are passed over on a worker which they avoid.
inline constexpr int kMostSkipped = 4;
// Oldest window that a report may be about; older reports and older views of
// services are ignored.
inline constexpr std::chrono::seconds kLongestLag{60};

/// @brief Slowdown that the model does not explain. The first 4% are taken for
/// the scatter of p99 that is left after averaging.
inline double Unexplained(const service_measurement& view) {
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
  if (!freed_.empty() && !no_room_.empty()) {
    // Kinds that come before all those that wait for room go first.
    const queue_key first = *no_room_.begin();
    StartReady(&first, now);
  }
  while (!freed_.empty()) {
    const worker_index worker = freed_.back();
    freed_.pop_back();
    workers_[worker].freed = false;
    OfferRoom(worker, now);
  }
  StartReady(nullptr, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::StartReady(const queue_key* before,
                                       time_point now) {
  while (!ready_.empty() && (before == nullptr || *ready_.begin() < *before)) {
    const kind_index kind = ready_.begin()->kind;
    if (!StartHead(kind, now)) {
      kind_entry& entry = kinds_[kind];
      entry.unplaceable_lease = LeaseFor(kind, tasks_[entry.waiting.head]);
      entry.state = queue_state::kInsufficientResources;
      ready_.erase(ready_.begin());
      no_room_.insert(entry.key);
      if (!next_round_) {
        next_round_ = now + options_.reclaim.interval;
      }
    }
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::OfferRoom(worker_index worker, time_point now) {
  offer_order_.clear();
  if (workers_[worker].reserved_for != kNone) {
    offer_order_.push_back(workers_[worker].reserved_for);
  }
  const worker_entry& host = workers_[worker];
  double harm = 0;
  for (const service_measurement& view : host.services) {
    if (view.last_report >= now - kLongestLag) {
      harm = std::max(harm, view.expected_slowdown + Unexplained(view));
    }
  }
  // A worker at the limit of harm takes only what it is reserved for.
  const bool open = !options_.interference.enabled ||
                    harm <= options_.interference.max_placement_slowdown - 1.0;
  const resources room = host.FreeResources() - host.reserved;
  std::size_t seen = 0;
  for (const queue_key& key : no_room_) {
    if (!open || ++seen > kMostOffers) {
      break;
    }
    // A lease that became smaller since puts the kind back into ready_.
    if (Fits(kinds_[key.kind].unplaceable_lease, room) ||
        kinds_[key.kind].key.below_minimum) {
      offer_order_.push_back(key.kind);
    }
  }
  for (const kind_index kind : offer_order_) {
    while (kinds_[kind].state == queue_state::kInsufficientResources &&
           TryOn(kind, worker, now)) {
    }
  }
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::TryOn(kind_index kind,
                                  worker_index worker,
                                  time_point now) {
  task_index task = kinds_[kind].waiting.head;
  // A task that avoids this worker does not hold up the others of its kind.
  for (int i = 0; i < kMostSkipped && task != kNone; ++i) {
    const task_entry& first = tasks_[task];
    if (first.avoided_worker != workers_[worker].state.worker ||
        now >= first.avoid_until) {
      break;
    }
    task = first.next;
  }
  if (task == kNone) {
    return false;
  }
  const resources need = LeaseFor(kind, tasks_[task]);
  if (!Cost(kind, tasks_[task], need, worker, now)) {
    return false;
  }
  Place(task, worker, need, now);
  return true;
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::StartHead(kind_index kind, time_point now) {
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
  if (room_.Size() == 0) {
    return false;
  }
  // Two stretches from random positions: workers that stand side by side are
  // often in one rack.
  constexpr std::size_t kStretches = 2;
  candidate best;
  for (std::size_t stretch = 0; stretch < kStretches; ++stretch) {
    std::size_t visits = 0;
    std::size_t accepted = 0;
    const std::size_t start = Random() % room_.Size();
    std::size_t position = start;
    bool wrapped = false;
    while (visits < options_.placement.max_visits / kStretches &&
           accepted < options_.placement.candidates / kStretches) {
      position = room_.NextFrom(position, need);
      if (position == resource_index::kNotFound && !wrapped) {
        wrapped = true;
        position = room_.NextFrom(0, need);
      }
      if (position == resource_index::kNotFound || (wrapped && position >= start)) {
        break;
      }
      ++visits;
      const auto worker = static_cast<worker_index>(position);
      if (const auto cost = Cost(kind, tasks_[task], need, worker, now)) {
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
double batch_core<Estimator>::ExpectedHarm(const worker_entry& worker,
                                           kind_index kind,
                                           time_point now) const {
  double highest = 0;
  const double scale = worker.ExposurePerTask();
  if (worker.services.empty() && !service_declarations_.empty() &&
      now < worker.joined_at + options_.interference.unreported_wait &&
      worker.tasks.size > 0 &&
      static_cast<double>(worker.tasks.size + 1) * scale >
          options_.interference.unreported_tasks) {
    return options_.interference.max_placement_slowdown;
  }
  for (const service_measurement& view : worker.services) {
    if (view.last_report < now - kLongestLag) {
      continue;
    }
    const slowdown_estimate added = estimator_.EstimateSlowdown(view.service, kind, view.load);
    const double harm =
        view.expected_slowdown + Unexplained(view) +
        scale * (added.mean + options_.interference.margin_deviations * added.deviation);
    highest = std::max(highest, harm);
  }
  return highest;
}

template <slowdown_estimator Estimator>
std::optional<double> batch_core<Estimator>::Cost(kind_index kind,
                                                  const task_entry& task,
                                                  const resources& need,
                                                  worker_index worker,
                                                  time_point now) const {
  const worker_entry& entry = workers_[worker];
  const kind_entry& owner = kinds_[kind];
  const bool reserved = entry.reserved_for == kind;
  const resources room =
      reserved ? entry.FreeResources() : entry.FreeResources() - entry.reserved;
  if (!Fits(need, room) || !Eligible(entry, now)) {
    return std::nullopt;
  }
  if ((task.avoided_worker == entry.state.worker && now < task.avoid_until) ||
      (owner.failures.OnTrial() && owner.failures.FailedOn(entry.state.worker) &&
       !owner.failures.TrialOnAnyWorker(now))) {
    return std::nullopt;
  }
  const auto rack = owner.per_rack.find(entry.state.rack);
  const std::int64_t on_rack = rack == owner.per_rack.end() ? 0 : rack->second;
  if (owner.declared.rack_limit > 0 && on_rack >= owner.declared.rack_limit) {
    return std::nullopt;
  }
  double harm = 0;
  if (options_.interference.enabled) {
    harm = ExpectedHarm(entry, kind, now);
    const bool relaxed =
        reserved ||
        (entry.state.capacity.millicores > 0 && owner.key.below_minimum &&
         now - task.queued_at > options_.reclaim.reserve_after);
    if (!relaxed && (harm > options_.interference.max_placement_slowdown - 1.0 ||
                     (entry.interference.mitigating && harm > 0.02))) {
      return std::nullopt;
    }
  }
  const double spread =
      static_cast<double>(on_rack) /
      static_cast<double>(std::max<std::int64_t>(owner.running, 1));
  const auto part = [](std::int64_t left, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(left) / static_cast<double>(whole)
                     : 0.0;
  };
  const double free =
      std::min(part(room.millicores, entry.state.capacity.millicores),
               part(room.memory_mib, entry.state.capacity.memory_mib));
  // Accelerators are scarce: work without need of them goes elsewhere first.
  const double wasted =
      need.accelerators == 0 && room.accelerators > 0 ? 0.5 : 0.0;
  return options_.placement.slowdown_weight * harm +
         options_.placement.rack_weight * spread -
         options_.placement.free_resources_weight * free + wasted;
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
  Hold(task, worker, need, now);
  ++counters_.started;
  commands_.emplace_back(start_task{.task = entry.id,
                                    .worker = workers_[worker].state.worker,
                                    .attempt = entry.attempt,
                                    .leased = need,
                                    .checkpoint = entry.checkpoint});
  room_.Set(worker, workers_[worker].FreeResources() - workers_[worker].reserved);
  if (workers_[worker].failures.OnProbation()) {
    room_.Clear(worker);
  }
  RefreshTeam(entry.kind, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Hold(task_index task,
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
  ShiftHarm(host, entry.kind, 1.0);
  kinds_.Lease(entry.kind, lease);
  ++kinds_[entry.kind].running;
  ++kinds_[entry.kind].per_rack[host.state.rack];
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ShiftHarm(worker_entry& worker,
                                      kind_index kind,
                                      double amount) {
  const double scaled = amount * worker.ExposurePerTask();
  for (service_measurement& view : worker.services) {
    view.expected_slowdown += scaled * estimator_.EstimateSlowdown(view.service, kind, view.load).mean;
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RecomputeHarm(worker_entry& worker) {
  for (service_measurement& view : worker.services) {
    view.expected_slowdown = 0;
  }
  for (task_index task = worker.tasks.head; task != kNone;
       task = tasks_[task].next) {
    ShiftHarm(worker, tasks_[task].kind,
              static_cast<double>(tasks_[task].processor_permille) / 1000);
  }
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_PLACEMENT_HPP
