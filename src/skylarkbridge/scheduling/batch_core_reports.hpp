#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_REPORTS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_REPORTS_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "skylarkbridge/scheduling/batch_core.hpp"
#include "skylarkbridge/scheduling/batch_core_placement.hpp"

namespace skylarkbridge::scheduling {

// A lease is reduced only if it exceeds the need by this ratio, so that small
// changes cost no command to the worker.
inline constexpr double kLeaseShrinkRatio = 1.25;
// Weight of the newest window in the average of the unexplained slowdown.
inline constexpr double kUnexplainedSmoothingFactor = 0.3;

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Report(const usage_report& report, time_point now) {
  const worker_index worker = workers_.Find(report.worker);
  if (worker == kNone || report.window_end <= report.window_begin ||
      report.window_end > now || report.window_begin < now - kMaxReportAge) {
    ++counters_.stale_events;
    return;
  }
  for (const task_usage& usage : report.tasks) {
    RecordUsage(worker, usage, report, now);
  }
  const double slowdown = LearnSlowdown(worker, report, now);
  if (options_.interference.enabled) {
    MitigateInterference(worker, slowdown, report, now);
  }
  workers_[worker].DropExposureBefore(now - kMaxReportAge);
  RefreshWorker(worker, now);
  Dispatch(now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::RecordUsage(worker_index worker,
                                        const task_usage& usage,
                                        const usage_report& report,
                                        time_point now) {
  const task_index task = tasks_.Find(usage.task);
  if (!options_.usage.learn || task == kNone ||
      tasks_[task].phase != task_phase::kRunning ||
      tasks_[task].worker != worker ||
      tasks_[task].started_at > report.window_begin) {
    return;
  }
  const resources& capacity = workers_[worker].state.capacity;
  const resources used{.millicores = std::clamp<std::int64_t>(
                           usage.used.millicores, 0,
                           std::max<std::int64_t>(capacity.millicores, 0)),
                       .memory_mib = std::clamp<std::int64_t>(
                           usage.used.memory_mib, 0,
                           std::max<std::int64_t>(capacity.memory_mib, 0))};
  const kind_index kind = tasks_[task].kind;
  kinds_[kind].usage.AddUse(used, tasks_[task].processor_permille == 1000,
                            options_.usage);
  AdjustLease(task, used, now);
  if (kinds_[kind].state == queue_state::kInsufficientResources) {
    const resources lease = LeaseFor(kind, tasks_[kinds_[kind].waiting.head]);
    const resources& tried = kinds_[kind].unplaceable_lease;
    if (10 * lease.millicores < 9 * tried.millicores ||
        10 * lease.memory_mib < 9 * tried.memory_mib) {
      RefreshKind(kind, true, now);
    }
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::AdjustLease(task_index task,
                                        const resources& used,
                                        time_point now) {
  task_entry& entry = tasks_[task];
  const worker_entry& host = workers_[entry.worker];
  const auto with_headroom = [&](std::int64_t value) {
    return static_cast<std::int64_t>(static_cast<double>(value) *
                                     options_.usage.headroom) +
           1;
  };
  const bool over_memory = used.memory_mib > entry.leased.memory_mib;
  // Throttling lowers the measured use, so the use is compared with the
  // throttled share of the lease.
  const bool over_processors =
      used.millicores * 1000 >
      entry.leased.millicores * entry.processor_permille;
  if (over_memory || over_processors || entry.throttled_for_capacity) {
    resources larger = entry.leased;
    if (over_memory) {
      larger.memory_mib = with_headroom(used.memory_mib);
      entry.min_lease.memory_mib =
          std::max(entry.min_lease.memory_mib, larger.memory_mib);
    }
    if (over_processors && entry.processor_permille == 1000) {
      larger.millicores = with_headroom(used.millicores);
      entry.min_lease.millicores =
          std::max(entry.min_lease.millicores, larger.millicores);
    }
    if (entry.throttled_for_capacity) {
      larger.millicores =
          std::max(larger.millicores, entry.min_lease.millicores);
    }
    const resources more = larger - entry.leased;
    if (Fits(more, host.FreeResources() - host.reserved) &&
        !kinds_.BlockingReason(entry.kind, more, fleet_capacity_)) {
      SetLease(task, larger, now);
      if (entry.throttled_for_capacity) {
        entry.throttled_for_capacity = false;
        Throttle(task, 1000, now);
      }
    } else if (over_memory) {
      Evict(task, eviction_cause::kCapacity, now);
    } else if (over_processors && entry.processor_permille == 1000) {
      entry.throttled_for_capacity = true;
      Throttle(task,
               std::clamp<std::int64_t>(
                   entry.leased.millicores * 1000 / used.millicores, 100, 999),
               now);
    }
    return;
  }
  if (!kinds_[entry.kind].usage.Learnt(options_.usage) ||
      entry.processor_permille != 1000) {
    return;
  }
  const resources learnt = LeaseFor(entry.kind, entry);
  const resources target{
      .millicores = std::max(learnt.millicores, with_headroom(used.millicores)),
      .memory_mib = std::max(learnt.memory_mib, with_headroom(used.memory_mib)),
      .accelerators = entry.leased.accelerators};
  const auto much_less = [](std::int64_t wanted, std::int64_t held) {
    return static_cast<double>(wanted) * kLeaseShrinkRatio <
           static_cast<double>(held);
  };
  if (much_less(target.millicores, entry.leased.millicores) ||
      much_less(target.memory_mib, entry.leased.memory_mib)) {
    SetLease(
        task,
        {.millicores = std::min(target.millicores, entry.leased.millicores),
         .memory_mib = std::min(target.memory_mib, entry.leased.memory_mib),
         .accelerators = target.accelerators},
        now);
  }
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::SetLease(task_index task,
                                     const resources& lease,
                                     time_point now) {
  task_entry& entry = tasks_[task];
  worker_entry& host = workers_[entry.worker];
  const resources more = lease - entry.leased;
  entry.leased = lease;
  host.leased += more;
  kinds_.Lease(entry.kind, more);
  if (entry.phase != task_phase::kRunning) {
    kinds_.MarkEnding(entry.kind, more);
  }
  commands_.emplace_back(
      throttle_task{.task = entry.id,
                    .worker = host.state.worker,
                    .processor_permille = entry.processor_permille,
                    .attempt = entry.attempt,
                    .leased = lease});
  RefreshTeam(entry.kind, now);
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::Throttle(task_index task,
                                     std::int64_t permille,
                                     time_point now) {
  task_entry& entry = tasks_[task];
  worker_entry& host = workers_[entry.worker];
  AddExpectedSlowdown(
      host, entry.kind,
      static_cast<double>(permille - entry.processor_permille) / 1000);
  counters_.throttled += permille < entry.processor_permille ? 1 : 0;
  entry.processor_permille = permille;
  host.BeginExposure(entry, now);
  commands_.emplace_back(throttle_task{.task = entry.id,
                                       .worker = host.state.worker,
                                       .processor_permille = permille,
                                       .attempt = entry.attempt,
                                       .leased = entry.leased});
}

template <slowdown_estimator Estimator>
double batch_core<Estimator>::LearnSlowdown(worker_index worker,
                                            const usage_report& report,
                                            time_point now) {
  worker_entry& entry = workers_[worker];
  const double seconds =
      std::chrono::duration<double>(report.window_end - report.window_begin)
          .count();
  const std::vector<exposure> exposures =
      entry.ExposureDuring(report.window_begin, report.window_end);
  std::erase_if(entry.services, [&](const service_measurement& view) {
    return view.last_report < now - kMaxReportAge;
  });
  double highest = 1.0;
  for (const service_latency& measured : report.services) {
    const auto known = services_.find(measured.service);
    if (known == services_.end()) {
      continue;
    }
    const std::uint32_t service = known->second;
    auto view = std::find_if(
        entry.services.begin(), entry.services.end(),
        [&](const service_measurement& v) { return v.service == service; });
    if (view == entry.services.end()) {
      view = entry.services.insert(view, {.service = service});
    }
    view->last_report = now;
    view->load = static_cast<double>(measured.requests) / seconds;
    if (measured.requests < options_.interference.min_requests) {
      continue;
    }
    const std::optional<double> slowdown =
        estimator_.Learn(service, static_cast<double>(measured.p99.count()),
                         view->load, exposures);
    if (!slowdown) {
      continue;
    }
    double expected = 1.0;
    for (const exposure& part : exposures) {
      expected +=
          part.amount *
          estimator_.EstimateSlowdown(service, part.kind, view->load).mean;
    }
    view->unexplained_slowdown +=
        kUnexplainedSmoothingFactor *
        (*slowdown - expected - view->unexplained_slowdown);
    highest = std::max(highest, options_.interference.smooth_windows
                                    ? expected + UnexplainedSlowdown(*view)
                                    : *slowdown);
  }
  RecomputeExpectedSlowdown(entry);
  entry.interference.slowdown = highest;
  return highest;
}

template <slowdown_estimator Estimator>
double batch_core<Estimator>::TaskSlowdown(const worker_entry& worker,
                                           const task_entry& task) const {
  double highest = 0;
  for (const service_measurement& view : worker.services) {
    highest = std::max(
        highest,
        estimator_.EstimateSlowdown(view.service, task.kind, view.load).mean);
  }
  return highest * worker.ExposurePerTask() *
         static_cast<double>(task.processor_permille) / 1000;
}

template <slowdown_estimator Estimator>
void batch_core<Estimator>::MitigateInterference(worker_index worker,
                                                 double slowdown,
                                                 const usage_report& report,
                                                 time_point now) {
  const interference_options& options = options_.interference;
  interference_state& state = workers_[worker].interference;
  if (options.wait_for_effect && report.window_begin < state.last_action) {
    return;
  }
  if (slowdown > options.mitigate_above) {
    state.mitigating = true;
    state.windows_below_limit = 0;
    ++state.windows_above_limit;
    const double excess =
        slowdown - (options.mitigate_above + options.relax_below) / 2;
    if ((options.throttle_first &&
         ThrottleInterferingTasks(worker, excess, now)) ||
        (state.windows_above_limit >= options.windows_before_eviction &&
         EvictInterferingTask(worker, excess, now))) {
      state.last_action = now;
    }
    return;
  }
  state.windows_above_limit = 0;
  if (slowdown > options.relax_below) {
    state.windows_below_limit = 0;
    return;
  }
  // Two good windows in a row, because p99 of a single window is noisy.
  if (++state.windows_below_limit < 2) {
    return;
  }
  state.mitigating = false;
  if (RelaxThrottles(worker, now)) {
    state.windows_below_limit = 0;
    state.last_action = now;
  }
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::ThrottleInterferingTasks(worker_index worker,
                                                     double excess,
                                                     time_point now) {
  // The processor share is halved at most twice, so that the task still makes
  // progress: below a quarter of its speed an eviction loses less work.
  constexpr std::int64_t kMinThrottledPermille = 250;
  worker_entry& entry = workers_[worker];
  std::vector<task_index> running;
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    if (tasks_[task].phase == task_phase::kRunning &&
        tasks_[task].processor_permille / 2 >= kMinThrottledPermille &&
        TaskSlowdown(entry, tasks_[task]) > 0.005) {
      running.push_back(task);
    }
  }
  std::sort(running.begin(), running.end(), [&](task_index a, task_index b) {
    return TaskSlowdown(entry, tasks_[a]) > TaskSlowdown(entry, tasks_[b]);
  });
  double left = excess;
  bool acted = false;
  for (const task_index task : running) {
    if (left <= 0) {
      break;
    }
    left -= TaskSlowdown(entry, tasks_[task]) / 2;
    Throttle(task, tasks_[task].processor_permille / 2, now);
    acted = true;
  }
  return acted;
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::EvictInterferingTask(worker_index worker,
                                                 double excess,
                                                 time_point now) {
  const worker_entry& entry = workers_[worker];
  task_index best = kNone;
  double best_value = 0;
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    const double task_slowdown =
        std::min(TaskSlowdown(entry, tasks_[task]), excess);
    const double value = task_slowdown / (LostWork(tasks_[task], now) + 1.0);
    if (Evictable(tasks_[task]) && value > best_value) {
      best = task;
      best_value = value;
    }
  }
  return best != kNone && budget_.TryAcquire(workers_.Size(), now) &&
         Evict(best, eviction_cause::kInterference, now);
}

template <slowdown_estimator Estimator>
bool batch_core<Estimator>::RelaxThrottles(worker_index worker,
                                           time_point now) {
  const worker_entry& entry = workers_[worker];
  std::vector<task_index> slowed;
  for (task_index task = entry.tasks.head; task != kNone;
       task = tasks_[task].next) {
    if (tasks_[task].phase == task_phase::kRunning &&
        tasks_[task].processor_permille < 1000 &&
        !tasks_[task].throttled_for_capacity) {
      slowed.push_back(task);
    }
  }
  std::sort(slowed.begin(), slowed.end(), [&](task_index a, task_index b) {
    return TaskSlowdown(entry, tasks_[a]) < TaskSlowdown(entry, tasks_[b]);
  });
  double expected = 0;
  for (const service_measurement& view : entry.services) {
    expected =
        std::max(expected, view.expected_slowdown + UnexplainedSlowdown(view));
  }
  bool acted = false;
  for (const task_index task : slowed) {
    // Doubling the processor share doubles the slowdown that the task causes.
    expected += TaskSlowdown(entry, tasks_[task]);
    if (expected > options_.interference.max_placement_slowdown - 1.0) {
      break;
    }
    Throttle(task,
             std::min<std::int64_t>(tasks_[task].processor_permille * 2, 1000),
             now);
    acted = true;
  }
  return acted;
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_REPORTS_HPP
