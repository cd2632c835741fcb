#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{1};

// Guards against starvation of a long-running task that has to restart: smaller
// tasks used to take all room that became free, so that it waited 24 s.
TEST(FleetSchedulerTest, ReservesRoomForTheRestartOfALongRunningTask) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  const job_id long_running_job{7};
  driver.Submit(
      long_running_job,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.Submit(kJob, {.count = 20, .need = {.millicores = 1000}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.reported_ends["w0"] = {
      {.number = 1, .run = driver.starts[0].run, .outcome = run_end::kFailed}};
  driver.starts[0].target.worker = "over";
  for (int round = 0; round < 5; ++round) {
    driver.now += milliseconds(20);
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  }
  ASSERT_GE(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[2].run.task.job, long_running_job);
}

// Guards against starvation of a long-running task that has to restart when no
// worker has enough room at once: room that becomes free on one worker has to
// be reserved until it suffices.
TEST(FleetSchedulerTest, AccumulatesRoomForALongRunningTask) {
  scheduler_driver driver;
  const job_id long_running_job{7};
  driver.registry.Apply(
      job_accepted{.job = long_running_job,
                   .queue = "batch",
                   .spec = {.steps = {{.count = 1,
                                       .need = {.millicores = 3000},
                                       .long_running = true}}}},
      driver.now);
  driver.registry.Apply(
      job_advanced{.job = long_running_job, .progress = {.started = true}},
      driver.now);
  driver.Begin({"gone"});
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 20, .need = {.millicores = 1000}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 4U);
  const auto pass = [&driver](milliseconds time) {
    driver.now += time;
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  };
  // Waits until the lease of the earlier owner's worker has expired.
  for (int second = 0; second < 7; ++second) {
    pass(seconds(1));
  }
  for (std::size_t ended = 0; ended < 3; ++ended) {
    driver.reported_ends["w0"].push_back({.number = ended + 1,
                                          .run = driver.starts[ended].run,
                                          .outcome = run_end::kDone});
    driver.starts[ended].target.worker = "over";
    pass(milliseconds(100));
  }
  pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 5U);
  EXPECT_EQ(driver.starts[4].run.task.job, long_running_job);
}

// Guards against a long-running task that does not restart because the
// reservation moves: whenever another worker had more room in one pass, the
// room accumulated so far was released.
TEST(FleetSchedulerTest, AccumulatesRoomOnOneWorker) {
  scheduler_driver driver;
  const job_id long_running_job{7};
  driver.registry.Apply(
      job_accepted{.job = long_running_job,
                   .queue = "batch",
                   .spec = {.steps = {{.count = 1,
                                       .need = {.millicores = 3000},
                                       .long_running = true}}}},
      driver.now);
  driver.registry.Apply(
      job_advanced{.job = long_running_job, .progress = {.started = true}},
      driver.now);
  driver.Begin({"gone"});
  driver.AddWorker("w0", 4000);
  driver.AddWorker("w1", 4000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 40, .need = {.millicores = 1000}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 8U);
  const auto pass = [&driver](milliseconds time) {
    driver.now += time;
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  };
  for (int second = 0; second < 7; ++second) {
    pass(seconds(1));
  }
  std::map<std::string, std::uint64_t> ends;
  const auto end_one = [&](const std::string& worker) {
    const auto start = std::find_if(driver.starts.begin(), driver.starts.end(),
                                    [&](const start_order& order) {
                                      return order.target.worker == worker;
                                    });
    driver.reported_ends[worker].push_back({.number = ++ends[worker],
                                            .run = start->run,
                                            .outcome = run_end::kDone});
    start->target.worker = "over";
  };
  end_one("w0");
  pass(milliseconds(100));
  pass(milliseconds(100));
  end_one("w1");
  end_one("w1");
  pass(milliseconds(100));
  pass(milliseconds(100));
  end_one("w0");
  pass(milliseconds(100));
  pass(milliseconds(100));
  end_one("w0");
  pass(milliseconds(100));
  pass(milliseconds(100));
  const auto restarted =
      std::find_if(driver.starts.begin(), driver.starts.end(),
                   [&](const start_order& order) {
                     return order.run.task.job == long_running_job;
                   });
  ASSERT_NE(restarted, driver.starts.end());
  EXPECT_EQ(restarted->target.worker, "w0");
}

