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

// A small fleet has one owner: two would split its room for nothing.
TEST(FleetMapTest, KeepsASmallFleetWhole) {
  EXPECT_EQ(DivideFleet(Workers(66, 8), {}).cells, 1U);
  EXPECT_EQ(DivideFleet({}, {}).cells, 1U);
}

// Cells of unequal size would leave one owner behind while others idle, and a
// cell in one data centre would be lost with it.
TEST(FleetMapTest, DealsRacksEvenlyOverCellsAndDataCentres) {
  const std::vector<worker_entry> workers = Workers(490, 8);
  const fleet_map map = DivideFleet(workers, {});
  ASSERT_EQ(map.cells, 4U);
  std::vector<std::size_t> sizes(map.cells, 0);
  std::set<std::pair<cell_id, std::string>> places;
  for (const worker_entry& worker : workers) {
    const cell_id cell = map.CellOfRack(worker.rack);
    ++sizes[cell];
    places.insert({cell, worker.data_centre});
  }
  const auto [least, most] = std::minmax_element(sizes.begin(), sizes.end());
  EXPECT_LE(*most - *least, 8U);
  EXPECT_GE(places.size(), 3U * map.cells);
}

// A rack that comes later, and each job, must have a cell on every VM.
TEST(FleetMapTest, PlacesUnknownRacksAndJobs) {
  const fleet_map map = DivideFleet(Workers(490, 8), {});
  EXPECT_LT(map.CellOfRack("another"), map.cells);
  std::vector<int> jobs(map.cells, 0);
  for (std::uint64_t id = 0; id < 8000; ++id) {
    ++jobs[map.HomeOf(job_id{id * 0x9e3779b97f4a7c15})];
  }
  const auto [least, most] = std::minmax_element(jobs.begin(), jobs.end());
  EXPECT_GT(*least, 1800);
  EXPECT_LT(*most, 2200);
}

// A division that is made before all workers are listed would be too small for
// good.
TEST(FleetFoundingTest, WaitsUntilNoFurtherWorkersAppear) {
  fleet_bootstrap founding({});
  const std::vector<worker_entry> workers = Workers(330, 8);
  founding.Begin(kNow);
  EXPECT_FALSE(founding.NextMap(kNow));
  for (const worker_entry& worker : workers) {
    founding.Observe(worker, kNow + milliseconds(500));
  }
  EXPECT_FALSE(founding.NextMap(kNow + milliseconds(1500)));
  // Entries that are written again are no news.
  founding.Observe(workers.front(), kNow + milliseconds(1900));
  const auto map = founding.NextMap(kNow + milliseconds(2100));
  ASSERT_TRUE(map);
  EXPECT_EQ(map->cells, 3U);
  // A write that had no answer is repeated, not at once.
  EXPECT_FALSE(founding.NextMap(kNow + milliseconds(2200)));
  EXPECT_TRUE(founding.NextMap(kNow + milliseconds(2900)));
}

// Workers that keep coming must not keep the fleet from starting.
TEST(FleetFoundingTest, DividesAfterALimit) {
  fleet_bootstrap founding({});
  founding.Begin(kNow);
  EXPECT_FALSE(founding.NextMap(kNow + milliseconds(3900)));
  for (int number = 0; number < 40; ++number) {
    founding.Observe({.worker = absl::StrCat("w", number), .rack = "r"},
                     kNow + milliseconds(100) * number);
  }
  EXPECT_TRUE(founding.NextMap(kNow + milliseconds(4000)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
