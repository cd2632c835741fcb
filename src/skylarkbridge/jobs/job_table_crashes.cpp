#include "skylarkbridge/jobs/job_progress_queries.hpp"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

std::vector<run_to_stop> job_table::RecordCrash(const run_ref& run,
                                                crash_evidence evidence) {
  task_state* task = MutableTask(run.task);
  if (task == nullptr || task->phase == task_phase::kDone) {
    return {};
  }
  open_job& job = jobs_.find(run.task.job)->second;
  crashed_runs& crashes =
      FindOrAddProgress(job, run.task).crashes[run.task.index];
  crash_evidence& known = crashes[run.run];
  if (known != crash_evidence::kPending) {
    return {};
  }
  known = evidence;
  changed_.insert(run.task.job);
  task->suspected_crashes = CountCrashes(crashes, crash_evidence::kSuspected);
  return GiveUpIfCrashing(run.task);
}

std::vector<run_to_stop> job_table::GiveUpIfCrashing(const task_ref& ref) {
  const open_job* job = Find(ref.job);
  if (job == nullptr || job->is_delegated) {
    return {};
  }
  const crashed_runs* crashes = FindCrashes(ref);
  return crashes != nullptr && ExceedsCrashLimit(*crashes)
             ? Finish(ref.job, job_status::kFailed)
             : std::vector<run_to_stop>();
}

const crashed_runs* job_table::FindCrashes(const task_ref& ref) const {
  const open_job* job = Find(ref.job);
  const step_progress* progress =
      job == nullptr ? nullptr
                     : FindProgress(job->progress, ref.occurrence, ref.step);
  if (progress == nullptr) {
    return nullptr;
  }
  const auto found = progress->crashes.find(ref.index);
  return found == progress->crashes.end() ? nullptr : &found->second;
}

void job_table::SetCrashes(const task_ref& ref, const crashed_runs& crashes) {
  auto& known = FindOrAddProgress(jobs_.find(ref.job)->second, ref).crashes;
  if (crashes.empty()) {
    known.erase(ref.index);
  } else {
    known[ref.index] = crashes;
  }
  MutableTask(ref)->suspected_crashes =
      CountCrashes(crashes, crash_evidence::kSuspected);
}

bool job_table::ExceedsCrashLimit(const crashed_runs& crashes) const {
  const std::size_t count = CountCrashes(crashes, crash_evidence::kSuspected);
  const std::size_t blamed = CountCrashes(crashes, crash_evidence::kBlamed);
  return (count >= options_.max_crashes_two_blamed && blamed >= 2) ||
         (count >= options_.max_crashes_one_blamed && blamed >= 1);
}

void job_table::AddPendingRun(open_job& job,
                              const run_ref& run,
                              task_state& task) {
  crashed_runs& crashes =
      FindOrAddProgress(job, run.task).crashes[run.task.index];
  for (auto& [earlier, evidence] : crashes) {
    if (earlier < run.run && evidence == crash_evidence::kPending) {
      evidence = crash_evidence::kSuspected;
    }
  }
  crashes.try_emplace(run.run, crash_evidence::kPending);
  task.suspected_crashes = CountCrashes(crashes, crash_evidence::kSuspected);
  changed_.insert(run.task.job);
}

void job_table::RemovePendingRun(const run_ref& run) {
  const task_state* task = Find(run.task);
  if (task == nullptr || task->suspected_crashes == 0) {
    return;
  }
  crashed_runs& crashes =
      FindOrAddProgress(jobs_.find(run.task.job)->second, run.task)
          .crashes[run.task.index];
  if (const auto entry = crashes.find(run.run);
      entry != crashes.end() && entry->second == crash_evidence::kPending) {
    crashes.erase(entry);
    changed_.insert(run.task.job);
  }
}

void job_table::ClearCrashes(const run_ref& run) {
  task_state* task = MutableTask(run.task);
  if (task == nullptr || task->suspected_crashes == 0) {
    return;
  }
  FindOrAddProgress(jobs_.find(run.task.job)->second, run.task)
      .crashes.erase(run.task.index);
  task->suspected_crashes = 0;
  changed_.insert(run.task.job);
}

bool job_table::MustStayStopped(const task_ref& ref) const {
  if (!Find(ref.job)->is_delegated) {
    return false;
  }
  const crashed_runs* crashes = FindCrashes(ref);
  return crashes != nullptr && ExceedsCrashLimit(*crashes);
}

std::vector<task_ref> job_table::TasksToGiveUp() const {
  std::vector<task_ref> tasks;
  for (const step_ref& ref : ready_) {
    if (!Find(ref.job)->is_delegated) {
      continue;
    }
    const std::vector<task_state>& states = Find(ref)->tasks;
    for (std::uint32_t index = 0; index < states.size(); ++index) {
      const task_ref task = TaskOf(ref, index);
      if (states[index].phase == task_phase::kReady && MustStayStopped(task)) {
        tasks.push_back(task);
      }
    }
  }
  return tasks;
}

}  // namespace skylarkbridge::jobs
