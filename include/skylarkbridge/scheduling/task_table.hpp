#ifndef SKYLARKBRIDGE_SCHEDULING_TASK_TABLE_HPP
#define SKYLARKBRIDGE_SCHEDULING_TASK_TABLE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::scheduling {

/// @brief Positions in the tables of the batch scheduler; valid until the entry
/// is removed. kNone stands for no entry.
using task_index = std::uint32_t;
using kind_index = std::uint32_t;
using team_index = std::uint32_t;
using worker_index = std::uint32_t;
inline constexpr std::uint32_t kNone =
    std::numeric_limits<std::uint32_t>::max();

/// @brief Phase in the life of an open task.
enum class task_phase {
  kWaiting,
  kRunning,
  /// Writes a checkpoint before an eviction.
  kCheckpointing,
  /// Told to stop; keeps its lease until the worker confirms.
  kStopping,
};

/// @brief State of one open task.
struct task_entry {
  task_id id;
  kind_index kind = kNone;
  task_phase phase = task_phase::kWaiting;
  bool cancelled = false;
  /// True once this scheduler has started an attempt or learnt of one from a
  /// worker.
  bool known_attempt = false;
  /// True if the task was accepted earlier, for example before a takeover.
  bool previously_accepted = false;
  std::uint32_t attempt = 0;
  std::uint32_t failures = 0;
  std::optional<std::string> checkpoint;
  resources leased;
  /// Largest measured use that exceeded the lease, plus headroom; lower bound
  /// of later leases.
  resources min_lease;
  /// Time of the last entry into the queue.
  time_point queued_at;
  time_point started_at;
  /// Time of the start or the last checkpoint; an eviction loses the progress
  /// made since.
  time_point progress_saved_at;
  std::int64_t processor_permille = 1000;
  worker_index worker = kNone;
  /// Worker on which this task last failed or from which it was last evicted.
  /// It is not placed there again before avoid_until.
  worker_id avoided_worker;
  time_point avoid_until;
  /// Throttled because the worker has no free resources for a larger lease.
  bool throttled_for_capacity = false;
  /// Started while its kind was on trial after failures.
  bool trial = false;
  /// Order of submission.
  std::uint64_t sequence = 0;
  task_index previous = kNone;
  task_index next = kNone;
};

/// @brief Doubly linked list through the entries of a task_table. A task is in
/// at most one list: the waiting queue of its kind or the list of tasks on its
/// worker.
struct task_list {
  task_index head = kNone;
  task_index tail = kNone;
  std::size_t size = 0;
};

/// @brief All open tasks. Every operation takes constant time.
class task_table {
 public:
  /// @brief Adds a task; @p id must not be in the table.
  /// @return the position of the task.
  task_index Add(task_id id);
  /// @brief Removes a task, which must not be in a list.
  void Remove(task_index index);
  /// @return kNone if the task is unknown.
  task_index Find(task_id id) const;

  task_entry& operator[](task_index index) { return entries_[index]; }
  const task_entry& operator[](task_index index) const {
    return entries_[index];
  }
  std::size_t Size() const { return by_id_.size(); }

  void PushBack(task_list& list, task_index index);
  void PushFront(task_list& list, task_index index);
  void Unlink(task_list& list, task_index index);

 private:
  std::deque<task_entry> entries_;
  std::vector<task_index> free_;
  absl::flat_hash_map<task_id, task_index> by_id_;
};

/// @brief Ids of recently ended tasks, limited by age and number.
class ended_tasks {
 public:
  /// @brief Keeps the id until @p expiry, or shorter if there are too many.
  void Add(task_id id, time_point expiry);
  bool Contains(task_id id) const { return by_id_.contains(id); }
  /// @brief Removes all ids whose expiry has passed.
  void Expire(time_point now);

 private:
  // Sufficient for 5 minutes at the 74 starts per second of a data centre of
  // the target size.
  static constexpr std::size_t kMaxIds = 1 << 15;
  absl::flat_hash_map<task_id, time_point> by_id_;
  std::deque<std::pair<time_point, task_id>> order_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_TASK_TABLE_HPP
