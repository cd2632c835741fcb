#include "skylarkbridge/jobs/fleet_scheduler.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr job_id kJob{1};
constexpr wall_time kWall{seconds(1'700'000'000)};

/// Runs a scheduler against simulated workers. Workers other than
/// silent_worker answer at once.
class scheduler_driver {
 public:
  scheduler_driver() : scheduler(fleet_scheduler_options{}) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->version = 1;
    configuration->queues.push_back(
        {.name = "batch", .service = "service", .max_attempts = 3});
    configuration->queues.push_back(
        {.name = "restricted",
         .service = "service",
         .max_attempts = 3,
         .policy = {.decision_time = milliseconds(10),
                    .time_per_worker = milliseconds(1),
                    .permit_validity = milliseconds(1500)}});
    scheduler.Configure(configuration);
  }

  /// @param earlier_owner_time how much longer an earlier owner may send
  /// orders.
  void Begin(const std::vector<std::string>& leased = {},
             milliseconds earlier_owner_time = {}) {
    scheduler.BeginOwnership(2, registry, leased, now + earlier_owner_time, now,
                             kWall);
    AllowOrders(now);
  }
  void AllowOrders(time_point confirmed) {
    scheduler.AllowOrders(confirmed, now + seconds(60));
  }
  void AddWorker(const std::string& id, std::int64_t millicores) {
    scheduler.WorkerListed(
        {.worker = id,
         .service = "service",
         .address = id,
         .capacity = {.millicores = millicores, .memory_mb = 1000}},
        now);
  }
  void Submit(job_id id, step_spec step, const std::string& queue = "batch") {
    registry.Apply(job_accepted{.job = id,
                                .queue = queue,
                                .spec = {.payload = "p", .steps = {step}}},
                   now);
    scheduler.JobAccepted(id, *registry.Find(id), false, now, kWall);
  }
  /// Runs four rounds in which renewals and start orders are answered: enough
  /// to register a new worker and to start tasks on it.
  void RunRounds() {
    for (int round = 0; round < 4; ++round) {
      scheduler.Run(now, kWall);
      if (scheduler.HasRecords()) {
        scheduler.TakeRecords();
        scheduler.RecordsStored(scheduler.WriteNumber(), now);
      }
      for (const order& sent_order : scheduler.TakeOrders()) {
        if (const auto* renewal = std::get_if<renew_order>(&sent_order)) {
          AnswerRenewal(*renewal);
        } else if (const auto* start = std::get_if<start_order>(&sent_order)) {
          starts.push_back(*start);
          scheduler.Handle(start_reply{start->target.worker, start->run,
                                       order_result::kDone},
                           now);
        } else if (const auto* stop = std::get_if<stop_order>(&sent_order)) {
          stops.push_back(*stop);
        } else if (const auto* pace = std::get_if<pace_order>(&sent_order)) {
          paces.push_back(*pace);
        } else if (const auto* permit_call =
                       std::get_if<permit_request>(&sent_order)) {
          permit_requests.push_back(*permit_call);
        }
      }
    }
  }
  void AnswerRenewal(const renew_order& renewal) {
    const std::string& id = renewal.target.worker;
    if (silent_worker == id) {
      scheduler.Handle(
          renew_reply{.worker = id, .renewal_number = renewal.renewal_number},
          now);
      return;
    }
    worker_report report{.clock = worker_time(milliseconds(1000))};
    for (const start_order& start : starts) {
      if (start.target.worker == id) {
        report.running.push_back({.run = start.run, .progress_percent = 50});
      }
    }
    for (const running_task& task : reported_runs[id]) {
      report.running.push_back(task);
    }
    report.ended = reported_ends[id];
    scheduler.Handle(renew_reply{.worker = id,
                                 .renewal_number = renewal.renewal_number,
                                 .result = order_result::kDone,
                                 .report = report},
                     now);
  }

  time_point now{seconds(1000)};
  job_registry registry;
  fleet_scheduler scheduler;
  /// Start orders so far. Each worker reports the runs that target it as
  /// running. To end a run, a test sets its target to a name that no worker
  /// has.
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  std::vector<permit_request> permit_requests;
  /// Worker whose renewals get no answer.
  std::string silent_worker;
  /// Further runs that a worker reports.
  std::map<std::string, std::vector<running_task>> reported_runs;
  std::map<std::string, std::vector<ended_task>> reported_ends;
};

// Guards against a second run of a task: another owner may still renew the
// lease of a worker that this owner cannot reach. The task must not start
// elsewhere before the log has confirmed the ownership after the lease expired.
TEST(FleetSchedulerTest, RestartsLostTasksOnlyAfterTheLogConfirmsOwnership) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 500}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.AddWorker("w1", 1000);
  driver.silent_worker = "w0";
  for (int round = 0; round < 100; ++round) {
    driver.now += milliseconds(100);
    driver.scheduler.AllowOrders(time_point(seconds(1000)),
                                 driver.now + seconds(60));
    driver.RunRounds();
  }
  EXPECT_EQ(driver.starts.size(), 1U);
  driver.AllowOrders(driver.now);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].target.worker, "w1");
  EXPECT_GT(driver.starts[1].run.run, driver.starts[0].run.run);
}

