// Tests of gangs: their members start and end together.

#include <gtest/gtest.h>

#include <chrono>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr job_id kGang{1};
constexpr job_id kBatch{2};

task_ref Member(std::uint32_t index, std::uint32_t step = 0) {
  return {.job = kGang, .step = step, .index = index};
}

/// Two workers, each with one member of a gang.
class running_gang {
 public:
  explicit running_gang(bool long_running) {
    driver.Begin();
    driver.AddWorker("w0", 1000);
    driver.AddWorker("w1", 1000);
    driver.RunRounds();
    driver.registry.Apply(
        job_accepted{.job = kGang,
                     .queue = "batch",
                     .spec = {.payload = "p",
                              .steps = {{.count = 2,
                                         .need = {.millicores = 800},
                                         .gang = true,
                                         .long_running = long_running},
                                        {.count = 1,
                                         .need = {.millicores = 100},
                                         .depends_on = {0}}}}},
        driver.now);
    driver.scheduler.JobAccepted(kGang, *driver.registry.Find(kGang), false,
                                 driver.now, driver.wall);
    Pass(milliseconds(200));
    EXPECT_EQ(driver.starts.size(), 2U);
  }
  void EndMember(std::uint32_t index, run_end outcome) {
    driver.EndRun(driver.LastRun(Member(index)), outcome);
  }
  /// Ends the runs that are stopped.
  void Pass(milliseconds time) {
    for (milliseconds passed{}; passed < time; passed += milliseconds(50)) {
      driver.Pass(milliseconds(50));
      for (const stop_order& stop : std::exchange(driver.stops, {})) {
        driver.scheduler.Handle(stop_reply{.worker = stop.target.worker,
                                           .run = stop.run,
                                           .result = order_result::kDone,
                                           .fence = stop.target.fence},
                                driver.now);
        driver.EndRun(stop.run, run_end::kStopped);
      }
    }
  }
  bool Runs(const task_ref& task) const {
    const task_state* state = driver.scheduler.Jobs().Find(task);
    return state != nullptr && state->phase == task_phase::kActive;
  }

  scheduler_driver driver;
};

// Guards against a gang that never completes because one of its members is lost
// after the end of all of them (review/3).
TEST(FleetSchedulerGangsTest, OneEndSaysThatAllMembersAreDone) {
  running_gang day(false);
  day.EndMember(0, run_end::kDone);
  day.driver.silent_worker = "w1";
  day.Pass(milliseconds(500));
  EXPECT_TRUE(day.Runs(Member(0, 1)));
  // The worker of the other member has lost its end.
  day.driver.silent_worker.clear();
  day.EndMember(1, run_end::kStopped);
  day.Pass(milliseconds(500));
  EXPECT_EQ(day.driver.starts.size(), 3U);
}

// Guards against a successor that finds only one member marked as done in a
// record of an earlier version.
TEST(FleetSchedulerGangsTest, AStoredEndSaysThatAllMembersAreDone) {
  running_gang day(false);
  day.driver.registry.Apply(
      job_advanced{
          .job = kGang,
          .progress = {.started = true, .steps = {{.done = {false, true}}}}},
      day.driver.now);
  day.driver.starts.clear();
  day.driver.Begin(3);
  day.driver.AddWorker("w0", 1000);
  day.Pass(milliseconds(500));
  EXPECT_TRUE(day.Runs(Member(0, 1)));
}

// Guards against a gang that fails more often than it may, as each failure is
// reported by another member.
TEST(FleetSchedulerGangsTest, FailuresOfAllMembersCountTogether) {
  running_gang day(false);
  for (std::uint32_t attempt = 0; attempt < 3; ++attempt) {
    ASSERT_TRUE(day.Runs(Member(0))) << attempt;
    day.EndMember(attempt % 2, run_end::kFailed);
    day.EndMember(1 - attempt % 2, run_end::kGangMemberEnded);
    day.Pass(milliseconds(1000));
  }
  EXPECT_EQ(day.driver.scheduler.Jobs().Find(kGang), nullptr);
  EXPECT_EQ(day.driver.starts.size(), 6U);
}

// Guards against members that start from different checkpoints.
TEST(FleetSchedulerGangsTest, AllMembersStartFromTheSameCheckpoint) {
  running_gang day(false);
  const run_ref run = day.driver.LastRun(Member(0));
  day.driver.reported_ends["w0"] = {{.number = 1,
                                     .run = run,
                                     .outcome = run_end::kFailed,
                                     .checkpoint = "c"}};
  day.driver.starts[0].target.worker = "over";
  day.EndMember(1, run_end::kGangMemberEnded);
  day.Pass(milliseconds(1000));
  ASSERT_EQ(day.driver.starts.size(), 4U);
  EXPECT_EQ(day.driver.starts[2].checkpoint, "c");
  EXPECT_EQ(day.driver.starts[3].checkpoint, "c");
}

// Guards against batch work that takes the room of a long-running gang whose
// runs have ended, bit by bit as it comes free (review/5).
TEST(FleetSchedulerGangsTest, ALongRunningGangRestartsBesideBatchWork) {
  running_gang day(true);
  day.driver.Submit(kBatch, {.count = 50, .need = {.millicores = 100}});
  day.Pass(milliseconds(500));
  const std::size_t before = day.driver.starts.size();
  EXPECT_GT(before, 2U);
  day.EndMember(0, run_end::kFailed);
  day.Pass(milliseconds(100));
  day.EndMember(1, run_end::kGangMemberEnded);
  day.Pass(milliseconds(2500));
  EXPECT_TRUE(day.Runs(Member(0)));
  EXPECT_TRUE(day.Runs(Member(1)));
}

}  // namespace
}  // namespace skylarkbridge::jobs
