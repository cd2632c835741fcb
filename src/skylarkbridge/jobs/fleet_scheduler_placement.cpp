#include <algorithm>
#include <cmath>
#include <iterator>
#include <span>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A best-effort task is not placed on a worker with a higher risk.
constexpr double kMaxInterferenceRisk = 0.12;
/// Weight of CompetingDemand in the score of a worker; the idle share of the
/// worker has the weight 1.
constexpr double kCompetingDemandWeight = 0.5;

}  // namespace

double fleet_scheduler::CompetingDemand(
    const step_spec& spec,
    const worker_session& session,
    const best_effort_demand& demand) const {
  double competing_demand = 0;
  if (const auto suited = demand.images_by_worker.find(&session);
      suited != demand.images_by_worker.end()) {
    for (const std::size_t position : suited->second) {
      const image_demand& entry = demand.images[position];
      if (entry.image != spec.image) {
        competing_demand +=
            entry.share / static_cast<double>(entry.suitable_workers);
      }
    }
  }
  return competing_demand * static_cast<double>(workers_.size());
}

std::vector<image_demand> fleet_scheduler::BestEffortImages() const {
  std::map<std::string_view, image_demand> by_image;
  double total = 0;
  const auto add = [&](std::string_view image, const resources& need,
                       std::size_t tasks) {
    image_demand& entry = by_image[image];
    entry.image = image;
    entry.need = need;
    entry.share += static_cast<double>(tasks);
    total += static_cast<double>(tasks);
  };
  for (const step_ref& ref : jobs_.ReadySteps()) {
    if (const step_spec* step = jobs_.Spec(ref); step->best_effort) {
      add(step->image, step->need, jobs_.Find(ref)->tasks.size());
    }
  }
  for (const auto& [id, session] : workers_) {
    if (session.best_effort_millicores == 0) {
      continue;
    }
    for (const auto& [run, state] : session.runs) {
      if (state.best_effort_millicores > 0) {
        add(state.image, {.millicores = state.best_effort_millicores}, 1);
      }
    }
  }
  std::vector<image_demand> images;
  images.reserve(by_image.size());
  for (const auto& [image, entry] : by_image) {
    images.push_back(entry);
    images.back().share /= total;
  }
  return images;
}

best_effort_demand fleet_scheduler::ComputeDemand(
    interference_views& views) const {
  best_effort_demand demand{.images = BestEffortImages()};
  for (const auto& [id, session] : workers_) {
    std::vector<std::size_t>& suited = demand.images_by_worker[&session];
    for (std::size_t position = 0; position < demand.images.size();
         ++position) {
      image_demand& entry = demand.images[position];
      if (BestEffortRisk(entry.image, entry.need.millicores, session, views) <=
          kMaxInterferenceRisk) {
        suited.push_back(position);
        ++entry.suitable_workers;
      }
    }
  }
  return demand;
}

std::vector<placement_candidate>& fleet_scheduler::Candidates(
    const step_spec& spec,
    const queue_configuration& queue,
    placement_pass& pass,
    time_point now) const {
  const auto [entry, added] = pass.by_kind.try_emplace(
      std::make_tuple(queue.service, spec.image, spec.best_effort));
  std::vector<placement_candidate>& candidates = entry->second;
  if (!added) {
    return candidates;
  }
  for (const auto& [id, session] : workers_) {
    if (session.entry.service != queue.service || !Usable(session, now)) {
      continue;
    }
    if (const auto candidate = CandidateOn(session, spec, pass, now)) {
      candidates.push_back(*candidate);
    }
  }
  return candidates;
}

std::optional<placement_candidate> fleet_scheduler::CandidateOn(
    const worker_session& session,
    const step_spec& spec,
    placement_pass& pass,
    time_point now) const {
  const double risk = InterferenceRisk(spec, session, pass.views);
  const bool violates_target =
      session.over_target_since &&
      now >= *session.over_target_since + options_.over_target_grace;
  // What a new task adds to the tail latency would prolong the pause.
  if (spec.best_effort && (violates_target || risk > kMaxInterferenceRisk ||
                           HasPausedRun(session))) {
    return std::nullopt;
  }
  placement_candidate candidate{.session = &session, .penalty = risk};
  if (spec.best_effort) {
    if (!pass.demand) {
      pass.demand = ComputeDemand(pass.views);
    }
    candidate.penalty +=
        kCompetingDemandWeight * CompetingDemand(spec, session, *pass.demand);
  }
  if (spec.latency_target.count() > 0) {
    CountServingTasks(spec.image, candidate);
  }
  return candidate;
}

