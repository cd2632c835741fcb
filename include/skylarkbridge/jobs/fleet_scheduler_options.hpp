#ifndef SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_OPTIONS_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_OPTIONS_HPP

#include <chrono>
#include <cstddef>

#include "skylarkbridge/jobs/job_table.hpp"
#include "skylarkbridge/jobs/permit_cache.hpp"
#include "skylarkbridge/jobs/placement.hpp"
#include "skylarkbridge/jobs/renewal_retry.hpp"
#include "skylarkbridge/jobs/start_limit.hpp"

namespace skylarkbridge::jobs {

/// @brief Timing and limits of a fleet_scheduler.
struct fleet_scheduler_options {
  /// Duration of the lease that each renewal requests.
  std::chrono::milliseconds lease{5000};
  /// Longest lease that a worker grants, whatever an order requests.
  std::chrono::milliseconds max_lease{6000};
  /// A new owner stores after this time which workers of earlier owners have
  /// not reported to it. Most report at once, and those that are stored get no
  /// longer leases until their report is stored.
  std::chrono::milliseconds unreported_delay{1000};
  /// How long a worker may delay its answer to a renewal until a run ends.
  std::chrono::milliseconds renewal_wait{1000};
  /// How long the answer to a renewal may take, without the delay that the
  /// worker was asked for. Grows by the same amount with each unanswered one,
  /// as the answers of a congested link are late but do arrive.
  std::chrono::milliseconds renewal_timeout{500};
  std::chrono::milliseconds max_renewal_timeout{1500};
  renewal_retry_options renewal_retry;
  /// Interval of the renewals while ended runs are not durable yet.
  std::chrono::milliseconds unstored_renewal_interval{400};
  /// How long a batch task waits, after the lease of a listed worker has
  /// expired, for the report that tells how its run has ended. A worker that is
  /// listed is alive, and most likely only its answers are late. Below the time
  /// that the platform allows a ready task to wait for nothing.
  std::chrono::milliseconds max_report_wait{2000};
  /// Age at which a worker refuses a start order.
  std::chrono::milliseconds start_validity{1500};
  /// An unanswered order is carried out within this time or never.
  std::chrono::milliseconds max_order_delay{15'000};
  /// A long-running task that a late start binds to its worker may start
  /// elsewhere this long after the end of its last run, but not while a start
  /// of it is under way. Of the 6 s that a restart may take, this leaves 2.3 s
  /// for a delegation to another cell or for the stops of a relocation.
  std::chrono::milliseconds bound_restart_limit{3700};
  /// Longest time that stopping a task takes.
  std::chrono::milliseconds stop_timeout{400};
  /// Delay after a stop order that failed.
  std::chrono::milliseconds stop_retry_delay{150};
  /// A worker that has not answered for this long gets no new tasks.
  std::chrono::milliseconds max_silence{1700};
  /// How long a worker gets no new tasks after a start order failed there.
  std::chrono::milliseconds fault_backoff{500};
  /// The delay doubles with each further start without an answer, up to this.
  /// Shorter than the time within which a long-running task has to run again.
  std::chrono::milliseconds max_start_backoff{4000};
  /// How long a worker is not chosen for a task after several starts of it got
  /// no answer, counted from the time when they can have no effect any more.
  std::chrono::milliseconds unanswered_start_avoidance{30'000};
  /// How long a worker gets no new tasks after failures_for_quarantine failed
  /// runs without a successful one.
  std::chrono::milliseconds quarantine{3000};
  int failures_for_quarantine = 4;
  /// A task is suspected of a worker's crash when it was started there this
  /// long before the worker's last answer, or later.
  std::chrono::milliseconds crash_window{1000};
  /// How long a worker that has left the list may take to prove by its return
  /// that it has crashed.
  std::chrono::milliseconds presumed_crash_retention{30'000};
  /// Interval of the starts of suspected tasks on one worker. Longer than
  /// crash_window and renewal_wait together, so that only one of them can be
  /// suspected of the worker's next crash.
  std::chrono::milliseconds suspect_interval{2100};
  /// After the start of a task that is suspected of this many crashes, no other
  /// task is started on the worker for suspect_interval.
  std::size_t crashes_before_isolation = 2;
  /// A worker with a serving task over its latency target for this long gets no
  /// best-effort tasks until the tail latency is below the target again.
  std::chrono::milliseconds over_target_grace{300};
  /// Best-effort tasks with this progress or more are not evicted for
  /// interference.
  int max_evict_percent = 70;
  /// A best-effort run that is paused for longer is resumed if no target on its
  /// worker is violated. Otherwise it is stopped, if it has checkpoints.
  std::chrono::milliseconds max_pause{4000};
  /// A best-effort run that is paused for longer is stopped in any case, unless
  /// it is long-running.
  std::chrono::milliseconds max_pause_before_stop{8000};
  /// Replaces renewal_wait while a serving task is over its target.
  std::chrono::milliseconds over_target_renewal_wait{400};
  /// Minimum interval of the placement passes while some tasks find no room.
  std::chrono::milliseconds pass_interval{20};
  /// A placement pass ends after it has searched the workers in vain for this
  /// many steps.
  std::size_t max_unplaced_steps = 40;
  /// After this many of them a pass leaves out the steps that earlier passes of
  /// the same sweep have looked at; see placement_sweep.
  std::size_t max_unplaced_in_front = 20;
  /// A task of a long-running step that has begun waits this long for its first
  /// start; after that it waits as a restart does. A step that its cell has no
  /// room for would otherwise stay incomplete for good.
  std::chrono::milliseconds first_start_patience{1500};
  /// For a restart of a long-running task that waits longer for room, other
  /// runs are stopped on the worker on which room is reserved for it. This and
  /// the next two delays count from the time at which the task could have
  /// started, not from the end of its run.
  std::chrono::milliseconds preemption_delay{1000};
  /// A restart of a long-running task is delegated to another cell when it has
  /// waited this long and no worker can have room for it. Long enough for a
  /// worker that restarts at once to come back.
  std::chrono::milliseconds delegation_delay{500};
  /// The same when room is reserved for it on a worker. Longer than
  /// preemption_delay and the stop of a task together.
  std::chrono::milliseconds max_reserved_wait{2000};
  /// For a restart of a long-running task that has waited this long, while no
  /// worker can have room for it in one piece, a smaller long-running run is
  /// relocated. Longer than a delegation to the share of another cell takes.
  std::chrono::milliseconds relocation_delay{2200};
  /// Interval of the searches for a run to relocate for one restart.
  std::chrono::milliseconds relocation_search_interval{400};
  /// A relocation ends after this time, also if its task has not started again.
  std::chrono::milliseconds relocation_timeout{4000};
  /// A task is not relocated again within this time.
  std::chrono::milliseconds min_relocation_interval{60'000};
  /// A long-running task that waits longer for its restart is reported.
  std::chrono::milliseconds restart_report_delay{1000};
  /// Interval of these reports.
  std::chrono::milliseconds restart_report_interval{1000};
  /// Tasks that are reported at once because they have waited longest, and as
  /// many because they need least.
  std::size_t max_restart_reports = 5;
  /// Other waiting tasks that are listed at once, with little more than the
  /// reason of their wait. If more wait, they are listed in turn.
  std::size_t max_listed_restarts = 72;
  /// Interval of the reports on tasks that wait for the workers of an earlier
  /// owner.
  std::chrono::milliseconds takeover_report_interval{1000};
  /// A run of a cancelled job that is on its worker for longer is reported.
  std::chrono::milliseconds cancel_report_delay{1000};
  /// Interval of these reports.
  std::chrono::milliseconds cancel_report_interval{1000};
  /// Runs that are reported at once, those that have been cancelled longest.
  std::size_t max_cancel_reports = 5;
  job_table_options jobs;
  placement_options placement;
  start_limit_options start_limit;
  permit_options permits;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_OPTIONS_HPP
