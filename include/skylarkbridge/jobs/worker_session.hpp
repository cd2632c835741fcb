#ifndef SKYLARKBRIDGE_JOBS_WORKER_SESSION_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_SESSION_HPP

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fencing_token.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"
#include "skylarkbridge/jobs/orders.hpp"
#include "skylarkbridge/jobs/restart_cause.hpp"
#include "skylarkbridge/jobs/run_pace.hpp"
#include "skylarkbridge/jobs/worker_lease.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief State of a run, as far as the owner knows.
enum class run_phase {
  /// The start order was sent; its answer is pending.
  kStarting,
  kRunning,
  /// The start order was not answered: it may still be carried out, also by a
  /// later life of the worker.
  kUncertain,
  /// The stop order was carried out; the run has not been reported as ended.
  kStopping,
};

/// @brief What the owner knows about a run on a worker.
struct worker_run {
  run_phase phase = run_phase::kStarting;
  /// The worker has confirmed the start or reported the run.
  bool confirmed = false;
  /// Capacity reserved until the run is known not to be on the worker.
  resources reserved;
  /// The job of the run is not known. All capacity is reserved, whatever the
  /// worker has.
  bool need_unknown = false;
  /// Declared processor time of a best-effort task; it is not reserved.
  std::int64_t best_effort_millicores = 0;
  bool serving = false;
  /// Runs until its job is cancelled, so its capacity does not come free by
  /// itself.
  bool long_running = false;
  /// Is part of a gang, whose other runs end with it.
  bool gang = false;
  std::chrono::milliseconds latency_target{};
  std::string image;
  /// Number of the first renewal whose report must list the run if it is on
  /// the worker; zero while unknown.
  std::uint64_t first_conclusive_renewal = 0;
  /// The run no longer belongs to its task; its end is ignored.
  bool detached = false;
  /// The run was reported while its task was not known. It is neither adopted
  /// nor stopped before that is settled.
  bool unmatched = false;
  /// The task is suspected of crashing its workers, and no other task was
  /// started on the worker for some time after it.
  bool isolated = false;
  bool stop_wanted = false;
  bool stop_under_way = false;
  /// A stop order that failed, or that was acknowledged while the worker still
  /// lists the run, is not sent again before this time.
  time_point earliest_stop_retry;
  /// Stop orders that were sent, and the result of the last one with a reply.
  int stop_attempts = 0;
  std::optional<order_result> last_stop_result;
  worker_time start_by;
  std::string checkpoint;
  std::string ticket;
  time_point ordered_at;
  /// When the worker first listed the run in a report; empty before. A start
  /// may be carried out long after it was ordered.
  std::optional<time_point> first_reported_at;
  /// Progress, 0 to 100.
  int progress_percent = 0;
  /// As in running_task.
  std::optional<std::int64_t> measurement;
  run_pace pace;
  /// Smoothed difference between the log ratio of a serving task's tail latency
  /// to its target and the prediction of the interference model.
  double tail_residual = 0;
  /// Start of the current unbroken series of reports in which a serving task
  /// is over its target.
  std::optional<time_point> over_target_since;
  /// Start of the current violation of the target. Unlike over_target_since,
  /// it is reset only after the reports have stayed below the target for
  /// kRecoveryTime.
  std::optional<time_point> violation_since;
  /// Start of the current unbroken series of reports below the target.
  std::optional<time_point> under_target_since;
};

/// A worker that is missing from the list for longer is considered removed;
/// shorter gaps can be errors of the platform's store.
inline constexpr std::chrono::milliseconds kUnlistedGrace{2500};

/// @brief Times of a draining worker.
struct evacuation {
  /// When this owner first saw the worker drain.
  time_point since;
  /// Latest time for the stop of a long-running run, so that its end is
  /// reported before the worker leaves.
  time_point stop_by;
};

/// @brief State that the owner keeps for a worker.
struct worker_session {
  explicit worker_session(time_point latest_possible_expiry)
      : lease(latest_possible_expiry) {}

  worker_entry entry;
  /// When the worker disappeared from the platform's list; empty while listed.
  std::optional<time_point> unlisted_since;
  /// The newest entry of the worker in the list could not be decoded. It gets
  /// no new tasks until it writes one that can; `entry` is the last of these.
  bool entry_rejected = false;
  std::optional<worker_start_time> start_time;
  /// Empty while the worker does not drain.
  std::optional<evacuation> evacuation_state;
  worker_lease lease;
  /// The worker has seen this owner's epoch and has sent a report since.
  bool has_reported = false;
  /// The log record that lists the worker as leased is durable.
  bool registered = false;

  /// Token of the orders that are sent now.
  fencing_token fence;
  /// Token of the last renewal that was answered. The worker refuses all orders
  /// with a lower one.
  fencing_token confirmed_fence;
  /// Number of the first renewal with the token `fence`.
  std::uint64_t first_renewal_of_fence = 1;
  /// When the last token before `fence` was given up.
  time_point fence_raised_at;

