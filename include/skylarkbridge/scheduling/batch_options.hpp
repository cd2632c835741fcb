#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_OPTIONS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace skylarkbridge::scheduling {

/// @brief Settings for learning the resource use of batch kinds.
struct usage_options {
  /// If false, tasks always lease their declared size.
  bool learn = true;
  /// Quantile of the measured use that a task leases.
  double quantile = 0.95;
  /// Factor applied to the learnt quantile.
  double headroom = 1.1;
  /// Measurements before the learnt quantile replaces the declared size.
  std::size_t min_samples = 6;
  /// Factor applied to the declared size before there are min_samples
  /// measurements. Tasks often use four times their declared size, so leasing
  /// only that size would overcommit the memory of the fleet before the first
  /// report arrives; 5 leaves a margin of 25% for individual tasks.
  double declared_size_factor = 5.0;
};

/// @brief Settings for choosing the worker of a task.
struct placement_options {
  /// Workers that are scored for one decision.
  std::size_t candidates = 16;
  /// Workers with enough free resources that one decision examines, including
  /// those that it rejects.
  std::size_t max_visits = 64;
  /// Weight of the expected slowdown of services, relative to the weights
  /// below.
  double slowdown_weight = 8.0;
  /// Weight of the fraction of the kind's tasks that run on the same rack.
  double rack_weight = 0.5;
  /// Weight of free resources: positive spreads load, negative packs it.
  double free_resources_weight = 0.3;
};

/// @brief Settings for the backoff of failing kinds and the quarantine of
/// failing workers.
struct failure_options {
  /// Number of different workers with failures that puts a kind on backoff.
  std::size_t kind_workers = 3;
  /// First backoff of a kind; it doubles with each failed trial.
  std::chrono::milliseconds kind_backoff = std::chrono::seconds(1);
  std::chrono::milliseconds max_kind_backoff = std::chrono::minutes(5);
  /// Number of different kinds with failures that quarantines a worker.
  std::size_t worker_kinds = 3;
  /// Number of consecutive failures that quarantines a worker if the same kind
  /// succeeded elsewhere in the meantime.
  std::size_t worker_failures = 4;
  /// First quarantine of a worker; it doubles with each further one.
  std::chrono::milliseconds quarantine_time = std::chrono::seconds(30);
  std::chrono::milliseconds max_quarantine_time = std::chrono::minutes(15);
  /// Number of successes that ends the probation of a worker.
  std::size_t probation_successes = 3;
  /// Largest fraction of the workers in quarantine at a time.
  double max_quarantined = 0.25;
  /// Number of failed attempts after which a task is refused.
  std::uint32_t max_task_failures = 5;
  /// Time during which a worker that did not start a task gets no other one.
  std::chrono::milliseconds not_started_wait = std::chrono::seconds(1);
};

/// @brief Settings for limiting the slowdown that batch tasks cause to the
/// services on the same worker.
struct interference_options {
  /// If false, placement ignores the slowdown of services, and no task is
  /// throttled or evicted for it.
  bool enabled = true;
  /// Slowdown factor above which mitigation starts: tasks are throttled or
  /// evicted.
  double mitigate_above = 1.27;
  /// Slowdown factor below which throttles are lifted step by step.
  double relax_below = 1.20;
  /// Largest expected slowdown factor after a placement.
  double max_placement_slowdown = 1.22;
  /// Number of standard deviations added to the expected slowdown of a
  /// placement.
  double margin_deviations = 0.5;
  /// If true, decisions combine the model with several windows. If false, they
  /// use single windows, whose p99 is noisy.
  bool smooth_windows = true;
  /// If true, tasks are throttled before any task is evicted.
  bool throttle_first = true;
  /// Largest number of tasks per 16 processors on a worker that has not
  /// reported yet. Applies only if services are declared, and at most for
  /// unreported_wait after the worker joined. Reports arrive late; without this
  /// limit, the fleet could be filled before the first report and slow its
  /// services down for minutes.
  double unreported_tasks = 3.0;
  std::chrono::milliseconds unreported_wait = std::chrono::seconds(20);
  /// If false, every report is used, even if its window began before the last
  /// action and cannot show the effect of it.
  bool wait_for_effect = true;
  /// Number of consecutive windows above mitigate_above before an eviction.
  int windows_before_eviction = 2;
  /// Windows with fewer requests do not count, as their p99 is too uncertain.
  std::int64_t min_requests = 20;
  /// Average rate of evictions, per worker and minute.
  double evictions_per_worker_minute = 0.05;
  /// Number of evictions allowed at once, as a fraction of the workers.
  double eviction_burst = 0.05;
};

/// @brief Settings for reclaiming resources that kinds hold above their
/// guaranteed share.
struct reclaim_options {
  /// If false, tasks start by age alone and no lent share is reclaimed.
  bool enforce_shares = true;
  /// Time that a task of a kind below its share waits before lent resources are
  /// reclaimed.
  std::chrono::milliseconds reclaim_after = std::chrono::milliseconds(300);
  /// Time after which an urgent task starts on a worker with less urgent ones
  /// even if the expected slowdown of services is above max_placement_slowdown.
  /// Urgent tasks should start within 3.2 s, and the less urgent ones can be
  /// throttled afterwards.
  std::chrono::milliseconds ignore_slowdown_after =
      std::chrono::milliseconds(1500);
  /// Time between two reclaim rounds.
  std::chrono::milliseconds interval = std::chrono::milliseconds(250);
  /// Workers that are examined for one waiting task.
  std::size_t candidates = 24;
  /// Largest number of workers on which one round reclaims resources.
  std::size_t per_round = 32;
  /// Time that a checkpoint may take before the task is stopped without one.
  std::chrono::milliseconds checkpoint_grace = std::chrono::seconds(2);
  /// Same, when resources are reclaimed for an urgent task.
  std::chrono::milliseconds urgent_grace = std::chrono::seconds(1);
  /// Waiting time after which a worker is reserved for a task that no worker
  /// has enough free resources for.
  std::chrono::milliseconds reserve_after = std::chrono::seconds(30);
  /// Duration of such a reservation.
  std::chrono::milliseconds reservation = std::chrono::seconds(60);
};

/// @brief Settings of the batch scheduler.
struct batch_options {
  usage_options usage;
  placement_options placement;
  failure_options failures;
  interference_options interference;
  reclaim_options reclaim;
  /// Time for which ended tasks are remembered, so that late events about them
  /// are ignored.
  std::chrono::milliseconds remember_ended = std::chrono::minutes(5);
  /// Seed of the random numbers used in placement.
  std::uint64_t seed = 1;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_OPTIONS_HPP
