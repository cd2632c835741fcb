// Plays seeded random schedules of cancels and faults and checks that no task
// of a cancelled job runs on or starts later than the platform allows.
//
// FIRST_SCHEDULE and LAST_SCHEDULE select other seeds.

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

#include "skylarkbridge/control/random_schedule_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::seconds;

/// Plays schedules with waves of cancels on one to three cells. Late restarts
/// are left to RestartExplorerTest.
void PlayCancels(const std::vector<disturbance>& disturbances) {
  PlaySchedules({.min_cells = 1,
                 .max_cells = 3,
                 .disturbances = disturbances,
                 .max_batch_time = seconds(60),
                 .urgent_batch = true,
                 .cancel_waves = true,
                 .ignored_invariant = "RESTART"});
}

// Each test guards against tasks of a cancelled job that run on or start under
// one kind of disturbance. A failure names the seed of its schedule.

TEST(CancelExplorerTest, FailedRunsAndConfigurations) {
  PlayCancels({disturbance::kFailRun, disturbance::kReplaceJob,
               disturbance::kPublishConfiguration});
}

TEST(CancelExplorerTest, FaultsOfWorkers) {
  PlayCancels({disturbance::kFailRun, disturbance::kCrashWorker,
               disturbance::kDrainWorker});
}

TEST(CancelExplorerTest, Takeovers) {
  PlayCancels({disturbance::kKillOwner, disturbance::kSeriesOfTakeovers,
               disturbance::kCutOwnerFromStore, disturbance::kStopOwner});
}

TEST(CancelExplorerTest, FaultsOfTheStore) {
  PlayCancels({disturbance::kSlowStore, disturbance::kSilentStore,
               disturbance::kRefusingStore, disturbance::kTrimLogs});
}

TEST(CancelExplorerTest, LostAnswers) {
  PlayCancels({disturbance::kLostAnswers, disturbance::kFailRun,
               disturbance::kSlowStore});
}

TEST(CancelExplorerTest, AllFaults) {
  PlayCancels({disturbance::kFailRun, disturbance::kReplaceJob,
               disturbance::kCrashWorker, disturbance::kDrainWorker,
               disturbance::kKillOwner, disturbance::kSeriesOfTakeovers,
               disturbance::kCutOwnerFromStore, disturbance::kSlowStore,
               disturbance::kSilentStore, disturbance::kRefusingStore,
               disturbance::kLostAnswers, disturbance::kStopOwner,
               disturbance::kTrimLogs, disturbance::kPublishConfiguration});
}

}  // namespace
}  // namespace skylarkbridge::control
