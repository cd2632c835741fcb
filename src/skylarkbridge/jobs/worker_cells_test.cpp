#include "skylarkbridge/jobs/worker_cells.hpp"

#include <gtest/gtest.h>

namespace skylarkbridge::jobs {
namespace {

worker_entry Entry(const std::string& worker, std::int64_t millicores) {
  return {.worker = worker, .capacity = {.millicores = millicores}};
}

// Guards against counting a worker once for each of its entries, or in two
// cells.
TEST(WorkerCellsTest, CountsTheLastEntryOfEachWorker) {
  worker_cells cells;
  cells.Set(Entry("w1", 1000), 0);
  cells.Set(Entry("w2", 500), 2);
  cells.Set(Entry("w1", 800), 0);
  EXPECT_EQ(cells.Millicores(0), 800);
  EXPECT_EQ(cells.Millicores(1), 0);
  EXPECT_EQ(cells.Millicores(2), 500);
  cells.Set(Entry("w1", 800), 2);
  EXPECT_EQ(cells.Millicores(0), 0);
  EXPECT_EQ(cells.Millicores(2), 1300);
  EXPECT_EQ(cells.Find("w1"), 2U);
}

// Guards against sending jobs to a cell for workers that drain or have left.
TEST(WorkerCellsTest, DrainingAndUnlistedWorkersAddNoCapacity) {
  worker_cells cells;
  cells.Set(Entry("w1", 1000), 0);
  cells.Set(Entry("w2", 1000), 0);
  cells.Set(Entry("w3", 1000), 0);
  worker_entry draining = Entry("w2", 1000);
  draining.draining = true;
  cells.Set(draining, 0);
  cells.Unlist("w3");
  EXPECT_EQ(cells.Millicores(0), 1000);
  EXPECT_EQ(cells.Find("w3"), 0U);
  cells.UnlistMissing({"w2"});
  EXPECT_EQ(cells.Millicores(0), 0);
  cells.Set(Entry("w1", 1000), 0);
  EXPECT_EQ(cells.Millicores(0), 1000);
}

}  // namespace
}  // namespace skylarkbridge::jobs
