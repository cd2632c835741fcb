#ifndef SKYLARKBRIDGE_JOBS_WORKER_REPORT_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_REPORT_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief The steady clock of a worker; it starts with the worker's process.
struct worker_clock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<worker_clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard
  static constexpr bool is_steady = true;
};
using worker_time = worker_clock::time_point;

/// @brief Start time of a worker's process; it changes with each restart.
using worker_start_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// @brief Entry of a worker in the platform's worker list.
struct worker_entry {
  std::string worker;
  std::string service;
  /// "IP:PORT" of the worker's API.
  std::string address;
  std::string data_centre;
  bool draining = false;
  /// Minimum time until the worker leaves; meaningful while draining.
  std::chrono::milliseconds minimum_time_left{};
  resources capacity;
  /// Machine type, rack and other labels.
  std::vector<std::string> labels;
  std::string rack;
  std::optional<worker_start_time> start_time;

  bool operator==(const worker_entry&) const = default;
};

/// @brief A running task in a worker's report.
struct running_task {
  run_ref run;
  /// Newest checkpoint; empty for none.
  std::string checkpoint;
  /// Progress, 0 to 100.
  int progress_percent = 0;
  /// Estimate over the last half second: the tail latency in milliseconds of a
  /// serving task, the millicores in use of any other.
  std::optional<std::int64_t> measurement;
};

/// @brief How a run ended.
enum class run_end {
  kDone,
  /// The task or the worker failed.
  kFailed,
  kStopped,
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangMemberEnded,
  /// The other members of the gang did not start in time.
  kGangIncomplete,
};

/// @brief An ended run; the worker reports it until it is acknowledged.
struct ended_task {
  /// Sequence number of the ended runs since the worker started, from 1.
  std::uint64_t number = 0;
  run_ref run;
  run_end outcome = run_end::kDone;
  std::string checkpoint;
};

/// @brief The running and the ended tasks of a worker at one time.
struct worker_report {
  /// A worker reports at most this many of the ends that are not acknowledged.
  static constexpr std::size_t kMaxEnds = 500;

  std::optional<worker_start_time> start_time;
  worker_time clock;
  std::vector<running_task> running;
  std::vector<ended_task> ended;

  /// @brief Whether the worker may have ends that the report does not list.
  bool MayOmitEnds() const { return ended.size() >= kMaxEnds; }
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_REPORT_HPP
