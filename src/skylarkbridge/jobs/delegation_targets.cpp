#include "skylarkbridge/jobs/delegation_targets.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace skylarkbridge::jobs {
namespace {

/// The record of a delegation is written, read by the other owner, and counted
/// in a statement that is read here, within about 1.5 s.
constexpr std::chrono::milliseconds kCountedFor{2000};
/// A task that has waited this long may use the share of another cell. What the
/// other cell has delegated for the same fault is then counted in the statement
/// if its tasks waited for 0.5 s.
constexpr std::chrono::milliseconds kOtherShareDelay{2000};

/// Returns the largest piece for the task; null when none is large enough.
resources* LargestPiece(std::vector<resources>& pieces,
                        const resources& need,
                        const room_share& share) {
  resources* largest = nullptr;
  for (std::size_t index = 0; index < pieces.size(); ++index) {
    resources& piece = pieces[index];
    if (share.Contains(index) && Fits(need, piece) &&
        (largest == nullptr || piece.millicores > largest->millicores)) {
      largest = &piece;
    }
  }
  return largest;
}

/// The same, with the pieces of the own share before all others.
resources* LargestPieceOwnShareFirst(std::vector<resources>& pieces,
                                     const resources& need,
                                     const room_share& share) {
  resources* const own = LargestPiece(pieces, need, share);
  return own != nullptr ? own : LargestPiece(pieces, need, {});
}

}  // namespace

std::vector<resources> delegation_targets::RoomLeft(const stated_room& stated,
                                                    const std::string& service,
                                                    time_point now) const {
  const auto of_service = stated.pieces.find(service);
  if (of_service == stated.pieces.end() || now >= stated.valid_until) {
    return {};
  }
  std::vector<resources> pieces = of_service->second;
  for (const counted_task& task : counted_) {
    if (task.cell != stated.cell || task.service != service ||
        now >= task.counted_until) {
      continue;
    }
    // The owner places most tasks on the worker with the most room. A task that
    // fits no piece is counted in the statement, or waits for a larger one.
    if (resources* const piece =
            LargestPieceOwnShareFirst(pieces, task.need, stated.share)) {
      *piece -= task.need;
    }
  }
  return pieces;
}

std::optional<cell_id> delegation_targets::Choose(
    const std::string& service,
    const resources& need,
    std::chrono::milliseconds waited,
    time_point now) const {
  std::optional<cell_id> chosen;
  std::int64_t most_millicores = 0;
  for (const stated_room& stated : rooms_) {
    std::vector<resources> pieces = RoomLeft(stated, service, now);
    const resources* const piece =
        waited < kOtherShareDelay
            ? LargestPiece(pieces, need, stated.share)
            : LargestPieceOwnShareFirst(pieces, need, stated.share);
    if (piece != nullptr && (!chosen || piece->millicores > most_millicores)) {
      chosen = stated.cell;
      most_millicores = piece->millicores;
    }
  }
  return chosen;
}

epoch delegation_targets::StatingOwner(cell_id cell) const {
  const auto stated = std::find_if(
      rooms_.begin(), rooms_.end(),
      [cell](const stated_room& room) { return room.cell == cell; });
  return stated == rooms_.end() ? 0 : stated->owner_epoch;
}

void delegation_targets::Count(cell_id cell,
                               const std::string& service,
                               const resources& need,
                               time_point now) {
  std::erase_if(counted_, [now](const counted_task& task) {
    return now >= task.counted_until;
  });
  counted_.push_back({.cell = cell,
                      .service = service,
                      .need = need,
                      .counted_until = now + kCountedFor});
}

void delegation_targets::Clear() {
  rooms_.clear();
  counted_.clear();
}

}  // namespace skylarkbridge::jobs
