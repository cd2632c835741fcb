// Tests of the lines that VMs log of jobs. In a play of issue 67's day 318,000
// of 430,000 lines told of jobs that 35 VMs only read of.

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0xabc};

/// Captures what is logged until Take.
class captured_log {
 public:
  captured_log() { testing::internal::CaptureStdout(); }
  captured_log(const captured_log&) = delete;
  captured_log& operator=(const captured_log&) = delete;
  ~captured_log() {
    if (!taken_) {
      testing::internal::GetCapturedStdout();
    }
  }
  std::string Take() {
    taken_ = true;
    return testing::internal::GetCapturedStdout();
  }

 private:
  bool taken_ = false;
};

/// Number of lines of an event that concern the job.
int Lines(const std::string& log, std::string_view event, jobs::job_id job) {
  const std::string text = absl::StrCat("\"name\":\"", std::string(event),
                                        "\",\"job\":\"", jobs::Format(job));
  int lines = 0;
  for (std::size_t at = log.find(text); at != std::string::npos;
       at = log.find(text, at + 1)) {
    ++lines;
  }
  return lines;
}

TEST(JobLinesTest, OnlyTheOwnerLogsAJob) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(2));
  ASSERT_TRUE(fleet.Owner());
  captured_log captured;
  fleet.Submit(0, kJob, "500 300 0 1");
  fleet.Advance(seconds(2));
  const std::string log = captured.Take();
  EXPECT_TRUE(fleet.Checker().Done(kJob));
  EXPECT_EQ(Lines(log, "job_known", kJob), 1) << log;
  EXPECT_EQ(Lines(log, "job_ended", kJob), 1) << log;
}

// The cancellation is stored in the log of the job's home cell.
TEST(JobLinesTest, TheOwnerThatRunsACancelledJobLogsItsEnd) {
  virtual_fleet fleet({.vms = 3, .workers = 6, .cells = 3});
  fleet.Advance(seconds(2));
  captured_log captured;
  for (std::uint64_t id = 1; id <= 6; ++id) {
    fleet.Submit(id % 3, jobs::job_id{id}, "-1000 900 0 1");
    fleet.Advance(milliseconds(300));
  }
  for (std::uint64_t id = 1; id <= 6; ++id) {
    fleet.Send(id % 3, caller_method::kCancel, jobs::job_id{id});
  }
  fleet.Advance(seconds(2));
  const std::string log = captured.Take();
  for (std::uint64_t id = 1; id <= 6; ++id) {
    EXPECT_EQ(Lines(log, "job_known", jobs::job_id{id}), 1) << id;
    EXPECT_EQ(Lines(log, "job_ended", jobs::job_id{id}), 1) << id;
  }
}

// Guards against VMs that log all jobs of their snapshots when they restart.
TEST(JobLinesTest, ARestartLogsNoKnownJobAgain) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(2));
  fleet.Submit(0, kJob, "500 300 0 1");
  fleet.Advance(seconds(2));
  fleet.TrimStore();
  captured_log captured;
  for (std::size_t vm = 0; vm < 3; ++vm) {
    fleet.KillVm(vm);
    fleet.StartVm(vm);
  }
  fleet.Advance(seconds(6));
  const std::string log = captured.Take();
  EXPECT_TRUE(fleet.Owner());
  EXPECT_EQ(Lines(log, "job_known", kJob), 0) << log;
  EXPECT_EQ(Lines(log, "job_ended", kJob), 0) << log;
}

// Guards against an owner that logs ended jobs again when it reads a snapshot,
// because the history that it needed was gone.
TEST(JobLinesTest, AnOwnerLogsNoEndTwice) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(2));
  ASSERT_TRUE(fleet.Owner());
  fleet.Submit(0, kJob, "500 300 0 1");
  fleet.Advance(seconds(2));
  captured_log captured;
  const std::size_t owner = *fleet.Owner();
  fleet.CutFromStore(owner, true);
  // The read that is under way may still return a record.
  fleet.Advance(milliseconds(900));
  fleet.Submit((owner + 1) % 3, jobs::job_id{0xdef}, "500 300 0 1");
  fleet.Advance(milliseconds(100));
  fleet.TrimStore();
  fleet.CutFromStore(owner, false);
  fleet.Advance(seconds(4));
  const std::string log = captured.Take();
  EXPECT_EQ(fleet.Owner(), owner);
  EXPECT_NE(log.find("\"snapshot_read\""), std::string::npos);
  EXPECT_EQ(Lines(log, "job_ended", kJob), 0) << log;
}

// The line on its state is what tells why an owner is behind.
TEST(JobLinesTest, AnOwnerLogsItsStateEachSecond) {
  virtual_fleet fleet({});
  fleet.Advance(seconds(3));
  ASSERT_TRUE(fleet.Owner());
  captured_log captured;
  fleet.Advance(seconds(5));
  const std::string log = captured.Take();
  int lines = 0;
  for (std::size_t at = log.find("\"owner_state\""); at != std::string::npos;
       at = log.find("\"owner_state\"", at + 1)) {
    ++lines;
  }
  EXPECT_GE(lines, 4);
  EXPECT_LE(lines, 5);
}

}  // namespace
}  // namespace skylarkbridge::control
