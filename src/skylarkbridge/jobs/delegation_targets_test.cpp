#include "skylarkbridge/jobs/delegation_targets.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

stated_room Room(cell_id cell, std::int64_t millicores) {
  return {.cell = cell,
          .largest = {{"service", {.millicores = millicores}}},
          .valid_until = kNow + seconds(2)};
}

// Guards against tasks that are delegated to a cell where they wait again.
TEST(DelegationTargetsTest, ChoosesTheCellWithMostRoom) {
  delegation_targets targets;
  targets.SetRooms({Room(1, 2000), Room(2, 5000), Room(3, 4000)});
  const resources need{.millicores = 3000};
  EXPECT_EQ(targets.Choose("service", need, kNow), 2U);
  EXPECT_EQ(targets.Choose("other", need, kNow), std::nullopt);
  EXPECT_EQ(targets.Choose("service", {.millicores = 5001}, kNow),
            std::nullopt);
  EXPECT_EQ(targets.Choose("service", {.memory_mb = 1}, kNow), std::nullopt);
}

// Guards against many tasks that are delegated for the same room.
TEST(DelegationTargetsTest, SubtractsTheTasksThatWereDelegatedRecently) {
  delegation_targets targets;
  targets.SetRooms({Room(1, 5000)});
  const resources need{.millicores = 3000};
  targets.Count(1, "service", need, kNow);
  targets.SetRooms({Room(1, 5000)});
  EXPECT_EQ(targets.Choose("service", need, kNow), std::nullopt);
  stated_room later = Room(1, 5000);
  later.valid_until = kNow + seconds(4);
  targets.SetRooms({later});
  EXPECT_EQ(targets.Choose("service", need, kNow + seconds(2)), 1U);
}

// Guards against the use of a statement whose owner may be gone.
TEST(DelegationTargetsTest, IgnoresOldStatements) {
  delegation_targets targets;
  targets.SetRooms({Room(1, 5000)});
  EXPECT_EQ(targets.Choose("service", {.millicores = 1}, kNow + seconds(2)),
            std::nullopt);
}

}  // namespace
}  // namespace skylarkbridge::jobs
