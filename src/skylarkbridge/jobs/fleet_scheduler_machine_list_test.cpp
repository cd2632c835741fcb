// Tests of what a list of machines shows about workers of earlier owners that
// have not reported.
#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How long the earlier owner may send orders after the takeover.
constexpr seconds kEarlierOwnerTime{4};

/// A successor of an owner that had "w0" and "gone". Only "w0" reports.
struct machine_list_driver : scheduler_driver {
  machine_list_driver() {
    Begin({"gone", "w0"}, kEarlierOwnerTime);
    AddWorker("w0", 1000);
    RunRounds();
  }
  /// Hands over a list that was requested now, and runs the scheduler.
  void List(const std::map<std::string, std::string>& workers) {
    scheduler.MachinesListed({.requested_at = now, .workers = workers});
    RunRounds();
  }
  bool Waits() const { return scheduler.UnreportedWorkers() > 0; }
};

// Guards against a successor that waits for a worker that has left until its
// lease would have ended.
TEST(MachineListReleaseTest, TwoListsWithoutTheWorkerEndTheWait) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  EXPECT_TRUE(driver.scheduler.NeedsMachineList(driver.now));
  driver.List({{"m0", "w0"}});
  EXPECT_TRUE(driver.Waits());
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}});
  EXPECT_FALSE(driver.Waits());
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
}

// Guards against a successor of this owner that waits for the worker again.
TEST(MachineListReleaseTest, TheWorkerIsNotStoredAsLeasedAnyMore) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  EXPECT_TRUE(driver.stored_list.unreported.contains("gone"));
  driver.List({{"m0", "w0"}});
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}});
  EXPECT_EQ(driver.stored_list.workers, std::vector<std::string>{"w0"});
  EXPECT_FALSE(driver.stored_list.unreported.contains("gone"));
}

// Guards against a second run of a task: the earlier owner could still start
// one on a worker that joined after the list was requested.
TEST(MachineListReleaseTest, AListFromBeforeTheLastOrderProvesNothing) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime - milliseconds(1));
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
  driver.List({{"m0", "w0"}});
  driver.Pass(milliseconds(1));
  driver.List({{"m0", "w0"}});
  EXPECT_TRUE(driver.Waits());
}

// Guards against a second run of a task: a worker that is cut off from this VM
// runs on, and stays in the list.
TEST(MachineListReleaseTest, AWorkerInEitherListIsWaitedFor) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  driver.List({{"m0", "w0"}, {"m1", "gone"}});
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}, {"m1", "other"}});
  EXPECT_TRUE(driver.Waits());
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}, {"m1", "gone"}});
  EXPECT_TRUE(driver.Waits());
}

// Guards against a second run of a task: a machine that left between two pages
// hid the one that the worker is on.
TEST(MachineListReleaseTest, AListOfOtherMachinesThanBeforeProvesNothing) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  driver.List({{"m0", "w0"}, {"m1", "leaving"}});
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}});
  EXPECT_TRUE(driver.Waits());
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}});
  EXPECT_FALSE(driver.Waits());
}

// Guards against a second run of a task where the list names workers in another
// way than the list of workers does, or names none: every worker would count as
// gone.
TEST(MachineListReleaseTest, AListWithoutAWorkerThatReportsProvesNothing) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  for (const std::string worker : {"other", "other", "", ""}) {
    driver.List({{"m0", worker}});
    EXPECT_TRUE(driver.Waits());
    driver.Pass(milliseconds(500));
  }
}

// As below, where the other worker has left as well after its report.
TEST(MachineListReleaseTest, AWorkerThatReportedAndLeftMakesNoListOdd) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  driver.silent_worker = "w0";
  driver.Pass(seconds(2));
  driver.List({{"m0", "other"}});
  driver.Pass(milliseconds(500));
  driver.List({{"m0", "other"}});
  EXPECT_FALSE(driver.Waits());
}

// Guards against a wait of 12 s for a cell whose workers have all left, so that
// none can report; its tasks can move to another cell.
TEST(MachineListReleaseTest, AListCountsWhereNoWorkerReports) {
  scheduler_driver driver;
  driver.Begin({"gone"}, kEarlierOwnerTime);
  driver.Pass(kEarlierOwnerTime);
  for (int reading = 0; reading < 2; ++reading) {
    EXPECT_GT(driver.scheduler.UnreportedWorkers(), 0U);
    driver.scheduler.MachinesListed(
        {.requested_at = driver.now, .workers = {{"m0", "other"}}});
    driver.RunRounds();
    driver.Pass(milliseconds(500));
  }
  EXPECT_EQ(driver.scheduler.UnreportedWorkers(), 0U);
}

// Guards against calls to the platform while no worker is waited for, and for
// workers that report at once.
TEST(MachineListReleaseTest, NeedsNoListWithoutUnreportedWorkers) {
  scheduler_driver driver;
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
  driver.Begin({"w0"}, milliseconds(0));
  driver.AddWorker("w0", 1000);
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
  driver.RunRounds();
  driver.Pass(seconds(2));
  EXPECT_FALSE(driver.scheduler.NeedsMachineList(driver.now));
}

// Guards against lists of an earlier ownership that count for a later one.
TEST(MachineListReleaseTest, ForgetsTheListsOfAnEarlierOwnership) {
  machine_list_driver driver;
  driver.Pass(kEarlierOwnerTime);
  driver.List({{"m0", "w0"}});
  driver.scheduler.EndOwnership();
  driver.Begin({"gone", "w0"}, milliseconds(0));
  driver.AddWorker("w0", 1000);
  driver.Pass(seconds(1));
  driver.List({{"m0", "w0"}});
  EXPECT_TRUE(driver.Waits());
}

}  // namespace
}  // namespace skylarkbridge::jobs
