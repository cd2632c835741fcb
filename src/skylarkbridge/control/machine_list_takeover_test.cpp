// Tests of start orders of an earlier owner that are carried out late, after
// two readings of the list of machines have ended the successor's wait for the
// worker that they were sent to.
#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <string>

#include "absl/strings/str_join.h"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

namespace skylarkbridge::control {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kVms = 3;
constexpr jobs::job_id kJob{0x20};
const jobs::task_ref kTask{.job = kJob};
/// Of kTask, more than most workers have. A worker has 4000.
constexpr char kLargeTask[] = "-6000 600000 0 1";
constexpr std::int64_t kLargeWorker = 8000;
/// From the start order until it is carried out.
constexpr seconds kOrderDelay{11};

/// A fleet whose owner has ordered the start of kTask on "w3" and died. Nobody
/// has answered the order, which is on its way. From now on, "w0" has room for
/// the task as well.
struct late_start_fleet {
  virtual_fleet fleet{{.vms = kVms, .count_unknown_lives_apart = true}};
  /// No later than this.
  time_point start_carried_out_at;

  late_start_fleet() {
    fleet.Advance(seconds(5));
    fleet.SetCapacity("w3", kLargeWorker);
    fleet.Advance(seconds(1));
    fleet.SetLateOrders(
        {.share = 1, .min_delay = kOrderDelay, .max_delay = kOrderDelay});
    fleet.Submit(0, kJob, kLargeTask);
    fleet.Advance(milliseconds(200));
    start_carried_out_at = fleet.Now() + kOrderDelay;
    fleet.SetLateOrders({});
    fleet.KillVm(*fleet.Owner());
    fleet.SetCapacity("w0", kLargeWorker);
  }

  void CutFromAllVms(const std::string& worker, bool cut) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      fleet.CutFromWorker(vm, worker, cut);
    }
  }
  /// Whether the task starts on "w0" before the late start is carried out.
  bool StartsBeforeTheLateStart() {
    while (fleet.Now() < start_carried_out_at - milliseconds(300)) {
      if (fleet.Checker().Running(kTask)) {
        return fleet.Checker().WorkerOf(kTask) == "w0";
      }
      fleet.Advance(milliseconds(10));
    }
    return false;
  }
  void PassTheLateStart() {
    fleet.Advance(
        std::chrono::ceil<milliseconds>(start_carried_out_at - fleet.Now()) +
        seconds(10));
  }
  std::string Violations() const {
    return absl::StrJoin(fleet.Checker().Violations(), "\n");
  }
  std::string ViolationsOfUnknownLives() const {
    return absl::StrJoin(fleet.Checker().ViolationsOfUnknownLives(), "\n");
  }
};

// Guards against a second run of a task by a start that arrives where nobody
// listens any more.
TEST(MachineListTakeoverTest, ALateStartThatReachesNobodyStartsNothing) {
  late_start_fleet tested;
  tested.fleet.DrainWorker("w3", milliseconds(100));
  EXPECT_TRUE(tested.StartsBeforeTheLateStart());
  EXPECT_GE(tested.fleet.MachinePagesServed(), 2);
  tested.PassTheLateStart();
  EXPECT_EQ(tested.fleet.Checker().WorkerOf(kTask), "w0");
  EXPECT_EQ(tested.Violations(), "");
  EXPECT_EQ(tested.ViolationsOfUnknownLives(), "");
}

// Guards against a second run of a task by a start that arrives where another
// worker listens. The owners don't reach that one, so that only the list tells
// that the first one is gone.
TEST(MachineListTakeoverTest, ALateStartThatReachesAnotherWorkerStartsNothing) {
  late_start_fleet tested;
  tested.CutFromAllVms(tested.fleet.ReplaceWorker("w3"), true);
  EXPECT_TRUE(tested.StartsBeforeTheLateStart());
  EXPECT_GE(tested.fleet.MachinePagesServed(), 2);
  tested.PassTheLateStart();
  EXPECT_EQ(tested.fleet.Checker().WorkerOf(kTask), "w0");
  EXPECT_EQ(tested.Violations(), "");
  EXPECT_EQ(tested.ViolationsOfUnknownLives(), "");
}

// Guards against a second run that goes on. The worker comes back under its id
// after the readings, and carries the start out before an owner reaches it,
// which no owner can prevent (docs/decisions/late_orders.md, "What remains").
// The first report of that life ends the run. This shows as well that the start
// is still on its way in the tests above.
TEST(MachineListTakeoverTest, ALateStartOnAWorkerThatComesBackIsStopped) {
  late_start_fleet tested;
  tested.fleet.DrainWorker("w3", milliseconds(100));
  EXPECT_TRUE(tested.StartsBeforeTheLateStart());
  tested.CutFromAllVms("w3", true);
  tested.fleet.StartWorker("w3");
  tested.fleet.Advance(std::chrono::ceil<milliseconds>(
      tested.start_carried_out_at - tested.fleet.Now()));
  EXPECT_FALSE(tested.fleet.Worker("w3").View().running.empty());
  tested.CutFromAllVms("w3", false);
  tested.fleet.Advance(seconds(2));
  EXPECT_TRUE(tested.fleet.Worker("w3").View().running.empty());
  EXPECT_EQ(tested.fleet.Checker().WorkerOf(kTask), "w0");
  EXPECT_EQ(tested.Violations(), "");
}

}  // namespace
}  // namespace skylarkbridge::control
