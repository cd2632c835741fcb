#ifndef SKYLARKBRIDGE_JOBS_DELEGATION_OBSTACLE_HPP
#define SKYLARKBRIDGE_JOBS_DELEGATION_OBSTACLE_HPP

namespace skylarkbridge::jobs {

/// @brief Why a long-running task that waits for its restart is not moved to
/// another cell.
enum class delegation_obstacle {
  /// Nothing: the next placement pass moves it.
  kNone,
  /// It is not ready to start: a worker that has not reported may run it, or it
  /// must not start again.
  kNotReady,
  /// The tasks of a gang start together.
  kGang,
  /// The step requires a label.
  kLabel,
  /// The other cell would first have to get a permit.
  kPlacementPolicy,
  /// The job repeats.
  kRepeatingJob,
  /// The checkpoint would be lost.
  kCheckpoint,
  /// A start of it without an answer may still be carried out by its worker.
  kLateStart,
  /// It was delegated to this cell, which can't give it back: as many returns
  /// as are allowed are not settled yet.
  kReturnLimit,
  /// It has not waited for long enough in this cell.
  kShortWait,
  /// No other cell states a piece of room that is large enough.
  kNoStatedRoom,
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_DELEGATION_OBSTACLE_HPP
