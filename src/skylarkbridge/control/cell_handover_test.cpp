// Tests that cells move to VMs that have more processor time for them.

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0xabc};
/// Time in which a cell has to move, after a more suitable VM has started.
constexpr seconds kHandOverTime{4};

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

// Guards against a VM with a small share of a core that keeps a cell which it
// happened to claim first: it followed the log, the configuration and the list
// of workers up to 11 s late, stopped the tasks of cancelled jobs late, and
// started tasks on workers that were leaving.
TEST(CellHandOverTest, ALargerVmTakesACellFromAVmTooSmallForIt) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet(
        {.vms = 3, .seed = seed, .processor_shares = {0.12, 0.5, 0.5}});
    fleet.Advance(seconds(2));
    fleet.Submit(0, kJob, "-500 600000 0 4");
    fleet.Advance(seconds(1));
    fleet.KillVm(1);
    fleet.KillVm(2);
    fleet.Advance(seconds(6));
    ASSERT_EQ(fleet.Owner(), 0U) << "seed " << seed;
    fleet.StartVm(1);
    fleet.StartVm(2);
    fleet.Advance(kHandOverTime);
    ASSERT_TRUE(fleet.Owner()) << "seed " << seed;
    EXPECT_NE(fleet.Owner(), 0U) << "seed " << seed;
    EXPECT_EQ(Violations(fleet), "") << "seed " << seed;
  }
}

// Guards against a VM that keeps several cells while another one has none: it
// ran out of processor time.
TEST(CellHandOverTest, AnIdleVmTakesOneOfTheCellsOfAnother) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    virtual_fleet fleet({.vms = 2, .workers = 8, .seed = seed, .cells = 2});
    fleet.Advance(seconds(2));
    fleet.KillVm(1);
    fleet.Advance(seconds(6));
    ASSERT_EQ(fleet.Control(0).CellsOwned(), 2U) << "seed " << seed;
    fleet.StartVm(1);
    fleet.Advance(kHandOverTime);
    EXPECT_EQ(fleet.Control(0).CellsOwned(), 1U) << "seed " << seed;
    EXPECT_EQ(fleet.Control(1).CellsOwned(), 1U) << "seed " << seed;
  }
}

// Guards against a hand-over that interrupts running tasks.
TEST(CellHandOverTest, RunsGoOnWhenTheirCellMoves) {
  virtual_fleet fleet({.vms = 2, .processor_shares = {0.12, 0.5}});
  fleet.Advance(seconds(2));
  fleet.KillVm(1);
  fleet.Advance(seconds(6));
  fleet.Submit(0, kJob, "-500 600000 0 4");
  fleet.Advance(seconds(1));
  fleet.StartVm(1);
  for (milliseconds time{}; time < kHandOverTime; time += milliseconds(20)) {
    fleet.Advance(milliseconds(20));
    for (std::uint32_t index = 0; index < 4; ++index) {
      ASSERT_TRUE(fleet.Checker().Running({.job = kJob, .index = index}))
          << "task " << index << " after " << time.count() << " ms";
    }
  }
  EXPECT_EQ(fleet.Owner(), 1U);
}

// Guards against cells that move between VMs that suit them equally well: each
// move costs a report of every worker.
TEST(CellHandOverTest, CellsStayWhereTheyAreAmongEqualVms) {
  virtual_fleet fleet({.vms = 4, .workers = 8, .cells = 2});
  fleet.Advance(seconds(2));
  fleet.StopVm(*fleet.Owner(0));
  fleet.Advance(seconds(2));
  const jobs::epoch first = fleet.Cell(*fleet.Owner(0), 0).NewestEpoch();
  const jobs::epoch second = fleet.Cell(*fleet.Owner(1), 1).NewestEpoch();
  fleet.Advance(seconds(20));
  EXPECT_EQ(fleet.Cell(*fleet.Owner(0), 0).NewestEpoch(), first);
  EXPECT_EQ(fleet.Cell(*fleet.Owner(1), 1).NewestEpoch(), second);
}

}  // namespace
}  // namespace skylarkbridge::control
