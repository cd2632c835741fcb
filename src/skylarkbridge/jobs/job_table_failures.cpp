// Failed runs in the job table: when a task starts again, and when its job
// fails.
#include <algorithm>

#include "skylarkbridge/jobs/job_progress_queries.hpp"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

bool job_table::CountFailure(open_job& job,
                             const run_ref& run,
                             std::optional<std::uint32_t> max_attempts) {
  if (job.spec.steps[run.task.step].long_running) {
    return false;
  }
  failed_runs& runs = FindOrAddProgress(job, run.task).failures[run.task.index];
  if (runs.insert(run.run).second) {
    changed_.insert(run.task.job);
  }
  return max_attempts && FailedAttempts(job, run.task).size() >= *max_attempts;
}

failed_runs job_table::FailedAttempts(const open_job& job,
                                      const task_ref& task) const {
  const step_progress* progress =
      FindProgress(job.progress, task.occurrence, task.step);
  failed_runs attempts;
  if (progress == nullptr) {
    return attempts;
  }
  const bool gang = job.spec.steps[task.step].gang;
  for (const auto& [index, runs] : progress->failures) {
    if (gang || index == task.index) {
      attempts.insert(runs.begin(), runs.end());
    }
  }
  return attempts;
}

std::vector<run_to_stop> job_table::FailIfExhausted(
    job_id id,
    std::uint32_t max_attempts) {
  const open_job* job = Find(id);
  if (job == nullptr || job->is_delegated) {
    return {};
  }
  for (const step_progress& step : job->progress.steps) {
    for (const auto& [index, runs] : step.failures) {
      const task_ref ref{id, step.occurrence, step.step, index};
      const task_state* task = Find(ref);
      if (task != nullptr && task->phase == task_phase::kReady &&
          FailedAttempts(*job, ref).size() >= max_attempts) {
        return Finish(id, job_status::kFailed);
      }
    }
  }
  return {};
}

std::vector<run_to_stop> job_table::FailWithoutProgress(job_id id) {
  const auto entry = jobs_.find(id);
  if (entry == jobs_.end()) {
    return {};
  }
  entry->second.progress.steps.clear();
  return Finish(id, job_status::kFailed);
}

std::chrono::milliseconds job_table::RetryDelay(const open_job& job,
                                                const task_ref& task) const {
  const step_progress* progress =
      FindProgress(job.progress, task.occurrence, task.step);
  std::size_t attempts = 1;
  if (progress != nullptr) {
    if (const auto count = progress->failures.find(task.index);
        count != progress->failures.end()) {
      attempts = std::max<std::size_t>(1, count->second.size());
    }
  }
  return std::min(options_.max_retry_delay,
                  static_cast<int>(attempts) * options_.retry_delay);
}

}  // namespace skylarkbridge::jobs
