#ifndef SKYLARKBRIDGE_SCHEDULING_FAILURE_TRACKER_HPP
#define SKYLARKBRIDGE_SCHEDULING_FAILURE_TRACKER_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"
#include "skylarkbridge/scheduling/task_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Failures of one kind. After failures on several workers the kind is
/// put on backoff, then runs one trial task at a time until one succeeds.
class kind_failures {
 public:
  /// @return true if this failure starts a new backoff.
  bool RecordFailure(worker_id worker,
                     time_point now,
                     const failure_options& options);
  void RecordSuccess(time_point now);
  /// @brief Drops the failures on a worker that turned out to be faulty.
  void ForgetWorker(worker_id worker);

  /// @brief True from the start of a backoff until the next success. After the
  /// backoff, the kind runs one trial task at a time, at first only on workers
  /// on which it has not failed.
  bool OnTrial() const { return backoff_level_ > 0; }
  /// @brief True if a trial may also run on workers on which the kind failed,
  /// because no other worker took it in time. A kind that failed on every
  /// worker would otherwise wait forever, even after its fault is fixed.
  bool TrialOnAnyWorker(time_point now) const {
    return now >= held_until_ + kFailedWorkerExclusionTime;
  }
  bool FailedOn(worker_id worker) const;
  /// @brief End of the latest backoff; empty unless OnTrial().
  std::optional<time_point> HeldUntil() const;
  /// @brief Time of the last success on any worker.
  std::optional<time_point> LastSuccess() const { return last_success_; }
  /// @brief Workers with recent failures of the kind, oldest first.
  const std::vector<worker_id>& FailedWorkers() const { return workers_; }

 private:
  static constexpr std::chrono::seconds kFailedWorkerExclusionTime{10};

  std::vector<worker_id> workers_;
  /// Number of backoffs since the last success.
  unsigned backoff_level_ = 0;
  time_point held_until_;
  std::optional<time_point> last_success_;
};

/// @brief Failures of one worker. After failures of several kinds it is
/// quarantined. It is then on probation and runs one task at a time until
/// several have succeeded.
class worker_failures {
 public:
  /// @param kind_last_success last success of the kind on any worker.
  /// @return true if the worker should be quarantined.
  bool RecordFailure(kind_index kind,
                     std::optional<time_point> kind_last_success,
                     time_point now,
                     const failure_options& options);
  /// @return true if this success ends the probation.
  bool RecordSuccess(const failure_options& options);
  void Quarantine(time_point now, const failure_options& options);
  /// @brief Drops the failures of a kind that turned out to be faulty.
  void ForgetKind(kind_index kind);

  bool Quarantined(time_point now) const { return now < quarantined_until_; }
  /// @brief True from the start of a quarantine to the end of the probation.
  bool OnProbation() const { return quarantine_level_ > 0; }
  time_point QuarantinedUntil() const { return quarantined_until_; }
  /// @brief Kinds that failed since the last success or quarantine.
  const std::vector<kind_index>& FailedKinds() const { return kinds_; }

 private:
  std::vector<kind_index> kinds_;
  std::size_t consecutive_failures_ = 0;
  time_point first_failure_;
  /// Number of quarantines since the last probation ended.
  unsigned quarantine_level_ = 0;
  std::size_t successes_ = 0;
  time_point quarantined_until_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_FAILURE_TRACKER_HPP
