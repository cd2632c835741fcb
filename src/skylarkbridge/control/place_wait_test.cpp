#include "skylarkbridge/control/place_wait_fake.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr jobs::task_ref kTask{.job = jobs::job_id{1}};
constexpr jobs::task_ref kSibling{.job = jobs::job_id{1}, .index = 1};
constexpr milliseconds kInterval{100};
constexpr milliseconds kTooLong = kMaxPlaceWait + milliseconds(300);
constexpr time_point kStart{seconds(100)};

/// A task that waits.
class waiting_beside_places {
 public:
  void Observe(const place_view& seen, milliseconds time) {
    for (const time_point end = now + time; now < end;) {
      now += kInterval;
      waits.Observe(kTask, seen, now, [this] {
        ++described;
        return std::string("text");
      });
    }
  }
  /// The violations so far, if the count ended now.
  std::vector<std::string> Violations() const {
    place_waits finished = waits;
    finished.Finish(now);
    return finished.Violations();
  }

  time_point now = kStart;
  place_waits waits;
  int described = 0;
};

constexpr place_view kPlace{.calm = true, .fits = true};
constexpr place_view kNoPlace{.calm = true};
constexpr place_view kPlaceInFault{.fits = true};

// Guards against a check that finds nothing, and against one that counts a wait
// more than once.
TEST(PlaceWaitsTest, ReportsALongWaitOnce) {
  waiting_beside_places task;
  task.Observe(kPlace, kMaxPlaceWait);
  EXPECT_TRUE(task.Violations().empty());
  task.Observe(kPlace, 2 * kMaxPlaceWait);
  ASSERT_EQ(task.Violations().size(), 1U);
  EXPECT_NE(task.Violations()[0].find("text"), std::string::npos);
  EXPECT_EQ(task.described, 1);
}

// Guards against places that other tasks get in turn and that count as one.
TEST(PlaceWaitsTest, ATimeWithoutAPlaceBeginsTheCountAnew) {
  waiting_beside_places task;
  task.Observe(kPlace, kMaxPlaceWait);
  task.Observe(kNoPlace, kInterval);
  task.Observe(kPlace, kMaxPlaceWait);
  EXPECT_TRUE(task.Violations().empty());
}

// Guards against a time in which the scheduler could not act and that counts.
TEST(PlaceWaitsTest, CountsCalmTimeOnly) {
  waiting_beside_places task;
  task.Observe(kPlaceInFault, 2 * kTooLong);
  task.Observe(kPlace, kMaxPlaceWait);
  EXPECT_TRUE(task.Violations().empty());
  task.Observe(kPlace, milliseconds(200));
  EXPECT_EQ(task.Violations().size(), 1U);
}

// Guards against a wait for a lost worker that the owner can't know of.
TEST(PlaceWaitsTest, CountsFromWhenTheOwnerCanKnowOfTheWait) {
  waiting_beside_places task;
  const place_view unknown{
      .calm = true, .fits = true, .counts_from = kStart + seconds(6)};
  task.Observe(unknown, seconds(6) + kMaxPlaceWait);
  EXPECT_TRUE(task.Violations().empty());
  task.Observe(unknown, kInterval);
  EXPECT_EQ(task.Violations().size(), 1U);
}

// Guards against a violation that is forgotten when the task starts or its job
// is cancelled, and against a wait that goes on after that.
TEST(PlaceWaitsTest, AStartAndACancelKeepTheViolation) {
  waiting_beside_places started;
  started.Observe(kPlace, kTooLong);
  started.waits.Ended(kTask, started.now);
  EXPECT_EQ(started.waits.Violations().size(), 1U);
  started.Observe(kPlace, kMaxPlaceWait);
  EXPECT_EQ(started.Violations().size(), 1U);
  waiting_beside_places cancelled;
  cancelled.Observe(kPlace, kTooLong);
  cancelled.waits.Cancelled(kTask.job, cancelled.now);
  EXPECT_EQ(cancelled.waits.Violations().size(), 1U);
  EXPECT_EQ(cancelled.waits.Longest(), kTooLong - kInterval);
}

sized_task Task(std::int64_t millicores, std::uint32_t max_per_worker = 0) {
  return {.task = kTask,
          .need = {.millicores = millicores},
          .max_per_worker = max_per_worker};
}

/// Places in two cells with 500, 1500 and 1000 millicores. A task of the job
/// runs on the second one.
std::vector<worker_place> Places() {
  return {
      {.worker = {.worker = "w0", .room = {.millicores = 500}}},
      {.cell = 1,
       .worker = {.worker = "w1",
                  .room = {.millicores = 1500},
                  .tasks = {{.task = kSibling}}}},
      {.cell = 1, .worker = {.worker = "w2", .room = {.millicores = 1000}}}};
}

// Guards against a search that passes over the workers of some cell.
TEST(PlaceWaitsTest, FindsThePlaceWithMostRoomInAllCells) {
  const std::vector<worker_place> places = Places();
  const worker_place* const place = FindPlace(Task(400), places);
  ASSERT_NE(place, nullptr);
  EXPECT_EQ(place->worker.worker, "w1");
  EXPECT_EQ(place->cell, 1U);
  EXPECT_EQ(FindPlace(Task(1600), places), nullptr);
}

// Guards against a worker that counts as a place although it runs as many tasks
// of the step as it may.
TEST(PlaceWaitsTest, KeepsToTheLimitOfTasksOnAWorker) {
  const std::vector<worker_place> places = Places();
  const worker_place* const place = FindPlace(Task(1000, 1), places);
  ASSERT_NE(place, nullptr);
  EXPECT_EQ(place->worker.worker, "w2");
  EXPECT_EQ(FindPlace(Task(1200, 1), places), nullptr);
}

}  // namespace
}  // namespace skylarkbridge::control
