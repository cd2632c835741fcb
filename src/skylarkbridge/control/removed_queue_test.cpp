// Directed tests of accepted jobs whose queue a later configuration removes:
// they go on with the settings that the queue had when they were accepted.

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/restart_invariant_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::job_id kJob{0xabc};
constexpr jobs::task_ref kTask{.job = kJob};
constexpr std::uint64_t kVersionWithout = 4;
constexpr std::uint64_t kVersionWith = 9;

std::string Violations(const virtual_fleet& fleet) {
  return absl::StrJoin(fleet.Checker().Violations(), "\n");
}

/// A fleet whose configuration has lost the queue of kJob, which runs.
std::unique_ptr<virtual_fleet> FleetWithoutQueueOf(const std::string& body) {
  auto fleet =
      std::make_unique<virtual_fleet>(virtual_fleet::options{.vms = 2});
  fleet->Advance(kCalmTime + seconds(1));
  fleet->Submit(0, kJob, body);
  fleet->Advance(milliseconds(500));
  EXPECT_TRUE(fleet->Checker().Running(kTask));
  fleet->PublishWithoutQueue(kVersionWithout, "batch");
  fleet->Advance(seconds(1));
  EXPECT_EQ(fleet->Control(0).ConfigurationVersion(), kVersionWithout);
  return fleet;
}

/// Asks for the state of the job once its queue is back.
void ExpectState(virtual_fleet& fleet, jobs::reported_state expected) {
  fleet.PublishConfiguration(kVersionWith);
  fleet.Advance(seconds(1));
  const std::uint64_t query = fleet.Send(1, caller_method::kQuery, kJob);
  fleet.Advance(seconds(1));
  ASSERT_NE(fleet.AnswerTo(query), nullptr);
  EXPECT_EQ(fleet.AnswerTo(query)->state, expected);
  EXPECT_EQ(Violations(fleet), "");
}

// Guards against a job that fails with the first of its attempts (review/4).
TEST(RemovedQueueTest, AFailedRunIsRepeated) {
  auto fleet = FleetWithoutQueueOf("500 3000 1 1");
  fleet->Advance(seconds(8));
  EXPECT_TRUE(fleet->Checker().Done(kJob));
  ExpectState(*fleet, jobs::reported_state::kCompleted);
}

// Guards against a job that is repeated without end.
TEST(RemovedQueueTest, TheLastAttemptFailsTheJob) {
  auto fleet = FleetWithoutQueueOf("500 1500 9 1");
  fleet->Advance(seconds(8));
  ExpectState(*fleet, jobs::reported_state::kFailed);
}

// Guards against steps that wait until the queue is back.
TEST(RemovedQueueTest, TheNextStepStarts) {
  auto fleet = FleetWithoutQueueOf("500 3000 0 1 1");
  fleet->Advance(seconds(3));
  EXPECT_TRUE(fleet->Checker().Running({.job = kJob, .step = 1}));
  fleet->Advance(seconds(4));
  ExpectState(*fleet, jobs::reported_state::kCompleted);
}

// Guards against long-running tasks that wait until the queue is back.
TEST(RemovedQueueTest, ALongRunningTaskRestarts) {
  auto fleet = FleetWithoutQueueOf("-500 600000 0 1");
  fleet->FailRun(kTask);
  fleet->Advance(kMaxRestartTime);
  EXPECT_TRUE(fleet->Checker().Running(kTask));
  ExpectState(*fleet, jobs::reported_state::kRunning);
}

// Guards against the same with VMs that have never read a configuration with
// the queue.
TEST(RemovedQueueTest, VmsThatStartLaterGoOnWithTheJob) {
  auto fleet = FleetWithoutQueueOf("500 4000 1 1 1");
  for (const std::size_t vm : {0U, 1U}) {
    fleet->KillVm(vm);
    fleet->StartVm(vm);
  }
  fleet->Advance(seconds(28));
  EXPECT_TRUE(fleet->Checker().Done(kJob));
  ExpectState(*fleet, jobs::reported_state::kCompleted);
}

}  // namespace
}  // namespace skylarkbridge::control
