#ifndef SKYLARKBRIDGE_JOBS_PLACEMENT_HPP
#define SKYLARKBRIDGE_JOBS_PLACEMENT_HPP

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/jobs/job_spec.hpp"
#include "skylarkbridge/jobs/worker_session.hpp"

namespace skylarkbridge::jobs {

struct placement_options {
  /// Assumed fraction of the declared processor time that a serving task (one
  /// with a latency target) uses.
  double serving_load = 0.6;
  /// A best-effort task is placed only where at least this fraction of its
  /// declared processor time is idle; zero disables the check.
  double best_effort_share = 0.6;
};

/// @brief A worker that tasks of a step may be placed on, with the inputs of
/// the choice between workers.
struct placement_candidate {
  const worker_session* session = nullptr;
  /// Number of tasks of the same occurrence of the step on the worker.
  std::uint32_t siblings = 0;
  /// Number of serving tasks of the same image on the worker.
  std::uint32_t same_image = 0;
  /// Number of serving tasks of other images on the worker.
  std::uint32_t other_images = 0;
  /// Term of the score: the expected harm of best-effort tasks to serving ones,
  /// and for best-effort steps also the demand of other images for the worker.
  double penalty = 0;
  /// Room that is reserved for waiting tasks that take precedence; may exceed
  /// the free room.
  resources reserved;

  /// @brief Returns the free room without the reserved part.
  resources Room() const {
    resources room = session->Room();
    room -= reserved;
    return room;
  }
};

/// @brief Returns the processor time, in millicores, that no task on the worker
/// is expected to use.
std::int64_t IdleMillicores(const worker_session& session,
                            const placement_options& options);

/// @brief Whether the worker has the label that the step requires, and one more
/// task is within the step's limit of tasks per worker.
bool IsEligible(const step_spec& step, const placement_candidate& candidate);

/// @brief Whether one more task of the step can be placed on the worker: it is
/// eligible and has enough room.
bool CanPlace(const step_spec& step,
              const placement_candidate& candidate,
              const placement_options& options);

/// @brief Returns the index of the best candidate for one more task of the
/// step; nullopt when it can't be placed on any. Workers on the rack of the
/// data come first, then those with the best score.
/// @param rack considers only workers of this rack; empty for all.
std::optional<std::size_t> ChooseWorker(
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const std::string& rack,
    const placement_options& options);

/// @brief As ChooseWorker, for a task that can start only on @p worker.
std::optional<std::size_t> FindPlaceOn(
    const std::string& worker,
    const step_spec& step,
    const std::vector<placement_candidate>& candidates,
    const placement_options& options);

/// @brief Returns the index of the worker to reserve room on for a task of the
/// step. A worker qualifies if the task could be placed on it, beside the room
/// that is already reserved, once all tasks on it other than long-running ones
/// have ended. Prefers workers on which preemption can free the room, then
/// @p previous, then the worker with the most room now; nullopt when none
/// qualifies.
/// @param previous worker of the last reservation; empty for none.
std::optional<std::size_t> ChooseWorkerToReserve(
    const step_spec& step,
    std::span<const placement_candidate> candidates,
    const std::string& previous);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PLACEMENT_HPP
