#include "skylarkbridge/jobs/cell_choice.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

// Guards against filling the smallest cell with long-running work: its urgent
// jobs then found no room while the other cells had a third of theirs free.
TEST(CellChoiceTest, LeavesEachCellTheSameRestForOtherWork) {
  std::vector<cell_load> loads{{.capacity = 2'400'000},
                               {.capacity = 1'800'000},
                               {.capacity = 2'300'000}};
  for (int job = 0; job < 100; ++job) {
    loads[ChooseCellForLongRunning(loads, job % 3)].long_running += 50'000;
  }
  for (const cell_load& load : loads) {
    EXPECT_NEAR(load.capacity - load.long_running, 500'000, 50'000);
  }
}

// Guards against a burst of jobs of several VMs that all choose the same cell.
TEST(CellChoiceTest, ATieGoesToTheHomeCell) {
  const std::vector<cell_load> loads(3, {.capacity = 1000});
  EXPECT_EQ(ChooseCellForLongRunning(loads, 0), 0U);
  EXPECT_EQ(ChooseCellForLongRunning(loads, 2), 2U);
}

// Guards against a VM that has just started and sends all long-running jobs to
// the first cell of which it has read a worker.
TEST(CellChoiceTest, RequestsDecideWhileACapacityIsUnknown) {
  const std::vector<cell_load> loads{{.capacity = 5000, .long_running = 900},
                                     {.long_running = 800}};
  EXPECT_EQ(ChooseCellForLongRunning(loads, 0), 1U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