// Guards against waiting for orders that a worker would refuse. Once a worker
// has seen the new epoch, it refuses the orders of earlier owners, so only the
// leases that it granted before count. Without this, the tasks of a worker that
// left right after a takeover waited 12 s for the last possible order of the
// earlier owner.
TEST(FleetSchedulerTest, DoesNotWaitForOrdersThatTheWorkerRefuses) {
  scheduler_driver driver;
  driver.registry.Apply(
      job_accepted{
          .job = kJob,
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 500}}}}},
      driver.now);
  driver.reported_runs["w0"] = {
      {.run = {{kJob, 0, 0, 0}, 1}, .progress_percent = 10}};
  driver.Begin({"w0"}, seconds(6));
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.silent_worker = "w0";
  driver.AddWorker("w1", 1000);
  for (int pass = 0; pass < 80; ++pass) {
    driver.now += milliseconds(100);
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].target.worker, "w1");
}

// Guards against a second run of a task: a job that was accepted in the log of
// another cell may become known only after a worker has reported its runs.
TEST(FleetSchedulerTest, AdoptsTheRunsOfAJobThatBecomesKnownLater) {
  scheduler_driver driver;
  const run_ref run{{kJob, 0, 0, 0}, 1};
  driver.reported_runs["w0"] = {{.run = run, .progress_percent = 10}};
  driver.Begin({"w0"});
  driver.AddWorker("w0", 2000);
  driver.AddWorker("w1", 2000);
  driver.RunRounds();
  driver.registry.Apply(
      job_accepted{
          .job = kJob,
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 500}}}}},
      driver.now);
  driver.scheduler.JobAccepted(kJob, *driver.registry.Find(kJob), true,
                               driver.now, kWall);
  for (int pass = 0; pass < 10; ++pass) {
    driver.now += milliseconds(50);
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  }
  EXPECT_TRUE(driver.starts.empty());
  driver.reported_runs["w0"].clear();
  driver.reported_ends["w0"] = {
      {.number = 1, .run = run, .outcome = run_end::kStopped}};
  for (int pass = 0; pass < 30; ++pass) {
    driver.now += milliseconds(50);
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  }
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against a second run of a task: a job that was accepted in the log of
// another cell may run on a worker of an earlier owner that has not sent a
// report yet.
TEST(FleetSchedulerTest, AJobKnownLateWaitsForWorkersOfAnEarlierOwner) {
  scheduler_driver driver;
  driver.Begin({"w0", "gone"});
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.registry.Apply(
      job_accepted{
          .job = kJob,
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 500}}}}},
      driver.now);
  driver.scheduler.JobAccepted(kJob, *driver.registry.Find(kJob), true,
                               driver.now, kWall);
  driver.RunRounds();
  EXPECT_TRUE(driver.starts.empty());
}

// Guards against overcommitting a worker: after a takeover, runs of ended jobs
// occupy capacity until they are stopped.
TEST(FleetSchedulerTest, ReservesRoomForRunsOfEndedJobs) {
  scheduler_driver driver;
  const step_spec step{.count = 1, .need = {.millicores = 800}};
  driver.registry.Apply(
      job_accepted{
          .job = job_id{7}, .queue = "batch", .spec = {.steps = {step}}},
      driver.now);
  driver.registry.Apply(job_cancelled{job_id{7}}, driver.now);
  driver.reported_runs["w0"] = {
      {.run = {{job_id{7}, 0, 0, 0}, 1}, .progress_percent = 10}};
  driver.Begin({"w0"});
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 500}});
  driver.RunRounds();
  EXPECT_TRUE(driver.starts.empty());
  ASSERT_FALSE(driver.stops.empty());
  EXPECT_EQ(driver.stops[0].run.task.job, job_id{7});
}

