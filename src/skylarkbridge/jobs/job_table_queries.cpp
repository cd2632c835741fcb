#include <algorithm>
#include <tuple>

#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

std::vector<std::uint32_t> job_table::ReadyTasks(const step_ref& ref,
                                                 time_point now) const {
  std::vector<std::uint32_t> ready;
  const step_state* step = Find(ref);
  if (step == nullptr) {
    return ready;
  }
  for (std::uint32_t index = 0; index < step->tasks.size(); ++index) {
    const task_state& task = step->tasks[index];
    if (task.phase == task_phase::kReady && now >= task.not_before &&
        stored_writes_ >= task.start_after_write) {
      ready.push_back(index);
    }
  }
  return ready;
}

std::vector<waiting_restart> job_table::WaitingRestarts() const {
  std::vector<waiting_restart> waiting;
  for (const step_ref& ref : ready_) {
    if (!Spec(ref)->long_running) {
      continue;
    }
    const std::vector<task_state>& tasks = Find(ref)->tasks;
    for (std::uint32_t index = 0; index < tasks.size(); ++index) {
      const task_state& task = tasks[index];
      if (task.phase == task_phase::kReady && task.last_run_ended_at &&
          task.not_before != time_point::max()) {
        waiting.push_back(
            {.task = TaskOf(ref, index),
             .has_run = !task.waits_for_first_run,
             .since = *task.last_run_ended_at,
             .known_since = *task.wait_known_since,
             .not_before = task.not_before,
             .end_stored = stored_writes_ >= task.start_after_write});
      }
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](const waiting_restart& left, const waiting_restart& right) {
              return std::tie(right.has_run, left.since, left.task) <
                     std::tie(left.has_run, right.since, right.task);
            });
  return waiting;
}

std::vector<task_ref> job_table::UnreportedLongRunningTasks() const {
  std::vector<task_ref> unreported;
  for (const auto& [id, job] : jobs_) {
    for (const auto& [occurrence, steps] : job.due_occurrences) {
      for (std::uint32_t step = 0; step < steps.size(); ++step) {
        if (!job.spec.steps[step].long_running) {
          continue;
        }
        const std::vector<task_state>& tasks = steps[step].tasks;
        for (std::uint32_t index = 0; index < tasks.size(); ++index) {
          if (tasks[index].phase == task_phase::kMaybeRunning &&
              tasks[index].last_run_ended_at) {
            unreported.push_back({id, occurrence, step, index});
          }
        }
      }
    }
  }
  return unreported;
}

}  // namespace skylarkbridge::jobs
