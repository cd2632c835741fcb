#include "skylarkbridge/jobs/restart_stages.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace skylarkbridge::jobs {

std::optional<std::chrono::milliseconds> LimitOf(restart_stage stage) {
  return kRestartStageBounds[static_cast<std::size_t>(stage)].limit;
}

restart_stage StageOf(restart_obstacle obstacle) {
  switch (obstacle) {
    case restart_obstacle::kNone:
      return restart_stage::kNextPass;
    case restart_obstacle::kRetryDelay:
      return restart_stage::kRetryDelay;
    case restart_obstacle::kUnstoredEnd:
      return restart_stage::kUnstoredEnd;
    case restart_obstacle::kUnreportedWorkers:
      return restart_stage::kTakeover;
    case restart_obstacle::kNoUsableWorker:
    case restart_obstacle::kNoEligibleWorker:
      return restart_stage::kWorker;
    case restart_obstacle::kPlacementPolicy:
      return restart_stage::kPlacementPolicy;
    case restart_obstacle::kRoom:
      return restart_stage::kRoom;
    case restart_obstacle::kIsolation:
      return restart_stage::kIsolation;
    case restart_obstacle::kGangMembers:
      return restart_stage::kGang;
    case restart_obstacle::kLateStart:
      return restart_stage::kLateStart;
  }
  return restart_stage::kNextPass;
}

time_point::duration restart_stage_times::Total() const {
  return std::accumulate(times_.begin(), times_.end(), time_point::duration());
}

void restart_stage_times::IncludeLongest(const restart_stage_times& other) {
  std::transform(times_.begin(), times_.end(), other.times_.begin(),
                 times_.begin(),
                 [](time_point::duration own, time_point::duration each_other) {
                   return std::max(own, each_other);
                 });
}

void restart_stages::Begin(const task_ref& task,
                           time_point since,
                           restart_stage first) {
  const wait begun{.since = since, .stage = first, .counted_until = since};
  const auto [entry, added] = waits_.try_emplace(task, begun);
  wait& known = entry->second;
  if (added || known.since == since) {
    return;
  }
  Count(known, since);
  report_.ended.push_back(known.times);
  known = begun;
}

void restart_stages::EnterFirstStart(const task_ref& task, time_point now) {
  waits_.try_emplace(task, wait{.since = now, .counted_until = now});
  Enter(task, restart_stage::kFirstStart, now);
}

void restart_stages::ContinueAsRestart(const task_ref& task, time_point since) {
  if (const auto entry = waits_.find(task); entry != waits_.end()) {
    entry->second.since = since;
  }
}

void restart_stages::Enter(const task_ref& task,
                           restart_stage stage,
                           time_point now) {
  if (const auto entry = waits_.find(task); entry != waits_.end()) {
    Count(entry->second, now);
    entry->second.stage = stage;
  }
}

std::optional<longest_restart_stage> restart_stages::Longest(
    const task_ref& task) const {
  const auto entry = waits_.find(task);
  if (entry == waits_.end()) {
    return std::nullopt;
  }
  const restart_stage_times& times = entry->second.times;
  restart_stage longest = entry->second.stage;
  for (const restart_stage_bound& bound : kRestartStageBounds) {
    if (times[bound.stage] > times[longest]) {
      longest = bound.stage;
    }
  }
  return longest_restart_stage{
      longest, std::chrono::floor<std::chrono::milliseconds>(times[longest])};
}

restart_stage_times restart_stages::LongestWaits(time_point now) const {
  restart_stage_times longest;
  for (const auto& [task, each_wait] : waits_) {
    for (const restart_stage_bound& bound : kRestartStageBounds) {
      time_point::duration time = each_wait.times[bound.stage];
      if (bound.stage == each_wait.stage && now > each_wait.counted_until) {
        time += now - each_wait.counted_until;
      }
      longest[bound.stage] = std::max(longest[bound.stage], time);
    }
  }
  return longest;
}

restart_stage_report restart_stages::Take() {
  return std::exchange(report_, {});
}

void restart_stages::Count(wait& each_wait, time_point now) {
  if (now <= each_wait.counted_until) {
    return;
  }
  time_point::duration& time = each_wait.times[each_wait.stage];
  time += now - each_wait.counted_until;
  each_wait.counted_until = now;
  const auto stage = static_cast<std::size_t>(each_wait.stage);
  const std::optional<std::chrono::milliseconds> limit =
      LimitOf(each_wait.stage);
  if (limit && time > *limit && !each_wait.over_limit.test(stage)) {
    each_wait.over_limit.set(stage);
    ++report_.over_limit[stage];
  }
  if (!each_wait.over_total && each_wait.times.Total() > kMaxRestartWait) {
    each_wait.over_total = true;
    ++report_.over_total;
  }
}

}  // namespace skylarkbridge::jobs
