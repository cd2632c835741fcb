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

/// Drives a scheduler by hand; workers answer at once unless they are silent.
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

  /// @param earlier for how long an earlier owner may go on giving orders.
  void Begin(const std::vector<std::string>& leased = {},
             milliseconds earlier = {}) {
    scheduler.Begin(2, book, leased, now + earlier, now, kWall);
    Allow(now);
  }
  void Allow(time_point confirmed) {
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
    book.Apply(job_accepted{.job = id,
                            .queue = queue,
                            .spec = {.payload = "p", .steps = {step}}},
               now);
    scheduler.Accepted(id, *book.Find(id), false, now, kWall);
  }
  /// Answers renewals and starts until nothing is left to say.
  void Settle() {
    for (int round = 0; round < 4; ++round) {
      scheduler.Run(now, kWall);
      if (scheduler.HasRecords()) {
        scheduler.TakeRecords();
        scheduler.Stored(scheduler.StoreNumber(), now);
      }
      for (const order& given : scheduler.TakeOrders()) {
        if (const auto* renewal = std::get_if<renew_order>(&given)) {
          Answer(*renewal);
        } else if (const auto* start = std::get_if<start_order>(&given)) {
          starts.push_back(*start);
          scheduler.Handle(start_reply{start->target.worker, start->run,
                                       order_result::kDone},
                           now);
        } else if (const auto* stop = std::get_if<stop_order>(&given)) {
          stops.push_back(*stop);
        } else if (const auto* pace = std::get_if<pace_order>(&given)) {
          paces.push_back(*pace);
        } else if (const auto* asked = std::get_if<permit_request>(&given)) {
          permit_requests.push_back(*asked);
        }
      }
    }
  }
  void Answer(const renew_order& renewal) {
    const std::string& id = renewal.target.worker;
    if (silent == id) {
      scheduler.Handle(renew_reply{.worker = id, .call = renewal.call}, now);
      return;
    }
    worker_report report{.clock = worker_time(milliseconds(1000))};
    for (const start_order& start : starts) {
      if (start.target.worker == id) {
        report.running.push_back({.run = start.run, .percent = 50});
      }
    }
    for (const running_task& row : listed[id]) {
      report.running.push_back(row);
    }
    report.ended = ended[id];
    scheduler.Handle(renew_reply{.worker = id,
                                 .call = renewal.call,
                                 .result = order_result::kDone,
                                 .report = report},
                     now);
  }

  time_point now{seconds(1000)};
  job_registry book;
  fleet_scheduler scheduler;
  std::vector<start_order> starts;
  std::vector<stop_order> stops;
  std::vector<pace_order> paces;
  std::vector<permit_request> permit_requests;
  std::string silent;
  std::map<std::string, std::vector<running_task>> listed;
  std::map<std::string, std::vector<ended_task>> ended;
};

// A worker that is cut off may be kept by a successor; without a word of the
// log its tasks must not start elsewhere.
TEST(FleetSchedulerTest, RestartsLostTasksOnlyWithTheLogsWord) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 500}});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.AddWorker("w1", 1000);
  driver.silent = "w0";
  for (int step = 0; step < 100; ++step) {
    driver.now += milliseconds(100);
    driver.scheduler.AllowOrders(time_point(seconds(1000)),
                                 driver.now + seconds(60));
    driver.Settle();
  }
  EXPECT_EQ(driver.starts.size(), 1U);
  driver.Allow(driver.now);
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].target.worker, "w1");
  EXPECT_GT(driver.starts[1].run.run, driver.starts[0].run.run);
}

// A worker that has seen the new epoch takes no order of an earlier owner, so
// its lease ends with what it was granted by then: tasks of a worker that left
// right after a takeover waited 12 s for the earlier owner's last order.
TEST(FleetSchedulerTest, AFencedWorkerIsNotWaitedForLonger) {
  scheduler_driver driver;
  driver.book.Apply(
      job_accepted{
          .job = kJob,
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 500}}}}},
      driver.now);
  driver.listed["w0"] = {{.run = {{kJob, 0, 0, 0}, 1}, .percent = 10}};
  driver.Begin({"w0"}, seconds(6));
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.silent = "w0";
  driver.AddWorker("w1", 1000);
  for (int pass = 0; pass < 80; ++pass) {
    driver.now += milliseconds(100);
    driver.Allow(driver.now);
    driver.Settle();
  }
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].target.worker, "w1");
}

