#include <algorithm>
#include <cmath>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {
namespace {

/// Unit of load: a task of this size on a worker of this size.
constexpr double kReferenceTaskMillicores = 3000;
constexpr double kReferenceWorkerMillicores = 32'000;
/// Reported log ratios of tail latency to target are clamped to plus and minus
/// this value, against outliers.
constexpr double kMaxLogRatio = 2.5;
/// Scale of the logistic function that gives the probability that a tail
/// latency is over its target.
constexpr double kLogisticScale = 0.35;
/// Smoothing factor of a serving task's tail residual, which changes with the
/// load of the task.
constexpr double kResidualSmoothing = 0.3;
/// A task is not evicted within this time of its start: the reports hardly show
/// its effect yet.
constexpr std::chrono::milliseconds kMinTimeBeforeEviction{600};
/// Minimum interval of the evictions from one worker; the reports lag behind.
constexpr std::chrono::milliseconds kEvictionInterval{600};
/// Minimum increase of the log ratio for which a task is evicted.
constexpr double kMinEvictionImpact = 0.2;
/// Increases of the log ratio below this value are ignored.
constexpr double kNegligibleImpact = 0.08;
/// A throttled task resumes when the predicted log ratios stay below this
/// value.
constexpr double kMaxResumeLogRatio = -0.2;
/// Time over the target after which best-effort tasks that are known to raise
/// the tail latency are paused.
constexpr std::chrono::milliseconds kInterfererPauseDelay{1500};
/// Time over the target after which all best-effort tasks are paused.
constexpr std::chrono::milliseconds kGeneralPauseDelay{2200};
/// A violation that has lasted for this long counts from its start, even if
/// some reports in between were below the target.
constexpr std::chrono::milliseconds kIntermittentViolationTime{2800};
/// A serving task has recovered after reports below its target for this long.
constexpr std::chrono::milliseconds kRecoveryTime{500};

double LogTailRatio(const worker_run& run) {
  const double tail =
      std::max<double>(1, static_cast<double>(*run.measurement));
  return std::clamp(
      std::log(tail / static_cast<double>(run.latency_target.count())),
      -kMaxLogRatio, kMaxLogRatio);
}

/// Probability that a tail latency with this predicted log ratio is over its
/// target.
double OverTargetProbability(double log_ratio) {
  return 1 / (1 + std::exp(-log_ratio / kLogisticScale));
}

bool HasTailReport(const worker_run& run) {
  return run.serving && run.measurement && run.progress_percent >= 100;
}

/// Processor use in units of the reference task on the reference worker.
double NormalisedLoad(double millicores, const worker_session& session) {
  const double capacity = std::max<double>(
      1, static_cast<double>(session.entry.capacity.millicores));
  return millicores / kReferenceTaskMillicores * kReferenceWorkerMillicores /
         capacity;
}

double DeclaredLoad(const worker_run& run, const worker_session& session) {
  return NormalisedLoad(static_cast<double>(run.best_effort_millicores),
                        session);
}

/// The best-effort tasks of the worker at their declared load.
std::vector<neighbour> DeclaredNeighbours(const worker_session& session) {
  std::vector<neighbour> neighbours;
  for (const auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0) {
      neighbours.push_back({state.image, DeclaredLoad(state, session)});
    }
  }
  return neighbours;
}

}  // namespace

void fleet_scheduler::UpdateInterferenceModel(worker_session& session) {
  std::vector<neighbour> neighbours;
  for (const auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0 && state.measurement &&
        *state.measurement > 0) {
      neighbours.push_back(
          {state.image,
           NormalisedLoad(static_cast<double>(*state.measurement), session)});
    }
  }
  for (auto& [run, state] : session.runs) {
    if (!HasTailReport(state)) {
      continue;
    }
    const double log_ratio = LogTailRatio(state);
    const double error =
        log_ratio - interference_.Predict(state.image, neighbours);
    state.tail_residual += kResidualSmoothing * (error - state.tail_residual);
    interference_.Update(state.image, log_ratio, neighbours);
  }
}

