#ifndef SKYLARKBRIDGE_JOBS_WORKER_REPORT_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_REPORT_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief The steady clock of one worker; it starts with the worker.
struct worker_clock {
  using duration = std::chrono::milliseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<worker_clock>;
  // NOLINTNEXTLINE(readability-identifier-naming): named by the standard
  static constexpr bool is_steady = true;
};
using worker_time = worker_clock::time_point;

/// @brief When a worker's process started; tells its lives apart.
using worker_start_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// @brief What a worker says of itself in the platform's list.
struct worker_entry {
  std::string worker;
  std::string service;
  /// "IP:PORT" of the worker's interface.
  std::string address;
  std::string data_centre;
  bool draining = false;
  /// While it drains, the least time until it leaves.
  std::chrono::milliseconds minimum_left{};
  resources capacity;
  /// The kind of the machine, its rack, and others.
  std::vector<std::string> labels;
  std::string rack;
  std::optional<worker_start_time> start_time;

  bool operator==(const worker_entry&) const = default;
};

/// @brief A task that a worker runs.
struct running_task {
  run_ref run;
  /// Newest checkpoint; empty for none.
  std::string checkpoint;
  int percent = 0;
  /// Rough figure for the last half second: tail latency in milliseconds of a
  /// task that serves, millicores in use of any other.
  std::optional<std::int64_t> usage;
};

enum class run_end {
  kDone,
  /// Through its own fault or the worker's.
  kFailed,
  kStopped,
  kLeaseExpired,
  /// Another member of the gang ended.
  kGangMemberEnded,
  /// The other members of the gang did not come in time.
  kGangIncomplete,
};

/// @brief An end that the worker repeats until it is acknowledged.
struct ended_task {
  /// Counts the ends of one life of the worker, from 1.
  std::uint64_t number = 0;
  run_ref run;
  run_end outcome = run_end::kDone;
  std::string checkpoint;
};

/// @brief A worker's lists.
struct worker_report {
  std::optional<worker_start_time> start_time;
  worker_time clock;
  std::vector<running_task> running;
  std::vector<ended_task> ended;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_REPORT_HPP