  /// Number of the last renewal.
  std::uint64_t last_renewal = 0;
  bool renewal_under_way = false;
  /// Number of the first renewal whose answer counts; the others up to the last
  /// one were sent again beside it.
  std::uint64_t first_open_renewal = 1;
  /// When the renewal under way is sent again; empty to wait for its answer.
  std::optional<time_point> hedge_renewal_at;
  /// When the first of the open renewals was sent, and their address.
  time_point renewed_at;
  std::string renewal_address;
  /// Address at which the worker sent its last report; empty before the first.
  std::string reported_address;
  time_point next_renewal;
  time_point last_answer;
  /// When the renewal was sent that the worker answered last.
  time_point answered_renewal_sent_at;
  /// When the worker last confirmed a start.
  time_point last_confirmed_start;
  /// Consecutive renewals without a usable answer.
  int failed_renewals = 0;
  /// When the first of these failed; empty while there are none.
  std::optional<time_point> silent_since;
  /// A list of machines names the worker although it is silent, so that it runs
  /// on.
  bool listed_while_silent = false;
  /// The worker gets no new tasks before this time.
  time_point excluded_until;
  /// The same, after a start order without an answer. Tasks that can start only
  /// on this worker are excepted.
  time_point start_backoff_until;
  /// Consecutive start orders without an answer, with different tokens.
  int unanswered_starts = 0;
  /// When a task that is suspected of crashing its workers was last started
  /// on the worker; empty for never.
  std::optional<time_point> last_suspect_start;

  /// Number of the last ended run that was applied to its job, or that was
  /// added to the unmatched ends.
  std::uint64_t last_applied_ended_run = 0;
  /// Number up to which the ended runs will be durable with pending_ended_runs.
  std::uint64_t last_pending_ended_run = 0;
  /// Number of the last ended run that is durable in the log.
  std::uint64_t last_durable_ended_run = 0;
  /// Number of the last ended run that an answered renewal has acknowledged.
  std::uint64_t last_acknowledged_ended_run = 0;
  /// As above, for the renewal that is under way; zero for none.
  std::uint64_t ended_run_under_way = 0;
  /// For each log write that is not durable yet and covers ended runs: the
  /// number of the last of these runs, and the number of the write.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> pending_ended_runs;

  std::map<run_ref, worker_run> runs;
  /// Sum of `reserved` over the runs.
  resources used;
  /// Sum of `reserved` over the long-running runs.
  resources used_by_long_running;
  /// Sum of `reserved` over the other runs that are part of a gang.
  resources used_by_gangs;
  std::int64_t best_effort_millicores = 0;
  /// Declared processor time of the serving tasks.
  std::int64_t serving_millicores = 0;
  /// Earliest `over_target_since` of the worker's serving tasks; empty when
  /// none is over its target.
  std::optional<time_point> over_target_since;
  /// No task is evicted for interference before this time.
  time_point earliest_eviction;
  room_events changes;
  /// Failed runs since the last successful one, over all jobs.
  int consecutive_failures = 0;

  /// @brief Whether the worker has been missing from the list for longer than
  /// kUnlistedGrace.
  bool RemovedFromList(time_point now) const {
    return unlisted_since && now > *unlisted_since + kUnlistedGrace;
  }
  /// @brief Whether the incarnation of the worker that answered last refuses
  /// all orders with lower tokens than `fence`, and no renewal has failed
  /// since.
  bool RefusesLateOrders() const {
    return failed_renewals == 0 && confirmed_fence == fence;
  }
  /// @brief Whether `entry` was written by the life of the worker that sent the
  /// last report. The capacity may differ from one life to the next.
  bool EntryIsOfThisLife() const {
    return !entry.start_time || !start_time || *entry.start_time == *start_time;
  }
  /// @brief Whether `entry` names the address of the last report.
  bool EntryIsAtReportedAddress() const {
    return entry.address == reported_address;
  }
  /// @brief Reserves all capacity for the runs with an unknown need.
  void ReserveForUnknownNeeds() {
    for (auto& [run, state] : runs) {
      if (state.need_unknown) {
        used -= state.reserved;
        state.reserved = entry.capacity;
        used += state.reserved;
      }
    }
  }
  /// @brief Capacity that is not reserved.
  resources Room() const {
    resources room = entry.capacity;
    room -= used;
    return room;
  }
  /// @brief Capacity that is not reserved once all runs other than long-running
  /// ones have ended.
  resources EventualRoom() const {
    resources room = entry.capacity;
    room -= used_by_long_running;
    return room;
  }
  /// @brief Capacity that is not reserved once all runs that can be preempted
  /// have been stopped.
  resources PreemptibleRoom() const {
    resources room = EventualRoom();
    room -= used_by_gangs;
    return room;
  }
};

/// @brief A worker leased by an earlier owner that has not sent a report yet.
struct unreported_worker {
  /// Latest expiry of its lease.
  time_point leased_until;
  /// As in leased_workers::addresses; empty when it is not known.
  std::string address;
  /// Its process has ended.
  bool ended = false;
};

/// @brief A long-running run on a draining worker.
struct leaving_run {
  run_ref run;
  worker_session* session = nullptr;
  worker_run* state = nullptr;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_SESSION_HPP
