#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A job is worth something up to this multiple of its objective.
constexpr int kLateLimit = 3;
/// The worth of a job grows with its work from a fixed part on; the part, and
/// the core-seconds of work to which it relates.
constexpr double kFixedWorth = 0.43;
constexpr double kTypicalWork = 100;
/// Rank of the tasks of a long-running step that has begun, before all others.
constexpr double kRestartCost = -1;
/// A job of which nothing has run for so long on an underused fleet starves.
constexpr std::chrono::milliseconds kStarvation{1200};
/// A best-effort task is not placed where it would harm more.
constexpr double kMaxHarm = 0.12;
/// Weight of the demand of other images that can use the worker without harm,
/// beside the share of the worker that is idle.
constexpr double kScarcity = 0.5;

/// Longest chain of the estimates of steps; those of which no task is left
/// take no time.
/// @param steps what is left; nothing for a job that has not begun.
std::chrono::milliseconds LongestChain(const job_spec& spec,
                                       const std::vector<step_state>* steps) {
  std::vector<std::chrono::milliseconds> ends(spec.steps.size());
  std::chrono::milliseconds longest{};
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    std::chrono::milliseconds begin{};
    for (const std::uint32_t earlier : spec.steps[step].depends_on) {
      begin = std::max(begin, ends[earlier]);
    }
    const bool over =
        steps != nullptr && (*steps)[step].done == (*steps)[step].tasks.size();
    ends[step] = begin + (over ? std::chrono::milliseconds(0)
                               : spec.steps[step].estimate);
    longest = std::max(longest, ends[step]);
  }
  return longest;
}

/// Processor time that the tasks which are not done need, in core-seconds, and
/// that of all tasks.
struct work_amounts {
  double left = 0;
  double all = 0;
};

work_amounts Work(const job_spec& spec, const std::vector<step_state>& steps) {
  work_amounts work;
  for (std::size_t step = 0; step < spec.steps.size(); ++step) {
    const step_spec& tasks = spec.steps[step];
    const double each = static_cast<double>(tasks.need.millicores) / 1000 *
                        std::chrono::duration<double>(tasks.estimate).count();
    work.all += each * tasks.count;
    work.left += each * (tasks.count - steps[step].done);
  }
  return work;
}

}  // namespace

time_point fleet_scheduler::Objective(const open_job& job,
                                      const queue_configuration* queue) const {
  const double slack = queue == nullptr ? 1 : queue->slack_factor;
  const auto chain = std::chrono::duration_cast<time_point::duration>(
      slack * LongestChain(job.spec, nullptr));
  const std::chrono::milliseconds more =
      queue == nullptr ? std::chrono::milliseconds(0) : queue->slack_time;
  return job.added_at + chain + more;
}

fleet_scheduler::ready_step fleet_scheduler::Rank(
    const open_job& job,
    const queue_configuration& queue,
    const step_ref& ref,
    time_point now) const {
  const std::vector<step_state>& steps =
      job.due_occurrences.find(ref.occurrence)->second;
  const time_point objective = Objective(job, &queue);
  const time_point earliest_end = now + LongestChain(job.spec, &steps);
  ready_step ranked{.priority = queue.priority, .ref = ref};
  if (job.spec.steps[ref.step].long_running && job.progress.started) {
    // The users of a task that has run before miss it until it runs again.
    ranked.cost = kRestartCost;
    ranked.restart = true;
    return ranked;
  }
  if (earliest_end > job.added_at + kLateLimit * (objective - job.added_at)) {
    ranked.lateness = 2;
  } else if (earliest_end > objective) {
    ranked.lateness = 1;
  }
  const work_amounts work = Work(job.spec, steps);
  ranked.cost = work.left / (kFixedWorth * kTypicalWork + work.all);
  return ranked;
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
    steps.push_back(Rank(*job, *queue, ref, now));
    steps.back().starves = Starves(ref.job, now);
  }
  std::sort(steps.begin(), steps.end(),
            [](const ready_step& left, const ready_step& right) {
              return std::tie(right.starves, left.priority, left.lateness,
                              left.cost, left.ref) <
                     std::tie(left.starves, right.priority, right.lateness,
                              right.cost, right.ref);
            });
  return steps;
}

