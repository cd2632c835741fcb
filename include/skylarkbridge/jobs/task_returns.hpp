#ifndef SKYLARKBRIDGE_JOBS_TASK_RETURNS_HPP
#define SKYLARKBRIDGE_JOBS_TASK_RETURNS_HPP

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/job_record.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"

namespace skylarkbridge::jobs {

/// @brief Most tasks of one returned_tasks record. Each takes up to 80 bytes.
inline constexpr std::size_t kMaxReturnedTasks = 200;

/// @brief Whether the return needs no record any more: the cell that runs the
/// job has delegated the task again or taken it back, or the job has ended.
/// @param running the job's state by the log of the cell that runs it; null
/// when its records were deleted, or have not been read yet.
bool IsSettled(const returned_task& returned, const job_state* running);

/// @brief The delegated tasks that the owners of this cell have given back, as
/// its present owner stores them.
class task_returns {
 public:
  /// @brief Replaces all entries by those of the last record.
  void Begin(const returned_tasks& record);
  void Clear() { Begin({}); }

  bool Full() const { return entries_.size() >= kMaxReturnedTasks; }
  /// @brief Adds an entry, or replaces that of the same task.
  void Add(const returned_task& returned);
  /// @brief Marks an entry as settled. It is removed only
  /// kSettledRetention later, so that no successor relies on a log of the other
  /// cell that it read before.
  void Settle(const returned_task& returned, time_point now);
  /// @brief The entry has not been settled after all: its job was only not
  /// known yet.
  void Unsettle(const returned_task& returned);

  std::vector<returned_task> Tasks() const;
  /// @brief Whether the record has to be written again.
  bool HasChanges() const { return changed_; }
  /// @brief Returns the tasks to store if they have changed since the last
  /// call.
  std::optional<std::vector<returned_task>> TakeChanges();

 private:
  struct entry {
    returned_task returned;
    std::optional<time_point> settled_at;
  };

  std::map<task_ref, entry> entries_;
  bool changed_ = false;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_TASK_RETURNS_HPP
