#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_SCHEDULER_IMPL_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_SCHEDULER_IMPL_HPP

#include <utility>

#include "skylarkbridge/scheduling/batch_core_endings.hpp"
#include "skylarkbridge/scheduling/batch_core_events.hpp"
#include "skylarkbridge/scheduling/batch_core_placement.hpp"
#include "skylarkbridge/scheduling/batch_core_queues.hpp"
#include "skylarkbridge/scheduling/batch_core_reclaim.hpp"
#include "skylarkbridge/scheduling/batch_core_reports.hpp"
#include "skylarkbridge/scheduling/batch_core_status.hpp"
#include "skylarkbridge/scheduling/batch_scheduler.hpp"

/// @brief Member definitions of basic_batch_scheduler. Include this file to
/// instantiate the scheduler with another estimator.
namespace skylarkbridge::scheduling {

template <slowdown_estimator E>
basic_batch_scheduler<E>::basic_batch_scheduler(batch_options options,
                                                E estimator)
    : core_(std::make_unique<batch_core<E>>(options, std::move(estimator))) {}

template <slowdown_estimator E>
basic_batch_scheduler<E>::~basic_batch_scheduler() = default;

template <slowdown_estimator E>
basic_batch_scheduler<E>::basic_batch_scheduler(
    basic_batch_scheduler&&) noexcept = default;

template <slowdown_estimator E>
basic_batch_scheduler<E>& basic_batch_scheduler<E>::operator=(
    basic_batch_scheduler&&) noexcept = default;

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Configure(
    const declaration::configuration& config,
    time_point now) {
  core_->Configure(config, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Submit(const task_submitted& event,
                                               time_point now) {
  core_->Submit(event, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::CancelTask(task_id task,
                                                   time_point now) {
  core_->CancelTask(task, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Started(const task_started& event,
                                                time_point now) {
  core_->Started(event, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Finished(const task_finished& event,
                                                 time_point now) {
  core_->Finished(event, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Checkpointed(
    const task_checkpointed& event,
    time_point now) {
  core_->Checkpointed(event, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Report(const usage_report& report,
                                               time_point now) {
  core_->Report(report, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Update(const worker_state& state,
                                               time_point now) {
  core_->Update(state, now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
task_commands basic_batch_scheduler<E>::Tick(time_point now) {
  core_->Tick(now);
  return core_->TakeCommands();
}

template <slowdown_estimator E>
std::optional<time_point> basic_batch_scheduler<E>::NextDeadline() const {
  return core_->NextDeadline();
}

template <slowdown_estimator E>
std::optional<waiting_status> basic_batch_scheduler<E>::WaitingStatus(
    task_id task) const {
  return core_->WaitingStatus(task);
}

template <slowdown_estimator E>
std::optional<worker_allocation> basic_batch_scheduler<E>::Allocation(
    worker_id worker) const {
  return core_->Allocation(worker);
}

template <slowdown_estimator E>
std::vector<worker_id> basic_batch_scheduler<E>::Workers() const {
  return core_->Workers();
}

template <slowdown_estimator E>
std::vector<kind_status> basic_batch_scheduler<E>::Kinds() const {
  return core_->Kinds();
}

template <slowdown_estimator E>
const batch_counters& basic_batch_scheduler<E>::Counters() const {
  return core_->Counters();
}

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_SCHEDULER_IMPL_HPP