void fleet_scheduler::CountServingTasks(const std::string& image,
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
    const placement_pass& pass,
    std::vector<placement_candidate>& candidates) const {
  absl::flat_hash_map<std::string, std::uint32_t> siblings;
  for (const task_state& task : jobs_.Find(ref)->tasks) {
    for (const active_run& copy : task.active_runs) {
      ++siblings[copy.worker];
    }
  }
  for (auto reserved = pass.reserved_workers.lower_bound(TaskOf(ref, 0));
       reserved != pass.reserved_workers.end() &&
       StepOf(reserved->first) == ref;
       ++reserved) {
    ++siblings[reserved->second];
  }
  for (placement_candidate& candidate : candidates) {
    const auto count = siblings.find(candidate.session->entry.worker);
    candidate.siblings = count == siblings.end() ? 0 : count->second;
  }
}

const placement_candidate* fleet_scheduler::ReserveRoom(
    const task_ref& task,
    const step_spec& step,
    std::vector<placement_candidate>& candidates,
    placement_pass& pass) const {
  std::span<placement_candidate> allowed = candidates;
  if (const late_start* late = late_starts_.FindBinding(task)) {
    const auto bound =
        std::find_if(candidates.begin(), candidates.end(),
                     [late](const placement_candidate& candidate) {
                       return candidate.session->entry.worker == late->worker;
                     });
    allowed = {bound, bound == candidates.end() ? bound : std::next(bound)};
  }
  const auto previous_worker = reserved_workers_.find(task);
  const auto chosen = ChooseWorkerToReserve(
      step, allowed,
      previous_worker == reserved_workers_.end() ? ""
                                                 : previous_worker->second);
  if (!chosen) {
    return nullptr;
  }
  ReserveRoomOn(allowed[*chosen], task, step, pass);
  return &allowed[*chosen];
}

void fleet_scheduler::ReserveRoomOn(placement_candidate& candidate,
                                    const task_ref& task,
                                    const step_spec& step,
                                    placement_pass& pass) {
  const resources need = ReservedResources(step);
  candidate.reserved += need;
  pass.reserved_room[candidate.session->entry.worker] += need;
  pass.reserved_workers[task] = candidate.session->entry.worker;
  ++candidate.siblings;
}

resources placement_pass::ReservedRoom(const std::string& worker,
                                       bool with_expected_restarts) const {
  resources reserved;
  if (const auto room = reserved_room.find(worker);
      room != reserved_room.end()) {
    reserved += room->second;
  }
  if (const auto room = expected_restart_room.find(worker);
      with_expected_restarts && room != expected_restart_room.end()) {
    reserved += room->second;
  }
  return reserved;
}

std::vector<std::uint32_t> fleet_scheduler::TasksToPlace(const step_ref& ref,
                                                         const step_spec& step,
                                                         time_point now) const {
  std::vector<std::uint32_t> ready = jobs_.ReadyTasks(ref, now);
  if (step.long_running) {
    const std::vector<task_state>& tasks = jobs_.Find(ref)->tasks;
    const auto has_run = [&tasks](std::uint32_t index) {
      return tasks[index].last_run_ended_at.has_value();
    };
    if (step.gang && std::any_of(ready.begin(), ready.end(), has_run)) {
      return {};
    }
    std::erase_if(ready, has_run);
  }
  if (!step.gang) {
    std::erase_if(ready, [this, &ref](std::uint32_t index) {
      return late_starts_.Find(TaskOf(ref, index)) != nullptr;
    });
  }
  return ready;
}