// A job whose acceptance stands in the log of another cell may be read after
// its runs are seen at the workers: a second run started beside the first.
TEST(FleetSchedulerTest, AdoptsTheRunsOfAJobThatBecomesKnownLater) {
  scheduler_driver driver;
  const run_ref run{{kJob, 0, 0, 0}, 1};
  driver.listed["w0"] = {{.run = run, .percent = 10}};
  driver.Begin({"w0"});
  driver.AddWorker("w0", 2000);
  driver.AddWorker("w1", 2000);
  driver.Settle();
  driver.book.Apply(
      job_accepted{
          .job = kJob,
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 500}}}}},
      driver.now);
  driver.scheduler.Accepted(kJob, *driver.book.Find(kJob), true, driver.now,
                            kWall);
  for (int pass = 0; pass < 10; ++pass) {
    driver.now += milliseconds(50);
    driver.Allow(driver.now);
    driver.Settle();
  }
  EXPECT_TRUE(driver.starts.empty());
  driver.listed["w0"].clear();
  driver.ended["w0"] = {{.number = 1, .run = run, .how = run_end::kStopped}};
  for (int pass = 0; pass < 30; ++pass) {
    driver.now += milliseconds(50);
    driver.Allow(driver.now);
    driver.Settle();
  }
  EXPECT_EQ(driver.starts.size(), 1U);
}

// Such a job may also run on a worker that is not accounted for yet.
TEST(FleetSchedulerTest, AJobThatBecomesKnownLaterWaitsForEarlierWorkers) {
  scheduler_driver driver;
  driver.Begin({"w0", "gone"});
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.book.Apply(
      job_accepted{
          .job = kJob,
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 500}}}}},
      driver.now);
  driver.scheduler.Accepted(kJob, *driver.book.Find(kJob), true, driver.now,
                            kWall);
  driver.Settle();
  EXPECT_TRUE(driver.starts.empty());
}

// Runs of jobs that have ended still take their room after a takeover.
TEST(FleetSchedulerTest, ReservesRoomForRunsOfEndedJobs) {
  scheduler_driver driver;
  const step_spec step{.count = 1, .need = {.millicores = 800}};
  driver.book.Apply(
      job_accepted{
          .job = job_id{7}, .queue = "batch", .spec = {.steps = {step}}},
      driver.now);
  driver.book.Apply(job_cancelled{job_id{7}}, driver.now);
  driver.listed["w0"] = {{.run = {{job_id{7}, 0, 0, 0}, 1}, .percent = 10}};
  driver.Begin({"w0"});
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 500}});
  driver.Settle();
  EXPECT_TRUE(driver.starts.empty());
  ASSERT_FALSE(driver.stops.empty());
  EXPECT_EQ(driver.stops[0].run.task.job, job_id{7});
}

// Tasks that an earlier owner may have started wait for every worker that it
// leased; jobs that came later do not.
TEST(FleetSchedulerTest, WaitsForTheWorkersOfAnEarlierOwner) {
  scheduler_driver driver;
  driver.book.Apply(
      job_accepted{
          .job = job_id{7},
          .queue = "batch",
          .spec = {.steps = {{.count = 1, .need = {.millicores = 100}}}}},
      driver.now);
  driver.Begin({"w0", "gone"});
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 100}});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 1U);
  EXPECT_EQ(driver.starts[0].run.task.job, kJob);
  driver.now += seconds(7);
  driver.Allow(driver.now);
  driver.Settle();
  driver.now += milliseconds(100);
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, job_id{7});
}

