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

/// @brief Failures of one kind. After failures on several workers the kind
/// waits, then tries one task at a time until one succeeds.
class kind_failures {
 public:
  /// @return true when the kind is held back from now on.
  bool RecordFailure(worker_id worker, time_point now, const failure_options& options);
  void RecordSuccess(time_point now);
  /// @brief Forgets the failures on a worker that turned out to be faulty.
  void ForgetWorker(worker_id worker);

  /// @brief Trial tasks run one at a time, at first on workers without a
  /// failure.
  bool OnTrial() const { return level_ > 0; }
  /// @brief Whether no worker without a failure took a trial in time, so that
  /// it may run on any. A kind that failed on every worker would otherwise wait
  /// for ever, also after its fault is repaired.
  bool TrialOnAnyWorker(time_point now) const {
    return now >= held_until_ + kOtherWorkersFirst;
  }
  bool FailedOn(worker_id worker) const;
  /// @brief End of the wait, while the kind is held back.
  std::optional<time_point> HeldUntil() const;
  std::optional<time_point> LastSuccess() const { return last_success_; }
  const std::vector<worker_id>& Workers() const { return workers_; }

 private:
  static constexpr std::chrono::seconds kOtherWorkersFirst{10};

  std::vector<worker_id> workers_;
  unsigned level_ = 0;
  time_point held_until_;
  std::optional<time_point> last_success_;
};

/// @brief Failures of one worker. After failures of several kinds it is
/// quarantined, then runs one task at a time until several succeeded.
class worker_failures {
 public:
  /// @param kind_last_success of the same kind, on any worker.
  /// @return true when the worker should be quarantined.
  bool RecordFailure(kind_index kind,
            std::optional<time_point> kind_last_success,
            time_point now,
            const failure_options& options);
  /// @return true when this ended the probation.
  bool RecordSuccess(const failure_options& options);
  void Quarantine(time_point now, const failure_options& options);
  /// @brief Forgets the failures of a kind that turned out to be faulty.
  void ForgetKind(kind_index kind);

  bool Quarantined(time_point now) const { return now < until_; }
  bool OnProbation() const { return level_ > 0; }
  time_point QuarantinedUntil() const { return until_; }
  const std::vector<kind_index>& Kinds() const { return kinds_; }

 private:
  std::vector<kind_index> kinds_;
  std::size_t in_a_row_ = 0;
  time_point first_of_row_;
  unsigned level_ = 0;
  std::size_t successes_ = 0;
  time_point until_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_FAILURE_TRACKER_HPP