bool fleet_scheduler::Underused(time_point now) const {
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

void fleet_scheduler::NoteIdleJobs(time_point now) {
  if (!Underused(now)) {
    idle_jobs_.clear();
    return;
  }
  std::set<job_id> idle;
  for (const step_ref& ref : jobs_.ReadySteps()) {
    idle.insert(ref.job);
  }
  for (const auto& [id, session] : workers_) {
    for (const auto& [run, state] : session.runs) {
      idle.erase(run.task.job);
    }
  }
  std::erase_if(idle_jobs_, [&idle](const auto& entry) {
    return !idle.contains(entry.first);
  });
  for (const job_id job : idle) {
    idle_jobs_.try_emplace(job, now);
  }
}

bool fleet_scheduler::Starves(job_id job, time_point now) const {
  const auto idle = idle_jobs_.find(job);
  return idle != idle_jobs_.end() && now >= idle->second + kStarvation;
}

void fleet_scheduler::Place(time_point now) {
  if (!place_wanted_ || configuration_ == nullptr || now < next_pass_) {
    return;
  }
  place_wanted_ = false;
  NoteIdleJobs(now);
  permits_.DropClosedSteps(jobs_);
  candidate_lists lists;
  int misses = 0;
  for (const ready_step& step : OrderedReadySteps(now)) {
    misses += PlaceStep(step, lists, now) ? 0 : 1;
    if (misses >= options_.max_misses) {
      break;
    }
  }
  kept_for_ = std::move(lists.kept_for);
  // Steps that wait are looked at again with the next change, and a long
  // backlog not with each.
  next_pass_ = misses == 0 ? now : now + options_.pass_interval;
  place_wanted_ = !jobs_.ReadySteps().empty();
}

double fleet_scheduler::BestEffortDemand(
    const step_spec& spec,
    const worker_session& session,
    const best_effort_demand& demand) const {
  double wanted = 0;
  for (const auto& [image, entry] : demand) {
    if (image != spec.image && entry.harmless.contains(session.entry.worker)) {
      wanted += entry.share / static_cast<double>(entry.harmless.size());
    }
  }
  return wanted * static_cast<double>(workers_.size());
}

fleet_scheduler::best_effort_demand fleet_scheduler::Demand() const {
  best_effort_demand demand;
  double total = 0;
  const auto add = [&](const std::string& image, const resources& need,
                       std::size_t tasks) {
    image_demand& entry = demand[image];
    entry.example = {.need = need, .image = image, .best_effort = true};
    entry.share += static_cast<double>(tasks);
    total += static_cast<double>(tasks);
  };
  for (const step_ref& ref : jobs_.ReadySteps()) {
    if (const step_spec* step = jobs_.Spec(ref); step->best_effort) {
      add(step->image, step->need, jobs_.Find(ref)->tasks.size());
    }
  }
  for (const auto& [id, session] : workers_) {
    for (const auto& [run, state] : session.runs) {
      if (state.best_effort_millicores > 0) {
        add(state.image, {.millicores = state.best_effort_millicores}, 1);
      }
    }
  }
  for (auto& [image, entry] : demand) {
    entry.share /= total;
    for (const auto& [id, session] : workers_) {
      if (ExpectedHarm(entry.example, session) <= kMaxHarm) {
        entry.harmless.insert(id);
      }
    }
  }
  return demand;
}

std::vector<placement_candidate>& fleet_scheduler::Candidates(
    const step_spec& spec,
    const queue_configuration& queue,
    candidate_lists& lists,
    time_point now) const {
  const auto [entry, added] = lists.by_kind.try_emplace(
      std::make_tuple(queue.service, spec.image, spec.best_effort));
  std::vector<placement_candidate>& candidates = entry->second;
  if (!added) {
    return candidates;
  }
  for (const auto& [id, session] : workers_) {
    if (session.entry.service != queue.service || !Usable(session, now)) {
      continue;
    }
    const double harm = ExpectedHarm(spec, session);
    const bool harmed =
        session.over_target_since &&
        now >= *session.over_target_since + options_.settle_time;
    if (spec.best_effort && (harmed || harm > kMaxHarm)) {
      continue;
    }
    placement_candidate candidate{.session = &session, .penalty = harm};
    if (spec.best_effort) {
      if (!lists.demand) {
        lists.demand = Demand();
      }
      candidate.penalty +=
          kScarcity * BestEffortDemand(spec, session, *lists.demand);
    }
    if (spec.latency_target.count() > 0) {
      CountImages(spec.image, candidate);
    }
    candidates.push_back(candidate);
  }
  return candidates;
}

void fleet_scheduler::CountImages(const std::string& image,
                                  placement_candidate& candidate) const {
  candidate.same_image = 0;
  candidate.other_images = 0;
  for (const auto& [run, state] : candidate.session->runs) {
    if (state.serving) {
      ++(state.image == image ? candidate.same_image : candidate.other_images);
    }
  }
}

void fleet_scheduler::CountSiblings(
    const step_ref& ref,
    std::vector<placement_candidate>& candidates) const {
  absl::flat_hash_map<std::string, std::uint32_t> siblings;
  for (const task_state& task : jobs_.Find(ref)->tasks) {
    for (const active_run& copy : task.active_runs) {
      ++siblings[copy.worker];
    }
  }
  for (placement_candidate& candidate : candidates) {
    const auto there = siblings.find(candidate.session->entry.worker);
    candidate.siblings = there == siblings.end() ? 0 : there->second;
  }
}

void fleet_scheduler::KeepRoom(const step_ref& ref,
                               const step_spec& step,
                               std::vector<placement_candidate>& candidates,
                               candidate_lists& lists) const {
  const std::vector<std::uint32_t> waiting =
      jobs_.ReadyTasks(ref, time_point::max());
  for (const std::uint32_t index : waiting) {
    const task_ref task = TaskOf(ref, index);
    const auto before = kept_for_.find(task);
    const auto chosen = ChooseWorkerToReserve(
        step, candidates, before == kept_for_.end() ? "" : before->second);
    if (!chosen) {
      return;
    }
    placement_candidate& candidate = candidates[*chosen];
    candidate.reserved += step.need;
    lists.kept[candidate.session->entry.worker] += step.need;
    lists.kept_for[task] = candidate.session->entry.worker;
    ++candidate.siblings;
  }
}

bool fleet_scheduler::PlaceStep(const ready_step& ranked,
                                candidate_lists& lists,
                                time_point now) {
  const step_ref& ref = ranked.ref;
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  const std::vector<std::uint32_t> ready = jobs_.ReadyTasks(ref, now);
  if (step == nullptr || queue == nullptr ||
      (ready.empty() && !ranked.restart)) {
    return true;
  }
  std::vector<placement_candidate>& candidates =
      Candidates(*step, *queue, lists, now);
  if (!lists.kept.empty()) {
    for (placement_candidate& candidate : candidates) {
      if (const auto kept = lists.kept.find(candidate.session->entry.worker);
          kept != lists.kept.end()) {
        candidate.reserved = kept->second;
      }
    }
  }
  if (step->max_per_worker > 0) {
    CountSiblings(ref, candidates);
  }
  if (queue->policy.permit_validity.count() > 0) {
    std::vector<placement_candidate> permitted =
        Permitted(ref, candidates, now);
    const bool placed = step->gang
                            ? PlaceGang(ref, *step, ready, permitted, now)
                            : PlaceTasks(ranked, *step, ready, permitted, now);
    if (!placed) {
      AskForPermits(ref, queue->policy, candidates, now);
    }
    return placed;
  }
  if (step->gang) {
    return PlaceGang(ref, *step, ready, candidates, now);
  }
  const bool placed = PlaceTasks(ranked, *step, ready, candidates, now);
  if (ranked.restart) {
    KeepRoom(ref, *step, candidates, lists);
  }
  return placed;
}

std::vector<placement_candidate> fleet_scheduler::Permitted(
    const step_ref& ref,
    const std::vector<placement_candidate>& candidates,
    time_point now) const {
  std::vector<placement_candidate> permitted;
  for (const placement_candidate& candidate : candidates) {
    if (permits_.FindTicket(ref, candidate.session->entry.worker, now) != nullptr) {
      permitted.push_back(candidate);
    }
  }
  return permitted;
}

void fleet_scheduler::AskForPermits(
    const step_ref& ref,
    const placement_policy_timing& policy,
    const std::vector<placement_candidate>& candidates,
    time_point now) {
  std::vector<const placement_candidate*> by_room;
  by_room.reserve(candidates.size());
  for (const placement_candidate& candidate : candidates) {
    by_room.push_back(&candidate);
  }
  std::stable_sort(
      by_room.begin(), by_room.end(),
      [](const placement_candidate* left, const placement_candidate* right) {
        return left->Room().millicores > right->Room().millicores;
      });
  std::vector<std::string> workers;
  workers.reserve(by_room.size());
  for (const placement_candidate* const candidate : by_room) {
    workers.push_back(candidate->session->entry.worker);
  }
  if (auto request = permits_.NextRequest(ref, workers, policy, now)) {
    orders_.emplace_back(std::move(*request));
  }
}

bool fleet_scheduler::PlaceTasks(const ready_step& ranked,
                                 const step_spec& step,
                                 const std::vector<std::uint32_t>& ready,
                                 std::vector<placement_candidate>& candidates,
                                 time_point now) {
  placement_options options = options_.placement;
  if (ranked.starves) {
    options.best_effort_share = 0;
  }
  for (const std::uint32_t index : ready) {
    const std::optional<std::size_t> chosen =
        ChooseWorker(step, candidates, "", options);
    if (!chosen) {
      return false;
    }
    placement_candidate& candidate = candidates[*chosen];
    worker_session& session =
        workers_.find(candidate.session->entry.worker)->second;
    const task_ref task = TaskOf(ranked.ref, index);
    StartTask(session, step, {task, jobs_.NextRun(task, own_)}, now);
    ++candidate.siblings;
    candidate.same_image += step.latency_target.count() > 0 ? 1 : 0;
    if (ranked.starves) {
      break;
    }
  }
  return true;
}

bool fleet_scheduler::PlaceGang(const step_ref& ref,
                                const step_spec& step,
                                const std::vector<std::uint32_t>& ready,
                                std::vector<placement_candidate> candidates,
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

}  // namespace skylarkbridge::jobs