// Guards against reserving room on a worker whose long-running tasks never
// leave enough of it: a restart waited 11 s for such a worker.
TEST(FleetSchedulerTest, ReservesNoRoomWhereLongRunningTasksLeaveTooLittle) {
  const step_spec step{.need = {.millicores = 3000}, .long_running = true};
  worker_session held_by_long_running{time_point{}};
  held_by_long_running.entry = {.worker = "full",
                                .capacity = {.millicores = 4000}};
  held_by_long_running.used_by_long_running = {.millicores = 2000};
  held_by_long_running.used = {.millicores = 2000};
  worker_session held_by_batch{time_point{}};
  held_by_batch.entry = {.worker = "busy", .capacity = {.millicores = 4000}};
  held_by_batch.used = {.millicores = 4000};
  const std::vector<placement_candidate> candidates{
      {.session = &held_by_long_running}, {.session = &held_by_batch}};
  EXPECT_EQ(ChooseWorkerToReserve(step, candidates, "full"), 1U);
}

// Guards against two restarts that wait for the same room: the second one would
// never find enough on the worker of the first.
TEST(FleetSchedulerTest, ReservesNoRoomThatIsReservedAlready) {
  const step_spec step{.need = {.millicores = 3000}, .long_running = true};
  worker_session roomy{time_point{}};
  roomy.entry = {.worker = "roomy", .capacity = {.millicores = 4000}};
  worker_session busy{time_point{}};
  busy.entry = {.worker = "busy", .capacity = {.millicores = 4000}};
  busy.used = {.millicores = 4000};
  std::vector<placement_candidate> candidates{{.session = &roomy},
                                              {.session = &busy}};
  EXPECT_EQ(ChooseWorkerToReserve(step, candidates, ""), 0U);
  candidates[0].reserved = step.need;
  EXPECT_EQ(ChooseWorkerToReserve(step, candidates, "roomy"), 1U);
}

// Guards against reserving a whole worker for one task: another task waited 30
// s although the workers were almost idle and had room for both.
TEST(FleetSchedulerTest, ReservesNoMoreRoomThanATaskNeeds) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 8000);
  driver.RunRounds();
  driver.Submit(
      job_id{7},
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.reported_ends["w0"] = {
      {.number = 1, .run = driver.starts[0].run, .outcome = run_end::kFailed}};
  driver.starts[0].target.worker = "over";
  driver.RunRounds();
  // The failed task is not ready again before its retry delay has passed.
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 4000}});
  driver.now += milliseconds(25);
  driver.AllowOrders(driver.now);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, kJob);
}

// Guards against a restart that waits for another long-running task to end: a
// task that had never run took the room of a failed one within its retry delay.
TEST(FleetSchedulerTest, AFailedTaskKeepsItsRoomFromTasksThatHaveNeverRun) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 2, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  const run_ref failed = driver.starts[0].run;
  driver.EndRun(failed, run_end::kFailed);
  for (int pass = 0; pass < 10; ++pass) {
    driver.Pass(milliseconds(10));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task, failed.task);
}

// Guards against the same across jobs, when room comes free long after the
// retry delay: the jobs were served in the order of their ids.
TEST(FleetSchedulerTest, RestartsComeBeforeTasksThatHaveNeverRun) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  const step_spec step{
      .count = 2, .need = {.millicores = 3000}, .long_running = true};
  const job_id later_job{7};
  driver.Submit(
      later_job,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.AddWorker("w1", 3000);
  driver.RunRounds();
  driver.Submit(kJob, step);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.EndRun(driver.LastRun({later_job, 0, 0, 0}), run_end::kFailed);
  driver.DrainWorker("w0", 3000);
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(20));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.AddWorker("w2", 3000);
  for (int pass = 0; pass < 10; ++pass) {
    driver.Pass(milliseconds(20));
  }
  ASSERT_EQ(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[2].run.task.job, later_job);
}

// Guards against a restart that is overtaken by later ones until its wait has
// no bound: restarts were served in the order of their ids.
TEST(FleetSchedulerTest, TheRestartThatHasWaitedLongestComesFirst) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.AddWorker("w1", 3000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 2, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  const run_ref first_to_end = driver.starts[1].run;
  for (const start_order& start : {driver.starts[1], driver.starts[0]}) {
    driver.EndRun(start.run, run_end::kFailed);
    driver.DrainWorker(start.target.worker, 3000);
    driver.Pass(milliseconds(200));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.AddWorker("w2", 3000);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[2].run.task, first_to_end.task);
}

