#include "skylarkbridge/jobs/job_registry.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::jobs {

std::set<cell_id> DelegatedCells(const job_progress& progress) {
  std::set<cell_id> cells;
  for (const step_progress& step : progress.steps) {
    for (const auto& [index, delegation] : step.delegations) {
      cells.insert(delegation.cell);
    }
  }
  return cells;
}

bool job_registry::HasTasksHere(const job_state& state) const {
  return RunsHere(state) || DelegatedCells(state.progress).contains(cell_);
}

bool job_registry::Apply(job_accepted record, time_point now) {
  auto [entry, added] = jobs_.try_emplace(record.job);
  job_state& state = entry->second;
  if (!added) {
    if (record.cell == state.cell) {
      overwritten_.erase(record.job);
    } else {
      overwritten_.insert(record.job);
    }
    return false;
  }
  state.queue = std::move(record.queue);
  state.accepted_at = record.accepted_at;
  state.spec = std::move(record.spec);
  state.cell = record.cell;
  state.settings = std::move(record.settings);
  state.seen_at = now;
  if (const auto early = early_records_.find(record.job);
      early != early_records_.end()) {
    state.cancelled = early->second.cancelled;
    if (early->second.progress) {
      state.progress = std::move(*early->second.progress);
    }
    early_records_.erase(early);
  }
  long_running_millicores_ += LongRunningMillicoresOf(state);
  RecordEnd(record.job, state, now);
  return true;
}

void job_registry::ApplyDelegated(job_id job,
                                  const job_state& running,
                                  time_point now) {
  const auto [entry, added] = jobs_.try_emplace(job);
  job_state& state = entry->second;
  if (added) {
    state = running;
    state.is_guest = true;
    state.seen_at = now;
    state.ended_at.reset();
    early_records_.erase(job);
  } else {
    state.progress = running.progress;
    state.cancelled |= running.cancelled;
  }
  RecordEnd(job, state, now);
}

bool job_registry::Apply(const job_cancelled& record, time_point now) {
  const auto entry = jobs_.find(record.job);
  if (entry == jobs_.end()) {
    early_records& early = early_records_[record.job];
    if (!std::exchange(early.cancelled, true)) {
      ended_.emplace_back(now, record.job);
    }
    return false;
  }
  job_state& state = entry->second;
  const bool was_open = !state.Ended();
  state.cancelled = true;
  RecordEnd(record.job, state, now);
  return was_open;
}

void job_registry::Apply(job_advanced record, time_point now) {
  const auto entry = jobs_.find(record.job);
  if (entry == jobs_.end()) {
    early_records_[record.job].progress = std::move(record.progress);
    return;
  }
  entry->second.progress = std::move(record.progress);
  RecordEnd(record.job, entry->second, now);
}

void job_registry::Apply(const job_dropped& record) {
  if (const auto entry = jobs_.find(record.job); entry != jobs_.end()) {
    if (!entry->second.ended_at) {
      long_running_millicores_ -= LongRunningMillicoresOf(entry->second);
    }
    jobs_.erase(entry);
  }
  early_records_.erase(record.job);
  overwritten_.erase(record.job);
  while (!ended_.empty() && !jobs_.contains(ended_.front().second) &&
         !early_records_.contains(ended_.front().second)) {
    ended_.pop_front();
  }
}

std::int64_t job_registry::LongRunningMillicoresOf(
    const job_state& state) const {
  return RunsHere(state) ? jobs::LongRunningMillicores(state.spec) : 0;
}

void job_registry::RecordEnd(job_id job, job_state& state, time_point now) {
  if (state.Ended() && !state.ended_at) {
    state.ended_at = now;
    long_running_millicores_ -= LongRunningMillicoresOf(state);
    if (!state.is_guest) {
      ended_.emplace_back(now, job);
    }
  }
}

const job_state* job_registry::Find(job_id job) const {
  const auto entry = jobs_.find(job);
  return entry == jobs_.end() ? nullptr : &entry->second;
}

std::optional<reported_state> job_registry::ReportedState(job_id job) const {
  const job_state* state = Find(job);
  if (state == nullptr) {
    return std::nullopt;
  }
  switch (state->progress.status) {
    case job_status::kCompleted:
      return reported_state::kCompleted;
    case job_status::kFailed:
      return reported_state::kFailed;
    case job_status::kOpen:
      break;
  }
  if (state->cancelled) {
    return reported_state::kCancelled;
  }
  return state->progress.started ? reported_state::kRunning
                                 : reported_state::kQueued;
}

std::size_t job_registry::CountUnstarted(std::string_view queue) const {
  return static_cast<std::size_t>(std::count_if(
      jobs_.begin(), jobs_.end(), [this, queue](const auto& entry) {
        const job_state& state = entry.second;
        return RunsHere(state) && state.queue == queue && !state.Ended() &&
               !state.progress.started;
      }));
}

std::vector<job_id> job_registry::EndedBefore(time_point limit) const {
  std::vector<job_id> found;
  for (const auto& [ended, job] : ended_) {
    if (ended >= limit) {
      break;
    }
    const job_state* const state = Find(job);
    const auto early = early_records_.find(job);
    if ((state != nullptr && state->ended_at) ||
        (early != early_records_.end() && early->second.cancelled)) {
      found.push_back(job);
    }
  }
  return found;
}

}  // namespace skylarkbridge::jobs
