#ifndef SKYLARKBRIDGE_JOBS_JOB_REGISTRY_HPP
#define SKYLARKBRIDGE_JOBS_JOB_REGISTRY_HPP

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/job_record.hpp"

namespace skylarkbridge::jobs {

/// @brief One job as the log tells it.
struct job_state {
  std::string queue;
  wall_time accepted_at{};
  job_spec spec;
  /// The cell that runs the job.
  cell_id cell = 0;
  job_progress progress;
  bool cancelled = false;
  /// When this process first saw the job's record.
  time_point seen_at;
  /// When this process learned that the job has ended.
  std::optional<time_point> ended_at;

  bool Ended() const {
    return cancelled || progress.status != job_status::kOpen;
  }
};

/// @brief What a caller is told about a job.
enum class reported_state {
  kQueued,
  kRunning,
  kCompleted,
  kFailed,
  kCancelled,
};

/// @brief The jobs that one cell is the home of or runs, folded from the
/// records of the logs in their order.
///
/// Every entry VM keeps one for each cell, so each answers callers by itself
/// and can take the ownership over. Applying a record twice changes nothing.
class job_registry {
 public:
  explicit job_registry(cell_id cell = 0) : cell_(cell) {}

  /// @brief Adds a job; ignored when it is known. Returns true when it is new.
  bool Apply(job_accepted record, time_point now);
  /// @brief Returns true when the job is known and was open.
  bool Apply(const job_cancelled& record, time_point now);
  void Apply(job_advanced record, time_point now);
  void Apply(const job_dropped& record);

  const job_state* Find(job_id job) const;
  std::optional<reported_state> ReportedState(job_id job) const;

  /// @brief Whether the cell runs the job, not only keeps it.
  bool RunsHere(const job_state& state) const { return state.cell == cell_; }
  /// @brief Processor time that the open long-running steps of the cell ask
  /// for.
  std::int64_t LongRunningMillicores() const { return long_running_; }

  /// @brief Jobs of a queue that the cell runs, that are open, and of which no
  /// task has started.
  std::size_t Pending(std::string_view queue) const;

  /// @brief Jobs that ended before @p limit, at most @p most of them.
  std::vector<job_id> EndedBefore(time_point limit, std::size_t most) const;

  const absl::flat_hash_map<job_id, job_state>& Jobs() const { return jobs_; }

 private:
  /// Records of a job whose acceptance comes later, as the pages of a snapshot
  /// are ordered by key.
  struct early_records {
    bool cancelled = false;
    std::optional<job_progress> progress;
  };

  void NoteEnd(job_id job, job_state& state, time_point now);
  /// What an open job adds to LongRunningMillicores.
  std::int64_t LongRunning(const job_state& state) const;

  const cell_id cell_;
  std::int64_t long_running_ = 0;
  absl::flat_hash_map<job_id, job_state> jobs_;
  absl::flat_hash_map<job_id, early_records> early_;
  /// In the order of their ends.
  std::deque<std::pair<time_point, job_id>> ended_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_REGISTRY_HPP