std::vector<placement_candidate>& fleet_scheduler::CandidatesForStep(
    const step_ref& ref,
    const step_spec& step,
    const queue_configuration& queue,
    placement_pass& pass,
    time_point now) const {
  std::vector<placement_candidate>& candidates =
      Candidates(step, queue, pass, now);
  const bool nothing_reserved =
      pass.reserved_room.empty() && pass.expected_restart_room.empty();
  for (placement_candidate& candidate : candidates) {
    candidate.reserved =
        nothing_reserved ? resources()
                         : pass.ReservedRoom(candidate.session->entry.worker,
                                             step.long_running);
    // A start of this pass may have excluded the worker.
    if (now < candidate.session->excluded_until) {
      candidate.reserved += candidate.session->entry.capacity;
    }
  }
  if (step.max_per_worker > 0) {
    CountSiblings(ref, pass, candidates);
  }
  return candidates;
}

step_outcome fleet_scheduler::PlaceStep(const ready_step& ranked,
                                        placement_pass& pass,
                                        time_point now) {
  const step_ref& ref = ranked.ref;
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr) {
    return step_outcome::kPlaced;
  }
  std::vector<std::uint32_t> ready = TasksToPlace(ref, *step, now);
  if (ready.empty()) {
    return step_outcome::kPlaced;
  }
  // The members of a gang start together, whatever the limit leaves.
  const std::size_t allowed = step->gang && !start_limit_.Reached()
                                  ? ready.size()
                                  : start_limit_.Room();
  const bool limited = ready.size() > allowed;
  if (limited) {
    ready.resize(allowed);
  }
  if (step->long_running && !pass.expects_restarts) {
    pass.expects_restarts = true;
    ReserveForExpectedRestarts(pass, now);
  }
  if (step->gang) {
    ReleaseRoomOfGang(ref, pass);
  }
  std::vector<placement_candidate>& candidates =
      CandidatesForStep(ref, *step, *queue, pass, now);
  step_outcome outcome = step_outcome::kUnplaced;
  if (!ready.empty()) {
    outcome = PlaceReadyTasks(ranked, *step, *queue, ready, candidates,
                              pass.refused, now);
  }
  if (limited) {
    outcome = step_outcome::kUnplaced;
  }
  if (step->gang) {
    KeepRoomOfBoundMembers(ref, pass, now);
  }
  if (ranked.begun_long_running && !step->gang &&
      !queue->HasPlacementPolicy()) {
    for (const std::uint32_t index : TasksToPlace(ref, *step, now)) {
      if (ReserveRoom(TaskOf(ref, index), *step, candidates, pass) == nullptr) {
        break;
      }
    }
  }
  if (outcome == step_outcome::kUnplaced && ranked.begun_long_running &&
      !step->gang) {
    WaitAsRestarts(ref, *step, now);
  }
  return outcome;
}

bool fleet_scheduler::PlaceOnCandidates(
    const ready_step& ranked,
    const step_spec& step,
    const queue_configuration& queue,
    const std::vector<std::uint32_t>& ready,
    std::vector<placement_candidate>& candidates,
    time_point now) {
  refused_shapes refused;
  return PlaceReadyTasks(ranked, step, queue, ready, candidates, refused,
                         now) != step_outcome::kUnplaced;
}

step_outcome fleet_scheduler::PlaceReadyTasks(
    const ready_step& ranked,
    const step_spec& step,
    const queue_configuration& queue,
    const std::vector<std::uint32_t>& ready,
    std::vector<placement_candidate>& candidates,
    refused_shapes& refused,
    time_point now) {
  const auto place = [&](std::vector<placement_candidate>& on) {
    if (!step.gang) {
      return PlaceTasks(ranked, step, queue, ready, on, refused, now);
    }
    return PlaceGang(ranked.ref, step, ready, on, now)
               ? step_outcome::kPlaced
               : step_outcome::kUnplaced;
  };
  if (!queue.HasPlacementPolicy()) {
    return place(candidates);
  }
  std::vector<placement_candidate> permitted =
      Permitted(ranked.ref, candidates, now);
  const step_outcome outcome = place(permitted);
  if (outcome == step_outcome::kUnplaced) {
    RequestPermits(ranked.ref, queue.policy, candidates, now);
  }
  return outcome;
}

std::vector<placement_candidate> fleet_scheduler::Permitted(
    const step_ref& ref,
    const std::vector<placement_candidate>& candidates,
    time_point now) const {
  std::vector<placement_candidate> permitted;
  for (const placement_candidate& candidate : candidates) {
    if (permits_.FindTicket(ref, candidate.session->entry.worker, now) !=
        nullptr) {
      permitted.push_back(candidate);
    }
  }
  return permitted;
}

