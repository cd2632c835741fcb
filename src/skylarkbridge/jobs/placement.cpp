#include "skylarkbridge/jobs/placement.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace skylarkbridge::jobs {
namespace {

/// Larger than any other term of a score.
constexpr double kRemoteDataCost = 100;
/// Cost of placing a serving task on a worker without serving tasks. A score of
/// 1 corresponds to the processor capacity of a whole worker.
constexpr double kEmptyWorkerCost = 1;
/// Cost for each serving task of another image on the worker.
constexpr double kMixedImageCost = 1.5;

double Score(const step_spec& step,
             const placement_candidate& candidate,
             const placement_options& options) {
  const worker_session& session = *candidate.session;
  const double capacity = std::max<double>(
      1, static_cast<double>(session.entry.capacity.millicores));
  double score = candidate.penalty;
  if (!step.data_rack.empty() && session.entry.rack != step.data_rack) {
    score += kRemoteDataCost;
  }
  const double idle = static_cast<double>(IdleMillicores(session, options));
  if (step.best_effort) {
    return score - idle / capacity;
  }
  const double room = static_cast<double>(session.Room().millicores);
  if (step.latency_target.count() == 0) {
    return score - room / capacity;
  }
  // Packs serving tasks of one image onto the same workers, because each image
  // is slowed down by different best-effort tasks. An empty worker is better
  // than one that would mix images.
  const bool no_serving_tasks =
      candidate.same_image == 0 && candidate.other_images == 0;
  return score + (no_serving_tasks ? kEmptyWorkerCost : 0) +
         kMixedImageCost * candidate.other_images + room / capacity;
}

bool HasLabel(const worker_entry& entry, const std::string& label) {
  return label.empty() || std::find(entry.labels.begin(), entry.labels.end(),
                                    label) != entry.labels.end();
}

}  // namespace

std::int64_t IdleMillicores(const worker_session& session,
                            const placement_options& options) {
  const std::int64_t expected_use =
      session.used.millicores - session.serving_millicores +
      std::llround(options.serving_load *
                   static_cast<double>(session.serving_millicores));
  return session.entry.capacity.millicores - expected_use -
         session.best_effort_millicores;
}

bool IsEligible(const step_spec& step, const placement_candidate& candidate) {
  return HasLabel(candidate.session->entry, step.required_label) &&
         (step.max_per_worker == 0 || candidate.siblings < step.max_per_worker);
}

bool CanPlace(const step_spec& step,
              const placement_candidate& candidate,
              const placement_options& options) {
  const worker_session& session = *candidate.session;
  if (step.best_effort) {
    const double wanted =
        options.best_effort_share * static_cast<double>(step.need.millicores);
    if (wanted > 0 &&
        static_cast<double>(IdleMillicores(session, options)) < wanted) {
      return false;
    }
  }
  return Fits(ReservedResources(step), candidate.Room()) &&
         IsEligible(step, candidate);
}

std::optional<std::size_t> ChooseWorker(
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const std::string& rack,
    const placement_options& options) {
  std::optional<std::size_t> best;
  double best_score = 0;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    const placement_candidate& candidate = candidates[index];
    if ((!rack.empty() && candidate.session->entry.rack != rack) ||
        !CanPlace(step, candidate, options)) {
      continue;
    }
    const double score = Score(step, candidate, options);
    if (!best || score < best_score) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

std::optional<std::size_t> FindPlaceOn(
    const std::string& worker,
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const placement_options& options) {
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    if (candidates[index].session->entry.worker == worker &&
        CanPlace(step, candidates[index], options)) {
      return index;
    }
  }
  return std::nullopt;
}

std::optional<std::size_t> ChooseWorkerToReserve(
    const step_spec& step,
    std::span<const placement_candidate> candidates,
    const std::string& previous) {
  const resources need = ReservedResources(step);
  // Orders the workers that qualify; the largest is chosen.
  const auto rank = [&need, &previous](const placement_candidate& candidate) {
    resources preemptible_room = candidate.session->PreemptibleRoom();
    preemptible_room -= candidate.reserved;
    return std::make_tuple(Fits(need, preemptible_room),
                           candidate.session->entry.worker == previous,
                           candidate.Room().millicores);
  };
  std::optional<std::size_t> best;
  for (std::size_t index = 0; index < candidates.size(); ++index) {
    resources eventual_room = candidates[index].session->EventualRoom();
    eventual_room -= candidates[index].reserved;
    if (Fits(need, eventual_room) && IsEligible(step, candidates[index]) &&
        (!best || rank(candidates[index]) > rank(candidates[*best]))) {
      best = index;
    }
  }
  return best;
}

}  // namespace skylarkbridge::jobs
