#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_EVENTS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_EVENTS_HPP

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

inline std::string DescribeResources(const resources& size) {
  return std::to_string(size.millicores) + " millicores, " +
         std::to_string(size.memory_mib) + " MiB and " +
         std::to_string(size.accelerators) + " accelerators";
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Configure(const declaration::configuration& config,
                                      time_point now) {
  kinds_.Configure(config);
  service_declarations_.clear();
  for (const declaration::service& declared : config.services) {
    const auto index = static_cast<std::uint32_t>(services_.size());
    const std::uint32_t known =
        services_.try_emplace(declared.name, index).first->second;
    if (service_declarations_.size() <= known) {
      service_declarations_.resize(known + 1);
    }
    service_declarations_[known] = declared;
  }
  RefreshAllKinds(now);
  Dispatch(now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Submit(const task_submitted& event,
                                   time_point now) {
  if (ended_.Contains(event.task) || tasks_.Find(event.task) != kNone) {
    ++counters_.stale_events;
    return;
  }
  const auto refuse = [&](task_refusal reason, std::string detail) {
    ++counters_.refused;
    commands_.emplace_back(refuse_task{
        .task = event.task, .reason = reason, .detail = std::move(detail)});
  };
  const kind_index kind = kinds_.Find(event.kind);
  if (kind == kNone || !kinds_[kind].is_declared) {
    refuse(task_refusal::kUnknownKind,
           "kind " + event.kind + " is not declared");
    return;
  }
  kind_entry& entry = kinds_[kind];
  const declaration::batch_kind& declared = entry.declared;
  if (!event.previously_accepted) {
    if (static_cast<std::int64_t>(entry.waiting.size) >= declared.queue_limit) {
      refuse(task_refusal::kQueueFull, std::to_string(entry.waiting.size) +
                                           " tasks of kind " + declared.name +
                                           " wait already");
      return;
    }
    if (!kinds_.TaskFitsQuota(kind, declared.size)) {
      refuse(task_refusal::kOverQuota, "kind " + declared.name + " needs " +
                                           DescribeResources(declared.size) +
                                           "; the quota of team " +
                                           declared.team + " is less");
      return;
    }
    if (workers_.Size() > 0 &&
        capacities_.NextFrom(0, declared.size) == resource_index::kNotFound) {
      refuse(task_refusal::kNeverFits,
             "kind " + declared.name + " needs " +
                 DescribeResources(declared.size) +
                 "; no worker has all of it, the most of each is " +
                 DescribeResources(capacities_.Largest()));
      return;
    }
  }
  if (event.failed_attempts >= options_.failures.max_task_failures) {
    refuse(task_refusal::kTooManyFailures,
           std::to_string(event.failed_attempts) + " attempts failed");
    return;
  }
  const task_index task = tasks_.Add(event.task);
  task_entry& added = tasks_[task];
  added.kind = kind;
  added.attempt = event.attempts;
  added.failures = event.failed_attempts;
  added.checkpoint = event.checkpoint;
  added.previously_accepted = event.previously_accepted;
  added.queued_at = now;
  added.sequence = next_sequence_++;
  tasks_.PushBack(entry.waiting, task);
  if (entry.waiting.size == 1) {
    RefreshKind(kind, true, now);
    Dispatch(now);
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::CancelTask(task_id id, time_point now) {
  const task_index task = tasks_.Find(id);
  if (task == kNone || tasks_[task].cancelled) {
    ++counters_.stale_events;
    return;
  }
  task_entry& entry = tasks_[task];
  const kind_index kind = entry.kind;
  if (entry.phase == task_phase::kWaiting) {
    tasks_.Unlink(kinds_[kind].waiting, task);
    EndTask(task, now);
    RefreshKind(kind, false, now);
    return;
  }
  entry.cancelled = true;
  if (entry.phase == task_phase::kRunning) {
    kinds_.MarkEnding(kind, entry.leased);
  }
  entry.phase = task_phase::kStopping;
  commands_.emplace_back(
      stop_task{.task = id,
                .worker = workers_[entry.worker].state.worker,
                .reason = stop_reason::kCancelled,
                .attempt = entry.attempt});
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Started(const task_started& event, time_point now) {
  task_index task = tasks_.Find(event.task);
  if (task == kNone) {
    if (ended_.Contains(event.task) || event.kind.empty()) {
      ++counters_.stale_events;
      return;
    }
    task = tasks_.Add(event.task);
    tasks_[task].kind = kinds_.Ensure(event.kind);
    tasks_[task].sequence = next_sequence_++;
  } else if (tasks_[task].phase != task_phase::kWaiting) {
    const task_entry& entry = tasks_[task];
    const bool same = workers_[entry.worker].state.worker == event.worker;
    if (event.attempt > entry.attempt) {
      // The task must not run twice: the newer attempt is stopped and the one
      // known here is kept.
      commands_.emplace_back(stop_task{.task = event.task,
                                       .worker = event.worker,
                                       .reason = stop_reason::kEvicted,
                                       .attempt = event.attempt});
    }
    counters_.stale_events += same && event.attempt == entry.attempt ? 0 : 1;
    return;
  } else {
    const task_entry& entry = tasks_[task];
    if (event.attempt < entry.attempt ||
        (event.attempt == entry.attempt && entry.known_attempt)) {
      ++counters_.stale_events;
      return;
    }
    tasks_.Unlink(kinds_[entry.kind].waiting, task);
  }
  task_entry& entry = tasks_[task];
  entry.attempt = event.attempt;
  worker_index worker = workers_.Find(event.worker);
  if (worker == kNone) {
    // The task stays assigned to the worker until the worker's state is known;
    // otherwise it could be started a second time.
    worker = workers_.Ensure(event.worker);
    workers_[worker].state.status = worker_status::kUnreachable;
  }
  const resources lease = LeaseFor(entry.kind, entry);
  const resources free_resources = workers_[worker].FreeResources();
  const auto within = [](std::int64_t wanted, std::int64_t left) {
    return std::clamp<std::int64_t>(wanted, 0, std::max<std::int64_t>(left, 0));
  };
  RecordRun(
      task, worker,
      {.millicores = within(lease.millicores, free_resources.millicores),
       .memory_mib = within(lease.memory_mib, free_resources.memory_mib),
       .accelerators = within(lease.accelerators, free_resources.accelerators)},
      now);
  RefreshWorker(worker, now);
  RefreshTeam(entry.kind, now);
  Dispatch(now);
}

template <slowdown_estimator Estimator>
template <class Event>
task_index batch_core<Estimator>::FindAttempt(const Event& event) {
  const task_index task = tasks_.Find(event.task);
  if (task == kNone || tasks_[task].phase == task_phase::kWaiting ||
      tasks_[task].attempt != event.attempt ||
      workers_[tasks_[task].worker].state.worker != event.worker) {
    ++counters_.stale_events;
    return kNone;
  }
  return task;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Finished(const task_finished& event,
                                     time_point now) {
  const task_index task = FindAttempt(event);
  if (task == kNone) {
    return;
  }
  task_entry& entry = tasks_[task];
  const kind_index kind = entry.kind;
  const worker_index worker = entry.worker;
  const bool full_speed = entry.processor_permille == 1000;
  EndRun(task, now);
  switch (event.result) {
    case task_result::kSucceeded: {
      ++counters_.succeeded;
      if (full_speed && entry.attempt == 1) {
        kinds_[kind].usage.AddRunTime(now - entry.started_at);
      }
      const bool was_trial = kinds_[kind].failures.OnTrial();
      kinds_[kind].failures.RecordSuccess(now);
      if (workers_[worker].failures.RecordSuccess(options_.failures)) {
        --quarantined_workers_;
      }
      EndTask(task, now);
      if (was_trial) {
        RefreshKind(kind, true, now);
      }
      break;
    }
    case task_result::kFailed:
      HandleFailure(task, worker, now);
      break;
    case task_result::kNotStarted:
      workers_[worker].not_before = now + options_.failures.not_started_wait;
      deadlines_.Add({.at = workers_[worker].not_before,
                      .worker = workers_[worker].state.worker});
      if (entry.cancelled) {
        EndTask(task, now);
      } else {
        Requeue(task, now);
      }
      break;
    case task_result::kStopped:
      RequeueOrRefuse(task, now);
      break;
  }
  RefreshWorker(worker, now);
  RefreshTeam(kind, now);
  Dispatch(now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Checkpointed(const task_checkpointed& event,
                                         time_point now) {
  const task_index task = FindAttempt(event);
  if (task == kNone) {
    return;
  }
  tasks_[task].checkpoint = event.checkpoint;
  tasks_[task].progress_saved_at = now;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Update(const worker_state& state, time_point now) {
  if (state.status == worker_status::kGone) {
    const worker_index worker = workers_.Find(state.worker);
    if (worker != kNone) {
      RemoveWorker(worker, now);
      Dispatch(now);
    }
    return;
  }
  const worker_index worker = workers_.Ensure(state.worker);
  worker_entry& entry = workers_[worker];
  const worker_state before = entry.state;
  if (before.status != worker_status::kLive || before.capacity == resources{}) {
    entry.joined_at = now;
    deadlines_.Add({.at = now + options_.interference.unreported_wait,
                    .worker = state.worker});
  }
  entry.state = state;
  if (before.rack != state.rack) {
    for (task_index task = entry.tasks.head; task != kNone;
         task = tasks_[task].next) {
      auto& per_rack = kinds_[tasks_[task].kind].per_rack;
      if (--per_rack[before.rack] == 0) {
        per_rack.erase(before.rack);
      }
      ++per_rack[state.rack];
    }
  }
  if (state.status == worker_status::kLeaving) {
    ClearReservation(worker);
  }
  if (before.capacity != state.capacity) {
    fleet_capacity_ += state.capacity - before.capacity;
    capacities_.Set(worker, state.capacity);
    if (before.capacity == resources{}) {
      // Tasks adopted before the capacity was known have no full lease yet.
      for (task_index task = entry.tasks.head; task != kNone;
           task = tasks_[task].next) {
        const resources lease = LeaseFor(tasks_[task].kind, tasks_[task]);
        if (Fits(lease - tasks_[task].leased, entry.FreeResources())) {
          SetLease(task, lease, now);
        }
      }
    }
    ShrinkToCapacity(worker, now);
    RecomputeExpectedSlowdown(entry);
    RefreshAllKinds(now);
  }
  RefreshWorker(worker, now);
  Dispatch(now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Tick(time_point now) {
  while (const std::optional<deadline> due = deadlines_.PopDue(now)) {
    if (due->kind != kNone) {
      RefreshKind(due->kind, true, now);
    }
    if (due->worker && workers_.Find(*due->worker) != kNone) {
      RefreshWorker(workers_.Find(*due->worker), now);
    }
    if (due->task) {
      const task_index task = tasks_.Find(*due->task);
      if (task != kNone && tasks_[task].attempt == due->attempt) {
        OnCheckpointGraceExpired(task, now);
      }
    }
  }
  if (next_reclaim_ && *next_reclaim_ <= now) {
    ReclaimRound(now);
  }
  ended_.Expire(now);
  Dispatch(now);
}

template <slowdown_estimator Estimator>
std::optional<time_point> batch_core<Estimator>::NextDeadline() const {
  const std::optional<time_point> next = deadlines_.NextDeadline();
  if (next && next_reclaim_) {
    return std::min(*next, *next_reclaim_);
  }
  return next ? next : next_reclaim_;
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_EVENTS_HPP
