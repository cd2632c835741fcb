// Plays seeded random schedules on small cells that long-running work fills,
// and checks that each of its tasks starts in time, those that have never run
// included.
//
// FIRST_SCHEDULE and LAST_SCHEDULE select other seeds.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/random_schedule_fake.hpp"
#include "skylarkbridge/control/wait_schedule_fake.hpp"

namespace skylarkbridge::control {
namespace {

constexpr std::uint64_t kCiSchedules = 64;

/// The violations of a class; of all classes without one.
std::vector<std::string> ViolationsOf(const task_waits& waits,
                                      std::optional<wait_class> kind) {
  std::vector<std::string> violations;
  for (const wait_violation& violation : waits.Violations()) {
    if (!kind || violation.kind == *kind) {
      violations.push_back(violation.text);
    }
  }
  return violations;
}

/// Plays all schedules and prints the seed of each with a violation. The first
/// of them is shown with its disturbances.
void PlayWaits(const wait_profile& profile, std::optional<wait_class> kind) {
  const std::uint64_t first = EnvironmentOr("FIRST_SCHEDULE", 1);
  const std::uint64_t last = EnvironmentOr("LAST_SCHEDULE", kCiSchedules);
  std::size_t red = 0;
  std::size_t long_waits = 0;
  std::chrono::milliseconds longest{};
  std::map<wait_stage, std::chrono::milliseconds> longest_stages;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    wait_schedule schedule(profile, seed);
    schedule.Play();
    long_waits += schedule.Waits().LongWaits();
    longest = std::max(longest, schedule.Waits().Longest());
    for (const auto& [stage, time] : schedule.Waits().LongestStages()) {
      longest_stages[stage] = std::max(longest_stages[stage], time);
    }
    const std::vector<std::string> violations =
        ViolationsOf(schedule.Waits(), kind);
    if (violations.empty()) {
      continue;
    }
    const std::string text = absl::StrCat(
        "seed ", seed, "\n", absl::StrJoin(violations, "\n"), "\n");
    if (++red == 1) {
      ADD_FAILURE() << text << schedule.History();
    } else {
      std::cout << text;
    }
  }
  std::cout << red << " of " << last - first + 1
            << " schedules with a violation; " << long_waits
            << " waits over the limit, also for lack of room or beside faults, "
               "the longest "
            << longest.count() << " ms; longest by stage:";
  for (const auto& [stage, time] : longest_stages) {
    std::cout << " " << Name(stage) << "=" << time.count();
  }
  std::cout << "\n";
  EXPECT_EQ(red, 0U);
}

// Guards against a task that waits for room in one piece where the moves of up
// to four runs off one worker would make it.
TEST(WaitExplorerTest, RoomInPieces) {
  PlayWaits({.cells = {.max_cells = 3, .spare_worker = true, .batch_jobs = 1},
             .disturbances = {wait_disturbance::kFailRuns,
                              wait_disturbance::kDrainWorker,
                              wait_disturbance::kDrainWorker,
                              wait_disturbance::kLoseWorker,
                              wait_disturbance::kReplaceJob}},
            wait_class::kRoomInPieces);
}

// As above, for a task that has never run while others of its job run.
TEST(WaitExplorerTest, FirstStartsOfBegunJobs) {
  PlayWaits({.cells = {.max_cells = 3, .min_percent = 70, .max_percent = 90},
             .disturbances = {wait_disturbance::kLargeJob,
                              wait_disturbance::kReplaceJob}},
            wait_class::kFirstStart);
}

// Guards against a task that waits for its end to be known or stored, beside a
// store that answers half of the calls or does not give the list of workers.
TEST(WaitExplorerTest, EndsBesideATakeoverAndAFailingStore) {
  PlayWaits({.cells = {.max_cells = 3},
             .disturbances = {wait_disturbance::kTakeoverBesideFailingStore,
                              wait_disturbance::kTakeoverWithoutWorkerList}},
            wait_class::kUnstoredEnd);
}

// Guards against a task that is started again and again on a worker that leaves
// starts unanswered, while others have room for it.
TEST(WaitExplorerTest, LateStarts) {
  PlayWaits({.cells = {.max_cells = 3, .min_percent = 60, .max_percent = 90},
             .disturbances = {wait_disturbance::kUnansweredStarts}},
            wait_class::kLateStart);
}

// Guards against long waits under all of these together, of any class.
TEST(WaitExplorerTest, AllTogether) {
  PlayWaits({.cells = {.max_cells = 3, .spare_worker = true, .batch_jobs = 1},
             .disturbances = {wait_disturbance::kFailRuns,
                              wait_disturbance::kDrainWorker,
                              wait_disturbance::kLoseWorker,
                              wait_disturbance::kReplaceJob,
                              wait_disturbance::kLargeJob,
                              wait_disturbance::kTakeoverBesideFailingStore,
                              wait_disturbance::kUnansweredStarts}},
            std::nullopt);
}

}  // namespace
}  // namespace skylarkbridge::control
