#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// A long-running task that is suspected of this many crashes or more waits for
/// a worker without another suspect, although that delays its restart.
constexpr std::size_t kCrashesBeforeDelay = 2;

}  // namespace

bool fleet_scheduler::IsSuspected(const task_ref& task) const {
  const task_state* state = jobs_.Find(task);
  return state != nullptr && state->suspected_crashes > 0;
}

void fleet_scheduler::RecordCrash(
    const worker_session& session,
    const absl::flat_hash_set<run_ref>& surviving) {
  HoldResponsible(session, surviving, crash_proof::kProved);
}

std::vector<run_ref> fleet_scheduler::HoldResponsible(
    const worker_session& session,
    const absl::flat_hash_set<run_ref>& surviving,
    crash_proof proof) {
  std::vector<run_ref> suspects = CrashSuspects(session, surviving);
  const std::vector<run_ref> culprits = CrashCulprits(session, suspects);
  for (const run_ref& run : suspects) {
    if (jobs_.Find(run.task.job) == nullptr) {
      continue;
    }
    const bool blamed =
        std::find(culprits.begin(), culprits.end(), run) != culprits.end();
    AddNote(scheduling_event::kCrashSuspected, run, session.entry.worker,
            blamed ? "blamed" : absl::StrCat("one of ", suspects.size()));
    const auto stops = jobs_.RecordCrash(
        run, blamed ? crash_evidence::kBlamed : crash_evidence::kSuspected,
        proof);
    FinishGivingUp(run, session.entry.worker, stops);
  }
  return suspects;
}

void fleet_scheduler::FinishGivingUp(const run_ref& run,
                                     const std::string& worker,
                                     const std::vector<run_to_stop>& stops) {
  RequestStops(stops, true);
  if (jobs_.Find(run.task.job) == nullptr) {
    AddNote(scheduling_event::kTaskGivenUp, run, worker);
  }
}

void fleet_scheduler::RecordSurvival(const run_ref& run,
                                     worker_run& state,
                                     time_point now) {
  if (!state.first_reported_at) {
    state.first_reported_at = now;
  }
  if (!state.detached && IsSuspected(run.task) &&
      now > *state.first_reported_at + options_.crash_window) {
    jobs_.ClearCrashes(run);
  }
}

std::vector<run_ref> fleet_scheduler::CrashSuspects(
    const worker_session& session,
    const absl::flat_hash_set<run_ref>& surviving) const {
  std::vector<run_ref> started;
  std::vector<run_ref> unanswered;
  for (const auto& [run, state] : session.runs) {
    if (!state.detached && !surviving.contains(run) &&
        state.ordered_at + options_.crash_window >= session.last_answer) {
      (state.confirmed ? started : unanswered).push_back(run);
    }
  }
  // A start without an answer may never have been carried out.
  return started.empty() ? unanswered : started;
}

std::vector<run_ref> fleet_scheduler::CrashCulprits(
    const worker_session& session,
    const std::vector<run_ref>& suspects) const {
  const bool started = std::all_of(
      suspects.begin(), suspects.end(), [&session](const run_ref& run) {
        return session.runs.find(run)->second.confirmed;
      });
  if (!started) {
    return {};
  }
  // Workers also crash by themselves, and a task that was started just before
  // is then the only suspect: a single crash is no evidence.
  std::vector<run_ref> suspected_before;
  for (const run_ref& run : suspects) {
    if (IsSuspected(run.task)) {
      suspected_before.push_back(run);
    }
  }
  if (AreOneUnit(suspects)) {
    return suspected_before;
  }
  const bool isolated =
      !suspected_before.empty() &&
      session.runs.find(suspected_before.front())->second.isolated;
  return isolated && AreOneUnit(suspected_before) ? suspected_before
                                                  : std::vector<run_ref>();
}

bool fleet_scheduler::AreOneUnit(const std::vector<run_ref>& runs) const {
  if (runs.empty()) {
    return false;
  }
  const run_ref& first = runs.front();
  const step_spec* step = jobs_.Spec(StepOf(first.task));
  const bool gang = step != nullptr && step->gang;
  return std::all_of(runs.begin(), runs.end(), [&](const run_ref& run) {
    return run.task == first.task ||
           (gang && StepOf(run.task) == StepOf(first.task));
  });
}

void fleet_scheduler::IsolateSuspect(worker_session& session,
                                     const run_ref& run,
                                     worker_run& state,
                                     time_point now) {
  if (!IsSuspected(run.task)) {
    return;
  }
  session.last_suspect_start = now;
  if (jobs_.Find(run.task)->suspected_crashes >=
      options_.crashes_before_isolation) {
    state.isolated = true;
    session.excluded_until =
        std::max(session.excluded_until, now + options_.suspect_interval);
  }
}

std::optional<std::size_t> fleet_scheduler::ChooseWorkerFor(
    const task_ref& task,
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const placement_options& options,
    time_point now) const {
  const task_state* state = jobs_.Find(task);
  if (state == nullptr || state->suspected_crashes == 0) {
    return ChooseWorker(step, candidates, "", options);
  }
  std::vector<placement_candidate> separate;
  std::vector<std::size_t> positions;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const std::optional<time_point>& last =
        candidates[index].session->last_suspect_start;
    if (!last || now >= *last + options_.suspect_interval) {
      separate.push_back(candidates[index]);
      positions.push_back(index);
    }
  }
  if (const auto chosen = ChooseWorker(step, separate, "", options)) {
    return positions[*chosen];
  }
  return step.long_running && state->suspected_crashes < kCrashesBeforeDelay
             ? ChooseWorker(step, candidates, "", options)
             : std::nullopt;
}

}  // namespace skylarkbridge::jobs
