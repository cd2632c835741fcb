#ifndef SKYLARKBRIDGE_JOBS_LATE_STARTS_HPP
#define SKYLARKBRIDGE_JOBS_LATE_STARTS_HPP

#include <map>
#include <string>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

/// @brief A start order without an answer that the life of the worker which
/// reported last has not carried out and refuses. A later life may carry it
/// out.
struct late_start {
  std::string worker;
  /// The order is carried out before this time or never.
  time_point arrives_by;
  /// Latest time at which a run that it started is on the worker, unless the
  /// worker has answered the owner since `arrives_by`.
  time_point runs_until;
};

/// @brief The late starts of an owner, by the task that they would start.
///
/// Until its late start can have no effect, a task starts only on the worker of
/// that order: a life that refuses the order runs the task, and when that life
/// ends its run ends with it.
class late_starts {
 public:
  /// @brief Adds a late start. A task has several only on the same worker.
  void Add(const task_ref& task, const late_start& start);
  /// @brief The late start of a task; null without one.
  const late_start* Find(const task_ref& task) const;
  const std::map<task_ref, late_start>& All() const { return starts_; }
  /// @brief Removes the late starts for which @p is_over holds.
  template <class Predicate>
  void RemoveIf(Predicate is_over) {
    std::erase_if(starts_, [&is_over](const auto& entry) {
      return is_over(entry.second);
    });
  }
  void Clear() { starts_.clear(); }

 private:
  std::map<task_ref, late_start> starts_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_LATE_STARTS_HPP
