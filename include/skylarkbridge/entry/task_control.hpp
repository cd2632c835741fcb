#ifndef SKYLARKBRIDGE_ENTRY_TASK_CONTROL_HPP
#define SKYLARKBRIDGE_ENTRY_TASK_CONTROL_HPP

#include <concepts>
#include <cstddef>
#include <string>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/entry/control_answers.hpp"

namespace skylarkbridge::entry {

/// @brief The control thread, as the front ends for tasks and operators see it.
/// Each call waits for the answer until the deadline and returns the answer's
/// unknown value when none came.
template <class T>
concept task_control = requires(T& control,
                                const std::string& text,
                                task_id task,
                                worker_id worker,
                                std::size_t limit,
                                coordination::version_number base,
                                time_point deadline) {
  { control.Submit(text, deadline) } -> std::same_as<submit_answer>;
  { control.FindTask(task, deadline) } -> std::same_as<task_answer>;
  { control.CancelTask(task, deadline) } -> std::same_as<submit_answer>;
  { control.ListTasks(limit, deadline) } -> std::same_as<task_list_answer>;
  { control.Publish(base, text, deadline) } -> std::same_as<publish_answer>;
  { control.Configuration(deadline) } -> std::same_as<configuration_answer>;
  { control.Status(deadline) } -> std::same_as<status_answer>;
  { control.Drain(worker, deadline) } -> std::same_as<bool>;
  { control.Ready() } -> std::same_as<bool>;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_TASK_CONTROL_HPP