// A worker rejects a start without the ticket of the queue's policy, and only
// the policy knows which workers may run a step.
TEST(FleetSchedulerTest, StartsOnlyWhereThePolicyAllowsAndWithItsTicket) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.AddWorker("w1", 1000);
  driver.Settle();
  driver.Submit(kJob, {.count = 2, .need = {.millicores = 100}}, "restricted");
  driver.Settle();
  EXPECT_TRUE(driver.starts.empty());
  ASSERT_EQ(driver.permit_requests.size(), 1U);
  EXPECT_EQ(driver.permit_requests[0].workers.size(), 2U);
  driver.scheduler.Handle(permit_reply{.step = driver.permit_requests[0].step,
                                       .result = order_result::kDone,
                                       .eligible = {{"w1", "ticket"}},
                                       .validity = milliseconds(1500)},
                          driver.now);
  driver.now += milliseconds(25);
  driver.Allow(driver.now);
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 2U);
  for (const start_order& start : driver.starts) {
    EXPECT_EQ(start.target.worker, "w1");
    EXPECT_EQ(start.permit, "ticket");
  }
}

// A draining worker must get no new task.
TEST(FleetSchedulerTest, StartsNothingOnADrainingWorker) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.scheduler.WorkerListed({.worker = "w0",
                                 .service = "service",
                                 .address = "w0",
                                 .draining = true,
                                 .minimum_left = seconds(2),
                                 .capacity = {.millicores = 1000}},
                                driver.now);
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 100}});
  driver.Settle();
  EXPECT_TRUE(driver.starts.empty());
}

// A gang that does not fit whole must not start in part.
TEST(FleetSchedulerTest, StartsAGangWholeOrNotAtAll) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.Submit(kJob, {.count = 3, .need = {.millicores = 400}, .gang = true});
  driver.Settle();
  EXPECT_TRUE(driver.starts.empty());
  driver.AddWorker("w1", 1000);
  driver.Settle();
  driver.now += milliseconds(100);
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[0].run.run, driver.starts[2].run.run);
}

// The limit of tasks of a step on one worker holds.
TEST(FleetSchedulerTest, KeepsTasksOfAStepApart) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.Submit(kJob,
                {.count = 3, .need = {.millicores = 100}, .max_per_worker = 1});
  driver.Settle();
  EXPECT_EQ(driver.starts.size(), 1U);
}

// An order to start without an answer must not lead to a second run while the
// first may still be carried out.
TEST(FleetSchedulerTest, StopsAnUncertainStartBeforeTheNextRun) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 1000);
  driver.Settle();
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 100}});
  driver.scheduler.Run(driver.now, kWall);
  std::vector<start_order> starts;
  for (int round = 0; round < 3; ++round) {
    for (const order& given : driver.scheduler.TakeOrders()) {
      if (const auto* start = std::get_if<start_order>(&given)) {
        starts.push_back(*start);
        driver.scheduler.Handle(
            start_reply{"w0", start->run, order_result::kNoAnswer}, driver.now);
      } else if (const auto* stop = std::get_if<stop_order>(&given)) {
        driver.stops.push_back(*stop);
      }
    }
  }
  ASSERT_EQ(starts.size(), 2U);
  EXPECT_EQ(starts[0].run, starts[1].run);
  ASSERT_EQ(driver.stops.size(), 1U);
  EXPECT_EQ(driver.stops[0].run, starts[0].run);
}

// Small tasks must not take each bit of room that falls free while a larger
// task that others depend on waits to start again: it did so for 24 seconds.
TEST(FleetSchedulerTest, KeepsRoomForTheRestartOfALongRunningTask) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 4000);
  driver.Settle();
  const job_id lasting{7};
  driver.Submit(
      lasting,
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.Settle();
  driver.Submit(kJob, {.count = 20, .need = {.millicores = 1000}});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 2U);
  driver.ended["w0"] = {
      {.number = 1, .run = driver.starts[0].run, .how = run_end::kFailed}};
  driver.starts[0].target.worker = "over";
  for (int round = 0; round < 5; ++round) {
    driver.now += milliseconds(20);
    driver.Allow(driver.now);
    driver.Settle();
  }
  ASSERT_GE(driver.starts.size(), 3U);
  EXPECT_EQ(driver.starts[2].run.task.job, lasting);
}

