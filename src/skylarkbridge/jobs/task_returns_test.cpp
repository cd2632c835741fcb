#include "skylarkbridge/jobs/task_returns.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::seconds;

constexpr time_point kNow{seconds(100)};
const returned_task kReturned{.task = {.job = job_id{1}, .index = 2},
                              .first_run = 5,
                              .next_run = 7};

job_state StateWithDelegation(run_number first_run) {
  return {.progress = {
              .steps = {{.delegations = {{2, {.first_run = first_run}}}}}}};
}

// Guards against a return that is dropped while the other cell's log was read
// only up to a time before the delegation.
TEST(TaskReturnsTest, IsSettledOnlyByALaterDelegationOrTheEndOfTheJob) {
  job_state open;
  EXPECT_FALSE(IsSettled(kReturned, &open));
  for (const run_number earlier : {4U, 5U}) {
    const job_state state = StateWithDelegation(earlier);
    EXPECT_FALSE(IsSettled(kReturned, &state));
  }
  const job_state later = StateWithDelegation(7);
  EXPECT_TRUE(IsSettled(kReturned, &later));
  open.cancelled = true;
  EXPECT_TRUE(IsSettled(kReturned, &open));
  EXPECT_TRUE(IsSettled(kReturned, nullptr));
}

// Guards against a successor that has not read the later delegation yet and
// finds no return.
TEST(TaskReturnsTest, KeepsSettledEntriesForAWhile) {
  task_returns returns;
  returns.Begin({.claim_epoch = 1, .tasks = {kReturned}});
  EXPECT_FALSE(returns.HasChanges());
  returns.Settle(kReturned, kNow);
  returns.Settle(kReturned, kNow + seconds(59));
  EXPECT_EQ(returns.Tasks(), std::vector<returned_task>{kReturned});
  returns.Settle(kReturned, kNow + seconds(60));
  EXPECT_TRUE(returns.Tasks().empty());
  EXPECT_TRUE(returns.TakeChanges());
  EXPECT_FALSE(returns.TakeChanges());
}

// Guards against a return that is dropped because its job was not known for a
// while: the task was never started again.
TEST(TaskReturnsTest, CountsTheRetentionFromTheLastTimeItWasNotSettled) {
  task_returns returns;
  returns.Begin({.claim_epoch = 1, .tasks = {kReturned}});
  returns.Settle(kReturned, kNow);
  returns.Unsettle(kReturned);
  returns.Settle(kReturned, kNow + seconds(60));
  EXPECT_EQ(returns.Tasks(), std::vector<returned_task>{kReturned});
  returns.Settle(kReturned, kNow + seconds(120));
  EXPECT_TRUE(returns.Tasks().empty());
}

// Guards against an entry that is dropped because an earlier one of its task is
// settled.
TEST(TaskReturnsTest, SettlesOnlyTheSameReturn) {
  task_returns returns;
  returned_task newer = kReturned;
  newer.first_run = 9;
  newer.next_run = 11;
  returns.Add(kReturned);
  returns.Add(newer);
  returns.Settle(kReturned, kNow);
  returns.Settle(kReturned, kNow + seconds(100));
  EXPECT_EQ(returns.Tasks(), std::vector<returned_task>{newer});
}

// Guards against a record without bound.
TEST(TaskReturnsTest, IsFullAtTheBound) {
  task_returns returns;
  for (std::uint32_t index = 0; index < kMaxReturnedTasks; ++index) {
    EXPECT_FALSE(returns.Full());
    returns.Add({.task = {.job = job_id{1}, .index = index}});
  }
  EXPECT_TRUE(returns.Full());
}

}  // namespace
}  // namespace skylarkbridge::jobs
