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

}  // namespace
}  // namespace skylarkbridge::jobs