// Guards against long-running tasks that run on a draining worker until it
// leaves: a new owner saw the worker drain before it had adopted the runs, and
// stopped none of 318 of them.
TEST(FleetSchedulerTest, MovesAdoptedRunsOffADrainingWorker) {
  scheduler_driver driver;
  driver.registry.Apply(
      job_accepted{.job = kJob,
                   .queue = "batch",
                   .spec = {.steps = {{.count = 1,
                                       .need = {.millicores = 3000},
                                       .long_running = true}}}},
      driver.now);
  driver.registry.Apply(
      job_advanced{.job = kJob, .progress = {.started = true}}, driver.now);
  const run_ref run{{kJob, 0, 0, 0}, 1};
  driver.reported_runs["w0"] = {{.run = run, .progress_percent = 100}};
  driver.Begin({"w0"});
  driver.DrainWorker("w0", 4000);
  driver.RunRounds();
  ASSERT_EQ(driver.stops.size(), 1U);
  EXPECT_EQ(driver.stops[0].run, run);
}

// Guards against runs that are stopped too late when the entry of their worker
// was half a second old when it was read: the worker left before they had
// ended, and its lease had to expire before their tasks could run again.
TEST(FleetSchedulerTest, StopsRunsInTimeWhenADrainingWorkerIsListedLate) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  // What is left of the 3 s that the entry states.
  const milliseconds time_left = milliseconds(3000) - milliseconds(500);
  driver.scheduler.WorkerListed({.worker = "w0",
                                 .service = "service",
                                 .address = "w0",
                                 .draining = true,
                                 .minimum_time_left = seconds(3),
                                 .capacity = {.millicores = 4000}},
                                driver.now);
  const time_point leaves_at = driver.now + time_left;
  driver.RunRounds();
  EXPECT_TRUE(driver.stops.empty());
  const milliseconds stop_timeout = fleet_scheduler_options{}.stop_timeout;
  while (driver.stops.empty() && driver.now < leaves_at) {
    driver.Pass(milliseconds(20));
  }
  EXPECT_LE(driver.now + stop_timeout + milliseconds(400), leaves_at);
}

// Guards against tasks that have never run and take the room that the tasks of
// a silent worker need once its lease has expired: up to 126 cores were given
// away in the 6 s before, and up to 18 tasks waited 11 s and longer.
TEST(FleetSchedulerTest, LeavesRoomForTheTasksOfASilentWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  const job_id silent_job{7};
  driver.Submit(
      silent_job,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.silent_worker = "w0";
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(100));
  }
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.AddWorker("w1", 3000);
  for (int pass = 0; pass < 80; ++pass) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, silent_job);
}

// Guards against the same while the runs of a draining worker are stopped.
TEST(FleetSchedulerTest, LeavesRoomForTheTasksOfADrainingWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  const job_id draining_job{7};
  driver.Submit(
      draining_job,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.DrainWorker("w0", 3000);
  driver.AddWorker("w1", 3000);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  driver.EndRun(driver.LastRun({draining_job, 0, 0, 0}), run_end::kStopped);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, draining_job);
}

// Guards against the same after a takeover, while tasks of the earlier owner
// wait for a worker that does not report.
TEST(FleetSchedulerTest, LeavesRoomForTheTasksOfAnEarlierOwner) {
  scheduler_driver driver;
  const job_id earlier_job{7};
  driver.registry.Apply(
      job_accepted{.job = earlier_job,
                   .queue = "batch",
                   .spec = {.steps = {{.count = 1,
                                       .need = {.millicores = 3000},
                                       .long_running = true}}}},
      driver.now);
  driver.registry.Apply(
      job_advanced{
          .job = earlier_job,
          .progress = {.started = true, .steps = {{.started = {true}}}}},
      driver.now);
  driver.Begin({"gone"});
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  for (int second = 0; second < 8; ++second) {
    driver.Pass(seconds(1));
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].run.task.job, earlier_job);
}

// Guards against batch work that stands still for room that is only kept for
// restarts to come.
TEST(FleetSchedulerTest, BatchWorkUsesTheRoomOfExpectedRestarts) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(
      job_id{7},
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.silent_worker = "w0";
  for (int pass = 0; pass < 20; ++pass) {
    driver.Pass(milliseconds(100));
  }
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 3000}});
  driver.AddWorker("w1", 3000);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, kJob);
}

// Guards against a restart whose place under max_per_worker is taken by a task
// of its step that has never run.
TEST(FleetSchedulerTest, AFailedTaskKeepsItsPlaceUnderMaxPerWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 6000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 2,
                       .need = {.millicores = 3000},
                       .max_per_worker = 1,
                       .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  const run_ref failed = driver.starts[0].run;
  driver.EndRun(failed, run_end::kFailed);
  for (int pass = 0; pass < 10; ++pass) {
    driver.Pass(milliseconds(20));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task, failed.task);
}

