#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_ENDINGS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_ENDINGS_HPP

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/scheduling/batch_core.hpp"

namespace skylarkbridge::scheduling {

// A task that failed or was evicted is not placed on the same worker for this
// time, in which reports arrive that show the worker without the task.
inline constexpr std::chrono::seconds kAvoidWorkerDuration{15};
// Run time lost to writing a checkpoint, and the same again to reading it. An
// evicted task with checkpoints loses both; LostWork adds it once for others.
inline constexpr double kCheckpointCostSeconds = 2.0;

template <slowdown_estimator Estimator>
void batch_core<Estimator>::EndRun(task_index task, time_point now) {
  task_entry& entry = tasks_[task];
  worker_entry& host = workers_[entry.worker];
  kind_entry& kind = kinds_[entry.kind];
  tasks_.Unlink(host.tasks, task);
  host.leased -= entry.leased;
  host.EndExposure(entry.id, now);
  AddExpectedSlowdown(host, entry.kind,
                      -static_cast<double>(entry.processor_permille) / 1000);
  if (entry.phase != task_phase::kRunning) {
    kinds_.MarkEnding(entry.kind, resources{} - entry.leased);
  }
  kinds_.Release(entry.kind, entry.leased);
  --kind.running;
  if (--kind.per_rack[host.state.rack] == 0) {
    kind.per_rack.erase(host.state.rack);
  }
  if (entry.trial) {
    --kind.trials;
    entry.trial = false;
  }
  entry.leased = {};
  RefreshWorker(entry.worker, now);
  entry.worker = kNone;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Requeue(task_index task, time_point now) {
  task_entry& entry = tasks_[task];
  entry.phase = task_phase::kWaiting;
  entry.queued_at = now;
  tasks_.PushFront(kinds_[entry.kind].waiting, task);
  RefreshKind(entry.kind, true, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::EndTask(task_index task, time_point now) {
  ended_.Add(tasks_[task].id, now + options_.remember_ended);
  tasks_.Remove(task);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Refuse(task_index task,
                                   task_refusal reason,
                                   std::string detail,
                                   time_point now) {
  ++counters_.refused;
  commands_.emplace_back(refuse_task{
      .task = tasks_[task].id, .reason = reason, .detail = std::move(detail)});
  EndTask(task, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RequeueOrRefuse(task_index task, time_point now) {
  const task_entry& entry = tasks_[task];
  const kind_entry& kind = kinds_[entry.kind];
  if (entry.cancelled) {
    EndTask(task, now);
  } else if (!kind.declared.idempotent && !entry.checkpoint) {
    Refuse(task, task_refusal::kOutcomeUnknown,
           "kind " + kind.declared.name + " is not idempotent and attempt " +
               std::to_string(entry.attempt) + " may have run",
           now);
  } else {
    Requeue(task, now);
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::HandleFailure(task_index task,
                                          worker_index worker,
                                          time_point now) {
  task_entry& entry = tasks_[task];
  const kind_index failed_kind = entry.kind;
  kind_entry& kind = kinds_[failed_kind];
  worker_entry& host = workers_[worker];
  const worker_id host_id = host.state.worker;
  ++counters_.failed;

  // A failure counts against the kind unless the worker is quarantined or on
  // probation, and against the worker unless the kind is on trial. When a
  // kind is held back, its failures are removed from the records of the
  // workers; when a worker is quarantined, its failures are removed from those
  // of kinds.
  const bool worker_suspect =
      host.failures.Quarantined(now) || host.failures.OnProbation();
  const bool kind_suspect = kind.failures.OnTrial();
  if (!worker_suspect) {
    ++entry.failures;
    if (kind.failures.RecordFailure(host_id, now, options_.failures)) {
      deadlines_.Add({.at = *kind.failures.HeldUntil(), .kind = failed_kind});
      for (const worker_id other : kind.failures.FailedWorkers()) {
        const worker_index other_worker = workers_.Find(other);
        if (other_worker != kNone) {
          workers_[other_worker].failures.ForgetKind(failed_kind);
        }
      }
    }
  }
  if (!kind_suspect && !kind.failures.OnTrial() &&
      host.failures.RecordFailure(failed_kind, kind.failures.LastSuccess(), now,
                                  options_.failures) &&
      static_cast<double>(quarantined_workers_ + 1) <=
          std::max(1.0, options_.failures.max_quarantined *
                            static_cast<double>(workers_.Size()))) {
    for (const kind_index other : host.failures.FailedKinds()) {
      kinds_[other].failures.ForgetWorker(host_id);
    }
    kind.failures.ForgetWorker(host_id);
    quarantined_workers_ += host.failures.OnProbation() ? 0 : 1;
    host.failures.Quarantine(now, options_.failures);
    deadlines_.Add({.at = host.failures.QuarantinedUntil(), .worker = host_id});
    RefreshWorker(worker, now);
  }

  entry.avoided_worker = host_id;
  entry.avoid_until = now + kAvoidWorkerDuration;
  if (entry.cancelled) {
    EndTask(task, now);
  } else if (!kind.declared.idempotent) {
    Refuse(task, task_refusal::kTooManyFailures,
           "kind " + kind.declared.name +
               " is not idempotent and the task failed on worker " +
               std::to_string(host_id.value),
           now);
  } else if (entry.failures >= options_.failures.max_task_failures) {
    Refuse(task, task_refusal::kTooManyFailures,
           std::to_string(entry.failures) +
               " attempts failed, the last on worker " +
               std::to_string(host_id.value),
           now);
  } else {
    deadlines_.Add({.at = entry.avoid_until, .kind = failed_kind});
    Requeue(task, now);
  }
  RefreshKind(failed_kind, true, now);
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::Evictable(const task_entry& task) const {
  const declaration::batch_kind& kind = kinds_[task.kind].declared;
  return task.phase == task_phase::kRunning &&
         (kind.idempotent || kind.checkpoints);
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::Evict(task_index task,
                                  eviction_cause cause,
                                  time_point now) {
  task_entry& entry = tasks_[task];
  if (!Evictable(entry)) {
    return false;
  }
  kinds_.MarkEnding(entry.kind, entry.leased);
  const worker_id host = workers_[entry.worker].state.worker;
  if (kinds_[entry.kind].declared.checkpoints) {
    entry.phase = task_phase::kCheckpointing;
    commands_.emplace_back(checkpoint_task{
        .task = entry.id, .worker = host, .attempt = entry.attempt});
    deadlines_.Add({.at = now + (cause == eviction_cause::kShare
                                     ? options_.reclaim.urgent_grace
                                     : options_.reclaim.checkpoint_grace),
                    .task = entry.id,
                    .attempt = entry.attempt});
  } else {
    entry.phase = task_phase::kStopping;
    commands_.emplace_back(stop_task{.task = entry.id,
                                     .worker = host,
                                     .reason = stop_reason::kEvicted,
                                     .attempt = entry.attempt});
  }
  switch (cause) {
    case eviction_cause::kInterference:
      ++counters_.evicted_for_interference;
      break;
    case eviction_cause::kShare:
      ++counters_.evicted_for_share;
      break;
    case eviction_cause::kCapacity:
      ++counters_.evicted_for_capacity;
      break;
  }
  if (cause != eviction_cause::kShare) {
    entry.avoided_worker = host;
    entry.avoid_until = now + kAvoidWorkerDuration;
    deadlines_.Add({.at = entry.avoid_until, .kind = entry.kind});
  }
  return true;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::OnCheckpointGraceExpired(task_index task,
                                                     time_point now) {
  task_entry& entry = tasks_[task];
  if (entry.phase != task_phase::kCheckpointing) {
    return;
  }
  if (!kinds_[entry.kind].declared.idempotent && !entry.checkpoint) {
    // Without a checkpoint a task that is not idempotent could not be
    // restarted, so the eviction is withdrawn.
    entry.phase = task_phase::kRunning;
    kinds_.MarkEnding(entry.kind, resources{} - entry.leased);
    RefreshWorker(entry.worker, now);
    return;
  }
  entry.phase = task_phase::kStopping;
  commands_.emplace_back(
      stop_task{.task = entry.id,
                .worker = workers_[entry.worker].state.worker,
                .reason = stop_reason::kEvicted,
                .attempt = entry.attempt});
}

template <slowdown_estimator Estimator>
double batch_core<Estimator>::LostWork(const task_entry& task,
                                       time_point now) const {
  const kind_entry& kind = kinds_[task.kind];
  const double processors = static_cast<double>(task.leased.millicores) / 1000;
  const double since_save =
      std::chrono::duration<double>(now - task.progress_saved_at).count();
  const double elapsed =
      std::chrono::duration<double>(now - task.started_at).count();
  const double expected =
      std::chrono::duration<double>(kind.usage.RunTime()).count();
  const double lost =
      kind.declared.checkpoints ? kCheckpointCostSeconds : since_save;
  // A task that is nearly done soon frees its lease without an eviction.
  const bool nearly_done = elapsed > 0.8 * expected && elapsed < 1.5 * expected;
  return std::max(processors, 0.1) * (lost + kCheckpointCostSeconds) *
         (nearly_done ? 2.0 : 1.0);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RemoveWorker(worker_index worker, time_point now) {
  std::vector<task_index> held;
  for (task_index task = workers_[worker].tasks.head; task != kNone;
       task = tasks_[task].next) {
    held.push_back(task);
  }
  // Each task is pushed to the front of its queue, so the newest goes first to
  // keep the order of submission.
  std::sort(held.begin(), held.end(), [&](task_index a, task_index b) {
    return tasks_[a].sequence > tasks_[b].sequence;
  });
  for (const task_index task : held) {
    const kind_index kind = tasks_[task].kind;
    EndRun(task, now);
    RequeueOrRefuse(task, now);
    RefreshTeam(kind, now);
  }
  ClearReservation(worker);
  quarantined_workers_ -= workers_[worker].failures.OnProbation() ? 1 : 0;
  free_resources_.Clear(worker);
  capacities_.Clear(worker);
  if (workers_[worker].freed) {
    std::erase(freed_workers_, worker);
  }
  fleet_capacity_ -= workers_[worker].state.capacity;
  workers_.Remove(worker);
  RefreshAllKinds(now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::ShrinkToCapacity(worker_index worker,
                                             time_point now) {
  worker_entry& entry = workers_[worker];
  resources staying;
  std::vector<task_index> held;
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    if (tasks_[task].phase == task_phase::kRunning) {
      staying += tasks_[task].leased;
      held.push_back(task);
    }
  }
  std::sort(held.begin(), held.end(), [&](task_index a, task_index b) {
    return LostWork(tasks_[a], now) < LostWork(tasks_[b], now);
  });
  for (const task_index task : held) {
    if (Fits(staying, entry.state.capacity)) {
      break;
    }
    if (Evict(task, eviction_cause::kCapacity, now)) {
      staying -= tasks_[task].leased;
    }
  }
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_ENDINGS_HPP
