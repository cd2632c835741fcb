#include "skylarkbridge/jobs/late_starts.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

void late_starts::Add(const task_ref& task, const late_start& start) {
  const auto [entry, added] = starts_.try_emplace(task, start);
  if (!added) {
    late_start& known = entry->second;
    known.worker = start.worker;
    known.arrives_by = std::max(known.arrives_by, start.arrives_by);
    known.runs_until = std::max(known.runs_until, start.runs_until);
  }
}

const late_start* late_starts::Find(const task_ref& task) const {
  const auto entry = starts_.find(task);
  return entry == starts_.end() ? nullptr : &entry->second;
}

}  // namespace skylarkbridge::jobs
