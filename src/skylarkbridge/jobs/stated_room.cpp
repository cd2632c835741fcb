#include "skylarkbridge/jobs/stated_room.hpp"

#include <algorithm>
#include <cstdint>

#include "skylarkbridge/jobs/job_limits.hpp"

namespace skylarkbridge::jobs {

bool CanBeStated(const resources& piece) {
  const resources limits{kMaxAmount, kMaxAmount, kMaxAmount};
  return piece.millicores > 0 && piece.memory_mb >= 0 &&
         piece.accelerators >= 0 && Fits(piece, limits);
}

void AddPiece(room_pieces& pieces,
              const std::string& service,
              const resources& room) {
  const resources piece{
      .millicores = std::min(room.millicores, kMaxAmount),
      .memory_mb = std::min(room.memory_mb, kMaxAmount),
      .accelerators = std::min(room.accelerators, kMaxAmount)};
  if (CanBeStated(piece)) {
    pieces[service].push_back(piece);
  }
}

void KeepLargestPieces(room_pieces& pieces) {
  for (auto& [service, sizes] : pieces) {
    std::stable_sort(sizes.begin(), sizes.end(),
                     [](const resources& left, const resources& right) {
                       return left.millicores > right.millicores;
                     });
    if (sizes.size() > kMaxStatedPieces) {
      sizes.resize(kMaxStatedPieces);
    }
  }
}

room_share ShareOf(cell_id delegating, cell_id stating, std::size_t cells) {
  return {.position = delegating < stating ? delegating : delegating - 1,
          .cells = cells - 1};
}

}  // namespace skylarkbridge::jobs
