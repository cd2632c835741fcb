#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/jobs/scheduler_driver_fake.hpp"

namespace skylarkbridge::jobs {
namespace {

using std::chrono::milliseconds;

/// One worker with a serving task, whose reports teach the interference model.
class InterferenceTest : public testing::Test {
 protected:
  static constexpr job_id kServingJob{1};
  static constexpr int kReports = 60;

  InterferenceTest() {
    driver_.Begin();
    driver_.scheduler.WorkerListed(
        {.worker = "w0",
         .service = "service",
         .address = "w0",
         .capacity = {.millicores = 32'000, .memory_mb = 1000}},
        driver_.now);
    driver_.Submit(kServingJob, {.count = 1,
                                 .need = {.millicores = 3000},
                                 .long_running = true,
                                 .image = "serving",
                                 .latency_target = milliseconds(1000)});
  }
  void SubmitBestEffort(job_id id, const std::string& image) {
    driver_.Submit(id, {.count = 1,
                        .need = {.millicores = 3000},
                        .image = image,
                        .best_effort = true});
  }
  /// Runs the scheduler @p reports times; the serving task reports
  /// @p tail_latency.
  void Run(int reports, milliseconds tail_latency) {
    for (int report = 0; report < reports; ++report) {
      driver_.now += milliseconds(50);
      driver_.AllowOrders(driver_.now);
      driver_.scheduler.Run(driver_.now, scheduler_driver::kWall);
      if (driver_.scheduler.HasRecords()) {
        driver_.scheduler.TakeRecords(driver_.now);
        driver_.scheduler.RecordsStored(driver_.scheduler.WriteNumber(),
                                        driver_.now);
      }
      for (const order& sent : driver_.scheduler.TakeOrders()) {
        if (const auto* const start = std::get_if<start_order>(&sent)) {
          running_.push_back(start->run);
          driver_.scheduler.Handle(
              start_reply{"w0", start->run, order_result::kDone,
                          start->target.fence},
              driver_.now);
        } else if (const auto* const renewal =
                       std::get_if<renew_order>(&sent)) {
          Answer(*renewal, tail_latency);
        }
      }
    }
  }
  void Answer(const renew_order& renewal, milliseconds tail_latency) {
    worker_report report{.clock = worker_time(milliseconds(1000)),
                         .ended = ended_};
    for (const run_ref& run : running_) {
      const bool serving = run.task.job == kServingJob;
      report.running.push_back(
          {.run = run,
           .progress_percent = serving ? 100 : 40,
           .measurement = serving ? tail_latency.count() : 3000});
    }
    driver_.scheduler.Handle(
        renew_reply{.worker = "w0",
                    .renewal_number = renewal.renewal_number,
                    .result = order_result::kDone,
                    .fence = renewal.target.fence,
                    .report = report},
        driver_.now);
  }
  /// Ends the run that was started last.
  void EndLastRun() {
    ended_.push_back({.number = ended_.size() + 1,
                      .run = running_.back(),
                      .outcome = run_end::kDone});
    running_.pop_back();
  }

  scheduler_driver driver_;
  std::vector<run_ref> running_;
  std::vector<ended_task> ended_;
};

// Guards against a placement pass that estimates the interference on a worker
// without the tasks that it has just started there.
TEST_F(InterferenceTest, CountsTheTasksStartedInTheSamePass) {
  Run(kReports, milliseconds(135));
  for (const std::uint64_t job : {2, 3}) {
    SubmitBestEffort(job_id{job}, job == 2 ? "first" : "second");
    Run(kReports, milliseconds(301));
    ASSERT_EQ(running_.size(), 2U);
    EndLastRun();
    Run(kReports, milliseconds(135));
  }
  // Either task alone keeps the tail latency far below the target; both
  // together do not.
  SubmitBestEffort(job_id{4}, "first");
  SubmitBestEffort(job_id{5}, "second");
  Run(1, milliseconds(135));
  EXPECT_EQ(running_.size(), 2U);
}

}  // namespace
}  // namespace skylarkbridge::jobs