void fleet_scheduler::RequestPermits(
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

step_outcome fleet_scheduler::PlaceTasks(
    const ready_step& ranked,
    const step_spec& step,
    const queue_configuration& queue,
    const std::vector<std::uint32_t>& ready,
    std::vector<placement_candidate>& candidates,
    refused_shapes& refused,
    time_point now) {
  placement_options options = options_.placement;
  if (ranked.starving) {
    options.best_effort_share = 0;
  }
  const step_kind kind = KindOf(step, queue.service, ranked.starving);
  // Otherwise the step may be refused where other steps of its kind are not.
  const bool decided_by_room =
      step.max_per_worker == 0 && !queue.HasPlacementPolicy();
  step_outcome outcome = step_outcome::kPlaced;
  for (const std::uint32_t index : ready) {
    const task_ref task = TaskOf(ranked.ref, index);
    const bool suspected = IsSuspected(task);
    if (suspected && !step.long_running && decided_by_room &&
        refused.without_separate_worker.HasNoRoom(kind, step.need)) {
      continue;
    }
    const std::optional<std::size_t> chosen =
        ChooseWorkerFor(task, step, candidates, options, now);
    if (!chosen && suspected && ChooseWorker(step, candidates, "", options)) {
      if (decided_by_room) {
        refused.without_separate_worker.Add(kind, step.need);
      }
      outcome = step_outcome::kWaitsAsSuspect;
      continue;
    }
    if (!chosen) {
      if (decided_by_room) {
        refused.without_room.Add(kind, step.need);
      }
      return step_outcome::kUnplaced;
    }
    placement_candidate& candidate = candidates[*chosen];
    worker_session& session =
        workers_.find(candidate.session->entry.worker)->second;
    StartTask(session, step, {task, jobs_.NextRun(task, epoch_)}, now);
    ++candidate.siblings;
    candidate.same_image += step.latency_target.count() > 0 ? 1 : 0;
    if (now < session.excluded_until) {
      candidate.reserved += session.entry.capacity;
    }
    if (ranked.starving) {
      return step_outcome::kPlaced;
    }
  }
  return outcome;
}

bool fleet_scheduler::PlaceGang(const step_ref& ref,
                                const step_spec& step,
                                const std::vector<std::uint32_t>& ready,
                                std::vector<placement_candidate> candidates,
                                time_point now) {
  if (ready.size() < step.count) {
    return false;
  }
  // Reserves the capacity of all members on copies of the sessions, so that
  // nothing starts unless every member has a worker.
  std::vector<worker_session> trial_sessions;
  trial_sessions.reserve(candidates.size());
  for (placement_candidate& candidate : candidates) {
    trial_sessions.push_back(*candidate.session);
    candidate.session = &trial_sessions.back();
  }
  std::vector<std::uint32_t> members = ready;
  BoundMembersFirst(ref, members);
  std::vector<std::string> chosen_workers;
  run_number run = 0;
  for (const std::uint32_t index : members) {
    const late_start* late = late_starts_.FindBinding(TaskOf(ref, index));
    if (late != nullptr) {
      const auto worker = workers_.find(late->worker);
      if (worker != workers_.end() && !MayRepeatStart(*late, worker->second)) {
        return false;
      }
    }
    const std::optional<std::size_t> chosen =
        late == nullptr
            ? ChooseWorker(step, candidates, "", options_.placement)
            : FindPlaceOn(late->worker, step, candidates, options_.placement);
    if (!chosen) {
      return false;
    }
    if (step.best_effort) {
      trial_sessions[*chosen].best_effort_millicores += step.need.millicores;
    }
    trial_sessions[*chosen].used += ReservedResources(step);
    ++candidates[*chosen].siblings;
    chosen_workers.push_back(trial_sessions[*chosen].entry.worker);
    run = std::max(run, jobs_.NextRun(TaskOf(ref, index), epoch_));
  }
  for (std::size_t member = 0; member < members.size(); ++member) {
    StartTask(workers_.find(chosen_workers[member])->second, step,
              {TaskOf(ref, members[member]), run}, now);
  }
  return true;
}

}  // namespace skylarkbridge::jobs
