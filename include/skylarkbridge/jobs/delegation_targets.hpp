#ifndef SKYLARKBRIDGE_JOBS_DELEGATION_TARGETS_HPP
#define SKYLARKBRIDGE_JOBS_DELEGATION_TARGETS_HPP

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"
#include "skylarkbridge/jobs/stated_room.hpp"

namespace skylarkbridge::jobs {

/// @brief Chooses the cell to which a long-running task without room in its own
/// cell is delegated.
class delegation_targets {
 public:
  /// @brief Replaces the statements of the other cells.
  void SetRooms(std::vector<stated_room> rooms) { rooms_ = std::move(rooms); }
  /// @brief Returns the cell with the largest piece of room for a task of the
  /// service; nullopt when none has a piece that is large enough.
  /// @param waited how long the task has waited. Pieces in the share of another
  /// delegating cell are used only after a delay.
  std::optional<cell_id> Choose(const std::string& service,
                                const resources& need,
                                std::chrono::milliseconds waited,
                                time_point now) const;
  /// @brief Epoch of the owner whose statement on the cell is used; 0 without
  /// one.
  epoch StatingOwner(cell_id cell) const;
  /// @brief Subtracts a delegated task from the room of its cell until the
  /// statements of the cell's owner are certain to count it.
  void Count(cell_id cell,
             const std::string& service,
             const resources& need,
             time_point now);
  /// @brief Discards the statements and the counted tasks.
  void Clear();

 private:
  struct counted_task {
    cell_id cell = 0;
    std::string service;
    resources need;
    time_point counted_until;
  };

  /// What is left of the stated pieces; empty without a valid statement.
  std::vector<resources> RoomLeft(const stated_room& stated,
                                  const std::string& service,
                                  time_point now) const;

  std::vector<stated_room> rooms_;
  std::vector<counted_task> counted_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_DELEGATION_TARGETS_HPP
