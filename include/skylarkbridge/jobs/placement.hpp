#ifndef SKYLARKBRIDGE_JOBS_PLACEMENT_HPP
#define SKYLARKBRIDGE_JOBS_PLACEMENT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/jobs/job_spec.hpp"
#include "skylarkbridge/jobs/worker_session.hpp"

namespace skylarkbridge::jobs {

struct placement_options {
  /// Share of its declared processor time that a serving task uses.
  double serving_load = 0.6;
  /// Least share of its declared processor time that a best-effort task has to
  /// find unused; zero for none at all.
  double best_effort_share = 0.6;
};

/// @brief A worker that may take tasks of the step, with what counts for the
/// choice.
struct placement_candidate {
  const worker_session* session = nullptr;
  /// Tasks of the same occurrence of the step there.
  std::uint32_t siblings = 0;
  /// Serving tasks there of the same image, and of others.
  std::uint32_t same_image = 0;
  std::uint32_t other_images = 0;
  /// Expected harm to serving tasks.
  double penalty = 0;
  /// Room that is kept for tasks which go first; may be more than there is.
  resources reserved;

  resources Room() const {
    resources room = session->Room();
    room -= reserved;
    return room;
  }
};

/// @brief Processor time that nothing on the worker is expected to use.
std::int64_t IdleMillicores(const worker_session& session,
                            const placement_options& options);

/// @brief Whether the worker has the label, the room, and not yet as many tasks
/// of the step as the step allows.
bool CanPlace(const step_spec& step,
              const placement_candidate& candidate,
              const placement_options& options);

/// @brief The best candidate for one more task of the step; nothing when none
/// has room. Data on the worker's rack goes first, then the most room.
/// @param rack only workers of this rack; empty for any.
std::optional<std::size_t> ChooseWorker(
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const std::string& rack,
    const placement_options& options);

/// @brief The worker that is expected to have room for a task of the step
/// first: @p before where it may take it, or else the one with the most room
/// now of those that are large enough.
std::optional<std::size_t> ChooseWorkerToReserve(
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const std::string& before);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PLACEMENT_HPP
