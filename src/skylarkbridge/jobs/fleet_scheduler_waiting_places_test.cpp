// A waiting long-running task has a place that it fits as it is, and another
// one takes it.
#include <gtest/gtest.h>

#include <chrono>
#include <cstdint>
#include <string>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

/// The restart that waits longest, and a smaller, newer one.
constexpr job_id kOlderJob{1};
constexpr job_id kNewerJob{2};
/// The run whose move would make room for the older restart.
constexpr job_id kMovableJob{3};
/// Fills its worker beside it.
constexpr job_id kFillingJob{4};
constexpr std::int64_t kOlderNeed = 2000;
constexpr std::int64_t kNewerNeed = 1500;
/// Too large for a move that makes room for the newer restart.
constexpr std::int64_t kMovableNeed = 1600;
constexpr std::int64_t kFillingNeed = 1800;
/// Room for the newer restart or for the movable run.
constexpr std::int64_t kPlace = 1700;
constexpr milliseconds kPassTime{20};

step_spec LongRunning(std::int64_t millicores) {
  return {.count = 1, .need = {.millicores = millicores}, .long_running = true};
}

/// A full worker, and two restarts that wait.
class two_waiting_restarts {
 public:
  two_waiting_restarts() {
    driver.Begin();
    AddWorker("full", 4000);
    Start(kFillingJob, kFillingNeed);
    Start(kMovableJob, kMovableNeed);
    AddWorker("older", kOlderNeed);
    Start(kOlderJob, kOlderNeed);
    AddWorker("newer", kNewerNeed);
    Start(kNewerJob, kNewerNeed);
  }
  void AddWorker(const std::string& id, std::int64_t millicores) {
    driver.AddWorker(id, millicores);
    driver.RunRounds();
  }
  void Start(job_id job, std::int64_t millicores) {
    driver.Submit(job, LongRunning(millicores));
    driver.RunRounds();
  }
  /// Ends the run of the job on its own worker, which drains.
  void EndRun(job_id job, const std::string& worker, std::int64_t need) {
    driver.EndRun(driver.LastRun({.job = job}), run_end::kStopped);
    driver.DrainWorker(worker, need);
    driver.RunRounds();
  }
  void PassFor(milliseconds time) {
    for (milliseconds passed{}; passed < time; passed += kPassTime) {
      driver.Pass(kPassTime);
    }
  }
  std::string WorkerOf(job_id job) const {
    const run_ref last = driver.LastRun({.job = job});
    for (const start_order& start : driver.starts) {
      if (start.run == last && start.target.worker != "over") {
        return start.target.worker;
      }
    }
    return "";
  }

  scheduler_driver driver;
};

// Guards against a smaller restart that goes on waiting because a run is moved
// into the place that it fits, to make room for an older one. The place becomes
// free at each time within the interval of the searches for such a run.
TEST(WaitingPlacesTest, RelocationTakesNoPlaceThatAWaitingTaskFits) {
  const fleet_scheduler_options options;
  constexpr milliseconds kNewerWait{300};
  for (milliseconds offset{}; offset < options.relocation_search_interval;
       offset += kPassTime) {
    SCOPED_TRACE(testing::Message() << "place after the relocation delay and "
                                    << offset.count() << " ms");
    two_waiting_restarts fleet;
    ASSERT_EQ(fleet.WorkerOf(kMovableJob), "full");
    fleet.EndRun(kOlderJob, "older", kOlderNeed);
    fleet.PassFor(options.relocation_delay + offset - kNewerWait);
    fleet.EndRun(kNewerJob, "newer", kNewerNeed);
    fleet.PassFor(kNewerWait);
    ASSERT_EQ(fleet.WorkerOf(kOlderJob), "");
    ASSERT_EQ(fleet.WorkerOf(kNewerJob), "");
    fleet.driver.stops.clear();
    fleet.AddWorker("place", kPlace);
    fleet.driver.Pass(kPassTime);
    EXPECT_EQ(fleet.WorkerOf(kNewerJob), "place");
    EXPECT_TRUE(fleet.driver.stops.empty());
  }
}

}  // namespace
}  // namespace skylarkbridge::jobs
