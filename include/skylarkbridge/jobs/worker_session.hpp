#ifndef SKYLARKBRIDGE_JOBS_WORKER_SESSION_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_SESSION_HPP

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"
#include "skylarkbridge/jobs/worker_lease.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

enum class run_phase {
  /// The order to start is under way.
  kStarting,
  kRunning,
  /// The order to start had no answer: it may still be carried out.
  kUncertain,
  /// The order to stop was carried out; the end is awaited.
  kStopping,
};

/// @brief What the owner knows of a run on a worker.
struct worker_run {
  run_phase phase = run_phase::kStarting;
  /// Counted against the worker's capacity until the run is known to be gone.
  resources reserved;
  /// Processor time that a best-effort task would like.
  std::int64_t best_effort_millicores = 0;
  bool serving = false;
  std::chrono::milliseconds latency_target{};
  std::string image;
  /// Lists that answer this call or a later one tell whether the run is there;
  /// zero while that is not so.
  std::uint64_t settled_by_call = 0;
  /// The run is not the task's any more; its end changes nothing.
  bool detached = false;
  bool stop_wanted = false;
  bool stop_under_way = false;
  time_point next_stop;
  int start_tries = 0;
  worker_time start_by;
  std::string checkpoint;
  std::string permit;
  time_point ordered_at;
  int percent = 0;
  /// When `percent` last changed.
  time_point progressed_at;
  std::optional<std::int64_t> usage;
  /// Share of its speed at which the task was last told to work.
  int pace = 100;
  bool pace_under_way = false;
  /// How far a serving task's tail lies over what its image and its
  /// neighbours explain; logarithm.
  double own_level = 0;
  /// Since when a serving task is over its target.
  std::optional<time_point> over_target_since;
  /// The same, with reports below the target in between, unless they last.
  std::optional<time_point> not_calm_since;
  /// Since when all of its reports are below the target.
  std::optional<time_point> under_target_since;
};

/// @brief The owner's relation to one worker.
struct worker_session {
  explicit worker_session(time_point unknown_until) : lease(unknown_until) {}

  worker_entry entry;
  /// When the platform's list dropped the worker; nothing while it is listed.
  std::optional<time_point> unlisted_since;
  std::optional<worker_start_time> start_time;
  worker_lease lease;
  /// The worker has seen this owner's epoch, and its lists were read since.
  bool accounted = false;
  /// The record that names the worker as leased is durable.
  bool registered = false;

  std::uint64_t calls = 0;
  bool renewal_under_way = false;
  time_point next_renewal;
  time_point last_answer;
  int failures = 0;
  /// No new work before this time.
  time_point avoid_until;

  /// Highest end that was taken over into the state of the jobs.
  std::uint64_t ends_seen = 0;
  /// Highest end that is durable.
  std::uint64_t ends_stored = 0;
  /// Ends that become durable with a write to the log, by its number.
  std::deque<std::pair<std::uint64_t, std::uint64_t>> ends_waiting;

  std::map<run_ref, worker_run> runs;
  /// Orders to start without an answer, with the time until which they may be
  /// carried out; a worker that started anew has to refuse them first.
  std::map<run_ref, time_point> late_starts;
  resources used;
  std::int64_t best_effort_millicores = 0;
  /// Processor time of the serving tasks by their declared need.
  std::int64_t serving_millicores = 0;
  /// Since when a serving task here is over its target.
  std::optional<time_point> over_target_since;
  time_point next_move;
  /// Ends in a row that were failures, over different jobs.
  int failed_in_a_row = 0;

  resources Room() const {
    resources room = entry.capacity;
    room -= used;
    return room;
  }
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_SESSION_HPP
