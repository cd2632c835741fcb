#include <algorithm>
#include <chrono>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::Handle(const pace_reply& reply, time_point now) {
  const auto worker = workers_.find(reply.worker);
  if (worker == workers_.end() || reply.fence.owner_epoch != epoch_) {
    return;
  }
  worker_session& session = worker->second;
  if (reply.result == order_result::kNoAnswer && reply.fence == session.fence) {
    // The order may be carried out after newer ones. Orders on pace follow an
    // answered renewal, so the next one is sent once the worker refuses it.
    RaiseFence(session, now);
  }
  const auto found = session.runs.find(reply.run);
  if (found == session.runs.end()) {
    return;
  }
  run_pace& pace = found->second.pace;
  pace.order_under_way = false;
  if (reply.result == order_result::kDone) {
    pace.speed_percent = reply.speed_percent;
  } else if (reply.result == order_result::kNoAnswer) {
    pace.speed_percent.reset();
  }
  if (!pace.MayBePaused()) {
    pace.paused_since.reset();
  }
}

bool fleet_scheduler::HasPausedRun(const worker_session& session) {
  return session.best_effort_millicores > 0 &&
         std::any_of(session.runs.begin(), session.runs.end(),
                     [](const auto& entry) {
                       const worker_run& run = entry.second;
                       return run.best_effort_millicores > 0 &&
                              !run.stop_wanted && run.pace.MayBePaused();
                     });
}

bool fleet_scheduler::PausedTooLong(const worker_run& run,
                                    time_point now) const {
  return run.pace.paused_since &&
         now >= *run.pace.paused_since + options_.max_pause;
}

bool fleet_scheduler::StopsPausedRun(const run_ref& run,
                                     const worker_run& state,
                                     const target_violation& violation,
                                     time_point now) const {
  if (state.long_running || !PausedTooLong(state, now)) {
    return false;
  }
  const step_spec* step = jobs_.Spec(StepOf(run.task));
  const bool loses_no_work = step != nullptr && step->checkpoints;
  return (violation.since && loses_no_work) ||
         now >= *state.pace.paused_since + options_.max_pause_before_stop;
}

void fleet_scheduler::StopPausedRun(const worker_session& session,
                                    const run_ref& run,
                                    worker_run& state,
                                    time_point now) {
  state.stop_wanted = true;
  AddNote(scheduling_event::kStopOrdered, run, session.entry.worker,
          absl::StrCat("paused for too long; milliseconds: ",
                       std::chrono::floor<std::chrono::milliseconds>(
                           now - *state.pace.paused_since)
                           .count()));
}

}  // namespace skylarkbridge::jobs
