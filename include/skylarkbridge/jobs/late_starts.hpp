#ifndef SKYLARKBRIDGE_JOBS_LATE_STARTS_HPP
#define SKYLARKBRIDGE_JOBS_LATE_STARTS_HPP

#include <iterator>
#include <map>
#include <optional>
#include <string>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

/// @brief Start orders of one task without an answer that the life of the
/// worker which reported last has not carried out and refuses. A later life may
/// carry them out.
struct late_start {
  std::string worker;
  /// When the last of the orders was sent.
  time_point last_sent_at;
  /// The orders are carried out before this time or never.
  time_point arrives_by;
  /// Latest time at which a run that they started is on the worker, unless the
  /// worker has answered the owner since `arrives_by`.
  time_point runs_until;
  /// Orders without an answer that were sent to this life of the worker.
  int unanswered = 1;
  /// When a long-running task that waits may start on any worker that has room,
  /// if the life of its worker that reports refuses the orders.
  std::optional<time_point> leaves_at;
  /// End of the run after which the task waits until `leaves_at`; nothing for a
  /// task that has not run.
  std::optional<time_point> waits_since;
  /// Set once the task is bound no more but the worker is not chosen for it
  /// before this time.
  std::optional<time_point> avoided_until;
  /// When `avoided_until` was set.
  time_point avoided_from;

  /// @brief Whether the task may start only on the worker.
  bool Binds() const { return !avoided_until; }
};

/// @brief The late starts of an owner, by the task that they would start.
///
/// Until its late start can have no effect, a task starts only on the worker of
/// that order: a life that refuses the order runs the task, and when that life
/// ends its run ends with it.
class late_starts {
 public:
  /// @brief Adds a late start. A task has several that bind it only on the same
  /// worker.
  void Add(const task_ref& task, const late_start& start);
  /// @brief The late start of a task, also one that does not bind it; null
  /// without one.
  const late_start* Find(const task_ref& task) const;
  /// @brief The late start that binds a task to its worker; null without one.
  const late_start* FindBinding(const task_ref& task) const;
  /// @brief Sets late_start::leaves_at of a task that a late start binds,
  /// unless it is set for the wait that began at @p waits_since.
  void LeaveAt(const task_ref& task,
               std::optional<time_point> waits_since,
               time_point leaves_at);
  /// @brief Counts the unanswered orders to the worker anew, as its next life
  /// may answer.
  void WorkerRestarted(const std::string& worker);
  const std::map<task_ref, late_start>& All() const { return starts_; }
  /// @brief Removes the late starts for which @p is_over holds. It may change
  /// those that stay.
  template <class Predicate>
  void RemoveIf(Predicate is_over) {
    for (auto entry = starts_.begin(); entry != starts_.end();) {
      entry = is_over(entry->first, entry->second) ? starts_.erase(entry)
                                                   : std::next(entry);
    }
  }
  void Clear() { starts_.clear(); }

 private:
  std::map<task_ref, late_start> starts_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_LATE_STARTS_HPP
