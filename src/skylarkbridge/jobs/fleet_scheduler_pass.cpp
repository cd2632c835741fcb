#include <utility>
#include <vector>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::PlaceReadySteps(time_point now) {
  if (!placement_pending_ || configuration_ == nullptr || now < next_pass_) {
    return;
  }
  placement_pending_ = false;
  ++last_pass_;
  UpdateWaitingJobs(now);
  permits_.DropClosedSteps(jobs_);
  placement_pass pass;
  const std::vector<leaving_run> leaving = LeavingRuns();
  KeepRoomOfLeavingRuns(leaving, pass, now);
  KeepRoomOfRelocatedRuns(pass, now);
  KeepRoomOfBoundTasks(pass, now);
  bool restarts_placed = PlaceRestarts(pass, now);
  restarts_placed &= PlaceLeavingRuns(leaving, pass, now);
  restart_room_ = pass.reserved_room;
  const bool late_tasks_placed = PlaceTasksWithLateStarts(pass, now);
  last_summary_ = PlaceSteps(pass, now);
  CountPass(last_summary_);
  reserved_workers_ = std::move(pass.reserved_workers);
  blocked_restarts_ = std::move(pass.blocked_restarts);
  EnterBlockedStages(now);
  // While steps are ready, each call of Run starts a pass. After a pass that
  // left steps or restarts unplaced, the next one waits for pass_interval,
  // which limits the cost of a long backlog.
  const bool all_placed = last_summary_.unplaced == 0 && restarts_placed &&
                          late_tasks_placed && !start_limit_.Reached();
  next_pass_ = all_placed ? now : now + options_.pass_interval;
  placement_pending_ = !jobs_.ReadySteps().empty() || !leaving.empty();
}

placement_summary fleet_scheduler::PlaceSteps(placement_pass& pass,
                                              time_point now) {
  const std::vector<ready_step> steps = OrderedReadySteps(now);
  placement_summary summary{.waiting_steps = steps.size()};
  sweep_.BeginPass(steps.size());
  std::size_t remaining = steps.size();
  for (const ready_step& step : steps) {
    if (sweep_.LimitReached()) {
      summary.not_reached = remaining;
      summary.ended_by = pass_end::kUnplacedLimit;
      return summary;
    }
    --remaining;
    // A long-running step that has begun renews its reservation in each pass.
    // first_start_patience bounds how long such steps come before others.
    if (!step.begun_long_running && sweep_.PassesOver(step.ref)) {
      continue;
    }
    sweep_.LookedAt(step.ref);
    ++summary.looked_at;
    if (IsKnownWithoutRoom(step, pass)) {
      ++summary.known_without_room;
      ++summary.unplaced;
      continue;
    }
    const step_outcome outcome = PlaceStep(step, pass, now);
    summary.unplaced += outcome == step_outcome::kUnplaced ? 1 : 0;
    if (outcome != step_outcome::kPlaced) {
      sweep_.SearchedInVain();
    }
    if (start_limit_.Reached()) {
      summary.not_reached = remaining;
      summary.ended_by = pass_end::kStartLimit;
      return summary;
    }
  }
  sweep_.ReachedEnd();
  return summary;
}

bool fleet_scheduler::IsKnownWithoutRoom(const ready_step& ranked,
                                         const placement_pass& pass) const {
  const step_spec* step = jobs_.Spec(ranked.ref);
  const queue_configuration* queue = Queue(ranked.ref.job);
  // A step that has begun reserves room, and one in a queue with a placement
  // policy requests permits, also while there is no room.
  if (step == nullptr || queue == nullptr || ranked.begun_long_running ||
      queue->HasPlacementPolicy()) {
    return false;
  }
  return pass.refused.without_room.HasNoRoom(
      KindOf(*step, queue->service, ranked.starving), step->need);
}

}  // namespace skylarkbridge::jobs
