#include "skylarkbridge/jobs/late_starts.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

void late_starts::Add(const task_ref& task, const late_start& start) {
  const auto [entry, added] = starts_.try_emplace(task, start);
  late_start& known = entry->second;
  if (!added && !known.Binds()) {
    known = start;
  } else if (!added) {
    known.worker = start.worker;
    known.unanswered += start.unanswered;
    known.last_sent_at = std::max(known.last_sent_at, start.last_sent_at);
    known.arrives_by = std::max(known.arrives_by, start.arrives_by);
    known.runs_until = std::max(known.runs_until, start.runs_until);
  }
}

const late_start* late_starts::Find(const task_ref& task) const {
  const auto entry = starts_.find(task);
  return entry == starts_.end() ? nullptr : &entry->second;
}

const late_start* late_starts::FindBinding(const task_ref& task) const {
  const late_start* const found = Find(task);
  return found != nullptr && found->Binds() ? found : nullptr;
}

void late_starts::LeaveAt(const task_ref& task,
                          std::optional<time_point> waits_since,
                          time_point leaves_at) {
  const auto entry = starts_.find(task);
  if (entry == starts_.end() || !entry->second.Binds()) {
    return;
  }
  late_start& start = entry->second;
  if (!start.leaves_at || start.waits_since != waits_since) {
    start.leaves_at = leaves_at;
    start.waits_since = waits_since;
  }
}

void late_starts::WorkerRestarted(const std::string& worker) {
  for (auto& [task, start] : starts_) {
    if (start.worker == worker) {
      start.unanswered = 0;
    }
  }
}

}  // namespace skylarkbridge::jobs
