#include "skylarkbridge/daemon/control_state.hpp"

#include <gtest/gtest.h>

#include <map>

#include "skylarkbridge/daemon/virtual_vm_fake.hpp"

namespace skylarkbridge::daemon {
namespace {

using std::chrono::seconds;
using result = entry::submit_answer::result;

result Told(const reply_to<entry::submit_answer>& reply) {
  const auto answer = reply->Wait(boot_clock::now());
  return answer ? answer->outcome : result::kUnknown;
}

/// Succeeded runs by task; a task with two of them ran twice.
std::map<task_id, int> Successes(virtual_vm& vm) {
  std::map<task_id, int> successes;
  for (const standin::task_run& run : vm.Runs()) {
    successes[run.task] +=
        run.result == coordination::attempt_end::kSucceeded ? 1 : 0;
  }
  return successes;
}

void ExpectEachOnce(virtual_vm& vm, std::size_t tasks) {
  const std::map<task_id, int> successes = Successes(vm);
  EXPECT_EQ(successes.size(), tasks);
  for (const auto& [task, count] : successes) {
    EXPECT_EQ(count, 1) << task;
  }
  EXPECT_EQ(vm.Open(), 0u);
}

TEST(ControlStateTest, RunsEachAcceptedTaskOnce) {
  virtual_vm vm(4, 2);
  std::vector<reply_to<entry::submit_answer>> replies;
  replies.reserve(20);
  for (int i = 0; i < 20; ++i) {
    replies.push_back(vm.Submit("kind-0"));
  }
  vm.Run(seconds(60));
  for (const auto& reply : replies) {
    EXPECT_EQ(Told(reply), result::kAccepted);
  }
  ExpectEachOnce(vm, 20);
}

// While the log is down a new task must be refused as not-run, and accepted
// ones must end; what they have to write waits.
TEST(ControlStateTest, LogOutageRefusesNewTasksOnly) {
  virtual_vm vm(4, 2);
  const auto accepted = vm.Submit("kind-0");
  vm.Run(seconds(1));
  vm.log_up = false;
  vm.Run(seconds(10));
  const auto refused = vm.Submit("kind-0");
  vm.Run(seconds(10));
  EXPECT_EQ(Told(accepted), result::kAccepted);
  EXPECT_EQ(Told(refused), result::kNotRun);
  EXPECT_EQ(vm.Open(), 1u);
  vm.log_up = true;
  vm.Run(seconds(30));
  ExpectEachOnce(vm, 1);
}

// A record whose reply was lost must not be written or run a second time.
TEST(ControlStateTest, LostReplyAcceptsOnce) {
  virtual_vm vm(4, 2);
  vm.lost_replies = 1;
  const auto reply = vm.Submit("kind-1");
  vm.Run(seconds(30));
  EXPECT_EQ(Told(reply), result::kAccepted);
  ExpectEachOnce(vm, 1);
}

// A start claim that the log refuses must not leave its task waiting for ever.
TEST(ControlStateTest, RefusedStartClaimIsTriedAgain) {
  declaration::configuration declared = DeclareTeams(1);
  declared.batch_kinds[0].idempotent = false;
  virtual_vm vm(1, declared);
  // More than the worker runs at a time, so that claims fall into the outage.
  for (int i = 0; i < 100; ++i) {
    vm.Submit("kind-0");
  }
  vm.Run(seconds(3));
  vm.log_up = false;
  vm.Run(seconds(20));
  vm.log_up = true;
  vm.Run(seconds(120));
  ExpectEachOnce(vm, 100);
}

// A task that fits no worker must be refused at submission with the reason.
TEST(ControlStateTest, RefusesTaskThatNeverFits) {
  declaration::configuration declared = DeclareTeams(1);
  declared.batch_kinds[0].size.accelerators = 1;
  virtual_vm vm(2, declared);
  const auto answer = vm.Submit("kind-0")->Wait(boot_clock::now());
  ASSERT_TRUE(answer);
  EXPECT_EQ(answer->outcome, result::kNotRun);
  EXPECT_EQ(answer->code, "never_fits");
}

}  // namespace
}  // namespace skylarkbridge::daemon
