// Directed tests of jobs whose records are deleted some time after their end,
// where one cell is the home of a job and another one runs it.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::seconds;

constexpr topic kHomeLog{topic_kind::kJobs, 0};
constexpr topic kRunningLog{topic_kind::kJobs, 1};
/// Longer than control_options::ended_job_retention.
constexpr seconds kRetention{155};

/// A job whose home is the first of two cells.
jobs::job_id JobOfFirstCell(const virtual_fleet& fleet, std::uint64_t from) {
  std::uint64_t id = from;
  while (&fleet.Control(0).HomeOf(jobs::job_id{id}) != &fleet.Cell(0, 0)) {
    ++id;
  }
  return jobs::job_id{id};
}

std::string ProgressKey(jobs::job_id job) {
  return records::Encode(jobs::job_advanced{.job = job}).key;
}

// Guards against a job that runs again after its end: the cell that ran it
// deleted its progress before its home cell, whose owner had started later,
// deleted its acceptance. A VM that started in between took the job for open.
TEST(DroppedJobTest, AJobIsNotRunAgainWhileItsHomeCellKeepsIt) {
  virtual_fleet fleet({.vms = 3, .workers = 8, .cells = 2});
  fleet.Advance(seconds(2));
  fleet.KillVm(1);
  fleet.KillVm(2);
  fleet.Advance(seconds(6));
  const jobs::job_id lasting = JobOfFirstCell(fleet, 0x10);
  fleet.Submit(0, lasting, "-1000 600000 0 1");
  fleet.Advance(seconds(1));
  const jobs::job_id job = JobOfFirstCell(fleet, lasting.value + 1);
  // All its attempts fail.
  fleet.Submit(0, job, "500 300 9 1 1 lasting_from=1");
  fleet.Advance(seconds(5));
  ASSERT_TRUE(fleet.Store().Contains(kRunningLog, ProgressKey(job)));
  fleet.Advance(seconds(100));
  // VM 1 learns of the end 100 s later than VM 0 and keeps the job for longer.
  for (int attempt = 0; fleet.Owner(0) != 1U; ++attempt) {
    ASSERT_LT(attempt, 5);
    fleet.StartVm(1);
    fleet.Advance(seconds(8));
    if (fleet.Owner(0) != 1U) {
      fleet.KillVm(1);
      fleet.Advance(seconds(8));
    }
  }
  ASSERT_EQ(fleet.Owner(1), 0U);
  fleet.Advance(kRetention - seconds(100));
  ASSERT_TRUE(fleet.Store().Contains(kHomeLog, records::AcceptedKey(job)));
  EXPECT_TRUE(fleet.Store().Contains(kRunningLog, ProgressKey(job)));
  fleet.StartVm(2);
  fleet.Advance(seconds(4));
  fleet.KillVm(0);
  fleet.KillVm(1);
  fleet.Advance(seconds(15));
  EXPECT_EQ(absl::StrJoin(fleet.Checker().Violations(), "\n"), "");
  // Both records are deleted in the end.
  fleet.Advance(kRetention + seconds(10));
  EXPECT_FALSE(fleet.Store().Contains(kHomeLog, records::AcceptedKey(job)));
  EXPECT_FALSE(fleet.Store().Contains(kRunningLog, ProgressKey(job)));
}

}  // namespace
}  // namespace skylarkbridge::control
