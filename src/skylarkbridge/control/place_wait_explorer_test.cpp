// Plays seeded random schedules on three full cells that lose a quarter of
// their workers for good, and checks that no long-running task goes on waiting
// beside a place that it fits as it is.
//
// FIRST_SCHEDULE and LAST_SCHEDULE select other seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/random_schedule_fake.hpp"
#include "skylarkbridge/control/worker_loss_schedule_fake.hpp"

namespace skylarkbridge::control {
namespace {

constexpr std::uint64_t kCiSchedules = 64;

// Guards against a task that waits while some worker of any cell has a place
// for it: one that is kept for nothing, that other tasks get by a move, or that
// the cell of the task does not learn of. The first seed with a violation is
// shown with its disturbances.
TEST(PlaceWaitExplorerTest, NoTaskWaitsBesideAPlaceThatItFits) {
  const std::uint64_t first = EnvironmentOr("FIRST_SCHEDULE", 1);
  const std::uint64_t last = EnvironmentOr("LAST_SCHEDULE", kCiSchedules);
  std::size_t red = 0;
  std::size_t long_waits = 0;
  std::chrono::milliseconds longest{};
  std::chrono::milliseconds longest_beside_place{};
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    worker_loss_schedule schedule(seed);
    schedule.Play();
    long_waits += schedule.Waits().LongWaits();
    longest = std::max(longest, schedule.Waits().Longest());
    const place_waits& waits = schedule.PlaceWaits();
    longest_beside_place = std::max(longest_beside_place, waits.Longest());
    if (waits.Violations().empty()) {
      continue;
    }
    const std::string text = absl::StrCat(
        "seed ", seed, "\n", absl::StrJoin(waits.Violations(), "\n"), "\n");
    if (++red == 1) {
      ADD_FAILURE() << text << schedule.History();
    } else {
      std::cout << text;
    }
  }
  std::cout << red << " of " << last - first + 1
            << " schedules with a violation, the longest wait beside a place "
            << longest_beside_place.count() << " ms; " << long_waits
            << " waits over the limit of a restart, most for lack of room, the "
               "longest "
            << longest.count() << " ms\n";
  EXPECT_EQ(red, 0U);
}

}  // namespace
}  // namespace skylarkbridge::control
