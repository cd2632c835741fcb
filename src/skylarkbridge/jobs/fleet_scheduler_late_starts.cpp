// A start order without an answer may be carried out by a later life of its
// worker, although the life that has reported refuses it. Until it can arrive
// no more, its task starts only on that worker. A worker that answers renewals
// but no start would so keep the task without end: after kMaxUnanswered orders
// it gets no more, and then the task starts elsewhere. A long-running task
// waits for its worker no longer than bound_restart_limit after its last run.
#include <algorithm>
#include <cstdint>
#include <vector>

#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Unanswered starts of a task after which its worker gets no more of them.
constexpr int kMaxUnanswered = 2;

}  // namespace

void fleet_scheduler::RecordLateStart(const worker_session& session,
                                      const task_ref& task,
                                      const worker_run& run) {
  if (jobs_.Find(task) == nullptr) {
    return;
  }
  // A renewal without an answer may arrive as late as the start, and extend
  // the lease.
  const time_point last_order =
      std::max(run.ordered_at, session.fence_raised_at);
  late_starts_.Add(
      task,
      {.worker = session.entry.worker,
       .last_sent_at = run.ordered_at,
       .arrives_by = run.ordered_at + options_.max_order_delay,
       .runs_until = LatestLeaseExpiry(last_order + options_.max_order_delay)});
  // Here and not in the next pass, which may start the task on the same worker
  // again at once.
  if (jobs_.Spec(StepOf(task))->long_running) {
    const std::optional<time_point> waits_since =
        jobs_.Find(task)->last_run_ended_at;
    late_starts_.LeaveAt(
        task, waits_since,
        waits_since.value_or(run.ordered_at) + options_.bound_restart_limit);
  }
}

void fleet_scheduler::RemoveEndedLateStarts(time_point now) {
  late_starts_.RemoveIf([this, now](const task_ref& task, late_start& start) {
    const auto worker = workers_.find(start.worker);
    if (worker == workers_.end() || worker->second.entry.draining) {
      return true;
    }
    if (!start.Binds()) {
      const bool has_restarted = start.unanswered == 0;
      return now >= *start.avoided_until || has_restarted ||
             worker->second.last_confirmed_start > start.avoided_from;
    }
    const bool leaves = Leaves(task, start, now);
    if (!leaves && !IsOver(start, now)) {
      return false;
    }
    // A task that leaves has waited long enough for a worker that answers the
    // starts of others only.
    if (!leaves && MayRepeatStart(start, worker->second)) {
      return true;
    }
    start.avoided_from = now;
    start.avoided_until = now + (start.unanswered < kMaxUnanswered
                                     ? options_.fault_backoff
                                     : options_.unanswered_start_avoidance);
    placement_pending_ = true;
    return false;
  });
}

bool fleet_scheduler::Avoids(const task_ref& task,
                             const std::string& worker) const {
  const late_start* const late = late_starts_.Find(task);
  return late != nullptr && !late->Binds() && late->worker == worker;
}

bool fleet_scheduler::Leaves(const task_ref& task,
                             const late_start& start,
                             time_point now) const {
  const auto worker = workers_.find(start.worker);
  const task_state* state = jobs_.Find(task);
  return worker != workers_.end() && worker->second.RefusesLateOrders() &&
         state != nullptr && state->phase == task_phase::kReady &&
         start.leaves_at && start.waits_since == state->last_run_ended_at &&
         now >= *start.leaves_at;
}

bool fleet_scheduler::IsOver(const late_start& start, time_point now) const {
  const auto worker = workers_.find(start.worker);
  if (worker == workers_.end() || now >= start.runs_until) {
    return true;
  }
  const worker_session& session = worker->second;
  // An answer may be older than the life that carries the order out.
  const bool answered_since =
      session.RefusesLateOrders() &&
      session.answered_renewal_sent_at >= start.arrives_by;
  // A worker that drains ends and does not start again.
  return session.entry.draining || answered_since;
}

bool fleet_scheduler::MayRepeatStart(const late_start& start,
                                     const worker_session& session) {
  return start.unanswered < kMaxUnanswered ||
         session.last_confirmed_start > start.last_sent_at;
}

