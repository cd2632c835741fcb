// Cost of the work of a cell's owner, at the size of a cell: 123 workers that
// are full of long-running tasks, and batch jobs that wait for room.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <variant>
#include <vector>

#include "absl/strings/str_cat.h"
#include "platform/formats.hpp"
#include "skylarkbridge/base/event_log.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::jobs {
namespace {

constexpr int kWorkers = 123;
constexpr int kServingImages = 10;
constexpr int kBatchImages = 18;
constexpr wall_time kWall{std::chrono::seconds(1'700'000'000)};

/// A scheduler with workers that answer at once.
class cell_driver {
 public:
  explicit cell_driver(int batch_jobs) {
    auto configuration = std::make_shared<fleet_configuration>();
    configuration->version = 1;
    configuration->queues.push_back(
        {.name = "serving", .service = "despacho", .max_attempts = 4});
    configuration->queues.push_back({.name = "batch",
                                     .service = "despacho",
                                     .priority = 2,
                                     .max_attempts = 2});
    scheduler.Configure(configuration);
    scheduler.BeginOwnership(2, registry, {}, now, now, now, kWall);
    for (int worker = 0; worker < kWorkers; ++worker) {
      scheduler.WorkerListed(
          {.worker = absl::StrCat("i-", absl::Hex(0x32ce03c0 + 977 * worker)),
           .service = "despacho",
           .address = absl::StrCat("10.1.64.", worker, ":8285"),
           .capacity = {.millicores = 32'000, .memory_mb = 128'000},
           .rack = absl::StrCat("rack", worker / 8)},
          now);
    }
    Settle();
    for (int job = 0; job < 40; ++job) {
      SubmitServing(job);
    }
    Settle();
    for (int job = 0; job < batch_jobs; ++job) {
      SubmitBatch();
    }
    // The reports of these rounds teach the interference model.
    for (int round = 0; round < 20; ++round) {
      Settle();
    }
  }

  void SubmitServing(int job) {
    Submit("serving",
           {.count = 14,
            .need = {.millicores = 4200, .memory_mb = 9000},
            .long_running = true,
            .image = absl::StrCat("serving/image-", job % kServingImages),
            .latency_target = std::chrono::milliseconds(50)});
  }
  void SubmitBatch() {
    Submit("batch",
           {.count = 40,
            .need = {.millicores = 3500, .memory_mb = 100},
            .estimate = std::chrono::milliseconds(2200),
            .checkpoints = true,
            .image = absl::StrCat("batch/image-", next_job % kBatchImages),
            .best_effort = true});
  }
  void Submit(const std::string& queue, step_spec step) {
    const job_id id{++next_job};
    registry.Apply(job_accepted{.job = id,
                                .queue = queue,
                                .spec = {.payload = "p", .steps = {step}}},
                   now);
    scheduler.JobAccepted(id, *registry.Find(id), false, now, kWall);
  }
  /// Runs the scheduler and answers its orders.
  void Settle() {
    now += std::chrono::milliseconds(25);
    scheduler.AllowOrders(now, now + std::chrono::seconds(60));
    scheduler.Run(now, kWall);
    if (scheduler.HasRecords()) {
      scheduler.TakeRecords(now);
      scheduler.RecordsStored(scheduler.WriteNumber(), now);
    }
    for (const order& sent : scheduler.TakeOrders()) {
      if (const auto* start = std::get_if<start_order>(&sent)) {
        ++starts;
        running[start->target.worker].push_back(start->run);
        scheduler.Handle(
            start_reply{start->target.worker, start->run, order_result::kDone},
            now);
      } else if (const auto* renewal = std::get_if<renew_order>(&sent)) {
        renewals[renewal->target.worker] = renewal->renewal_number;
      } else if (const auto* pace = std::get_if<pace_order>(&sent)) {
        ++paces;
        scheduler.Handle(
            pace_reply{pace->target.worker, pace->run, pace->speed_percent,
                       order_result::kDone, pace->target.fence},
            now);
      }
    }
    AnswerRenewals();
    scheduler.TakeNotes();
  }
  void AnswerRenewals() {
    for (const auto& [worker, number] : renewals) {
      scheduler.Handle(renew_reply{.worker = worker,
                                   .renewal_number = number,
                                   .result = order_result::kDone,
                                   .report = Report(worker)},
                       now);
    }
    renewals.clear();
  }
  worker_report Report(const std::string& worker) {
    worker_report report{.clock = worker_time(std::chrono::milliseconds(1000))};
    const auto session = scheduler.Workers().find(worker);
    int batch = 0;
    for (const auto& [run, state] : session->second.runs) {
      batch += state.serving ? 0 : 1;
    }
    for (const run_ref& run : running[worker]) {
      const bool serving = run.task.job <= job_id{40};
      report.running.push_back(
          {.run = run,
           .progress_percent = serving ? 100 : 40,
           .measurement = serving ? 20 + 4 * batch : 2500});
    }
    return report;
  }
  /// Ends the oldest batch run of a worker, so that room comes free.
  void EndOneRun(const std::string& worker) {
    std::vector<run_ref>& runs = running[worker];
    const auto batch = std::find_if(
        runs.begin(), runs.end(),
        [](const run_ref& run) { return run.task.job > job_id{40}; });
    if (batch == runs.end()) {
      return;
    }
    const auto session = scheduler.Workers().find(worker);
    worker_report report = Report(worker);
    std::erase_if(report.running, [&batch](const running_task& task) {
      return task.run == *batch;
    });
    report.ended.push_back(
        {.number = ++ends[worker], .run = *batch, .outcome = run_end::kDone});
    runs.erase(batch);
    scheduler.Handle(renew_reply{.worker = worker,
                                 .renewal_number = session->second.last_renewal,
                                 .result = order_result::kDone,
                                 .report = report},
                     now);
  }

  time_point now{std::chrono::seconds(1000)};
  job_registry registry;
  fleet_scheduler scheduler{fleet_scheduler_options{}};
  std::uint64_t next_job = 0;
  std::uint64_t starts = 0;
  std::uint64_t paces = 0;
  std::map<std::string, std::vector<run_ref>> running;
  std::map<std::string, std::uint64_t> renewals;
  std::map<std::string, std::uint64_t> ends;
};

std::uint64_t Hash(std::uint64_t hash, const std::string& text) {
  for (const char letter : text) {
    hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211U;
  }
  return hash;
}

/// One placement pass after a run has ended, with jobs that wait for room. The
/// counters identify the decisions: they must not differ after a change that
/// only saves time.
void PlacementPassBenchmark(benchmark::State& state) {
  cell_driver driver(static_cast<int>(state.range(0)));
  std::uint64_t decisions = 14695981039346656037U;
  int pass = 0;
  std::vector<std::string> workers;
  for (const auto& [id, session] : driver.scheduler.Workers()) {
    workers.push_back(id);
  }
  for (auto _ : state) {
    state.PauseTiming();
    driver.now += std::chrono::milliseconds(25);
    driver.scheduler.AllowOrders(driver.now,
                                 driver.now + std::chrono::seconds(60));
    driver.AnswerRenewals();
    driver.EndOneRun(
        workers[static_cast<std::size_t>(pass++) % workers.size()]);
    driver.scheduler.TakeOrders();
    state.ResumeTiming();
    driver.scheduler.Run(driver.now, kWall);
    state.PauseTiming();
    for (const order& sent : driver.scheduler.TakeOrders()) {
      if (const auto* start = std::get_if<start_order>(&sent)) {
        decisions = Hash(decisions, absl::StrCat(Format(start->run.task), "@",
                                                 start->target.worker));
        driver.running[start->target.worker].push_back(start->run);
        driver.scheduler.Handle(
            start_reply{start->target.worker, start->run, order_result::kDone},
            driver.now);
      } else if (const auto* renewal = std::get_if<renew_order>(&sent)) {
        driver.renewals[renewal->target.worker] = renewal->renewal_number;
      }
    }
    driver.scheduler.TakeNotes();
    if (driver.scheduler.HasRecords()) {
      driver.scheduler.TakeRecords(driver.now);
      driver.scheduler.RecordsStored(driver.scheduler.WriteNumber(),
                                     driver.now);
    }
    state.ResumeTiming();
  }
  state.counters["ready_steps"] =
      static_cast<double>(driver.scheduler.Jobs().ReadySteps().size());
  state.counters["decisions"] = static_cast<double>(decisions % 1'000'000);
  const placement_summary& last = driver.scheduler.LastPass();
  state.counters["searches"] =
      static_cast<double>(last.looked_at - last.known_without_room);
}
BENCHMARK(PlacementPassBenchmark)
    ->Arg(20)
    ->Arg(60)
    ->Arg(120)
    ->Arg(1000)
    ->Arg(10'000)
    ->Iterations(400)
    ->Unit(benchmark::kMicrosecond);

/// A report of a worker without ends.
void HandleReportBenchmark(benchmark::State& state) {
  cell_driver driver(60);
  const std::string worker = driver.scheduler.Workers().begin()->first;
  const worker_report report = driver.Report(worker);
  for (auto _ : state) {
    state.PauseTiming();
    driver.now += std::chrono::milliseconds(25);
    driver.scheduler.AllowOrders(driver.now,
                                 driver.now + std::chrono::seconds(60));
    driver.scheduler.Run(driver.now, kWall);
    driver.scheduler.TakeOrders();
    driver.scheduler.TakeNotes();
    const std::uint64_t number =
        driver.scheduler.Workers().begin()->second.last_renewal;
    state.ResumeTiming();
    driver.scheduler.Handle(renew_reply{.worker = worker,
                                        .renewal_number = number,
                                        .result = order_result::kDone,
                                        .report = report},
                            driver.now);
  }
}
BENCHMARK(HandleReportBenchmark)
    ->Iterations(2000)
    ->Unit(benchmark::kMicrosecond);

std::string ReportBody() {
  nlohmann::json body{{"clock_ms", 123456}, {"born", 1771563591000}};
  body["running"] = nlohmann::json::array();
  for (int task = 0; task < 12; ++task) {
    body["running"].push_back(
        {absl::StrCat("fc90979d8adee761.0.0.", task), 1, "", 40, 2500.5});
  }
  body["finished"] = nlohmann::json::array();
  for (int task = 0; task < 3; ++task) {
    body["finished"].push_back(
        {task + 1, absl::StrCat("fc90979d8adee761.0.1.", task), 1, "done", ""});
  }
  return body.dump();
}

void DecodeReportBenchmark(benchmark::State& state) {
  const std::string body = ReportBody();
  for (auto _ : state) {
    benchmark::DoNotOptimize(platform::DecodeWorkerReport(body));
  }
}
BENCHMARK(DecodeReportBenchmark)->Unit(benchmark::kMicrosecond);

job_accepted Accepted() {
  job_accepted record{.job = job_id{7},
                      .queue = "vohu98.example/goti161/hu43/"};
  record.spec.payload = std::string(200, 'x');
  record.spec.steps.resize(2, {.count = 20, .image = "batch/image-7"});
  return record;
}

job_advanced Advanced() {
  job_advanced record{.job = job_id{7}};
  record.progress.steps = {{.done = std::vector<bool>(20, true)},
                           {.step = 1, .done = std::vector<bool>(20, true)}};
  return record;
}

void DecodeAcceptedBenchmark(benchmark::State& state) {
  const records::keyed_record record = records::Encode(Accepted());
  for (auto _ : state) {
    benchmark::DoNotOptimize(records::Decode(record.key, *record.value));
  }
}
BENCHMARK(DecodeAcceptedBenchmark)->Unit(benchmark::kMicrosecond);

void EncodeAdvancedBenchmark(benchmark::State& state) {
  const job_advanced record = Advanced();
  for (auto _ : state) {
    benchmark::DoNotOptimize(records::Encode(record));
  }
}
BENCHMARK(EncodeAdvancedBenchmark)->Unit(benchmark::kMicrosecond);

void DecodeAdvancedBenchmark(benchmark::State& state) {
  const records::keyed_record record = records::Encode(Advanced());
  for (auto _ : state) {
    benchmark::DoNotOptimize(records::Decode(record.key, *record.value));
  }
}
BENCHMARK(DecodeAdvancedBenchmark)->Unit(benchmark::kMicrosecond);

void FormatEventBenchmark(benchmark::State& state) {
  for (auto _ : state) {
    benchmark::DoNotOptimize(
        FormatEvent(control::kScheduling, {{"what", "start_ordered"},
                                           {"run", "fc90979d8adee761.0.0.5/1"},
                                           {"worker", "i-3323d0c4d8"},
                                           {"detail", "room 12600 need 3500"},
                                           {"cell", "2"},
                                           {"epoch", "3"}}));
  }
}
BENCHMARK(FormatEventBenchmark)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace skylarkbridge::jobs

BENCHMARK_MAIN();