// Guards against a second run after a takeover: tasks that an earlier owner may
// have started wait for each worker that it leased. Jobs that were submitted
// later do not wait.
TEST(FleetSchedulerTest, WaitsForTheWorkersOfAnEarlierOwner) {
  scheduler_driver driver;
  driver.registry.Apply(
      job_accepted{
          .job = job_id{7},
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 100}}}}},
      driver.now);
  driver.Begin({"w0", "gone"});
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 100}});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].run.task.job, kJob);
  driver.now += seconds(7);
  driver.AllowOrders(driver.now);
  driver.RunRounds();
  driver.now += milliseconds(100);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, job_id{7});
}

// Guards against start orders that a worker rejects: it requires a ticket of
// the queue's placement policy, which decides on the eligible workers.
TEST(FleetSchedulerTest, StartsTasksOnlyWithATicketOfThePlacementPolicy) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.AddWorker("w1", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 2, .need = {.millicores = 100}}, "restricted");
  driver.RunRounds();
  EXPECT_TRUE(driver.starts.empty());
  ASSERT_EQ(driver.permit_requests.size(), 1U);
  EXPECT_EQ(driver.permit_requests[0].workers.size(), 2U);
  driver.scheduler.Handle(permit_reply{.step = driver.permit_requests[0].step,
                                       .result = order_result::kDone,
                                       .eligible = {{"w1", "ticket"}},
                                       .validity = milliseconds(1500)},
                          driver.now);
  driver.now += milliseconds(25);
  driver.AllowOrders(driver.now);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  for (const start_order& start : driver.starts) {
    EXPECT_EQ(start.target.worker, "w1");
    EXPECT_EQ(start.ticket, "ticket");
  }
}

// Guards against starting tasks on a draining worker, which leaves soon.
TEST(FleetSchedulerTest, StartsNothingOnADrainingWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.scheduler.WorkerListed({.worker = "w0",
                                 .service = "service",
                                 .address = "w0",
                                 .draining = true,
                                 .minimum_time_left = seconds(2),
                                 .capacity = {.millicores = 1000}},
                                driver.now);
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 100}});
  driver.RunRounds();
  EXPECT_TRUE(driver.starts.empty());
}

// Guards against starting part of a gang when not all of its tasks fit.
TEST(FleetSchedulerTest, StartsAllTasksOfAGangOrNone) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 3, .need = {.millicores = 400}, .gang = true});
  driver.RunRounds();
  EXPECT_TRUE(driver.starts.empty());
  driver.AddWorker("w1", 1000);
  driver.RunRounds();
  driver.now += milliseconds(100);
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[0].run.run, driver.starts[2].run.run);
}

// Guards against more tasks of a step on one worker than max_per_worker.
TEST(FleetSchedulerTest, StartsAtMostMaxPerWorkerTasksOnOneWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(kJob,
                {.count = 3, .need = {.millicores = 100}, .max_per_worker = 1});
  driver.RunRounds();
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Guards against a second run of a task while an unanswered start order for the
// first may still be carried out.
TEST(FleetSchedulerTest, StopsAnUncertainStartBeforeTheNextRun) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.RunRounds();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 100}});
  driver.scheduler.Run(driver.now, kWall);
  std::vector<start_order> starts;
  for (int round = 0; round < 3; ++round) {
    for (const order& sent_order : driver.scheduler.TakeOrders()) {
      if (const auto* start = std::get_if<start_order>(&sent_order)) {
        starts.push_back(*start);
        driver.scheduler.Handle(
            start_reply{"w0", start->run, order_result::kNoAnswer}, driver.now);
      } else if (const auto* stop = std::get_if<stop_order>(&sent_order)) {
        driver.stops.push_back(*stop);
      }
    }
  }
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[0].run, starts[1].run);
  ASSERT_EQ(driver.stops.size(), 1U);
  EXPECT_EQ(driver.stops[0].run, starts[0].run);
}

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

