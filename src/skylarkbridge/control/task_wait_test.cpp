#include "skylarkbridge/control/task_wait_fake.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::task_ref kTask{.job = jobs::job_id{1}};
constexpr milliseconds kInterval{100};
constexpr time_point kStart{seconds(100)};

/// A task that waits from kStart on.
class waiting_task {
 public:
  explicit waiting_task(bool has_run = true, milliseconds unknown_for = {}) {
    waits.Begin({.task = kTask,
                 .has_run = has_run,
                 .since = kStart,
                 .counts_from = kStart + unknown_for});
  }

  void Observe(const wait_view& seen, milliseconds time) {
    for (const time_point end = now + time; now < end;) {
      now += kInterval;
      waits.Observe(kTask, seen, kInterval, now);
    }
  }

  /// The violations so far, if the count ended now.
  std::vector<wait_violation> Violations() const {
    task_waits finished = waits;
    finished.Finish(now);
    return finished.Violations();
  }

  time_point now = kStart;
  task_waits waits;
};

constexpr milliseconds kTooLong = kMaxRestartTime + milliseconds(200);

wait_view Seen(wait_stage stage, bool calm = true, bool room = true) {
  return {.stage = stage, .calm = calm, .room = room, .plan = "plan"};
}

// Guards against a check that finds nothing, and against one that counts a wait
// more than once.
TEST(TaskWaitsTest, ReportsALongWaitOnce) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kRoom), kMaxRestartTime);
  EXPECT_TRUE(task.Violations().empty());
  task.Observe(Seen(wait_stage::kRoom), kMaxRestartTime);
  ASSERT_EQ(task.Violations().size(), 1U);
  EXPECT_EQ(task.Violations()[0].kind, wait_class::kRoomInPieces);
}

// Guards against a lack of room that counts as a failure of the scheduler.
TEST(TaskWaitsTest, ALackOfRoomBeginsTheTimeAnew) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kRoom), kMaxRestartTime);
  task.Observe(Seen(wait_stage::kRoom, true, false), kInterval);
  task.Observe(Seen(wait_stage::kRoom), kMaxRestartTime);
  EXPECT_TRUE(task.Violations().empty());
}

// Guards against a fault that hides the wait before it: only the judgement has
// to wait until the fleet is calm.
TEST(TaskWaitsTest, AWaitThroughAFaultIsReportedOnceTheFleetIsCalm) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kUnstoredEnd, false), kTooLong);
  EXPECT_TRUE(task.Violations().empty());
  task.Observe(Seen(wait_stage::kUnstoredEnd), kInterval);
  ASSERT_EQ(task.Violations().size(), 1U);
  EXPECT_EQ(task.Violations()[0].kind, wait_class::kUnstoredEnd);
}

// Guards against a wait for a lost worker that the owner can't know of.
TEST(TaskWaitsTest, CountsFromWhenTheOwnerCanKnowOfTheWait) {
  waiting_task task(true, seconds(6));
  task.Observe(Seen(wait_stage::kRoom), seconds(12));
  EXPECT_TRUE(task.Violations().empty());
  task.Observe(Seen(wait_stage::kRoom), milliseconds(200));
  EXPECT_EQ(task.Violations().size(), 1U);
}

// Guards against a wait for a worker that has come back and counts as one that
// the owner can't know of.
TEST(TaskWaitsTest, CountsFromTheReturnOfTheWorker) {
  waiting_task task(true, seconds(6));
  task.Observe(Seen(wait_stage::kRoom, true, false), seconds(1));
  task.waits.CountFrom(kTask, task.now);
  task.Observe(Seen(wait_stage::kRoom), kTooLong);
  EXPECT_EQ(task.Violations().size(), 1U);
}

// Guards against an outage that gives its name to a wait for something else.
TEST(TaskWaitsTest, AnOutageNamesNoClass) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kOutage), seconds(5));
  task.Observe(Seen(wait_stage::kRoom), seconds(2));
  ASSERT_EQ(task.Violations().size(), 1U);
  EXPECT_EQ(task.Violations()[0].kind, wait_class::kRoomInPieces);
}

// Guards against a violation that is forgotten when the job is cancelled.
TEST(TaskWaitsTest, ACancelKeepsTheViolation) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kRoom), kTooLong);
  task.waits.Cancelled(kTask.job, task.now);
  EXPECT_FALSE(task.waits.Waits(kTask));
  EXPECT_EQ(task.Violations().size(), 1U);
}

// Guards against a wait of several stages that is named after the last one.
TEST(TaskWaitsTest, NamesTheClassThatTookMostTime) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kUnansweredStart), seconds(2));
  task.Observe(Seen(wait_stage::kLateStart), seconds(2));
  task.Observe(Seen(wait_stage::kRoom), seconds(3));
  ASSERT_EQ(task.Violations().size(), 1U);
  EXPECT_EQ(task.Violations()[0].kind, wait_class::kLateStart);
}

// Guards against a count over those tasks only that did start.
TEST(TaskWaitsTest, CountsTasksThatStillWait) {
  waiting_task task(false);
  task.Observe(Seen(wait_stage::kFirstStart, true, false), kTooLong);
  task.waits.Finish(task.now);
  EXPECT_EQ(task.waits.LongWaits(), 1U);
  EXPECT_EQ(task.waits.Longest(), kTooLong);
}

// Guards against a wait that goes on after the start.
TEST(TaskWaitsTest, AStartEndsTheWait) {
  waiting_task task;
  task.Observe(Seen(wait_stage::kRoom), seconds(3));
  task.waits.Started(kTask, task.now);
  EXPECT_FALSE(task.waits.Waits(kTask));
  task.waits.Finish(task.now + seconds(10));
  EXPECT_EQ(task.waits.LongWaits(), 0U);
  EXPECT_EQ(task.waits.Longest(), seconds(3));
}

// Guards against tasks without a run that take the room of restarts in the
// search for room.
TEST(TaskWaitsTest, RestartsComeBeforeFirstStarts) {
  task_waits waits;
  const jobs::task_ref newer{.job = jobs::job_id{2}};
  const jobs::task_ref older{.job = jobs::job_id{3}};
  waits.Begin({.task = kTask, .since = kStart});
  waits.Begin({.task = newer, .has_run = true, .since = kStart + seconds(2)});
  waits.Begin({.task = older, .has_run = true, .since = kStart + seconds(1)});
  const std::vector<task_wait> order = waits.InOrder();
  ASSERT_EQ(order.size(), 3U);
  EXPECT_EQ(order[0].task, older);
  EXPECT_EQ(order[1].task, newer);
  EXPECT_EQ(order[2].task, kTask);
}

}  // namespace
}  // namespace skylarkbridge::control
