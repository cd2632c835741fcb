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

/// @brief Measured load and slowdown of one service on one worker.
struct service_measurement {
  std::uint32_t service = 0;
  /// Requests per second.
  double load = 0;
  /// Expected slowdown by the running tasks, relative to the latency without
  /// them (0.1 means 10%).
  double expected_slowdown = 0;
  /// Moving average of the measured minus the expected slowdown.
  double unexplained_slowdown = 0;
  time_point last_report;
};

/// @brief Time span in which a task ran on a worker and could slow its services
/// down.
struct exposure_span {
  kind_index kind = kNone;
  task_id task;
  double amount = 0;
  time_point begin;
  time_point end = time_point::max();
};

/// @brief Progress of throttling and eviction on one worker, which limit the
/// slowdown of its services.
struct interference_state {
  /// Time of the last throttle, lift or eviction. A window that began earlier
  /// cannot show the effect of it.
  time_point last_action = time_point::min();
  /// Consecutive windows above interference_options::mitigate_above.
  int windows_above_limit = 0;
  /// Consecutive windows at or below interference_options::relax_below.
  int windows_below_limit = 0;
  double slowdown = 1.0;
  /// True from the first window above the limit until slowdown is low again.
  bool mitigating = false;
};

/// @brief State of one worker and of the tasks on it.
struct worker_entry {
  worker_state state;
  /// False for an unused position of the table.
  bool used = false;
  resources leased;
  task_list tasks;
  /// Resources kept free for the kind `reserved_for`.
  resources reserved;
  kind_index reserved_for = kNone;
  time_point reserved_until;
  /// Earliest next start, after the worker failed to start a task.
  time_point not_before;
  worker_failures failures;
  std::vector<service_measurement> services;
  time_point joined_at;
  /// Spans of exposure to running tasks at their current throttle.
  std::vector<exposure_span> open_spans;
  /// Spans that have ended, because the task ended or its throttle changed;
  /// kept for late reports.
  std::vector<exposure_span> closed_spans;
  interference_state interference;
  /// True while in the list of workers with newly freed resources.
  bool freed = false;

  resources FreeResources() const { return state.capacity - leased; }
  /// @brief Exposure by one task. It is 1 on a worker of 16 processors and
  /// smaller on larger workers, where a task has less effect on the others.
  double ExposurePerTask() const;
  /// @brief Begins a span of exposure to a task at its current throttle; ends
  /// the previous one, if any.
  void BeginExposure(const task_entry& task, time_point now);
  void EndExposure(task_id task, time_point now);
  /// @brief Exposure to each kind during a window.
  std::vector<exposure> ExposureDuring(time_point begin, time_point end) const;
  /// @brief Drops the spans that ended before @p oldest.
  void DropExposureBefore(time_point oldest);
};

/// @brief All known workers, at stable positions.
class worker_table {
 public:
  /// @return kNone if the worker is unknown.
  worker_index Find(worker_id id) const;
  /// @brief Finds a worker; adds it if it is unknown.
  worker_index Ensure(worker_id id);
  void Remove(worker_index index);

  worker_entry& operator[](worker_index index) { return entries_[index]; }
  const worker_entry& operator[](worker_index index) const {
    return entries_[index];
  }
  /// @brief Number of known workers.
  std::size_t Size() const { return by_id_.size(); }
  /// @brief Number of positions, including unused ones.
  std::size_t Positions() const { return entries_.size(); }

 private:
  std::deque<worker_entry> entries_;
  std::vector<worker_index> free_;
  absl::flat_hash_map<worker_id, worker_index> by_id_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_WORKER_TABLE_HPP
