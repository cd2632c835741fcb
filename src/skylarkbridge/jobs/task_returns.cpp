#include "skylarkbridge/jobs/task_returns.hpp"

#include "skylarkbridge/jobs/job_progress_queries.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Longer than fleet_cell's kMaxClaimReadAge, so that a VM which claims the
/// cell knows what has become of the returns that it does not find.
constexpr std::chrono::seconds kSettledRetention{60};

}  // namespace

bool IsSettled(const returned_task& returned, const job_state* running) {
  if (running == nullptr || running->Ended()) {
    return true;
  }
  const task_ref& task = returned.task;
  const step_progress* progress =
      FindProgress(running->progress, task.occurrence, task.step);
  if (progress == nullptr) {
    return false;
  }
  // Without the entry, the log was read up to a time before the delegation.
  const auto delegation = progress->delegations.find(task.index);
  return delegation != progress->delegations.end() &&
         delegation->second.first_run > returned.first_run;
}

void task_returns::Begin(const returned_tasks& record) {
  entries_.clear();
  changed_ = false;
  for (const returned_task& returned : record.tasks) {
    entries_[returned.task] = {.returned = returned};
  }
}

void task_returns::Add(const returned_task& returned) {
  entries_[returned.task] = {.returned = returned};
  changed_ = true;
}

void task_returns::Settle(const returned_task& returned, time_point now) {
  const auto found = entries_.find(returned.task);
  if (found == entries_.end() || found->second.returned != returned) {
    return;
  }
  std::optional<time_point>& settled_at = found->second.settled_at;
  if (!settled_at) {
    settled_at = now;
  }
  if (now >= *settled_at + kSettledRetention) {
    entries_.erase(found);
    changed_ = true;
  }
}

void task_returns::Unsettle(const returned_task& returned) {
  if (const auto found = entries_.find(returned.task);
      found != entries_.end() && found->second.returned == returned) {
    found->second.settled_at.reset();
  }
}

std::vector<returned_task> task_returns::Tasks() const {
  std::vector<returned_task> tasks;
  tasks.reserve(entries_.size());
  for (const auto& [task, entry] : entries_) {
    tasks.push_back(entry.returned);
  }
  return tasks;
}

std::optional<std::vector<returned_task>> task_returns::TakeChanges() {
  if (!std::exchange(changed_, false)) {
    return std::nullopt;
  }
  return Tasks();
}

}  // namespace skylarkbridge::jobs
