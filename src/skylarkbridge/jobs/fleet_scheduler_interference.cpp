#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Millicores of the reference best-effort task, and of the reference worker.
constexpr double kReferenceTask = 3000;
constexpr double kReferenceWorker = 32'000;
/// Bounds of the logarithm of a tail over its target, against outliers.
constexpr double kMaxRatio = 2.5;
/// Harm below which a best-effort task counts as harmless to a serving one.
constexpr double kHarmless = 0.15;
/// Harm from which a task is blamed for a tail over its target.
constexpr double kBlame = 0.25;
/// Expected ratio above which a best-effort task is not placed or sped up:
/// three quarters of the target.
const double kSafeRatio = std::log(0.75);
/// A task that is blamed works at this share of its speed until it is moved.
constexpr int kBlamedPace = 10;
/// After so long over the target every best-effort task beside it stands still.
constexpr std::chrono::milliseconds kStandstillAfter{1600};

double Ratio(const worker_run& run) {
  const double tail = std::max<double>(1, static_cast<double>(*run.usage));
  return std::clamp(
      std::log(tail / static_cast<double>(run.latency_target.count())),
      -kMaxRatio, kMaxRatio);
}

bool Measured(const worker_run& run) {
  return run.serving && run.usage && run.percent >= 100;
}

double Amount(double millicores, const worker_session& session) {
  const double capacity =
      std::max<double>(1, static_cast<double>(session.entry.capacity.millicores));
  return millicores / kReferenceTask * kReferenceWorker / capacity;
}

double FullAmount(const worker_run& run, const worker_session& session) {
  return Amount(static_cast<double>(run.best_effort_millicores), session);
}

}  // namespace

void fleet_scheduler::LearnInterference(const worker_session& session) {
  std::vector<neighbour> neighbours;
  for (const auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0 && state.usage && *state.usage > 0) {
      neighbours.push_back(
          {state.image,
           Amount(static_cast<double>(*state.usage), session)});
    }
  }
  for (const auto& [run, state] : session.runs) {
    if (Measured(state)) {
      interference_.Learn(state.image, Ratio(state), neighbours);
    }
  }
}

double fleet_scheduler::ExpectedHarm(const step_spec& step,
                                     const worker_session& session) const {
  double harm = 0;
  if (step.best_effort) {
    const double amount =
        Amount(static_cast<double>(step.need.millicores), session);
    for (const auto& [run, state] : session.runs) {
      if (!state.serving) {
        continue;
      }
      const double rise = interference_.Harm(state.image, step.image) * amount;
      if (rise > kHarmless) {
        const double now = Measured(state) ? Ratio(state) : kSafeRatio;
        harm = std::max(harm, now + rise - kSafeRatio);
      }
    }
  } else if (step.latency_target.count() > 0) {
    for (const auto& [run, state] : session.runs) {
      if (state.best_effort_millicores > 0) {
        harm += interference_.Harm(step.image, state.image) *
                FullAmount(state, session);
      }
    }
  }
  return harm;
}

void fleet_scheduler::AdjustPaces(worker_session& session, time_point now) {
  bool over = false;
  time_point over_since = now;
  for (auto& [run, state] : session.runs) {
    if (!Measured(state) || Ratio(state) < 0) {
      state.over_target_since.reset();
      continue;
    }
    if (!state.over_target_since) {
      state.over_target_since = now;
    }
    over = true;
    over_since = std::min(over_since, *state.over_target_since);
  }
  session.over_target = over;
  for (auto& [run, state] : session.runs) {
    if (state.best_effort_millicores == 0 || state.stop_wanted ||
        state.phase != run_phase::kRunning) {
      continue;
    }
    AdjustPace(session, run, state,
               over && now >= over_since + kStandstillAfter, now);
  }
}

void fleet_scheduler::AdjustPace(worker_session& session,
                                 const run_ref& run,
                                 worker_run& state,
                                 bool standstill,
                                 time_point /*now*/) {
  bool blamed = false;
  bool safe = true;
  const double added =
      FullAmount(state, session) * (1 - static_cast<double>(state.pace) / 100);
  for (const auto& [other, victim] : session.runs) {
    if (!Measured(victim)) {
      continue;
    }
    const double harm = interference_.Harm(victim.image, state.image);
    const double ratio = Ratio(victim);
    blamed |= ratio >= 0 && harm * FullAmount(state, session) >= kBlame;
    safe &= ratio + harm * added < kSafeRatio ||
            harm * FullAmount(state, session) < kHarmless;
  }
  const step_spec* step = jobs_.Spec(StepOf(run.task));
  if (blamed && step != nullptr && step->checkpoints) {
    state.stop_wanted = true;
    Note(scheduling_event::kStopOrdered, run, session.entry.worker,
         "raises a tail over its target");
    return;
  }
  int wanted = state.pace;
  if (standstill) {
    wanted = 0;
  } else if (blamed) {
    wanted = kBlamedPace;
  } else if (safe) {
    wanted = 100;
  }
  if (wanted == state.pace || state.pace_under_way) {
    return;
  }
  state.pace_under_way = true;
  orders_.emplace_back(
      pace_order{.target = Target(session), .run = run, .percent = wanted});
  Note(scheduling_event::kPaceOrdered, run, session.entry.worker,
       absl::StrCat(wanted));
}

}  // namespace skylarkbridge::jobs
