// Tests of the lines on long-running tasks that wait for their restarts.

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kWaitingJobs = 12;

/// Number of times that the text stands in the log.
int Count(const std::string& log, std::string_view text) {
  int found = 0;
  for (std::size_t at = log.find(text); at != std::string::npos;
       at = log.find(text, at + 1)) {
    ++found;
  }
  return found;
}

/// What is logged within the time.
std::string LogOf(virtual_fleet& fleet, milliseconds time) {
  testing::internal::CaptureStdout();
  fleet.Advance(time);
  return testing::internal::GetCapturedStdout();
}

/// Lets twelve tasks wait whose worker has left, while the other worker is too
/// small for each of them.
void LoseTheOnlyLargeWorker(virtual_fleet& fleet) {
  fleet.SetCapacity("w1", 500);
  fleet.Advance(seconds(4));
  for (std::uint64_t job = 1; job <= kWaitingJobs; ++job) {
    fleet.Submit(
        0, jobs::job_id{job},
        absl::StrCat("-", 3000 - 100 * static_cast<int>(job), " 600000 0 1"));
  }
  fleet.Advance(seconds(3));
  for (std::uint64_t job = 1; job <= kWaitingJobs; ++job) {
    ASSERT_TRUE(fleet.Checker().Running({.job = jobs::job_id{job}})) << job;
  }
  fleet.DrainWorker("w0", seconds(1));
  fleet.Advance(seconds(4));
}

virtual_fleet::options TwoWorkers() {
  return {.workers = 2, .worker_millicores = 40'000};
}

// Guards against a log that can't tell how many tasks wait, and for what.
TEST(RestartLinesTest, AnOwnerSumsUpTheWaitingTasksEachSecond) {
  virtual_fleet fleet(TwoWorkers());
  LoseTheOnlyLargeWorker(fleet);
  const std::string log = LogOf(fleet, seconds(3));
  const int lines = Count(log, "\"name\":\"restart_backlog\"");
  EXPECT_GE(lines, 2) << log;
  EXPECT_LE(lines, 3) << log;
  const std::string sums =
      "\"tasks\":\"12\",\"need_millicores\":\"28200\","
      "\"smallest_millicores\":\"1800\"";
  EXPECT_EQ(Count(log, sums), lines) << log;
  EXPECT_EQ(Count(log, "\"reasons\":\"room tasks 12 need_millicores 28200 "),
            lines)
      << log;
}

// Guards against a line on a waiting task that does not name its place.
TEST(RestartLinesTest, NamesThePlaceInTheQueue) {
  virtual_fleet fleet(TwoWorkers());
  LoseTheOnlyLargeWorker(fleet);
  const std::string log = LogOf(fleet, seconds(3));
  EXPECT_GE(Count(log, " place 1 of 12 waited_for room "), 2) << log;
}

// Guards against a task of which no line tells why it waits.
TEST(RestartLinesTest, ListsTheTasksThatNoOtherLineNames) {
  virtual_fleet fleet(TwoWorkers());
  LoseTheOnlyLargeWorker(fleet);
  const std::string log = LogOf(fleet, seconds(3));
  const int lines = Count(log, "\"name\":\"restart_queue\",\"cell\":\"0\"");
  EXPECT_GE(lines, 2) << log;
  EXPECT_EQ(lines, Count(log, "\"name\":\"restart_backlog\"")) << log;
  EXPECT_EQ(Count(log, " of 12 waited_ms "), 2 * lines) << log;
}

// Guards against gauges that are not set while a cell keeps room, or that stay
// when it keeps none any more.
TEST(RestartLinesTest, SetsTheGaugesOfTheKeptRoom) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(4));
  const jobs::job_id job{1};
  fleet.Submit(0, job, "-3000 600000 0 1");
  fleet.Advance(seconds(2));
  const telemetry::gauge& kept =
      fleet.Metrics().Gauge("skylarkbridge_cell_kept_room_millicores", "",
                            {{"cell", "0"}, {"kept_for", "silent_workers"}});
  EXPECT_EQ(kept.Value(), 0);
  fleet.CutOffWorker(fleet.Checker().WorkerOf({.job = job}));
  fleet.Advance(milliseconds(3500));
  EXPECT_EQ(kept.Value(), 3000);
  fleet.Advance(seconds(10));
  EXPECT_EQ(kept.Value(), 0);
}

}  // namespace
}  // namespace skylarkbridge::control
