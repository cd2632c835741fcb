#ifndef SKYLARKBRIDGE_JOBS_JOB_RECORD_HPP
#define SKYLARKBRIDGE_JOBS_JOB_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief Position of a record in the log of jobs.
using log_offset = std::uint64_t;

enum class job_status { kOpen, kCompleted, kFailed };

/// @brief Numbers of the failed runs of one task. After a takeover their ends
/// are listed again, by each worker for itself and so in any order; each counts
/// once.
using failed_runs = std::set<run_number>;

/// @brief What of one occurrence of one step is known to have ended.
struct step_progress {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  /// By task; empty while no task is done.
  std::vector<bool> done;
  /// By index of the task.
  std::map<std::uint32_t, failed_runs> failures;

  bool operator==(const step_progress&) const = default;
};

/// @brief Durable state of a job beside what the caller handed in.
struct job_progress {
  bool started = false;
  job_status status = job_status::kOpen;
  std::vector<step_progress> steps;

  bool operator==(const job_progress&) const = default;
};

/// @brief A job was accepted.
struct job_accepted {
  job_id job;
  std::string queue;
  wall_time accepted_at{};
  job_spec spec;
  /// The cell that runs the job; its home unless that has more to serve than
  /// others.
  cell_id cell = 0;
};

/// @brief The caller cancelled the job.
struct job_cancelled {
  job_id job;
};

/// @brief The owner's newest view of a job replaces the one before.
struct job_advanced {
  job_id job;
  job_progress progress;
};

/// @brief The job is forgotten.
struct job_dropped {
  job_id job;
};

/// @brief An entry VM claims the ownership of the fleet, confirms it or gives
/// it up.
struct ownership_record {
  epoch claim = 0;
  std::string vm;
  /// Drawn at the start of the process; tells two claims of one epoch apart.
  std::uint64_t incarnation = 0;
  bool released = false;
  /// From the write of the record on, for how long owners before this one may
  /// still give orders.
  std::chrono::milliseconds predecessor_validity{};

  bool operator==(const ownership_record&) const = default;
};

/// @brief Workers on which the owner may have started tasks. A successor that
/// can't reach one of them waits until its lease has expired.
struct leased_workers {
  epoch claim = 0;
  std::vector<std::string> workers;

  bool operator==(const leased_workers&) const = default;
};

/// @brief One record of the log of jobs.
using log_record = std::variant<job_accepted,
                                job_cancelled,
                                job_advanced,
                                job_dropped,
                                ownership_record,
                                leased_workers>;

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_RECORD_HPP
