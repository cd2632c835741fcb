#ifndef SKYLARKBRIDGE_JOBS_UNPLACED_SHAPES_HPP
#define SKYLARKBRIDGE_JOBS_UNPLACED_SHAPES_HPP

#include <string_view>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief What decides, beside the need, whether a task has room on a worker.
/// The strings belong to jobs, so it is valid for one pass only.
struct step_kind {
  std::string_view service;
  std::string_view image;
  std::string_view required_label;
  bool long_running = false;
  bool best_effort = false;
  /// placement_options::best_effort_share applies.
  bool needs_idle_share = false;

  bool operator==(const step_kind&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const step_kind& kind) {
    return H::combine(std::move(hash), kind.service, kind.image,
                      kind.required_label, kind.long_running, kind.best_effort,
                      kind.needs_idle_share);
  }
};

/// @param starving as ready_step::starving.
step_kind KindOf(const step_spec& step,
                 std::string_view service,
                 bool starving);

/// @brief The needs for which a placement pass has found no room, by kind.
///
/// Room only shrinks during a pass, so that no task that needs at least as much
/// of everything has room later in the same pass.
class unplaced_shapes {
 public:
  /// @brief No worker has room for a task of this kind and need.
  void Add(const step_kind& kind, const resources& need);
  /// @brief Whether a need that was added shows that there is no room.
  bool HasNoRoom(const step_kind& kind, const resources& need) const;

 private:
  /// No need of a kind is at least as large as another one in everything.
  absl::flat_hash_map<step_kind, std::vector<resources>> needs_;
};

/// @brief The needs that were refused on one set of candidates.
struct refused_shapes {
  /// No worker has room.
  unplaced_shapes without_room;
  /// Of tasks that are suspected of crashes: no worker without another suspect
  /// has room.
  unplaced_shapes without_separate_worker;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_UNPLACED_SHAPES_HPP
