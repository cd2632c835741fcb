#ifndef SKYLARKBRIDGE_SCHEDULING_WORKER_TABLE_HPP
#define SKYLARKBRIDGE_SCHEDULING_WORKER_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/failure_tracker.hpp"
#include "skylarkbridge/scheduling/slowdown_model.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"
#include "skylarkbridge/scheduling/task_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief One service as seen on one worker.
struct service_view {
  std::uint32_t service = 0;
  /// Requests per second.
  double load = 0;
  /// Expected slowdown by the tasks that run now, as part of the latency.
  double expected_slowdown = 0;
  /// Slowdown that the last usable window showed beyond what was expected.
  double unexplained_slowdown = 0;
  time_point last_report;
};

/// @brief Time for which a task ran beside the services of a worker.
struct exposure_span {
  kind_index kind = kNone;
  task_id task;
  double amount = 0;
  time_point begin;
  time_point end = time_point::max();
};

/// @brief Where a worker stands in the steps against interference.
struct interference_state {
  /// A window that begins earlier cannot show the effect of the last action.
  time_point last_action = time_point::min();
  int bad_windows = 0;
  int good_windows = 0;
  double slowdown = 1.0;
  bool mitigating = false;
};

struct worker_entry {
  worker_state state;
  bool used = false;
  resources leased;
  task_list tasks;
  /// Room kept for `reserved_for`.
  resources reserved;
  kind_index reserved_for = kNone;
  time_point reserved_until;
  /// No start before this time, after the worker refused one.
  time_point not_before;
  worker_failures failures;
  std::vector<service_view> services;
  time_point joined_at;
  /// Exposure to the tasks that run, and to those that ran lately.
  std::vector<exposure_span> open;
  std::vector<exposure_span> closed;
  interference_state interference;
  /// Waits in the list of workers with freed room.
  bool freed = false;

  resources FreeResources() const { return state.capacity - leased; }
  /// @brief Converts a number of tasks to an amount of exposure. The reference
  /// is a worker of 16 processors: one task matters less on a larger one.
  double ExposurePerTask() const;
  /// @brief Opens, changes or closes the exposure to one task.
  void BeginExposure(const task_entry& task, time_point now);
  void EndExposure(task_id task, time_point now);
  /// @brief Amounts per kind over a window.
  std::vector<exposure> ExposureDuring(time_point begin, time_point end) const;
  /// @brief Drops what no later report can be about.
  void DropExposureBefore(time_point oldest);
};

/// @brief All known workers, at stable positions.
class worker_table {
 public:
  worker_index Find(worker_id id) const;
  worker_index Ensure(worker_id id);
  void Remove(worker_index index);

  worker_entry& operator[](worker_index index) { return entries_[index]; }
  const worker_entry& operator[](worker_index index) const {
    return entries_[index];
  }
  /// @brief Number of known workers.
  std::size_t Size() const { return by_id_.size(); }
  /// @brief Number of positions, of which some may be unused.
  std::size_t Positions() const { return entries_.size(); }

 private:
  std::deque<worker_entry> entries_;
  std::vector<worker_index> free_;
  absl::flat_hash_map<worker_id, worker_index> by_id_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_WORKER_TABLE_HPP
