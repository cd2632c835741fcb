#include "skylarkbridge/jobs/fleet_map.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/jobs/fleet_bootstrap.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};

std::vector<worker_entry> Workers(std::size_t count, std::size_t per_rack) {
  std::vector<worker_entry> workers;
  for (std::size_t number = 0; number < count; ++number) {
    const std::size_t rack = number / per_rack;
    workers.push_back({.worker = absl::StrCat("w", number),
                       .data_centre = absl::StrCat("dc", rack % 4),
                       .rack = absl::StrCat("r", rack)});
  }
  return workers;
}

// Guards against splitting a small fleet: one owner can schedule it, and
// several cells would only fragment its capacity.
TEST(FleetMapTest, AssignsASmallFleetToOneCell) {
  EXPECT_EQ(DivideFleet(Workers(66, 8), {}).cells, 1U);
  EXPECT_EQ(DivideFleet({}, {}).cells, 1U);
}

// Guards against cells of unequal size, which overload one owner while others
// are idle, and against a cell within one data centre, which fails with it.
TEST(FleetMapTest, SpreadsRacksEvenlyOverCellsAndDataCentres) {
  const std::vector<worker_entry> workers = Workers(490, 8);
  const fleet_map map = DivideFleet(workers, {});
  ASSERT_EQ(map.cells, 4U);
  std::vector<std::size_t> sizes(map.cells, 0);
  std::set<std::pair<cell_id, std::string>> cell_data_centres;
  for (const worker_entry& worker : workers) {
    const cell_id cell = map.CellOfRack(worker.rack);
    ++sizes[cell];
    cell_data_centres.insert({cell, worker.data_centre});
  }
  const auto [smallest, largest] =
      std::minmax_element(sizes.begin(), sizes.end());
  EXPECT_LE(*largest - *smallest, 8U);
  EXPECT_GE(cell_data_centres.size(), 3U * map.cells);
}

// Guards against jobs and later-added racks that get no cell, and against an
// uneven distribution of jobs.
TEST(FleetMapTest, AssignsUnknownRacksAndJobs) {
  const fleet_map map = DivideFleet(Workers(490, 8), {});
  EXPECT_LT(map.CellOfRack("another"), map.cells);
  std::vector<int> jobs(map.cells, 0);
  for (std::uint64_t id = 0; id < 8000; ++id) {
    ++jobs[map.HomeOf(job_id{id * 0x9e3779b97f4a7c15})];
  }
  const auto [smallest, largest] =
      std::minmax_element(jobs.begin(), jobs.end());
  EXPECT_GT(*smallest, 1800);
  EXPECT_LT(*largest, 2200);
}

// Guards against a division before all workers are listed, which would have too
// few cells permanently.
TEST(FleetBootstrapTest, WaitsUntilNoFurtherWorkersAppear) {
  fleet_bootstrap bootstrap({});
  const std::vector<worker_entry> workers = Workers(330, 8);
  bootstrap.Begin(kNow);
  EXPECT_FALSE(bootstrap.NextMap(kNow));
  for (const worker_entry& worker : workers) {
    bootstrap.Observe(worker, kNow + milliseconds(500));
  }
  EXPECT_FALSE(bootstrap.NextMap(kNow + milliseconds(1500)));
  // An entry that is written again does not extend the wait.
  bootstrap.Observe(workers.front(), kNow + milliseconds(1900));
  const auto map = bootstrap.NextMap(kNow + milliseconds(2100));
  ASSERT_TRUE(map);
  EXPECT_EQ(map->cells, 3U);
  // The write is repeated after the retry interval, not immediately.
  EXPECT_FALSE(bootstrap.NextMap(kNow + milliseconds(2200)));
  EXPECT_TRUE(bootstrap.NextMap(kNow + milliseconds(2900)));
}

// Guards against a fleet that never starts because workers are still added.
TEST(FleetBootstrapTest, DividesAfterTheMaximumWait) {
  fleet_bootstrap bootstrap({});
  bootstrap.Begin(kNow);
  EXPECT_FALSE(bootstrap.NextMap(kNow + milliseconds(3900)));
  for (int number = 0; number < 40; ++number) {
    bootstrap.Observe({.worker = absl::StrCat("w", number), .rack = "r"},
                      kNow + milliseconds(100) * number);
  }
  EXPECT_TRUE(bootstrap.NextMap(kNow + milliseconds(4000)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
