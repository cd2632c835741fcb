#include "skylarkbridge/jobs/stated_room.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <limits>

#include "skylarkbridge/jobs/job_limits.hpp"

namespace skylarkbridge::jobs {
namespace {

// Guards against statements that grow with the number of workers, or that leave
// out the largest pieces, which are the rarest.
TEST(StatedRoomTest, KeepsTheLargestPieces) {
  room_pieces pieces;
  for (std::int64_t worker = 1; worker <= 100; ++worker) {
    AddPiece(pieces, "service", {.millicores = worker * 100});
  }
  KeepLargestPieces(pieces);
  ASSERT_EQ(pieces.at("service").size(), kMaxStatedPieces);
  EXPECT_EQ(pieces.at("service").front().millicores, 10'000);
  EXPECT_EQ(pieces.at("service").back().millicores, 8'500);
}

// Guards against room that other cells cannot read.
TEST(StatedRoomTest, StatesOnlyWhatCanBeRead) {
  constexpr std::int64_t kHuge = std::numeric_limits<std::int64_t>::max();
  room_pieces pieces;
  AddPiece(pieces, "service", {.millicores = -1});
  AddPiece(pieces, "service", {.millicores = 1000, .memory_mb = -1});
  EXPECT_TRUE(pieces.empty());
  AddPiece(pieces, "service", {.millicores = kHuge, .accelerators = kHuge});
  ASSERT_EQ(pieces.at("service").size(), 1U);
  EXPECT_TRUE(CanBeStated(pieces.at("service").front()));
}

// Guards against a cell without a share, and against pieces in two shares.
TEST(StatedRoomTest, EachPieceIsInTheShareOfOneOtherCell) {
  constexpr std::size_t kCells = 4;
  for (cell_id stating = 0; stating < kCells; ++stating) {
    for (std::size_t piece = 0; piece < kMaxStatedPieces; ++piece) {
      int shares = 0;
      for (cell_id cell = 0; cell < kCells; ++cell) {
        shares +=
            cell != stating && ShareOf(cell, stating, kCells).Contains(piece);
      }
      EXPECT_EQ(shares, 1) << "piece " << piece << " of cell " << stating;
    }
  }
}

}  // namespace
}  // namespace skylarkbridge::jobs