// The same where no worker has the room at once: one is kept free until it has.
TEST(FleetSchedulerTest, LetsRoomGatherForALongRunningTask) {
  scheduler_driver driver;
  const job_id lasting{7};
  driver.book.Apply(
      job_accepted{.job = lasting,
                   .queue = "batch",
                   .spec = {.steps = {{.count = 1,
                                       .need = {.millicores = 3000},
                                       .long_running = true}}}},
      driver.now);
  driver.book.Apply(job_advanced{.job = lasting, .progress = {.started = true}},
                    driver.now);
  driver.Begin({"gone"});
  driver.AddWorker("w0", 4000);
  driver.Settle();
  driver.Submit(kJob, {.count = 20, .need = {.millicores = 1000}});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 4U);
  const auto pass = [&driver](milliseconds time) {
    driver.now += time;
    driver.Allow(driver.now);
    driver.Settle();
  };
  // The worker that the task may have been on is waited out.
  for (int second = 0; second < 7; ++second) {
    pass(seconds(1));
  }
  for (std::size_t over = 0; over < 3; ++over) {
    driver.ended["w0"].push_back({.number = over + 1,
                                  .run = driver.starts[over].run,
                                  .how = run_end::kDone});
    driver.starts[over].target.worker = "over";
    pass(milliseconds(100));
  }
  pass(milliseconds(100));
  ASSERT_EQ(driver.starts.size(), 5U);
  EXPECT_EQ(driver.starts[4].run.task.job, lasting);
}

// The worker that is kept must stay the same one: with each worker that had a
// little more room for a moment, the room that had gathered was given away.
TEST(FleetSchedulerTest, GathersRoomOnOneWorker) {
  scheduler_driver driver;
  const job_id lasting{7};
  driver.book.Apply(
      job_accepted{.job = lasting,
                   .queue = "batch",
                   .spec = {.steps = {{.count = 1,
                                       .need = {.millicores = 3000},
                                       .long_running = true}}}},
      driver.now);
  driver.book.Apply(job_advanced{.job = lasting, .progress = {.started = true}},
                    driver.now);
  driver.Begin({"gone"});
  driver.AddWorker("w0", 4000);
  driver.AddWorker("w1", 4000);
  driver.Settle();
  driver.Submit(kJob, {.count = 40, .need = {.millicores = 1000}});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 8U);
  const auto pass = [&driver](milliseconds time) {
    driver.now += time;
    driver.Allow(driver.now);
    driver.Settle();
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
    driver.ended[worker].push_back(
        {.number = ++ends[worker], .run = start->run, .how = run_end::kDone});
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
  const auto restarted = std::find_if(
      driver.starts.begin(), driver.starts.end(),
      [&](const start_order& order) { return order.run.task.job == lasting; });
  ASSERT_NE(restarted, driver.starts.end());
  EXPECT_EQ(restarted->target.worker, "w0");
}

// Room must not be kept on a worker whose serving tasks leave too little for
// good: a restart waited there for 11 s.
TEST(FleetSchedulerTest, KeepsNoRoomWhereItCannotGather) {
  const step_spec step{.need = {.millicores = 3000}, .long_running = true};
  worker_session full{time_point{}};
  full.entry = {.worker = "full", .capacity = {.millicores = 4000}};
  full.serving_millicores = 2000;
  full.used = {.millicores = 2000};
  worker_session busy{time_point{}};
  busy.entry = {.worker = "busy", .capacity = {.millicores = 4000}};
  busy.used = {.millicores = 4000};
  const std::vector<placement_candidate> candidates{{.session = &full},
                                                    {.session = &busy}};
  EXPECT_EQ(ChooseWorkerToReserve(step, candidates, "full"), 1U);
}