// Guards against room that is reserved where a gang holds it, while runs on
// another worker could be stopped: runs of gangs are not preempted.
TEST(FleetSchedulerTest, ReservesRoomThatPreemptionCanFree) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(job_id{2},
                {.count = 4, .need = {.millicores = 1000}, .gang = true});
  driver.RunRounds();
  driver.AddWorker("w1", 3000);
  driver.RunRounds();
  const job_id restarting_job{7};
  driver.Submit(
      restarting_job,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.AddWorker("w2", 3000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 30, .need = {.millicores = 1000}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 8U);
  driver.DrainWorker("w1", 3000);
  driver.RunRounds();
  driver.EndRun(driver.LastRun({restarting_job, 0, 0, 0}), run_end::kStopped);
  driver.stops.clear();
  for (int pass = 0; pass < 100; ++pass) {
    driver.Pass(milliseconds(20));
  }
  ASSERT_EQ(driver.stops.size(), 3U);
  for (const stop_order& stop : driver.stops) {
    EXPECT_EQ(stop.run.task.job, kJob);
  }
}

// Guards against a restart that loses its room because its queue has a
// placement policy.
TEST(FleetSchedulerTest, AFailedTaskUnderAPlacementPolicyKeepsItsRoom) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  const job_id restarting_job{7};
  driver.Submit(
      restarting_job,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true},
      "restricted");
  const auto pass_with_permits = [&driver] {
    driver.Pass(milliseconds(10));
    for (const permit_request& request : driver.permit_requests) {
      driver.scheduler.Handle(
          permit_reply{.step = request.step,
                       .result = order_result::kDone,
                       .eligible = {{request.workers[0], "ticket"}},
                       .validity = milliseconds(1500)},
          driver.now);
    }
    driver.permit_requests.clear();
    driver.Pass(milliseconds(10));
  };
  for (int pass = 0; pass < 6; ++pass) {
    pass_with_permits();
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.EndRun(driver.starts[0].run, run_end::kFailed);
  for (int pass = 0; pass < 20; ++pass) {
    pass_with_permits();
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, restarting_job);
}

// Guards against a best-effort long-running task that does not run again on an
// underused fleet, as no worker has as much idle processor time as it declares.
TEST(FleetSchedulerTest, RestartsABestEffortTaskOfAStarvingJob) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 10'000);
  driver.RunRounds();
  const job_id restarting_job{7};
  driver.Submit(restarting_job, {.count = 1,
                                 .need = {.millicores = 12'000},
                                 .long_running = true,
                                 .best_effort = true});
  for (int pass = 0; pass < 30; ++pass) {
    driver.Pass(milliseconds(100));
  }
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 4000}, .long_running = true});
  for (int pass = 0; pass < 30; ++pass) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.EndRun(driver.LastRun({restarting_job, 0, 0, 0}), run_end::kFailed);
  for (int pass = 0; pass < 30; ++pass) {
    driver.Pass(milliseconds(100));
  }
  ASSERT_EQ(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[2].run.task.job, restarting_job);
}

/// One worker on which batch runs hold the room that a restart needs.
class restart_beside_batch {
 public:
  /// @param batch step of the batch job.
  explicit restart_beside_batch(const step_spec& batch) {
    driver.Begin();
    driver.AddWorker("w0", 3000);
    driver.RunRounds();
    driver.Submit(
        kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
    driver.RunRounds();
    driver.AddWorker("w1", 3000);
    driver.RunRounds();
    driver.Submit(job_id{2}, batch);
    driver.RunRounds();
    driver.DrainWorker("w0", 3000);
    driver.RunRounds();
    driver.EndRun(driver.LastRun({kJob, 0, 0, 0}), run_end::kStopped);
    driver.stops.clear();
  }
  void PassFor(milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(20)) {
      driver.Pass(milliseconds(20));
    }
  }

  scheduler_driver driver;
};

// Guards against stopping batch runs that may end in time by themselves, and
// against stopping more of them in each pass.
TEST(FleetSchedulerTest, PreemptsJustEnoughRunsAfterTheDelay) {
  restart_beside_batch restart({.count = 3, .need = {.millicores = 1000}});
  restart.PassFor(milliseconds(900));
  EXPECT_TRUE(restart.driver.stops.empty());
  restart.PassFor(milliseconds(2000));
  std::set<run_ref> stopped;
  for (const stop_order& stop : restart.driver.stops) {
    stopped.insert(stop.run);
  }
  EXPECT_EQ(stopped.size(), 3U);
}

