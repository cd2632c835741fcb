// Tests of workers that are silent and have left the list of workers: what
// proves that they have crashed, and that nothing else does.

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/worker_lives_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const task_ref kTask{.job = kJob};
/// Longer than the lease of a worker and the time until it counts as removed.
constexpr seconds kLongSilence{9};

/// An owner whose worker w0 has gone silent shortly after the start of kTask,
/// has left the list and has lost its lease. w1 gets no tasks.
class lost_worker {
 public:
  lost_worker() {
    driver.Join("w0", 4000);
    driver.Submit(kJob, Tasks(1, 600));
    driver.RunRounds();
    EXPECT_EQ(driver.starts.size(), 1U);
    driver.silent_worker = "w0";
    driver.Pass(milliseconds(200));
    driver.scheduler.WorkerUnlisted("w0", driver.now);
    driver.Join("w1", 100);
    for (milliseconds silent{}; silent < kLongSilence;
         silent += milliseconds(500)) {
      driver.Pass(milliseconds(500));
    }
    EXPECT_FALSE(driver.scheduler.Workers().contains("w0"));
    EXPECT_EQ(Crashes(), 1U);
    driver.starts.clear();
    driver.silent_worker.clear();
  }
  std::size_t Crashes() const {
    const task_state* task = driver.scheduler.Jobs().Find(kTask);
    return task == nullptr ? 0 : task->suspected_crashes;
  }
  /// Whether the scheduler has added a note of this kind since the last call.
  bool Noted(scheduling_event event) {
    const std::vector<scheduling_note> notes = driver.scheduler.TakeNotes();
    return std::any_of(
        notes.begin(), notes.end(),
        [event](const scheduling_note& note) { return note.event == event; });
  }
  /// The worker is listed again and reports.
  void Return(worker_start_time life, std::int64_t millicores = 100) {
    driver.List("w0", life, millicores);
    driver.start_times["w0"] = life;
    driver.Pass(milliseconds(100));
  }
  void ListMachines(const std::map<std::string, std::string>& workers) {
    driver.scheduler.MachinesListed(
        {.requested_at = driver.now, .workers = workers});
    driver.Pass(milliseconds(500));
  }

  lives_driver driver;
};

// Guards against jobs that are given up for workers that were only cut off.
TEST(PresumedCrashesTest, AWorkerThatComesBackInTheSameLifeHasNotCrashed) {
  lost_worker day;
  day.Return(kFirstLife);
  EXPECT_TRUE(day.Noted(scheduling_event::kCrashWithdrawn));
  EXPECT_EQ(day.Crashes(), 0U);
}

// Guards against tasks that crash one worker after the other unnoticed.
TEST(PresumedCrashesTest, AnotherLifeOfTheWorkerProvesTheCrash) {
  lost_worker day;
  day.Return(kSecondLife);
  EXPECT_TRUE(day.Noted(scheduling_event::kCrashProved));
  EXPECT_EQ(day.Crashes(), 1U);
}

TEST(PresumedCrashesTest, AnotherWorkerAtItsAddressProvesTheCrash) {
  lost_worker day;
  day.driver.scheduler.WorkerListed(
      {.worker = "w2",
       .service = "service",
       .address = "w0",
       .capacity = {.millicores = 100, .memory_mb = 1000},
       .start_time = kSecondLife},
      day.driver.now);
  day.driver.start_times["w2"] = kSecondLife;
  day.driver.Pass(milliseconds(100));
  EXPECT_TRUE(day.Noted(scheduling_event::kCrashProved));
}

TEST(PresumedCrashesTest, TwoListsOfMachinesWithoutItProveTheCrash) {
  lost_worker day;
  EXPECT_TRUE(day.driver.scheduler.NeedsMachineList(day.driver.now));
  day.ListMachines({{"m1", "w1"}});
  EXPECT_FALSE(day.Noted(scheduling_event::kCrashProved));
  day.ListMachines({{"m1", "w1"}});
  EXPECT_TRUE(day.Noted(scheduling_event::kCrashProved));
  EXPECT_FALSE(day.driver.scheduler.NeedsMachineList(day.driver.now));
}

// Guards against a crash that is counted, and against lists that are read
// without end, while the machine of the worker is up.
TEST(PresumedCrashesTest, AListThatNamesItProvesNothing) {
  lost_worker day;
  day.ListMachines({{"m0", "w0"}, {"m1", "w1"}});
  EXPECT_FALSE(day.driver.scheduler.NeedsMachineList(day.driver.now));
  day.ListMachines({{"m0", "w0"}, {"m1", "w1"}});
  EXPECT_FALSE(day.Noted(scheduling_event::kCrashProved));
}

// Guards against a proof that comes so late that it has another cause.
TEST(PresumedCrashesTest, AProofThatComesTooLateCountsForNothing) {
  lost_worker day;
  for (int pass = 0; pass < 31; ++pass) {
    day.driver.Pass(seconds(1));
  }
  day.Return(kSecondLife);
  EXPECT_FALSE(day.Noted(scheduling_event::kCrashProved));
  EXPECT_EQ(day.Crashes(), 0U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