interference_view fleet_scheduler::ComputeView(
    const worker_session& session) const {
  interference_view view{.runs = session.runs.size(),
                         .neighbours = DeclaredNeighbours(session)};
  // Runs are ordered by job, so those of one image mostly follow one another.
  std::string_view image;
  double predicted = 0;
  for (const auto& [run, state] : session.runs) {
    if (!state.serving) {
      continue;
    }
    if (view.serving_runs.empty() || state.image != image) {
      image = state.image;
      predicted = interference_.Predict(image, view.neighbours);
    }
    view.serving_runs.push_back({image, predicted + state.tail_residual});
  }
  return view;
}

const interference_view& fleet_scheduler::ViewOf(
    const worker_session& session,
    interference_views& views) const {
  const auto [entry, added] = views.try_emplace(&session);
  if (added || entry->second.runs != session.runs.size()) {
    entry->second = ComputeView(session);
  }
  return entry->second;
}

double fleet_scheduler::BestEffortRisk(std::string_view image,
                                       std::int64_t millicores,
                                       const worker_session& session,
                                       interference_views& views) const {
  const double load = NormalisedLoad(static_cast<double>(millicores), session);
  double risk = 0;
  std::string_view serving_image;
  double increase = 0;
  for (const interference_view::serving_run& run :
       ViewOf(session, views).serving_runs) {
    if (run.image.data() != serving_image.data()) {
      serving_image = run.image;
      increase = interference_.TailImpact(serving_image, image) * load;
    }
    if (increase >= kNegligibleImpact) {
      risk += OverTargetProbability(run.log_ratio + increase) -
              OverTargetProbability(run.log_ratio);
    }
  }
  return risk;
}

double fleet_scheduler::InterferenceRisk(const step_spec& step,
                                         const worker_session& session,
                                         interference_views& views) const {
  if (step.best_effort) {
    return BestEffortRisk(step.image, step.need.millicores, session, views);
  }
  if (step.latency_target.count() > 0) {
    return OverTargetProbability(
        interference_.Predict(step.image, ViewOf(session, views).neighbours));
  }
  return 0;
}

void fleet_scheduler::TrackTargetViolation(worker_run& run, time_point now) {
  if (!HasTailReport(run)) {
    run.over_target_since.reset();
    run.violation_since.reset();
  } else if (LogTailRatio(run) >= 0) {
    run.under_target_since.reset();
    run.over_target_since = run.over_target_since.value_or(now);
    run.violation_since = run.violation_since.value_or(now);
  } else {
    run.over_target_since.reset();
    run.under_target_since = run.under_target_since.value_or(now);
    if (now >= *run.under_target_since + kRecoveryTime) {
      run.violation_since.reset();
    }
  }
}

void fleet_scheduler::AdjustPaces(worker_session& session, time_point now) {
  target_violation violation;
  const auto earlier = [](std::optional<time_point> left,
                          std::optional<time_point> right) {
    return left && right ? std::min(left, right) : left ? left : right;
  };
  for (auto& [run, state] : session.runs) {
    TrackTargetViolation(state, now);
    violation.over_since =
        earlier(violation.over_since, state.over_target_since);
    violation.since = earlier(violation.since, state.violation_since);
  }
  session.over_target_since = violation.over_since;
  // The reports are noisy, so a long violation counts from its start although
  // single reports were below the target.
  if (violation.over_since &&
      now >= *violation.since + kIntermittentViolationTime) {
    violation.over_since = violation.since;
  }
  if (violation.over_since && now >= session.earliest_eviction) {
    EvictWorstInterferer(session, now);
  }
  for (auto& [run, state] : session.runs) {
    if (state.best_effort_millicores > 0 && !state.stop_wanted &&
        !state.unmatched && state.phase == run_phase::kRunning) {
      if (StopsPausedRun(run, state, violation, now)) {
        StopPausedRun(session, run, state, now);
      } else {
        AdjustPace(session, run, state, violation, now);
      }
    }
  }
}

