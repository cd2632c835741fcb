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

// Guards against owners of two cells that order one worker: each is fenced by
// the other's epoch and loses its cell. The rack of a known worker leads a new
// owner, which has not read the earlier entry, to another cell.
TEST(WorkerEntryTest, AChangedRackMovesNoWorkerToAnotherCell) {
  virtual_fleet fleet({.workers = 4, .cells = 2});
  fleet.Advance(seconds(3));
  ASSERT_TRUE(fleet.Owner(0));
  ASSERT_TRUE(fleet.Owner(1));
  const auto workers_of = [&fleet](jobs::cell_id cell) {
    return fleet.Cell(*fleet.Owner(cell), cell).Scheduler().Workers();
  };
  const auto held = workers_of(0);
  ASSERT_FALSE(held.empty());
  ASSERT_FALSE(workers_of(1).empty());
  const std::string worker = held.begin()->first;
  const std::string other_rack = workers_of(1).begin()->second.entry.rack;
  const jobs::epoch epoch = fleet.Cell(*fleet.Owner(0), 0).NewestEpoch();
  fleet.WriteWorkerEntry(
      worker, absl::StrCat(virtual_fleet::EntryOf(fleet.Worker(worker)),
                           " rack=", other_rack));
  fleet.Advance(milliseconds(500));
  const std::size_t owner = *fleet.Owner(1);
  ASSERT_NE(owner, *fleet.Owner(0));
  fleet.KillVm(owner);
  fleet.Advance(seconds(10));
  EXPECT_EQ(fleet.Cell(*fleet.Owner(0), 0).NewestEpoch(), epoch);
  EXPECT_TRUE(workers_of(0).contains(worker));
  EXPECT_FALSE(workers_of(1).contains(worker));
}

// Guards against a worker that no cell uses: it leaves, and its id comes back
// with the rack of another cell, whose owner knows it from before.
TEST(WorkerEntryTest, AWorkerThatComesBackBelongsToTheCellOfItsRack) {
  virtual_fleet fleet({.vms = 1, .workers = 4, .cells = 2});
  fleet.Advance(seconds(3));
  const auto workers_of = [&fleet](jobs::cell_id cell) {
    return fleet.Cell(0, cell).Scheduler().Workers();
  };
  ASSERT_FALSE(workers_of(0).empty());
  ASSERT_FALSE(workers_of(1).empty());
  const std::string worker = workers_of(0).begin()->first;
  const std::string other_rack = workers_of(1).begin()->second.entry.rack;
  fleet.CrashWorker(worker);
  fleet.Advance(seconds(20));
  ASSERT_FALSE(workers_of(0).contains(worker));
  fleet.Worker(worker).Start(fleet.Now());
  fleet.WriteWorkerEntry(
      worker, absl::StrCat(virtual_fleet::EntryOf(fleet.Worker(worker)),
                           " rack=", other_rack));
  fleet.Advance(seconds(2));
  EXPECT_FALSE(workers_of(0).contains(worker));
  EXPECT_TRUE(workers_of(1).contains(worker));
}

}  // namespace
}  // namespace skylarkbridge::control
