#ifndef SKYLARKBRIDGE_JOBS_PLACEMENT_SWEEP_HPP
#define SKYLARKBRIDGE_JOBS_PLACEMENT_SWEEP_HPP

#include <cstddef>

#include "absl/container/flat_hash_set.h"
#include "skylarkbridge/jobs/job_table.hpp"

namespace skylarkbridge::jobs {

/// @brief How many searches of the workers without a start a pass may make.
struct search_limits {
  /// For all steps together.
  std::size_t total = 0;
  /// For the first steps by rank, which each pass looks at. The rest of the
  /// limit is for steps that the sweep has not looked at.
  std::size_t in_front = 0;
};

/// @brief Remembers, across placement passes, which waiting steps were looked
/// at, so that each one has its turn although a pass ends early.
///
/// A sweep takes one or more passes and is over when a pass reaches the last
/// step. A pass that is cut short has made search_limits::total searches, so
/// that a sweep over n steps takes at most
/// ceil(n / (search_limits::total - search_limits::in_front)) passes. n counts
/// the steps that come while it goes on. Passes that the limit on starts ends
/// may prolong it; after twice as many passes it is over in any case, so that a
/// step of high rank is not left out for longer.
class placement_sweep {
 public:
  explicit placement_sweep(search_limits limits) : limits_(limits) {}

  /// @brief Begins the next pass, and the next sweep if the last one is over.
  /// @param waiting number of steps that wait.
  void BeginPass(std::size_t waiting);
  /// @brief Whether the pass has to end before the next step.
  bool LimitReached() const { return searches_ >= limits_.total; }
  /// @brief Whether the pass leaves out the step, as it is not among the first
  /// ones and an earlier pass of the sweep has looked at it.
  bool PassesOver(const step_ref& step) const {
    return searches_ >= limits_.in_front && looked_at_.contains(step);
  }
  /// @brief The pass has looked at the step.
  void LookedAt(const step_ref& step) { looked_at_.insert(step); }
  /// @brief A search of the workers has started nothing.
  void SearchedInVain() { ++searches_; }
  /// @brief The pass has reached the last step.
  void ReachedEnd() { over_ = true; }
  /// @brief Forgets all steps.
  void Clear() { *this = placement_sweep(limits_); }

 private:
  /// Passes after which the sweep is over in any case.
  std::size_t MaxPasses() const;

  search_limits limits_;
  absl::flat_hash_set<step_ref> looked_at_;
  /// Most steps that have waited in a pass of the sweep.
  std::size_t most_waiting_ = 0;
  /// Passes of the sweep.
  std::size_t passes_ = 0;
  /// In vain, in this pass.
  std::size_t searches_ = 0;
  bool over_ = false;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PLACEMENT_SWEEP_HPP
