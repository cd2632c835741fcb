#include <algorithm>
#include <chrono>
#include <set>
#include <tuple>
#include <vector>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A job that completes later than this multiple of the time allowed by its
/// objective has no value.
constexpr int kMaxLateFactor = 3;
/// The value of a job is its total work plus a fixed amount, which is
/// kFixedValueShare * kTypicalWorkCoreSeconds.
constexpr double kFixedValueShare = 0.43;
constexpr double kTypicalWorkCoreSeconds = 100;
/// Cost of a long-running step that has begun; below that of any other step.
constexpr double kBegunLongRunningCost = -1;
/// A job starves when none of its tasks has run for this long while the fleet
/// was underused.
constexpr std::chrono::milliseconds kStarvationTime{1200};

/// Length of the critical path by the estimates of the steps. Completed steps
/// count as zero.
/// @param steps progress of the steps; null treats all steps as not
/// completed.
std::chrono::milliseconds CriticalPath(const job_spec& spec,
                                       const std::vector<step_state>* steps) {
  std::vector<std::chrono::milliseconds> ends(spec.steps.size());
  std::chrono::milliseconds longest{};
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    std::chrono::milliseconds begin{};
    for (const std::uint32_t dependency : spec.steps[step].depends_on) {
      begin = std::max(begin, ends[dependency]);
    }
    const bool completed =
        steps != nullptr && (*steps)[step].done == (*steps)[step].tasks.size();
    ends[step] = begin + (completed ? std::chrono::milliseconds(0)
                                    : spec.steps[step].estimate);
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

/// Estimated processor time in core-seconds.
struct work_amounts {
  /// Of the tasks that are not done.
  double remaining = 0;
  double total = 0;
};

work_amounts Work(const job_spec& spec, const std::vector<step_state>& steps) {
  work_amounts work;
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    const step_spec& tasks = spec.steps[step];
    const double per_task =
        static_cast<double>(tasks.need.millicores) / 1000 *
        std::chrono::duration<double>(tasks.estimate).count();
    work.total += per_task * tasks.count;
    work.remaining += per_task * (tasks.count - steps[step].done);
  }
  return work;
}

}  // namespace

time_point fleet_scheduler::Objective(const open_job& job,
                                      const queue_configuration* queue) const {
  const double slack = queue == nullptr ? 1 : queue->slack_factor;
  const auto path_time = std::chrono::duration_cast<time_point::duration>(
      slack * CriticalPath(job.spec, nullptr));
  const std::chrono::milliseconds allowance =
      queue == nullptr ? std::chrono::milliseconds(0) : queue->slack_time;
  return job.added_at + path_time + allowance;
}

ready_step fleet_scheduler::Rank(const open_job& job,
                                 const queue_configuration& queue,
                                 const step_ref& ref,
                                 time_point now) const {
  const std::vector<step_state>& steps =
      job.due_occurrences.find(ref.occurrence)->second;
  const time_point objective = Objective(job, &queue);
  const time_point earliest_end = now + CriticalPath(job.spec, &steps);
  ready_step ranked{.priority = queue.priority, .ref = ref};
  if (job.spec.steps[ref.step].long_running && job.progress.started) {
    // Clients of a long-running task are without service until it runs.
    ranked.cost = kBegunLongRunningCost;
    ranked.begun_long_running = true;
    return ranked;
  }
  if (earliest_end >
      job.added_at + kMaxLateFactor * (objective - job.added_at)) {
    ranked.lateness = job_lateness::kWithoutValue;
  } else if (earliest_end > objective) {
    ranked.lateness = job_lateness::kLate;
  }
  const work_amounts work = Work(job.spec, steps);
  ranked.cost = work.remaining /
                (kFixedValueShare * kTypicalWorkCoreSeconds + work.total);
  return ranked;
}

std::vector<ready_step> fleet_scheduler::OrderedReadySteps(
    time_point now) const {
  std::vector<ready_step> steps;
  for (const step_ref& ref : jobs_.ReadySteps()) {
    const open_job* job = jobs_.Find(ref.job);
    const queue_configuration* queue = Queue(ref.job);
    if (job == nullptr || queue == nullptr) {
      continue;
    }
    steps.push_back(Rank(*job, *queue, ref, now));
    steps.back().starving = IsStarving(ref.job, now);
  }
  std::sort(steps.begin(), steps.end(),
            [](const ready_step& left, const ready_step& right) {
              return std::tie(right.starving, left.priority, left.lateness,
                              left.cost, left.ref) <
                     std::tie(left.starving, right.priority, right.lateness,
                              right.cost, right.ref);
            });
  return steps;
}

bool fleet_scheduler::IsUnderused(time_point now) const {
  std::int64_t capacity = 0;
  std::int64_t used = 0;
  for (const auto& [id, session] : workers_) {
    if (Usable(session, now)) {
      capacity += session.entry.capacity.millicores;
      used += session.used.millicores;
    }
  }
  return 2 * used < capacity;
}

void fleet_scheduler::UpdateWaitingJobs(time_point now) {
  if (!IsUnderused(now)) {
    waiting_jobs_since_.clear();
    return;
  }
  std::set<job_id> waiting;
  for (const step_ref& ref : jobs_.ReadySteps()) {
    waiting.insert(ref.job);
  }
  for (const auto& [id, session] : workers_) {
    for (const auto& [run, state] : session.runs) {
      waiting.erase(run.task.job);
    }
  }
  std::erase_if(waiting_jobs_since_, [&waiting](const auto& entry) {
    return !waiting.contains(entry.first);
  });
  for (const job_id job : waiting) {
    waiting_jobs_since_.try_emplace(job, now);
  }
}

bool fleet_scheduler::IsStarving(job_id job, time_point now) const {
  const auto waiting = waiting_jobs_since_.find(job);
  return waiting != waiting_jobs_since_.end() &&
         now >= waiting->second + kStarvationTime;
}

}  // namespace skylarkbridge::jobs
