#include <algorithm>

#include "skylarkbridge/jobs/job_progress_queries.hpp"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

std::vector<run_to_stop> job_table::RecordCrash(const run_ref& run,
                                                crash_evidence evidence,
                                                crash_proof proof) {
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
  if (proof == crash_proof::kPresumed) {
    presumed_crashes_.insert(run);
  }
  changed_.insert(run.task.job);
  task->suspected_crashes = CountCrashes(crashes, crash_evidence::kSuspected);
  return GiveUpIfCrashing(run.task);
}

std::vector<run_to_stop> job_table::ProveCrash(const run_ref& run) {
  presumed_crashes_.erase(run);
  return GiveUpIfCrashing(run.task);
}

void job_table::WithdrawCrash(const run_ref& run) {
  presumed_crashes_.erase(run);
  const crashed_runs* known = FindCrashes(run.task);
  if (known == nullptr || !known->contains(run.run) ||
      Find(run.task) == nullptr) {
    return;
  }
  crashed_runs crashes = *known;
  crashes.erase(run.run);
  SetCrashes(run.task, crashes);
  changed_.insert(run.task.job);
}

bool job_table::IsInDoubt(const task_ref& ref) const {
  const crashed_runs* crashes = FindCrashes(ref);
  return crashes != nullptr && ExceedsCrashLimit(*crashes) &&
         !MustBeGivenUp(ref);
}

void job_table::DelayStart(const task_ref& ref, time_point until) {
  if (task_state* task = MutableTask(ref)) {
    task->not_before = std::max(task->not_before, until);
  }
}

std::vector<run_to_stop> job_table::GiveUpIfCrashing(const task_ref& ref) {
  const open_job* job = Find(ref.job);
  if (job == nullptr || job->is_delegated) {
    return {};
  }
  return MustBeGivenUp(ref) ? Finish(ref.job, job_status::kFailed)
                            : std::vector<run_to_stop>();
}

bool job_table::MustBeGivenUp(const task_ref& ref) const {
  const crashed_runs* crashes = FindCrashes(ref);
  if (crashes == nullptr || !ExceedsCrashLimit(*crashes)) {
    return false;
  }
  crashed_runs proved = *crashes;
  std::erase_if(proved, [this, &ref](const auto& entry) {
    return presumed_crashes_.contains({ref, entry.first});
  });
  return ExceedsCrashLimit(proved);
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
  return Find(ref.job)->is_delegated && MustBeGivenUp(ref);
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
