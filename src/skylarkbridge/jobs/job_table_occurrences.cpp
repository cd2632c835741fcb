// Occurrences of jobs in the job table: when they start, which of their tasks
// are done or ready, and when their state is dropped.
#include <algorithm>

#include "skylarkbridge/jobs/job_progress_queries.hpp"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {
namespace {

bool IsDone(const step_progress* progress, std::uint32_t index) {
  return progress != nullptr && index < progress->done.size() &&
         progress->done[index];
}

/// Whether a gang is done. Records of earlier versions may name only one of its
/// members.
bool IsGangDone(const step_spec& step, const step_progress* progress) {
  return step.gang && !step.long_running && progress != nullptr &&
         std::find(progress->done.begin(), progress->done.end(), true) !=
             progress->done.end();
}

bool IsStarted(const step_progress* progress, std::uint32_t index) {
  return progress != nullptr && index < progress->started.size() &&
         progress->started[index];
}

/// The newest delegation of a task; null without one.
const delegated_task* FindDelegation(const step_progress* progress,
                                     std::uint32_t index) {
  if (progress == nullptr) {
    return nullptr;
  }
  const auto found = progress->delegations.find(index);
  return found == progress->delegations.end() ? nullptr : &found->second;
}

}  // namespace

bool AllDone(const std::vector<step_state>& steps) {
  return std::all_of(steps.begin(), steps.end(), [](const step_state& step) {
    return step.done == step.tasks.size();
  });
}

std::uint64_t open_job::TasksPerOccurrence() const {
  std::uint64_t tasks = 0;
  for (const step_spec& step : spec.steps) {
    tasks += step.count;
  }
  return tasks;
}

void job_table::StartDueOccurrences(job_id id,
                                    open_job& job,
                                    bool maybe_running,
                                    wall_time wall_now) {
  // Occurrences with long-running tasks never complete.
  const std::uint64_t most_open =
      LongRunningMillicores(job.spec) > 0
          ? job.spec.repeat_count
          : std::max<std::uint64_t>(
                1, options_.max_open_tasks / job.TasksPerOccurrence());
  while (job.next_occurrence < job.spec.repeat_count &&
         job.due_occurrences.size() < most_open &&
         wall_now >=
             job.spec.first_due + job.next_occurrence * job.spec.interval) {
    StartOccurrence(id, job, job.next_occurrence++, maybe_running);
  }
}

void job_table::DropCompleteOccurrences(open_job& job) {
  std::uint32_t& complete = job.progress.complete_occurrences;
  for (auto first = job.due_occurrences.find(complete);
       first != job.due_occurrences.end() && AllDone(first->second);
       first = job.due_occurrences.find(complete)) {
    std::erase_if(job.progress.steps, [complete](const step_progress& step) {
      return step.occurrence == complete;
    });
    job.due_occurrences.erase(first);
    ++complete;
  }
}

void job_table::StartDue(wall_time wall_now) {
  for (auto next = scheduled_.begin(); next != scheduled_.end();) {
    const job_id id = *next;
    const auto entry = jobs_.find(id);
    if (entry == jobs_.end()) {
      next = scheduled_.erase(next);
      continue;
    }
    open_job& job = entry->second;
    StartDueOccurrences(id, job, false, wall_now);
    next = job.next_occurrence < job.spec.repeat_count ? std::next(next)
                                                       : scheduled_.erase(next);
  }
}

void job_table::StartOccurrence(job_id id,
                                open_job& job,
                                std::uint32_t occurrence,
                                bool maybe_running) {
  if (occurrence < job.progress.complete_occurrences) {
    ++job.completed_occurrences;
    return;
  }
  std::vector<step_state>& steps = job.due_occurrences[occurrence];
  steps.resize(job.spec.steps.size());
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    const step_progress* progress =
        FindProgress(job.progress, occurrence, step);
    const bool gang_done = IsGangDone(job.spec.steps[step], progress);
    steps[step].tasks.resize(job.spec.steps[step].count);
    for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
      task_state& task = steps[step].tasks[index];
      const delegated_task* delegation = FindDelegation(progress, index);
      if (delegation != nullptr && delegation->cell == cell_) {
        task.first_run = delegation->first_run;
      }
      if (gang_done || IsDone(progress, index)) {
        task.phase = task_phase::kDone;
        ++steps[step].done;
      } else if (delegation != nullptr && delegation->cell != cell_) {
        task.phase = task_phase::kElsewhere;
      } else if (maybe_running) {
        task.phase = task_phase::kMaybeRunning;
        task.may_have_unreported_runs = true;
      }
      if (IsStarted(progress, index)) {
        task.BeginWait(BeginOfWait(WaitingSince(progress, index), job.added_at),
                       job.added_at);
      }
      if (progress != nullptr) {
        if (const auto failed = progress->failures.find(index);
            failed != progress->failures.end() && !failed->second.empty()) {
          task.last_run = *failed->second.rbegin();
        }
        if (const auto ended = progress->last_ended_runs.find(index);
            ended != progress->last_ended_runs.end()) {
          task.last_ended_run = ended->second;
        }
        if (const auto crashed = progress->crashes.find(index);
            crashed != progress->crashes.end()) {
          task.suspected_crashes =
              CountCrashes(crashed->second, crash_evidence::kSuspected);
        }
      }
    }
  }
  const bool complete = AllDone(steps);
  ReleaseSteps(id, job, occurrence);
  if (complete) {
    ++job.completed_occurrences;
    DropCompleteOccurrences(job);
  }
}

void job_table::ReleaseSteps(job_id id,
                             open_job& job,
                             std::uint32_t occurrence) {
  std::vector<step_state>& steps = job.due_occurrences[occurrence];
  for (std::uint32_t step = 0; step < steps.size(); ++step) {
    if (steps[step].dependencies_done) {
      continue;
    }
    const auto& depends_on = job.spec.steps[step].depends_on;
    const bool dependencies_done = std::all_of(
        depends_on.begin(), depends_on.end(), [&](std::uint32_t earlier) {
          return steps[earlier].done == steps[earlier].tasks.size();
        });
    if (!dependencies_done) {
      continue;
    }
    steps[step].dependencies_done = true;
    for (std::uint32_t index = 0; index < steps[step].tasks.size(); ++index) {
      task_state& task = steps[step].tasks[index];
      if (task.phase == task_phase::kWaiting) {
        MakeReady({id, occurrence, step, index}, task);
      }
    }
  }
}

}  // namespace skylarkbridge::jobs
