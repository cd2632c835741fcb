#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_SCHEDULER_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_SCHEDULER_HPP

#include <memory>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"
#include "skylarkbridge/scheduling/batch_status.hpp"
#include "skylarkbridge/scheduling/slowdown_model.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"

namespace skylarkbridge::scheduling {

template <slowdown_estimator Estimator>
class batch_core;

/// @brief Schedules the batch tasks of one shard: placement, shares, failures,
/// interference and eviction.
///
/// Performs no I/O and reads no clock: each call takes an event and the current
/// time, and returns the commands for the workers. Duplicate events and events
/// about old attempts or ended tasks have no effect. `now` must not decrease
/// between calls.
template <slowdown_estimator Estimator>
class basic_batch_scheduler {
 public:
  explicit basic_batch_scheduler(batch_options options = {},
                                 Estimator estimator = {});
  ~basic_batch_scheduler();
  basic_batch_scheduler(basic_batch_scheduler&&) noexcept;
  basic_batch_scheduler& operator=(basic_batch_scheduler&&) noexcept;

  /// @brief Replaces the whole declaration. Tasks of a kind that is no longer
  /// declared keep running; new ones are refused.
  task_commands Configure(const declaration::configuration& config,
                          time_point now);
  task_commands Submit(const task_submitted& event, time_point now);
  /// @brief Cancels a task in constant time. A waiting task is removed without
  /// a command; a running one is stopped and holds its lease until Finished.
  task_commands CancelTask(task_id task, time_point now);
  /// @brief Records that a worker runs a task. Adopts a running task from a
  /// worker's inventory if the task is unknown or still waits here. A second
  /// run of a task that already runs elsewhere is stopped.
  task_commands Started(const task_started& event, time_point now);
  task_commands Finished(const task_finished& event, time_point now);
  task_commands Checkpointed(const task_checkpointed& event, time_point now);
  task_commands Report(const usage_report& report, time_point now);
  /// @brief Updates the state of a worker. On kGone, the tasks of the worker
  /// are queued again, or refused if they must not run twice.
  task_commands Update(const worker_state& state, time_point now);
  task_commands Tick(time_point now);

  /// @brief Returns the time at which Tick is due, if any.
  std::optional<time_point> NextDeadline() const;

  /// @brief Returns why a task waits, or nullopt if it does not wait.
  std::optional<waiting_status> WaitingStatus(task_id task) const;
  /// @brief Returns the tasks and leases on a worker, or nullopt if the worker
  /// is unknown.
  std::optional<worker_allocation> Allocation(worker_id worker) const;
  std::vector<worker_id> Workers() const;
  std::vector<kind_status> Kinds() const;
  const batch_counters& Counters() const;

 private:
  std::unique_ptr<batch_core<Estimator>> core_;
};

extern template class basic_batch_scheduler<slowdown_model>;
using batch_scheduler = basic_batch_scheduler<slowdown_model>;

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_SCHEDULER_HPP
