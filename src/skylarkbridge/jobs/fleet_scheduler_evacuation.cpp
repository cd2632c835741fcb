#include <algorithm>
#include <tuple>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A stop has to be complete this long before a draining worker leaves.
constexpr std::chrono::milliseconds kEvacuationMargin{500};
/// Age that the entry of a worker may have when it is read from the list. Reads
/// are up to 150 ms apart, and slow ones take several hundred milliseconds.
constexpr std::chrono::milliseconds kMaxEntryAge{500};

}  // namespace

void fleet_scheduler::UpdateEvacuation(worker_session& session,
                                       bool added,
                                       time_point now) const {
  if (!session.entry.draining) {
    session.evacuation_state.reset();
    return;
  }
  const time_point stop_by = now + session.entry.minimum_time_left -
                             options_.stop_timeout - kEvacuationMargin -
                             kMaxEntryAge;
  if (session.evacuation_state) {
    time_point& earliest = session.evacuation_state->stop_by;
    earliest = std::min(earliest, stop_by);
    return;
  }
  // The entry of a worker that was not known before comes from the whole list
  // and may be of any age, so that the worker may be about to leave.
  session.evacuation_state = {.since = now, .stop_by = added ? now : stop_by};
}

bool fleet_scheduler::MustLeave(const worker_session& session,
                                const run_ref& run,
                                const worker_run& state,
                                time_point now) const {
  const step_spec* step = jobs_.Spec(StepOf(run.task));
  if (step == nullptr) {
    return false;
  }
  if (step->long_running) {
    // The tasks of a gang are not placed one by one.
    return step->gang || now >= session.evacuation_state->stop_by;
  }
  const std::chrono::milliseconds time_left = session.entry.minimum_time_left -
                                              options_.stop_timeout -
                                              kEvacuationMargin;
  const auto elapsed = now - state.ordered_at;
  const bool ends_in_time =
      state.progress_percent > 0 &&
      elapsed * (100 - state.progress_percent) / state.progress_percent <
          time_left;
  return step->checkpoints && !ends_in_time;
}

void fleet_scheduler::Evacuate(worker_session& session, time_point now) {
  for (auto& [run, state] : session.runs) {
    state.stop_wanted |= MustLeave(session, run, state, now);
  }
  SendStops(session, now);
}

void fleet_scheduler::StopOverdueRuns(worker_session& session, time_point now) {
  if (!session.evacuation_state || now < session.evacuation_state->stop_by) {
    return;
  }
  for (auto& [run, state] : session.runs) {
    state.stop_wanted |= state.long_running;
  }
}

std::vector<leaving_run> fleet_scheduler::LeavingRuns() {
  std::vector<leaving_run> leaving;
  for (auto& [id, session] : workers_) {
    if (!session.evacuation_state) {
      continue;
    }
    for (auto& [run, state] : session.runs) {
      if (state.long_running && !state.gang && !state.detached) {
        leaving.push_back({.run = run, .session = &session, .state = &state});
      }
    }
  }
  std::sort(leaving.begin(), leaving.end(),
            [](const leaving_run& left, const leaving_run& right) {
              return std::tie(right.state->reserved.millicores, left.run) <
                     std::tie(left.state->reserved.millicores, right.run);
            });
  return leaving;
}

void fleet_scheduler::KeepRoomOfLeavingRuns(
    const std::vector<leaving_run>& leaving,
    placement_pass& pass,
    time_point now) const {
  for (const leaving_run& run : leaving) {
    const task_ref& task = run.run.task;
    const step_ref ref = StepOf(task);
    const step_spec* step = jobs_.Spec(ref);
    const queue_configuration* queue = Queue(ref.job);
    if (run.state->stop_wanted && reserved_workers_.contains(task) &&
        step != nullptr && queue != nullptr) {
      ReserveRoom(task, *step, CandidatesForStep(ref, *step, *queue, pass, now),
                  pass);
    }
  }
}

bool fleet_scheduler::PlaceLeavingRuns(const std::vector<leaving_run>& leaving,
                                       placement_pass& pass,
                                       time_point now) {
  bool all_placed = true;
  for (const leaving_run& run : leaving) {
    if (!pass.reserved_workers.contains(run.run.task)) {
      all_placed &= PlaceLeavingRun(run, pass, now);
    }
  }
  return all_placed;
}

bool fleet_scheduler::PlaceLeavingRun(const leaving_run& leaving,
                                      placement_pass& pass,
                                      time_point now) {
  const task_ref& task = leaving.run.task;
  const step_ref ref = StepOf(task);
  const step_spec* step = jobs_.Spec(ref);
  const queue_configuration* queue = Queue(ref.job);
  if (step == nullptr || queue == nullptr) {
    return true;
  }
  std::vector<placement_candidate>& candidates =
      CandidatesForStep(ref, *step, *queue, pass, now);
  std::vector<placement_candidate> permitted;
  if (queue->HasPlacementPolicy()) {
    permitted = Permitted(ref, candidates, now);
  }
  std::vector<placement_candidate>& usable =
      permitted.empty() ? candidates : permitted;
  const bool may_start = !queue->HasPlacementPolicy() || !permitted.empty();
  if (const auto chosen =
          ChooseWorkerFor(task, *step, usable, options_.placement, now);
      chosen && may_start) {
    ReserveRoomOn(usable[*chosen], task, *step, pass);
    leaving.state->stop_wanted = true;
    SendStops(*leaving.session, now);
    return true;
  }
  if (queue->HasPlacementPolicy()) {
    RequestPermits(ref, queue->policy, candidates, now);
  }
  const placement_candidate* reserved_on =
      ReserveRoom(task, *step, usable, pass);
  if (reserved_on != nullptr && may_start &&
      now >= leaving.session->evacuation_state->since +
                 options_.preemption_delay) {
    PreemptRuns(task, *reserved_on, now);
  }
  return false;
}

}  // namespace skylarkbridge::jobs
