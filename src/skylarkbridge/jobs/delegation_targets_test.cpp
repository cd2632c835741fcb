#include "skylarkbridge/jobs/delegation_targets.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

constexpr milliseconds kWaited{500};

/// Room of a cell in pieces of these sizes.
stated_room Room(cell_id cell, const std::vector<std::int64_t>& sizes) {
  stated_room room{.cell = cell, .valid_until = kNow + seconds(2)};
  for (const std::int64_t millicores : sizes) {
    room.pieces["service"].push_back({.millicores = millicores});
  }
  return room;
}

// Guards against tasks that are delegated to a cell where they wait again.
TEST(DelegationTargetsTest, ChoosesTheCellWithMostRoom) {
  delegation_targets targets;
  targets.SetRooms({Room(1, {2000}), Room(2, {5000}), Room(3, {4000})});
  const resources need{.millicores = 3000};
  EXPECT_EQ(targets.Choose("service", need, kWaited, kNow), 2U);
  EXPECT_EQ(targets.Choose("other", need, kWaited, kNow), std::nullopt);
  EXPECT_EQ(targets.Choose("service", {.millicores = 5001}, kWaited, kNow),
            std::nullopt);
  EXPECT_EQ(targets.Choose("service", {.memory_mb = 1}, kWaited, kNow),
            std::nullopt);
}

// Guards against many tasks that are delegated for the same room.
TEST(DelegationTargetsTest, SubtractsTheTasksThatWereDelegatedRecently) {
  delegation_targets targets;
  targets.SetRooms({Room(1, {5000})});
  const resources need{.millicores = 3000};
  targets.Count(1, "service", need, kNow);
  targets.SetRooms({Room(1, {5000})});
  EXPECT_EQ(targets.Choose("service", need, kWaited, kNow), std::nullopt);
  stated_room later = Room(1, {5000});
  later.valid_until = kNow + seconds(4);
  targets.SetRooms({later});
  EXPECT_EQ(targets.Choose("service", need, kWaited, kNow + seconds(2)), 1U);
}

// Guards against the use of a statement whose owner may be gone.
TEST(DelegationTargetsTest, IgnoresOldStatements) {
  delegation_targets targets;
  targets.SetRooms({Room(1, {5000})});
  EXPECT_EQ(
      targets.Choose("service", {.millicores = 1}, kWaited, kNow + seconds(2)),
      std::nullopt);
}

// Guards against tasks that wait for their turn while the other cell has room
// on several workers.
TEST(DelegationTargetsTest, UsesAllPieces) {
  delegation_targets targets;
  targets.SetRooms({Room(1, {5000, 4000, 2000})});
  const resources need{.millicores = 2000};
  for (int task = 0; task < 5; ++task) {
    EXPECT_EQ(targets.Choose("service", need, kWaited, kNow), 1U);
    targets.Count(1, "service", need, kNow);
  }
  EXPECT_EQ(targets.Choose("service", need, kWaited, kNow), std::nullopt);
}

// Guards against two cells that fill the same pieces.
TEST(DelegationTargetsTest, UsesTheShareOfAnotherCellAfterADelay) {
  delegation_targets targets;
  stated_room room = Room(1, {5000, 3000});
  room.share = {.position = 1, .cells = 2};
  targets.SetRooms({room});
  const resources need{.millicores = 2000};
  EXPECT_EQ(targets.Choose("service", need, kWaited, kNow), 1U);
  targets.Count(1, "service", need, kNow);
  EXPECT_EQ(targets.Choose("service", need, kWaited, kNow), std::nullopt);
  EXPECT_EQ(targets.Choose("service", need, seconds(2), kNow), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