// Room that is kept for one task must not keep others from room that is enough
// for both: a task waited 30 s beside workers that were almost empty.
TEST(FleetSchedulerTest, KeepsNoMoreRoomThanATaskNeeds) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 8000);
  driver.Settle();
  driver.Submit(
      job_id{7},
      {.count = 1, .need = {.millicores = 3000}, .long_running = true});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 1U);
  driver.ended["w0"] = {
      {.number = 1, .run = driver.starts[0].run, .how = run_end::kFailed}};
  driver.starts[0].target.worker = "over";
  driver.Settle();
  // The failed task waits a moment before it starts again.
  driver.Submit(kJob, {.count = 1, .need = {.millicores = 4000}});
  driver.now += milliseconds(25);
  driver.Allow(driver.now);
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 2U);
  EXPECT_EQ(driver.starts[1].run.task.job, kJob);
}

// The reports of tails are rough: one report below the target must not start
// the time anew after which best-effort tasks stand still.
TEST(FleetSchedulerTest, OneGoodReportDoesNotEndATailOverItsTarget) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 8000);
  driver.Settle();
  driver.Submit(job_id{7}, {.count = 1,
                            .need = {.millicores = 3000},
                            .long_running = true,
                            .image = "serving",
                            .latency_target = milliseconds(50)});
  driver.Submit(kJob, {.count = 1,
                       .need = {.millicores = 3000},
                       .image = "filling",
                       .best_effort = true});
  driver.Settle();
  ASSERT_EQ(driver.starts.size(), 2U);
  run_ref serving = driver.starts[0].run;
  run_ref filling = driver.starts[1].run;
  if (serving.task.job == kJob) {
    std::swap(serving, filling);
  }
  driver.starts.clear();
  for (milliseconds over{0}; over < milliseconds(3300);
       over += milliseconds(100)) {
    const std::int64_t tail = over == milliseconds(1800) ? 45 : 90;
    driver.listed["w0"] = {{.run = serving, .percent = 100, .usage = tail},
                           {.run = filling, .percent = 50, .usage = 3000}};
    driver.now += milliseconds(100);
    driver.Allow(driver.now);
    driver.Settle();
  }
  ASSERT_FALSE(driver.paces.empty());
  EXPECT_EQ(driver.paces[0].run, filling);
  EXPECT_EQ(driver.paces[0].percent, 0);
}

// With a backlog of best-effort work, each job has to get on while the fleet
// has room for what is counted against it: eight jobs had nothing running for 3
// s after a restart of all VMs.
TEST(FleetSchedulerTest, EveryJobGetsOnWhileTheFleetIsUnderused) {
  scheduler_driver driver;
  driver.Begin();
  driver.AddWorker("w0", 8000);
  driver.Settle();
  for (std::uint64_t id = 1; id <= 5; ++id) {
    driver.Submit(job_id{id}, {.count = 4,
                               .need = {.millicores = 4000},
                               .estimate = seconds(10),
                               .image = "filling",
                               .best_effort = true});
  }
  for (int pass = 0; pass < 30; ++pass) {
    driver.now += milliseconds(100);
    driver.Allow(driver.now);
    driver.Settle();
  }
  std::set<job_id> running;
  for (const start_order& start : driver.starts) {
    running.insert(start.run.task.job);
  }
  EXPECT_EQ(running.size(), 5U);
}

// A best-effort task must not be placed beside a serving one that it is known
// to harm while another worker is free of it.
TEST(FleetSchedulerTest, PlacesBestEffortTasksWhereTheyDoNoHarm) {
  interference_model model;
  for (int report = 0; report < 200; ++report) {
    model.Learn("serving", report % 2 == 0 ? -0.9 : 1.1,
                report % 2 == 0 ? std::vector<neighbour>{}
                                : std::vector<neighbour>{{"heavy", 1}});
    model.Learn("serving", -0.9, {{"light", 1}});
  }
  EXPECT_GT(model.Harm("serving", "heavy"), 1.5);
  EXPECT_LT(model.Harm("serving", "light"), 0.2);
  EXPECT_EQ(model.Harm("serving", "unknown"), 0);
  EXPECT_EQ(model.Harm("unknown", "heavy"), 0);
}

}  // namespace
}  // namespace skylarkbridge::jobs
