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

/// @brief Decides on the tasks of one shard: placement, shares, failures,
/// interference and eviction. Pure: time and events come in, commands go out.
///
/// Late and repeated events, those about old attempts, and those about tasks
/// that ended change nothing. `now` never goes back between calls.
template <slowdown_estimator Estimator>
class basic_batch_scheduler {
 public:
  explicit basic_batch_scheduler(batch_options options = {},
                                 Estimator estimator = {});
  ~basic_batch_scheduler();
  basic_batch_scheduler(basic_batch_scheduler&&) noexcept;
  basic_batch_scheduler& operator=(basic_batch_scheduler&&) noexcept;

  /// @brief Replaces the declaration as a whole. Tasks of a kind that is no
  /// longer declared still run; new ones are refused.
  task_commands Configure(const declaration::configuration& config,
                          time_point now);
  task_commands Submit(const task_submitted& event, time_point now);
  /// @brief Takes constant time. A waiting task leaves without a command; a
  /// running one is stopped and holds its lease until Finished.
  task_commands CancelTask(task_id task, time_point now);
  /// @brief Also adopts a task that an inventory shows, when it is unknown or
  /// was submitted and not started here. A task that must not run there is
  /// stopped.
  task_commands Started(const task_started& event, time_point now);
  task_commands Finished(const task_finished& event, time_point now);
  task_commands Checkpointed(const task_checkpointed& event, time_point now);
  task_commands Report(const usage_report& report, time_point now);
  /// @brief Tells the state of a worker; kGone queues its tasks again.
  task_commands Update(const worker_state& state, time_point now);
  task_commands Tick(time_point now);

  /// @brief Time at which Tick is due, if any.
  std::optional<time_point> NextDeadline() const;

  /// @brief Why a task waits; nothing when it does not wait.
  std::optional<waiting_status> WhyWaiting(task_id task) const;
  /// @brief What a worker holds; nothing when the worker is unknown.
  std::optional<worker_holdings> Holdings(worker_id worker) const;
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
