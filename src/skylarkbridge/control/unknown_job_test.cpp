// Directed tests of an owner to which workers report runs of jobs that it does
// not know yet: the acceptance stands in the log of another cell, which it has
// not read since.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr topic kHomeLog{topic_kind::kJobs, 0};
/// How long the successor can't read that log.
constexpr seconds kSilence{6};

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// Jobs whose home is the first cell.
std::vector<jobs::job_id> JobsOfFirstCell(const virtual_fleet& fleet,
                                          std::size_t count) {
  std::vector<jobs::job_id> jobs;
  for (std::uint64_t id = 0x10; jobs.size() < count; ++id) {
    if (&fleet.Control(0).HomeOf(jobs::job_id{id}) == &fleet.Cell(0, 0)) {
      jobs.push_back(jobs::job_id{id});
    }
  }
  return jobs;
}

/// A fleet of two cells. A job whose home is the first one runs in the second,
/// as the first has more long-running work. Its owner, VM 0, is killed after a
/// given time; VM 1 takes over, without having read of the job, and reads of it
/// when kSilence has passed since the kill.
class takeover_without_the_job {
 public:
  takeover_without_the_job() : fleet({.vms = 2, .workers = 8, .cells = 2}) {
    // Both cells belong to VM 0.
    fleet.Advance(seconds(2));
    fleet.KillVm(1);
    fleet.Advance(seconds(6));
    jobs_ = JobsOfFirstCell(fleet, 2);
    fleet.Submit(0, jobs_[0], "-1000 600000 0 1");
    fleet.Advance(seconds(1));
  }

  jobs::job_id Job() const { return jobs_[1]; }
  jobs::task_ref Task(std::uint32_t step = 0) const {
    return {.job = Job(), .step = step};
  }

  /// @param until_kill time from the submission of the job to the kill.
  void Play(const std::string& body, milliseconds until_kill) {
    fleet.StartVm(1);
    fleet.Advance(milliseconds(500));
    ASSERT_EQ(fleet.Owner(1), 0U);
    fleet.SilenceTopic(1, kHomeLog, true);
    // A read that was sent before may still return the next record.
    fleet.Advance(seconds(1));
    fleet.Submit(0, Job(), body);
    fleet.Advance(until_kill);
    ASSERT_NE(fleet.Cell(0, 1).Registry().Find(Job()), nullptr);
    fleet.KillVm(0);
    fleet.Advance(kSilence);
    ASSERT_EQ(fleet.Owner(1), 1U);
    ASSERT_EQ(fleet.Cell(1, 1).Registry().Find(Job()), nullptr);
    fleet.SilenceTopic(1, kHomeLog, false);
  }

  virtual_fleet fleet;

 private:
  std::vector<jobs::job_id> jobs_;
};

// Guards against a task that runs again after its end `done` was acknowledged
// (review/1).
TEST(UnknownJobTest, ATaskThatIsDoneDoesNotRunAgain) {
  takeover_without_the_job day;
  day.Play("500 800 0 1 1 lasting_from=1", milliseconds(600));
  EXPECT_FALSE(day.fleet.Checker().Running(day.Task()));
  day.fleet.Advance(seconds(4));
  EXPECT_TRUE(day.fleet.Checker().Running(day.Task(1)));
  EXPECT_EQ(Violations(day.fleet), "");
}

// Guards against a takeover that stops a task that runs, as its job is not
// known yet: its work was lost.
TEST(UnknownJobTest, ATaskThatRunsGoesOn) {
  takeover_without_the_job day;
  day.Play("500 20000 0 1 1 lasting_from=1", milliseconds(600));
  const std::string worker = day.fleet.Checker().WorkerOf(day.Task());
  EXPECT_NE(worker, "");
  day.fleet.Advance(seconds(8));
  EXPECT_EQ(day.fleet.Checker().WorkerOf(day.Task()), worker);
  day.fleet.Advance(seconds(10));
  EXPECT_TRUE(day.fleet.Checker().Running(day.Task(1)));
  EXPECT_EQ(Violations(day.fleet), "");
}

// Guards against a run of a cancelled job that goes on because its owner read
// of the job only after the cancellation.
TEST(UnknownJobTest, ARunOfACancelledJobStopsOnceTheJobIsKnown) {
  takeover_without_the_job day;
  day.Play("500 60000 0 1 1 lasting_from=1", milliseconds(600));
  day.fleet.Send(1, caller_method::kCancel, day.Job());
  day.fleet.Advance(seconds(4));
  EXPECT_FALSE(day.fleet.Checker().Running(day.Task()));
  EXPECT_EQ(Violations(day.fleet), "");
}

}  // namespace
}  // namespace skylarkbridge::control
