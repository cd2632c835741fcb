#ifndef SKYLARKBRIDGE_JOBS_JOB_REGISTRY_HPP
#define SKYLARKBRIDGE_JOBS_JOB_REGISTRY_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/job_record.hpp"

namespace skylarkbridge::jobs {

/// @brief State of a job according to the records of the logs.
struct job_state {
  std::string queue;
  wall_time accepted_at{};
  job_spec spec;
  /// The cell that runs the job.
  cell_id cell = 0;
  /// As job_accepted::settings.
  std::optional<queue_configuration> settings;
  job_progress progress;
  bool cancelled = false;
  /// The cell is neither the job's home nor the cell that runs the job: it only
  /// runs tasks that are delegated to it. The cell's log has no records of the
  /// job.
  bool is_guest = false;
  /// When this process first read the job's record.
  time_point seen_at;
  /// When this process learned that the job has ended; nullopt while open.
  std::optional<time_point> ended_at;

  bool Ended() const {
    return cancelled || progress.status != job_status::kOpen;
  }
};

/// @brief State of a job as reported to callers.
enum class reported_state {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// @brief The jobs of one cell: those whose home it is, those that it runs, and
/// those of which tasks are delegated to it.
/// Built by applying the records of the logs in order.
///
/// Every entry VM keeps a registry of each cell, so that it can answer callers
/// and take over the ownership. Applying a record twice has no effect.
class job_registry {
 public:
  explicit job_registry(cell_id cell = 0) : cell_(cell) {}

  /// @brief Adds a job unless it is known: of several records of a job the
  /// first one holds. Returns whether it was added.
  bool Apply(job_accepted record, time_point now);
  /// @brief Adds or updates a job of which tasks are delegated to this cell.
  /// @param running the job's state according to the cell that runs it.
  void ApplyDelegated(job_id job, const job_state& running, time_point now);
  /// @brief Cancels a job. Returns whether it was known and open.
  bool Apply(const job_cancelled& record, time_point now);
  /// @brief Replaces the progress of a job.
  void Apply(job_advanced record, time_point now);
  /// @brief Removes a job.
  void Apply(const job_dropped& record);

  /// @brief Finds a job; null when it is unknown.
  const job_state* Find(job_id job) const;
  /// @brief Returns the state to report to callers; nullopt for unknown jobs.
  std::optional<reported_state> ReportedState(job_id job) const;

  /// @brief Whether this cell runs the job, and is not only its home.
  bool RunsHere(const job_state& state) const { return state.cell == cell_; }
  /// @brief Whether this cell runs the job or tasks that are delegated to it.
  bool HasTasksHere(const job_state& state) const;
  cell_id Cell() const { return cell_; }
  /// @brief Returns the processor time, in millicores, that the long-running
  /// steps of the open jobs of this cell request.
  std::int64_t LongRunningMillicores() const {
    return long_running_millicores_;
  }

  /// @brief Counts the open jobs of a queue that this cell runs and of which no
  /// task has started.
  std::size_t CountUnstarted(std::string_view queue) const;

  /// @brief Returns the jobs that ended before @p limit, the earliest first.
  /// Includes cancelled jobs that were never accepted.
  std::vector<job_id> EndedBefore(time_point limit) const;

  /// @brief The jobs whose newest record names another running cell than the
  /// first one, which holds. A VM that reads only the newest record of each key
  /// would disagree with the others.
  const std::set<job_id>& JobsWithOverwrittenCell() const {
    return overwritten_;
  }

  const absl::flat_hash_map<job_id, job_state>& Jobs() const { return jobs_; }

 private:
  /// Records of a job that were read before its job_accepted record. The pages
  /// of a snapshot are ordered by key, and the key of job_cancelled sorts
  /// before that of job_accepted. A cancellation may also be stored before the
  /// acceptance, or without one.
  struct early_records {
    bool cancelled = false;
    std::optional<job_progress> progress;
  };

  void RecordEnd(job_id job, job_state& state, time_point now);
  /// Contribution of an open job to LongRunningMillicores.
  std::int64_t LongRunningMillicoresOf(const job_state& state) const;

  const cell_id cell_;
  std::int64_t long_running_millicores_ = 0;
  absl::flat_hash_map<job_id, job_state> jobs_;
  absl::flat_hash_map<job_id, early_records> early_records_;
  std::set<job_id> overwritten_;
  /// Ended jobs, in the order in which this process learned of their ends.
  std::deque<std::pair<time_point, job_id>> ended_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_REGISTRY_HPP
