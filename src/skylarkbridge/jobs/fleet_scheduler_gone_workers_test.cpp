// Tests of what a list of machines shows about silent workers of this owner.
#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

constexpr job_id kJob{1};
constexpr task_ref kTask{.job = kJob};
/// After this time the list of machines no longer has a worker that is gone.
constexpr milliseconds kListingDelay{500};
constexpr milliseconds kListInterval{200};
/// Shorter than any lease.
constexpr milliseconds kSoon{1500};

/// An owner with a long-running task on "gone" and an empty worker "other".
struct gone_worker_driver : scheduler_driver {
  gone_worker_driver() {
    Begin();
    AddWorker("gone", 1000);
    RunRounds();
    Submit(kJob,
           {.count = 1, .need = {.millicores = 800}, .long_running = true});
    RunRounds();
    AddWorker("other", 1000);
    RunRounds();
    // The task is no suspect of a crash.
    Pass(milliseconds(4000));
  }
  /// Hands over a list that was requested now, and runs the scheduler.
  void List(const std::map<std::string, std::string>& workers) {
    scheduler.MachinesListed({.requested_at = now, .workers = workers});
    RunRounds();
  }
  void FallSilent() {
    silent_worker = "gone";
    Pass(milliseconds(1));
    Pass(kListingDelay);
  }
  bool RunsOnOther() const {
    return LastRun(kTask).run > 1 && starts.back().target.worker == "other";
  }
};

// Guards against a task that waits for the lease of a worker that the list of
// machines shows to be gone.
TEST(GoneWorkerTest, TwoListsWithoutASilentWorkerReleaseItsTasks) {
  gone_worker_driver driver;
  driver.FallSilent();
  EXPECT_TRUE(driver.scheduler.NeedsMachineList(driver.now));
  driver.List({{"m1", "other"}});
  EXPECT_FALSE(driver.RunsOnOther());
  driver.Pass(kListInterval);
  driver.List({{"m1", "other"}});
  driver.Pass(milliseconds(100));
  EXPECT_TRUE(driver.RunsOnOther());
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
}

// Guards against a second run of a task: a worker that is cut off from this VM
// runs on, and stays in the list. It also guards against lists that are asked
// for without end.
TEST(GoneWorkerTest, AListedWorkerKeepsItsTasks) {
  gone_worker_driver driver;
  driver.FallSilent();
  driver.List({{"m0", "gone"}, {"m1", "other"}});
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
  for (milliseconds passed{}; passed < kSoon; passed += kListInterval) {
    driver.Pass(kListInterval);
    driver.List({{"m0", ""}, {"m1", "other"}});
  }
  EXPECT_FALSE(driver.RunsOnOther());
}

// Guards against a second run of a task: lists from the time at which the
// worker fell silent may be older than its return.
TEST(GoneWorkerTest, AWorkerThatAnswersAgainKeepsItsTasks) {
  gone_worker_driver driver;
  driver.FallSilent();
  driver.List({{"m1", "other"}});
  driver.silent_worker.clear();
  driver.Pass(kSoon);
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
  driver.List({{"m1", "other"}});
  EXPECT_FALSE(driver.RunsOnOther());
}

// Guards against a task that runs twice: a start without an answer may be
// carried out by a later life of the worker under its id.
TEST(GoneWorkerTest, AWorkerThatMayReceiveALateStartKeepsItsTasks) {
  gone_worker_driver driver;
  driver.DrainWorker("other", 1000);
  driver.unanswering_worker = "gone";
  driver.Submit(job_id{2}, {.count = 1, .need = {.millicores = 100}});
  driver.Pass(milliseconds(100));
  ASSERT_FALSE(driver.unanswered_starts.empty());
  driver.AddWorker("other", 1000);
  driver.FallSilent();
  for (milliseconds passed{}; passed < kSoon; passed += kListInterval) {
    driver.List({{"m1", "other"}});
    driver.Pass(kListInterval);
  }
  EXPECT_FALSE(driver.RunsOnOther());
}

}  // namespace
}  // namespace skylarkbridge::jobs
