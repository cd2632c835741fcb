#ifndef SKYLARKBRIDGE_JOBS_PLACEMENT_SUMMARY_HPP
#define SKYLARKBRIDGE_JOBS_PLACEMENT_SUMMARY_HPP

#include <cstddef>

namespace skylarkbridge::jobs {

/// @brief Why a placement pass ended.
enum class pass_end {
  /// Each waiting step was looked at, in this pass or in earlier ones that were
  /// cut short.
  kAllLookedAt,
  /// fleet_scheduler_options::max_unplaced_steps was reached.
  kUnplacedLimit,
  /// The limit on starts that wait for an answer was reached.
  kStartLimit,
};

/// @brief What a placement pass did.
struct placement_summary {
  /// Steps with ready tasks when the pass began.
  std::size_t waiting_steps = 0;
  /// Steps that the pass came to.
  std::size_t looked_at = 0;
  /// Those of them with a ready task that found no room.
  std::size_t unplaced = 0;
  /// Those of the unplaced ones for which the workers were not searched, as
  /// another step that needs no more had found no room.
  std::size_t known_without_room = 0;
  /// Steps after the one with which a pass that was cut short ended.
  std::size_t not_reached = 0;
  pass_end ended_by = pass_end::kAllLookedAt;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PLACEMENT_SUMMARY_HPP
