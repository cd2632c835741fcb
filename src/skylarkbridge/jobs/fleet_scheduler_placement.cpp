#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Penalty for a worker with a serving task over its target.
constexpr double kOverTarget = 2;

std::chrono::milliseconds LongestChain(const job_spec& spec) {
  std::vector<std::chrono::milliseconds> ends(spec.steps.size());
  std::chrono::milliseconds longest{};
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    std::chrono::milliseconds begin{};
    for (const std::uint32_t earlier : spec.steps[step].depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    ends[step] = begin + spec.steps[step].estimate;
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

}  // namespace

time_point fleet_scheduler::Objective(const open_job& job,
                                      const queue_configuration* queue) const {
  const double slack = queue == nullptr ? 1 : queue->slack_factor;
  const auto chain = std::chrono::duration_cast<time_point::duration>(
      slack * LongestChain(job.spec));
  const std::chrono::milliseconds more =
      queue == nullptr ? std::chrono::milliseconds(0) : queue->latency_target;
  return job.seen_at + chain + more;
}

std::vector<fleet_scheduler::ready_step> fleet_scheduler::OrderedReadySteps(
    time_point now) const {
  std::vector<ready_step> steps;
  for (const step_ref& ref : jobs_.ReadySteps()) {
    const open_job* job = jobs_.Find(ref.job);
    const queue_configuration* queue = Queue(ref.job);
    if (job == nullptr || queue == nullptr) {
      continue;
    }
    steps.push_back({.priority = queue->priority,
                     .deadline = Objective(*job, queue),
                     .ref = ref});
  }
  std::sort(steps.begin(), steps.end(),
            [now](const ready_step& left, const ready_step& right) {
              const bool left_late = left.deadline < now;
              const bool right_late = right.deadline < now;
              return std::tie(left.priority, left_late, left.deadline,
                              left.ref) < std::tie(right.priority, right_late,
                                                   right.deadline, right.ref);
            });
  return steps;
}

void fleet_scheduler::Place(time_point now) {
  if (!place_wanted_ || configuration_ == nullptr) {
    return;
  }
  place_wanted_ = false;
  for (const ready_step& step : OrderedReadySteps(now)) {
    PlaceStep(step.ref, now);
  }
  // Tasks whose wait is not over, or that found no room, are tried again.
  place_wanted_ = !jobs_.ReadySteps().empty();
}

std::vector<placement_candidate> fleet_scheduler::Candidates(
    const step_ref& ref,
    const queue_configuration& queue,
    time_point now) const {
  std::vector<placement_candidate> candidates;
  const step_state* step = jobs_.Find(ref);
  absl::flat_hash_map<std::string, std::uint32_t> siblings;
  for (const task_state& task : step->tasks) {
    for (const task_copy& copy : task.copies) {
      ++siblings[copy.worker];
    }
  }
  for (const auto& [id, session] : workers_) {
    if (session.entry.service != queue.service || !Usable(session, now)) {
      continue;
    }
    const auto there = siblings.find(id);
    const bool harmed = std::any_of(
        session.runs.begin(), session.runs.end(),
        [](const auto& run) { return run.second.over_target_since; });
    candidates.push_back(
        {.session = &session,
         .siblings = there == siblings.end() ? 0 : there->second,
         .penalty = harmed ? kOverTarget : 0});
  }
  return candidates;
}

void fleet_scheduler::PlaceStep(const step_ref& ref, time_point now) {
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  const std::vector<std::uint32_t> ready = jobs_.ReadyTasks(ref, now);
  if (step == nullptr || queue == nullptr || ready.empty()) {
    return;
  }
  std::vector<placement_candidate> candidates = Candidates(ref, *queue, now);
  if (step->gang) {
    PlaceGang(ref, *step, ready, candidates, now);
    return;
  }
  for (const std::uint32_t index : ready) {
    const std::optional<std::size_t> chosen =
        ChooseWorker(*step, candidates, "", options_.placement);
    if (!chosen) {
      return;
    }
    placement_candidate& candidate = candidates[*chosen];
    worker_session& session =
        workers_.find(candidate.session->entry.worker)->second;
    const task_ref task = TaskOf(ref, index);
    StartTask(session, *step, {task, jobs_.NextRun(task, own_)}, now);
    ++candidate.siblings;
  }
}

bool fleet_scheduler::PlaceGang(const step_ref& ref,
                                const step_spec& step,
                                const std::vector<std::uint32_t>& ready,
                                std::vector<placement_candidate>& candidates,
                                time_point now) {
  if (ready.size() < step.count) {
    return false;
  }
  // Reserves the room of all members on copies before the first one starts.
  std::vector<worker_session> copies;
  copies.reserve(candidates.size());
  for (placement_candidate& candidate : candidates) {
    copies.push_back(*candidate.session);
    candidate.session = &copies.back();
  }
  std::vector<std::string> chosen_workers;
  run_number run = 0;
  for (const std::uint32_t index : ready) {
    const std::optional<std::size_t> chosen =
        ChooseWorker(step, candidates, "", options_.placement);
    if (!chosen) {
      return false;
    }
    resources need = step.need;
    if (step.best_effort) {
      copies[*chosen].best_effort_millicores += need.millicores;
      need.millicores = 0;
    }
    copies[*chosen].used += need;
    ++candidates[*chosen].siblings;
    chosen_workers.push_back(copies[*chosen].entry.worker);
    run = std::max(run, jobs_.NextRun(TaskOf(ref, index), own_));
  }
  for (std::size_t member = 0; member < ready.size(); ++member) {
    StartTask(workers_.find(chosen_workers[member])->second, step,
              {TaskOf(ref, ready[member]), run}, now);
  }
  return true;
}

void fleet_scheduler::AdjustPaces(time_point now) {
  if (now < next_pace_) {
    return;
  }
  next_pace_ = now + options_.pace_interval;
  for (auto& [id, session] : workers_) {
    AdjustPace(session, now);
  }
}

void fleet_scheduler::AdjustPace(worker_session& session, time_point now) {
  /// Share of the target above which best-effort tasks slow down, and below
  /// which they speed up again.
  constexpr double kSlowDownAt = 0.9;
  constexpr double kSpeedUpAt = 0.5;
  /// Time without speeding up after a tail over its target.
  constexpr std::chrono::milliseconds kCalm{1000};
  double worst = 0;
  bool over = false;
  for (auto& [run, state] : session.runs) {
    if (!state.serving || !state.usage || state.percent < 100) {
      continue;
    }
    const double share = static_cast<double>(*state.usage) /
                         static_cast<double>(state.latency_target.count());
    worst = std::max(worst, share);
    if (share >= kSlowDownAt) {
      over = true;
      if (!state.over_target_since) {
        state.over_target_since = now;
      }
    } else if (state.over_target_since && share < kSpeedUpAt) {
      state.over_target_since.reset();
    }
  }
  if (!over && worst > kSpeedUpAt) {
    return;
  }
  for (auto& [run, state] : session.runs) {
    if (state.best_effort_millicores == 0 || state.pace_under_way ||
        state.phase != run_phase::kRunning) {
      continue;
    }
    const int percent = over ? state.pace / 2
                             : std::min(100, state.pace + state.pace / 2 + 10);
    if (percent == state.pace || (over && state.pace <= 12)) {
      continue;
    }
    if (now - state.progressed_at > kCalm && !over) {
      continue;
    }
    state.pace_under_way = true;
    orders_.emplace_back(
        pace_order{.target = Target(session), .run = run, .percent = percent});
    Note(scheduling_event::kPaceOrdered, run, session.entry.worker,
         absl::StrCat(percent));
  }
}

}  // namespace skylarkbridge::jobs
