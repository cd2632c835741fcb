// Odd entries in the list of workers, which any writer may leave there.

#include <gtest/gtest.h>

#include <chrono>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kOddEntry[] = "odd";
constexpr jobs::job_id kJob{0x10};
constexpr jobs::job_id kLaterJob{0x20};

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

// Guards against new tasks on a worker whose entry cannot be read, and against
// the loss of those that it runs: their leases have to be renewed.
TEST(WorkerEntryTest, AnOddEntryKeepsNewTasksFromAWorkerAndLosesNone) {
  virtual_fleet fleet({.workers = 2});
  fleet.Advance(seconds(2));
  fleet.Submit(0, kJob, "-2000 600000 0 2 max_per_worker=1");
  fleet.Advance(seconds(1));
  const jobs::task_ref task{.job = kJob};
  ASSERT_TRUE(fleet.Checker().Running(task));
  const std::string worker = fleet.Checker().WorkerOf(task);
  fleet.WriteWorkerEntry(worker, kOddEntry);
  fleet.Advance(milliseconds(500));
  fleet.Submit(0, kLaterJob, "-1000 600000 0 4");
  fleet.Advance(seconds(15));
  std::size_t running = 0;
  for (std::uint32_t index = 0; index < 4; ++index) {
    const jobs::task_ref later{.job = kLaterJob, .index = index};
    running += fleet.Checker().Running(later) ? 1 : 0;
    EXPECT_NE(fleet.Checker().WorkerOf(later), worker);
  }
  EXPECT_EQ(running, 2U);
  EXPECT_EQ(fleet.Checker().WorkerOf(task), worker);
  fleet.WriteWorkerEntry(worker, virtual_fleet::EntryOf(fleet.Worker(worker)));
  fleet.Advance(seconds(1));
  for (std::uint32_t index = 0; index < 4; ++index) {
    EXPECT_TRUE(fleet.Checker().Running({.job = kLaterJob, .index = index}));
  }
  EXPECT_EQ(Violations(fleet), "");
}

// Guards against odd entries that change the division of the fleet into cells
// or delay it, as further workers do.
TEST(WorkerEntryTest, OddEntriesDoNotChangeOrDelayTheDivision) {
  virtual_fleet fleet({.workers = 4, .cells = 2});
  for (int entry = 0; entry < 20; ++entry) {
    fleet.WriteWorkerEntry(absl::StrCat("odd", entry), kOddEntry);
    fleet.Advance(milliseconds(50));
  }
  ASSERT_EQ(fleet.Control(0).Cells().size(), 2U);
  fleet.Advance(seconds(3));
  EXPECT_TRUE(fleet.Owner(0));
  EXPECT_TRUE(fleet.Owner(1));
}

}  // namespace
}  // namespace skylarkbridge::control