// Guards against ending the work of a whole gang by a stop of one of its runs.
TEST(FleetSchedulerTest, DoesNotPreemptGangs) {
  restart_beside_batch restart(
      {.count = 3, .need = {.millicores = 1000}, .gang = true});
  restart.PassFor(milliseconds(3000));
  EXPECT_TRUE(restart.driver.stops.empty());
}

// Guards against a pass in each call of Run while restarts wait: 200 of them on
// 120 workers cost 0.9 ms a pass.
TEST(FleetSchedulerTest, WaitingRestartsKeepThePassInterval) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.DrainWorker("w0", 3000);
  driver.RunRounds();
  driver.EndRun(driver.starts.at(0).run, run_end::kStopped);
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.scheduler.NextPass(), driver.now + milliseconds(20));
}

// Guards against a first start that ranks as a restart, and a restart that
// loses its place, after a start order whose run was never seen.
TEST(FleetSchedulerTest, AStartThatWasNeverSeenIsNoInterruption) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 3000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.scheduler.Run(driver.now, scheduler_driver::kWall);
  // The start and its repeat get no answer, so the run is stopped.
  for (int round = 0; round < 3; ++round) {
    for (const order& sent_order : driver.scheduler.TakeOrders()) {
      if (const auto* renewal = std::get_if<renew_order>(&sent_order)) {
        driver.AnswerRenewal(*renewal);
      } else if (const auto* start = std::get_if<start_order>(&sent_order)) {
        driver.scheduler.Handle(
            start_reply{"w0", start->run, order_result::kNoAnswer,
                        start->target.fence},
            driver.now);
      } else if (const auto* stop = std::get_if<stop_order>(&sent_order)) {
        driver.scheduler.Handle(stop_reply{"w0", stop->run, order_result::kDone,
                                           stop->target.fence},
                                driver.now);
      }
    }
  }
  driver.DrainWorker("w0", 3000);
  driver.Pass(milliseconds(100));
  driver.Pass(milliseconds(100));
  EXPECT_EQ(driver.scheduler.Jobs().Find({kJob, 0, 0, 0})->phase,
            task_phase::kReady);
  EXPECT_EQ(driver.scheduler.WaitingRestarts(), 0U);
}

// Guards against a wait that no log line explains: the record of an incident
// named none of the tasks that waited 22 s and longer.
TEST(FleetSchedulerTest, ReportsALongRunningTaskThatWaitsForItsRestart) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  const run_ref run = driver.starts[0].run;
  driver.EndRun(run, run_end::kFailed);
  driver.RunRounds();
  driver.DrainWorker("w0", 4000);
  driver.scheduler.TakeNotes();
  std::vector<scheduling_note> reports;
  for (int pass = 0; pass < 40; ++pass) {
    driver.Pass(milliseconds(100));
    for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
      if (note.event == scheduling_event::kRestartDelayed) {
        reports.push_back(note);
      }
    }
  }
  ASSERT_GE(reports.size(), 3U);
  EXPECT_LE(reports.size(), 4U);
  EXPECT_EQ(reports[0].run, run);
  EXPECT_NE(reports[0].detail.find("need 3000 usable 0"), std::string::npos)
      << reports[0].detail;
  EXPECT_EQ(driver.scheduler.WaitingRestarts(), 1U);
  EXPECT_GE(driver.scheduler.LongestRestartWait(driver.now), seconds(4));
}

// Guards against a metric of restart times that misses or adds starts.
TEST(FleetSchedulerTest, NotesHowLongARestartWaited) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.RunRounds();
  driver.Submit(
      kJob, {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.RunRounds();
  driver.EndRun(driver.starts.at(0).run, run_end::kFailed);
  driver.RunRounds();
  driver.Pass(milliseconds(70));
  std::vector<std::optional<milliseconds>> waits;
  for (const scheduling_note& note : driver.scheduler.TakeNotes()) {
    if (note.event == scheduling_event::kStartOrdered) {
      waits.push_back(note.restart_wait);
    }
  }
  ASSERT_EQ(waits.size(), 2U);
  EXPECT_EQ(waits[0], std::nullopt);
  EXPECT_EQ(waits[1], milliseconds(70));
}

}  // namespace
}  // namespace skylarkbridge::jobs
