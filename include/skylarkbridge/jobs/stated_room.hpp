#ifndef SKYLARKBRIDGE_JOBS_STATED_ROOM_HPP
#define SKYLARKBRIDGE_JOBS_STATED_ROOM_HPP

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief Number of pieces that an owner states for each service, and that
/// other cells use. A piece takes up to 16 bytes of a record.
inline constexpr std::size_t kMaxStatedPieces = 16;

/// @brief The room for long-running tasks of other cells: by service, the room
/// of one worker each, largest first.
using room_pieces = std::map<std::string, std::vector<resources>>;

/// @brief Whether the amounts are in the range that can be stated: some
/// processor time, and nothing negative or above kMaxAmount.
bool CanBeStated(const resources& piece);

/// @brief Adds the room of a worker. Amounts above kMaxAmount are reduced to
/// it; room without processor time or with a negative amount is ignored.
void AddPiece(room_pieces& pieces,
              const std::string& service,
              const resources& room);

/// @brief Sorts the pieces of each service by processor time, largest first,
/// and keeps kMaxStatedPieces of them.
void KeepLargestPieces(room_pieces& pieces);

/// @brief The pieces that one of several delegating cells uses first, so that
/// they do not all fill the same ones.
struct room_share {
  /// Position among the delegating cells, from 0.
  std::size_t position = 0;
  /// Number of delegating cells; at least 1.
  std::size_t cells = 1;

  bool Contains(std::size_t piece) const { return piece % cells == position; }
};

/// @brief Returns the share of the cell @p delegating in the room of the cell
/// @p stating, which is another one, in a fleet of @p cells cells.
room_share ShareOf(cell_id delegating, cell_id stating, std::size_t cells);

/// @brief The room that the owner of a cell has stated for long-running tasks
/// of other cells.
struct stated_room {
  cell_id cell = 0;
  /// Epoch of the owner.
  epoch owner_epoch = 0;
  room_pieces pieces;
  /// Share of the delegating cell.
  room_share share;
  /// Until when the statement may be used.
  time_point valid_until;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_STATED_ROOM_HPP
