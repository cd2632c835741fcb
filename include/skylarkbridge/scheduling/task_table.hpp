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
/// is removed.
using task_index = std::uint32_t;
using kind_index = std::uint32_t;
using team_index = std::uint32_t;
using worker_index = std::uint32_t;
inline constexpr std::uint32_t kNone =
    std::numeric_limits<std::uint32_t>::max();

enum class task_phase {
  kWaiting,
  kRunning,
  /// Asked for a checkpoint before an eviction.
  kCheckpointing,
  /// Told to stop; holds its lease until the worker confirms.
  kStopping,
};

struct task_entry {
  task_id id;
  kind_index kind = kNone;
  task_phase phase = task_phase::kWaiting;
  bool cancelled = false;
  /// False until this scheduler starts or adopts an attempt itself.
  bool known_attempt = false;
  bool resumed = false;
  std::uint32_t attempt = 0;
  std::uint32_t failures = 0;
  std::optional<std::string> checkpoint;
  resources leased;
  /// Most use that was measured above a lease; later leases are no smaller.
  resources needed;
  time_point queued;
  time_point started;
  /// Start, or last checkpoint: what came after is lost in an eviction.
  time_point progress_saved_at;
  std::int64_t processor_permille = 1000;
  worker_index worker = kNone;
  /// Worker that this task failed on or was evicted from last, and the time
  /// until which it does not go back there.
  worker_id avoided_worker;
  time_point avoid_until;
  /// Throttled because the worker has no room for a larger lease.
  bool throttled_for_capacity = false;
  /// Started while its kind was on trial.
  bool trial = false;
  /// Order of submission.
  std::uint64_t sequence = 0;
  task_index previous = kNone;
  task_index next = kNone;
};

/// @brief Doubly linked list through the entries of a task_table. A task is in
/// at most one list, either the queue of its kind or that of its worker.
struct task_list {
  task_index head = kNone;
  task_index tail = kNone;
  std::size_t size = 0;
};

/// @brief All open tasks; every operation takes constant time.
class task_table {
 public:
  /// @return position of a new task, which must be unknown.
  task_index Add(task_id id);
  /// @brief Forgets a task that is in no list.
  void Remove(task_index index);
  /// @return kNone when unknown.
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

/// @brief Ids of tasks that ended recently, bounded in time and number.
class ended_tasks {
 public:
  void Add(task_id id, time_point forget_at);
  bool Contains(task_id id) const { return by_id_.contains(id); }
  void Expire(time_point now);

 private:
  // 5 minutes at the 74 starts per second of one data centre at target size.
  static constexpr std::size_t kMost = 1 << 15;
  absl::flat_hash_map<task_id, time_point> by_id_;
  std::deque<std::pair<time_point, task_id>> order_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_TASK_TABLE_HPP
