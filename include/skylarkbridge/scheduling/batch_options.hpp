#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_OPTIONS_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace skylarkbridge::scheduling {

struct usage_options {
  /// False leases the declared size whatever is reported.
  bool learn = true;
  /// Quantile of measured use that is leased.
  double quantile = 0.95;
  /// Factor on the learnt quantile.
  double headroom = 1.1;
  /// Measurements before the learnt quantile replaces the declared size.
  std::size_t min_samples = 6;
  /// Factor on the declared size until then. Declared sizes are often a quarter
  /// of the use, and a fleet filled at the declared size would then be over its
  /// memory before the first report arrives; 5 leaves 25% for single tasks.
  double declared_size_factor = 5.0;
};

struct placement_options {
  /// Workers that are compared for one decision.
  std::size_t candidates = 16;
  /// Workers with room that one decision looks at, also those it rejects.
  std::size_t max_visits = 64;
  /// Weight of expected harm to services against the weights below.
  double slowdown_weight = 8.0;
  /// Weight of the part of the kind's tasks that run on the same rack.
  double rack_weight = 0.5;
  /// Weight of free room: positive spreads load, negative packs it.
  double free_resources_weight = 0.3;
};

struct failure_options {
  /// Failures on so many different workers hold a kind back.
  std::size_t kind_workers = 3;
  std::chrono::milliseconds kind_backoff = std::chrono::seconds(1);
  std::chrono::milliseconds max_kind_backoff = std::chrono::minutes(5);
  /// Failures of so many different kinds quarantine a worker.
  std::size_t worker_kinds = 3;
  /// So many failures in a row do too, when the same kind succeeds elsewhere.
  std::size_t worker_failures = 4;
  std::chrono::milliseconds quarantine_time = std::chrono::seconds(30);
  std::chrono::milliseconds max_quarantine_time = std::chrono::minutes(15);
  /// Successes that end the probation of a worker.
  std::size_t probation_successes = 3;
  /// Largest part of the workers in quarantine at a time.
  double max_quarantined = 0.25;
  /// Failed attempts after which a task is refused.
  std::uint32_t max_task_failures = 5;
  /// A worker that did not start a task gets no other one for so long.
  std::chrono::milliseconds not_started_wait = std::chrono::seconds(1);
};

struct interference_options {
  /// False takes no action and places without regard to harm.
  bool enabled = true;
  /// A slowdown above this starts an action.
  double start_above = 1.27;
  /// A slowdown below this lifts throttles step by step.
  double stop_below = 1.20;
  /// Most expected slowdown after a placement.
  double max_placement_slowdown = 1.22;
  /// Standard deviations added to the expected slowdown of a placement.
  double margin_deviations = 0.5;
  /// Acts on what the model and several windows show together. False acts on
  /// single windows, whose p99 scatters.
  bool smooth_windows = true;
  bool throttle_first = true;
  /// Where services are declared, a worker holds at most so many tasks per 16
  /// processors until its first report or until the wait is over. Reports lag,
  /// and a fleet filled before the first one harms its services for minutes.
  double unreported_tasks = 3.0;
  std::chrono::milliseconds unreported_wait = std::chrono::seconds(20);
  /// False acts on every report, also on those that cannot show the last
  /// action.
  bool wait_for_effect = true;
  /// Bad windows in a row before an eviction.
  int windows_before_eviction = 2;
  /// A window with fewer requests says too little about p99.
  std::int64_t min_requests = 20;
  /// Evictions per worker and minute, and the part of the workers that may be
  /// evicted from at once.
  double evictions_per_worker_minute = 0.05;
  double eviction_burst = 0.05;
};

struct reclaim_options {
  /// False starts tasks by age alone and returns no lent share.
  bool shares = true;
  /// Time that an entitled task waits before lent share is taken back.
  std::chrono::milliseconds after = std::chrono::milliseconds(300);
  /// Time after which an urgent task is started beside less urgent ones even if
  /// the expected harm to services is above the limit: urgent work has an aim
  /// of 3.2 s, and the less urgent tasks can be throttled afterwards.
  std::chrono::milliseconds ignore_slowdown_after =
      std::chrono::milliseconds(1500);
  /// Time between two rounds.
  std::chrono::milliseconds interval = std::chrono::milliseconds(250);
  /// Workers that are looked at for one waiting task.
  std::size_t candidates = 24;
  /// Workers taken back in one round.
  std::size_t per_round = 32;
  /// Time that a checkpoint may take before the task is stopped without one.
  std::chrono::milliseconds checkpoint_grace = std::chrono::seconds(2);
  /// Same, when room is taken back for a waiting urgent task.
  std::chrono::milliseconds urgent_grace = std::chrono::seconds(1);
  /// Wait after which a task that fits nowhere reserves a worker.
  std::chrono::milliseconds reserve_after = std::chrono::seconds(30);
  std::chrono::milliseconds reservation = std::chrono::seconds(60);
};

struct batch_options {
  usage_options usage;
  placement_options placement;
  failure_options failures;
  interference_options interference;
  reclaim_options reclaim;
  /// Time for which ended tasks are remembered, so that late events about them
  /// change nothing.
  std::chrono::milliseconds remember_ended = std::chrono::minutes(5);
  /// Seed of the random choices of placement.
  std::uint64_t seed = 1;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_OPTIONS_HPP
