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
/// Width of the step from a tail surely below its target to one surely above.
constexpr double kSpread = 0.35;
/// Share by which a serving task's own level, beside that of its image, follows
/// its reports; it moves with the task's load.
constexpr double kOwnLevelRate = 0.3;
/// A task that has run for less has hardly shown in a report.
constexpr std::chrono::milliseconds kFirstBlame{600};
/// Between two moves from one worker; the reports lag behind.
constexpr std::chrono::milliseconds kMoveInterval{600};
/// Rise of the ratio from which a task is blamed for a tail over its target.
constexpr double kBlame = 0.2;
/// Rise of the ratio that does not count.
constexpr double kHarmless = 0.08;
/// Ratio that a task which stands still may lead to when it goes on.
constexpr double kSafeRatio = -0.2;
/// After so long over the target the tasks that are known to raise the tail
/// stand still, and after the second time all best-effort tasks beside it.
constexpr std::chrono::milliseconds kBlamedStandstill{1500};
constexpr std::chrono::milliseconds kStandstill{2200};
/// The same for a tail with reports below the target in between, unless those
/// last for the second time.
constexpr std::chrono::milliseconds kLongOver{2800};
constexpr std::chrono::milliseconds kCalm{500};

double Ratio(const worker_run& run) {
  const double tail = std::max<double>(1, static_cast<double>(*run.usage));
  return std::clamp(
      std::log(tail / static_cast<double>(run.latency_target.count())),
      -kMaxRatio, kMaxRatio);
}

/// Probability that a tail with this expected ratio is over its target.
double OverTarget(double ratio) {
  return 1 / (1 + std::exp(-ratio / kSpread));
}

bool Measured(const worker_run& run) {
  return run.serving && run.usage && run.percent >= 100;
}

double Amount(double millicores, const worker_session& session) {
  const double capacity = std::max<double>(
      1, static_cast<double>(session.entry.capacity.millicores));
  return millicores / kReferenceTask * kReferenceWorker / capacity;
}

double FullAmount(const worker_run& run, const worker_session& session) {
  return Amount(static_cast<double>(run.best_effort_millicores), session);
}

/// The best-effort tasks of the worker at their declared size.
std::vector<neighbour> DeclaredNeighbours(const worker_session& session) {
  std::vector<neighbour> neighbours;
  for (const auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0) {
      neighbours.push_back({state.image, FullAmount(state, session)});
    }
  }
  return neighbours;
}

}  // namespace

void fleet_scheduler::LearnInterference(worker_session& session) {
  std::vector<neighbour> neighbours;
  for (const auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0 && state.usage && *state.usage > 0) {
      neighbours.push_back(
          {state.image, Amount(static_cast<double>(*state.usage), session)});
    }
  }
  for (auto& [run, state] : session.runs) {
    if (!Measured(state)) {
      continue;
    }
    const double ratio = Ratio(state);
    const double error =
        ratio - interference_.Expected(state.image, neighbours);
    state.own_level += kOwnLevelRate * (error - state.own_level);
    interference_.Learn(state.image, ratio, neighbours);
  }
}

double fleet_scheduler::ExpectedHarm(const step_spec& step,
                                     const worker_session& session) const {
  double harm = 0;
  if (step.best_effort) {
    const double amount =
        Amount(static_cast<double>(step.need.millicores), session);
    const std::vector<neighbour> neighbours = DeclaredNeighbours(session);
    for (const auto& [run, state] : session.runs) {
      const double rise =
          state.serving ? interference_.Harm(state.image, step.image) * amount
                        : 0;
      if (rise < kHarmless) {
        continue;
      }
      const double expected =
          interference_.Expected(state.image, neighbours) + state.own_level;
      harm += OverTarget(expected + rise) - OverTarget(expected);
    }
  } else if (step.latency_target.count() > 0) {
    const std::vector<neighbour> neighbours = DeclaredNeighbours(session);
    harm = OverTarget(interference_.Expected(step.image, neighbours));
  }
  return harm;
}

