#include "skylarkbridge/jobs/restart_backlog.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A queue of tasks with these needs, each of which has waited for a second
/// less than the one before it.
std::vector<queued_restart> Queue(const std::vector<std::int64_t>& needs) {
  std::vector<queued_restart> queue;
  for (const std::int64_t need : needs) {
    const std::size_t place = queue.size() + 1;
    queue.push_back({.run = {.task = {.job = job_id{place}}, .run = 1},
                     .place = {.place = place, .tasks = needs.size()},
                     .need_millicores = need,
                     .waited = seconds(needs.size() - place + 1)});
  }
  return queue;
}

// Guards against a task that is reported twice, as both old and small, while
// another one is left out for it.
TEST(RestartBacklogTest, ChoosesTheSmallestAmongTheOthers) {
  EXPECT_EQ(ChooseRestartsToReport(Queue({100, 200, 900, 400, 300, 800}),
                                   milliseconds(1000), 2),
            (std::set<std::size_t>{1, 2, 4, 5}));
}

// Guards against reports on tasks whose wait is still short.
TEST(RestartBacklogTest, ChoosesNoTaskThatHasJustBegunToWait) {
  EXPECT_EQ(
      ChooseRestartsToReport(Queue({900, 800, 100}), milliseconds(1500), 5),
      (std::set<std::size_t>{1, 2}));
}

// Guards against a task that has never run, and therefore stands behind all
// others, whose long wait is not reported.
TEST(RestartBacklogTest, ChoosesTheOldestWhateverItsPlace) {
  std::vector<queued_restart> queue = Queue({100, 200, 300, 400});
  queue.back().waited = seconds(60);
  EXPECT_EQ(ChooseRestartsToReport(queue, milliseconds(1000), 1),
            (std::set<std::size_t>{1, 4}));
}

// Guards against a sum that mixes the tasks which no room would help with
// those that wait for room.
TEST(RestartBacklogTest, SumsUpByReason) {
  std::vector<queued_restart> queue = Queue({900, 500, 700, 600});
  queue[0].obstacle = restart_obstacle::kRoom;
  queue[1].obstacle = restart_obstacle::kUnstoredEnd;
  queue[2].obstacle = restart_obstacle::kRoom;
  queue[3].obstacle = restart_obstacle::kRoom;
  const restart_backlog backlog = SummarizeRestarts(queue);
  EXPECT_EQ(backlog.all.tasks, 4U);
  EXPECT_EQ(backlog.all.need_millicores, 2700);
  EXPECT_EQ(backlog.all.smallest_need_millicores, 500);
  ASSERT_EQ(backlog.by_obstacle.size(), 2U);
  const restart_group& room = backlog.by_obstacle.at(restart_obstacle::kRoom);
  EXPECT_EQ(room.tasks, 3U);
  EXPECT_EQ(room.need_millicores, 2200);
  EXPECT_EQ(room.smallest_need_millicores, 600);
  EXPECT_EQ(room.longest_wait, seconds(4));
  const restart_group& end =
      backlog.by_obstacle.at(restart_obstacle::kUnstoredEnd);
  EXPECT_EQ(end.tasks, 1U);
  EXPECT_EQ(end.longest_wait, seconds(3));
}

// Guards against a task that no part of a long list contains, because others
// leave the queue before it between two parts.
TEST(RestartBacklogTest, ListsEachTaskInTurn) {
  std::vector<queued_restart> queue =
      Queue(std::vector<std::int64_t>(50, 1000));
  std::set<task_ref> listed;
  task_ref last;
  for (int part = 0; part < 3; ++part) {
    for (const queued_restart& restart : NextRestartsToList(queue, last, 20)) {
      EXPECT_TRUE(listed.insert(restart.run.task).second || part == 2);
      last = restart.run.task;
    }
    queue.erase(queue.begin(), queue.begin() + 5);
  }
  EXPECT_EQ(listed.size(), 50U);
}

TEST(RestartBacklogTest, ListsAllTasksOfAShortQueueEachTime) {
  const std::vector<queued_restart> queue = Queue({900, 800, 100});
  EXPECT_EQ(NextRestartsToList(queue, queue[1].run.task, 20).size(), 3U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