// Guards against reserving room on a worker whose serving tasks never leave
// enough of it: a restart waited 11 s for such a worker.
TEST(FleetSchedulerTest, ReservesNoRoomWhereServingTasksLeaveTooLittle) {
  const step_spec step{.need = {.millicores = 3000}, .long_running = true};
  worker_session held_by_serving{time_point{}};
  held_by_serving.entry = {.worker = "full", .capacity = {.millicores = 4000}};
  held_by_serving.serving_millicores = 2000;
  held_by_serving.used = {.millicores = 2000};
  worker_session held_by_batch{time_point{}};
  held_by_batch.entry = {.worker = "busy", .capacity = {.millicores = 4000}};
  held_by_batch.used = {.millicores = 4000};
  const std::vector<placement_candidate> candidates{
      {.session = &held_by_serving}, {.session = &held_by_batch}};
  EXPECT_EQ(ChooseWorkerToReserve(step, candidates, "full"), 1U);
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

// Guards against a reset of the violation time by one noisy report below the
// target, which would delay the pause of best-effort tasks.
TEST(FleetSchedulerTest, OneReportBelowTargetDoesNotResetTheViolationTime) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 8000);
  driver.RunRounds();
  driver.Submit(job_id{7}, {.count = 1,
                            .need = {.millicores = 3000},
                            .long_running = true,
                            .image = "serving",
                            .latency_target = milliseconds(50)});
  driver.Submit(kJob, {.count = 1,
                       .need = {.millicores = 3000},
                       .image = "filling",
                       .best_effort = true});
  driver.RunRounds();
  ASSERT_EQ(driver.starts.size(), 2U);
  run_ref serving = driver.starts[0].run;
  run_ref best_effort_run = driver.starts[1].run;
  if (serving.task.job == kJob) {
    std::swap(serving, best_effort_run);
  }
  driver.starts.clear();
  for (milliseconds time_over_target{0}; time_over_target < milliseconds(3300);
       time_over_target += milliseconds(100)) {
    const std::int64_t tail = time_over_target == milliseconds(1800) ? 45 : 90;
    driver.reported_runs["w0"] = {
        {.run = serving, .progress_percent = 100, .measurement = tail},
        {.run = best_effort_run, .progress_percent = 50, .measurement = 3000}};
    driver.now += milliseconds(100);
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  }
  ASSERT_FALSE(driver.paces.empty());
  EXPECT_EQ(driver.paces[0].run, best_effort_run);
  EXPECT_EQ(driver.paces[0].speed_percent, 0);
}

// Guards against starvation behind a backlog of best-effort tasks: eight jobs
// had no running task for 3 s after a restart of all VMs, although less than
// half of the reservable capacity was in use.
TEST(FleetSchedulerTest, EveryJobMakesProgressWhileTheFleetIsUnderused) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 8000);
  driver.RunRounds();
  for (std::uint64_t id = 1; id <= 5; ++id) {
    driver.Submit(job_id{id}, {.count = 4,
                               .need = {.millicores = 4000},
                               .estimate = seconds(10),
                               .image = "filling",
                               .best_effort = true});
  }
  for (int pass = 0; pass < 30; ++pass) {
    driver.now += milliseconds(100);
    driver.AllowOrders(driver.now);
    driver.RunRounds();
  }
  std::set<job_id> running;
  for (const start_order& start : driver.starts) {
    running.insert(start.run.task.job);
  }
  EXPECT_EQ(running.size(), 5U);
}

// Guards against an interference model that does not tell images that raise the
// tail latency of a serving image from images that do not.
TEST(FleetSchedulerTest, DistinguishesImagesByTheirTailImpact) {
  interference_model model;
  for (int report = 0; report < 200; ++report) {
    model.Update("serving", report % 2 == 0 ? -0.9 : 1.1,
                 report % 2 == 0 ? std::vector<neighbour>{}
                                 : std::vector<neighbour>{{"heavy", 1}});
    model.Update("serving", -0.9, {{"light", 1}});
  }
  EXPECT_GT(model.TailImpact("serving", "heavy"), 1.5);
  EXPECT_LT(model.TailImpact("serving", "light"), 0.2);
  EXPECT_EQ(model.TailImpact("serving", "unknown"), 0);
  EXPECT_EQ(model.TailImpact("unknown", "heavy"), 0);
}

}  // namespace
}  // namespace skylarkbridge::jobs