void fleet_scheduler::NoteTail(worker_run& run, time_point now) {
  if (!Measured(run)) {
    run.over_target_since.reset();
    run.not_calm_since.reset();
  } else if (Ratio(run) >= 0) {
    run.under_target_since.reset();
    run.over_target_since = run.over_target_since.value_or(now);
    run.not_calm_since = run.not_calm_since.value_or(now);
  } else {
    run.over_target_since.reset();
    run.under_target_since = run.under_target_since.value_or(now);
    if (now >= *run.under_target_since + kCalm) {
      run.not_calm_since.reset();
    }
  }
}

void fleet_scheduler::AdjustPaces(worker_session& session, time_point now) {
  std::optional<time_point> over_since;
  std::optional<time_point> not_calm_since;
  const auto earlier = [](std::optional<time_point> left,
                          std::optional<time_point> right) {
    return left && right ? std::min(left, right) : left ? left : right;
  };
  for (auto& [run, state] : session.runs) {
    NoteTail(state, now);
    over_since = earlier(over_since, state.over_target_since);
    not_calm_since = earlier(not_calm_since, state.not_calm_since);
  }
  session.over_target_since = over_since;
  // Reports below the target in between are rough too.
  if (over_since && now >= *not_calm_since + kLongOver) {
    over_since = not_calm_since;
  }
  if (over_since && now >= session.next_move) {
    MoveMostHarmful(session, now);
  }
  for (auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0 && !state.stop_wanted &&
        state.phase == run_phase::kRunning) {
      AdjustPace(session, run, state, over_since, now);
    }
  }
}

double fleet_scheduler::Blame(const worker_session& session,
                              const worker_run& state) const {
  double blame = 0;
  for (const auto& [other, victim] : session.runs) {
    if (Measured(victim) && Ratio(victim) >= 0) {
      blame = std::max(blame, interference_.Harm(victim.image, state.image) *
                                  FullAmount(state, session));
    }
  }
  return blame;
}

void fleet_scheduler::MoveMostHarmful(worker_session& session, time_point now) {
  const run_ref* worst = nullptr;
  double most = kBlame;
  for (const auto& [run, state] : session.runs) {
    const step_spec* step = jobs_.Spec(StepOf(run.task));
    if (state.best_effort_millicores == 0 || state.stop_wanted ||
        state.phase != run_phase::kRunning || step == nullptr ||
        !step->checkpoints || state.percent >= options_.evict_below_percent ||
        now < state.ordered_at + kFirstBlame) {
      continue;
    }
    if (const double blame = Blame(session, state); blame >= most) {
      most = blame;
      worst = &run;
    }
  }
  if (worst == nullptr) {
    return;
  }
  session.next_move = now + kMoveInterval;
  session.runs.find(*worst)->second.stop_wanted = true;
  Note(scheduling_event::kStopOrdered, *worst, session.entry.worker,
       absl::StrCat("raises a tail over its target by ", most));
}

void fleet_scheduler::AdjustPace(worker_session& session,
                                 const run_ref& run,
                                 worker_run& state,
                                 std::optional<time_point> over_since,
                                 time_point now) {
  const double amount = FullAmount(state, session);
  const double added = amount * (1 - static_cast<double>(state.pace) / 100);
  const double blame = Blame(session, state);
  bool safe = true;
  for (const auto& [other, victim] : session.runs) {
    if (!Measured(victim)) {
      continue;
    }
    const double harm = interference_.Harm(victim.image, state.image);
    safe &=
        harm * amount < kHarmless || Ratio(victim) + harm * added < kSafeRatio;
  }
  int wanted = state.pace;
  const auto over_for = over_since ? now - *over_since : time_point::duration{};
  if (over_for >= kStandstill ||
      (over_for >= kBlamedStandstill && blame >= kHarmless)) {
    wanted = 0;
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