std::vector<placement_candidate> fleet_scheduler::LateStartCandidates(
    const late_start& late,
    const step_ref& ref,
    const step_spec& step,
    const queue_configuration& queue,
    placement_pass& pass,
    time_point now) const {
  if (!late.Binds()) {
    std::vector<placement_candidate> others =
        CandidatesForStep(ref, step, queue, pass, now);
    std::erase_if(others, [&late](const placement_candidate& candidate) {
      return candidate.session->entry.worker == late.worker;
    });
    return others;
  }
  const auto worker = workers_.find(late.worker);
  if (worker == workers_.end() ||
      worker->second.entry.service != queue.service ||
      !MayRepeatStart(late, worker->second) ||
      !UsableForBoundTasks(worker->second, now)) {
    return {};
  }
  std::vector<placement_candidate> candidates;
  if (const auto candidate = CandidateOn(worker->second, step, pass, now)) {
    candidates.push_back(*candidate);
    candidates.back().reserved =
        pass.ReservedRoom(late.worker, step.long_running);
    if (step.max_per_worker > 0) {
      CountSiblings(ref, pass, candidates);
    }
  }
  return candidates;
}

void fleet_scheduler::KeepRoomOfBoundTasks(placement_pass& pass,
                                           time_point now) const {
  for (const auto& entry : late_starts_.All()) {
    KeepRoomOfBoundTask(entry.first, pass, now);
  }
}

void fleet_scheduler::KeepRoomOfBoundTask(const task_ref& task,
                                          placement_pass& pass,
                                          time_point now) const {
  const late_start* late = late_starts_.FindBinding(task);
  const step_ref ref = StepOf(task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  const task_state* state = jobs_.Find(task);
  if (late == nullptr || step == nullptr || queue == nullptr ||
      state == nullptr || state->phase != task_phase::kReady ||
      pass.reserved_workers.contains(task)) {
    return;
  }
  std::vector<placement_candidate> candidates =
      LateStartCandidates(*late, ref, *step, *queue, pass, now);
  ReserveRoom(task, *step, candidates, pass);
}

void fleet_scheduler::ReleaseRoomOfGang(const step_ref& ref,
                                        placement_pass& pass) const {
  for (std::uint32_t index = 0; index < jobs_.Find(ref)->tasks.size();
       ++index) {
    ReleaseKeptRoom(TaskOf(ref, index), pass);
  }
}

void fleet_scheduler::KeepRoomOfBoundMembers(const step_ref& ref,
                                             placement_pass& pass,
                                             time_point now) const {
  for (std::uint32_t index = 0; index < jobs_.Find(ref)->tasks.size();
       ++index) {
    KeepRoomOfBoundTask(TaskOf(ref, index), pass, now);
  }
}

void fleet_scheduler::BoundMembersFirst(
    const step_ref& ref,
    std::vector<std::uint32_t>& members) const {
  std::stable_partition(
      members.begin(), members.end(), [this, &ref](std::uint32_t index) {
        return late_starts_.FindBinding(TaskOf(ref, index)) != nullptr;
      });
}

bool fleet_scheduler::PlaceTasksWithLateStarts(placement_pass& pass,
                                               time_point now) {
  bool all_placed = true;
  for (const auto& [task, late] : late_starts_.All()) {
    const step_ref ref = StepOf(task);
    const step_spec* step = jobs_.Spec(ref);
    const queue_configuration* queue = Queue(ref.job);
    const task_state* state = jobs_.Find(task);
    if (step == nullptr || queue == nullptr || state == nullptr || step->gang) {
      continue;
    }
    const std::vector<std::uint32_t> ready = jobs_.ReadyTasks(ref, now);
    if ((step->long_running && state->last_run_ended_at) ||
        std::find(ready.begin(), ready.end(), task.index) == ready.end()) {
      continue;
    }
    ReleaseKeptRoom(task, pass);
    std::vector<placement_candidate> candidates =
        LateStartCandidates(late, ref, *step, *queue, pass, now);
    all_placed &= PlaceOnCandidates({.ref = ref}, *step, *queue, {task.index},
                                    candidates, now);
    if (step->long_running && !late.Binds() &&
        state->phase == task_phase::kReady &&
        jobs_.Find(ref.job)->progress.started) {
      jobs_.WaitAsRestart(task, now);
      restart_stages_.ContinueAsRestart(task, now);
    }
    KeepRoomOfBoundTask(task, pass, now);
  }
  return all_placed;
}

}  // namespace skylarkbridge::jobs