double fleet_scheduler::ImpactOnViolatedTargets(const worker_session& session,
                                                const worker_run& state) const {
  double impact_on_violated = 0;
  for (const auto& [victim_run, victim] : session.runs) {
    if (HasTailReport(victim) && LogTailRatio(victim) >= 0) {
      impact_on_violated =
          std::max(impact_on_violated,
                   interference_.TailImpact(victim.image, state.image) *
                       DeclaredLoad(state, session));
    }
  }
  return impact_on_violated;
}

void fleet_scheduler::EvictWorstInterferer(worker_session& session,
                                           time_point now) {
  const run_ref* worst = nullptr;
  double worst_impact = kMinEvictionImpact;
  for (const auto& [run, state] : session.runs) {
    const step_spec* step = jobs_.Spec(StepOf(run.task));
    if (state.best_effort_millicores == 0 || state.stop_wanted ||
        state.phase != run_phase::kRunning || step == nullptr ||
        !step->checkpoints ||
        state.progress_percent >= options_.max_evict_percent ||
        now < state.ordered_at + kMinTimeBeforeEviction) {
      continue;
    }
    if (const double impact_on_violated =
            ImpactOnViolatedTargets(session, state);
        impact_on_violated >= worst_impact) {
      worst_impact = impact_on_violated;
      worst = &run;
    }
  }
  if (worst == nullptr) {
    return;
  }
  session.earliest_eviction = now + kEvictionInterval;
  session.runs.find(*worst)->second.stop_wanted = true;
  AddNote(scheduling_event::kStopOrdered, *worst, session.entry.worker,
          absl::StrCat("raises a tail latency that is over its target; "
                       "increase of the logarithm: ",
                       worst_impact));
}

bool fleet_scheduler::CanResume(const worker_session& session,
                                const worker_run& state) const {
  const double load = DeclaredLoad(state, session);
  const double load_added_by_resuming =
      load * (1 - state.pace.speed_percent.value_or(0) / 100.0);
  return std::all_of(
      session.runs.begin(), session.runs.end(), [&](const auto& entry) {
        const worker_run& victim = entry.second;
        if (!HasTailReport(victim)) {
          return true;
        }
        const double impact =
            interference_.TailImpact(victim.image, state.image);
        return impact * load < kNegligibleImpact ||
               LogTailRatio(victim) + impact * load_added_by_resuming <
                   kMaxResumeLogRatio;
      });
}

std::optional<int> fleet_scheduler::WantedSpeed(
    const worker_session& session,
    const worker_run& state,
    const target_violation& violation,
    time_point now) const {
  const auto violation_time = violation.over_since ? now - *violation.over_since
                                                   : time_point::duration{};
  if (violation_time >= kGeneralPauseDelay ||
      (violation_time >= kInterfererPauseDelay &&
       ImpactOnViolatedTargets(session, state) >= kNegligibleImpact)) {
    return 0;
  }
  if (!state.pace.speed_percent) {
    // The owner doesn't know for how long the run has disturbed the task that
    // is over its target.
    return violation.since ? 0 : 100;
  }
  if (!violation.over_since &&
      (CanResume(session, state) ||
       (!violation.since && PausedTooLong(state, now)))) {
    return 100;
  }
  return std::nullopt;
}

void fleet_scheduler::AdjustPace(worker_session& session,
                                 const run_ref& run,
                                 worker_run& state,
                                 const target_violation& violation,
                                 time_point now) {
  const std::optional<int> wanted = WantedSpeed(session, state, violation, now);
  if (!wanted || wanted == state.pace.speed_percent ||
      state.pace.order_under_way) {
    return;
  }
  state.pace.order_under_way = true;
  state.pace.paused_since = state.pace.paused_since.value_or(now);
  orders_.emplace_back(pace_order{
      .target = Target(session), .run = run, .speed_percent = *wanted});
  AddNote(scheduling_event::kPaceOrdered, run, session.entry.worker,
          absl::StrCat(*wanted));
}

}  // namespace skylarkbridge::jobs
