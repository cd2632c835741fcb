// Cost of single decisions of the batch scheduler, by number of workers.
#include <benchmark/benchmark.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/scheduling/batch_scheduler.hpp"

namespace skylarkbridge::scheduling {
namespace {

constexpr std::uint64_t kKinds = 40;
constexpr resources kCapacity{.millicores = 16'000,
                              .memory_mib = 60'000,
                              .accelerators = 1};

struct fleet {
  batch_scheduler scheduler{
      batch_options{.usage = {.declared_size_factor = 1.0}}};
  time_point now = time_point(std::chrono::hours(1));
  std::deque<start_task> running;
  std::uint64_t next_task = 1;

  explicit fleet(std::int64_t workers) {
    declaration::configuration config{
        .services = {{.name = "desk"}, {.name = "search"}}};
    for (std::uint64_t kind = 0; kind < kKinds; ++kind) {
      config.batch_kinds.push_back(
          {.name = "kind" + std::to_string(kind),
           .team = "team" + std::to_string(kind / 4),
           .claim = {.minimum_permille = 20},
           .size = {
               .millicores = 500 + 100 * static_cast<std::int64_t>(kind % 10),
               .memory_mib = 1000}});
    }
    scheduler.Configure(config, now);
    for (std::int64_t worker = 1; worker <= workers; ++worker) {
      const auto id = static_cast<std::uint64_t>(worker);
      Take(scheduler.Update(
          {.worker = {id}, .rack = {id / 8}, .capacity = kCapacity}, now));
      Report(id);
    }
  }
  void Report(std::uint64_t worker) {
    Take(scheduler.Report(
        {.worker = {worker},
         .window_begin = now - std::chrono::seconds(5),
         .window_end = now,
         .services = {{.service = "desk",
                       .requests = 500,
                       .p99 = std::chrono::microseconds(2000)},
                      {.service = "search",
                       .requests = 500,
                       .p99 = std::chrono::microseconds(3000)}}},
        now));
  }
  void Take(const task_commands& commands) {
    for (const task_command& command : commands) {
      if (const auto* start = std::get_if<start_task>(&command)) {
        running.push_back(*start);
      }
    }
  }
  void Submit() {
    Take(scheduler.Submit({.task = {next_task},
                           .kind = "kind" + std::to_string(next_task % kKinds)},
                          now));
    ++next_task;
  }
  void FinishOldest() {
    const start_task ended = running.front();
    running.pop_front();
    Take(scheduler.Finished(
        {.task = ended.task, .worker = ended.worker, .attempt = ended.attempt},
        now));
  }
  /// Runs tasks until about `tasks` are running. The reports in between show
  /// no slowdown, so that the expected harm does not limit the fleet.
  void Fill(std::int64_t tasks, std::int64_t workers) {
    for (int round = 0; round < 20; ++round) {
      while (static_cast<std::int64_t>(running.size()) < tasks) {
        const std::size_t before = running.size();
        Submit();
        if (running.size() == before) {
          break;
        }
      }
      now += std::chrono::seconds(6);
      for (std::int64_t worker = 1; worker <= workers; ++worker) {
        Report(static_cast<std::uint64_t>(worker));
      }
    }
  }
};

/// A fleet with so many running tasks per worker and waiting tasks in all. It
/// is built once: teaching 8,000 workers takes longer than measuring them.
fleet& Prepared(std::int64_t workers,
                std::int64_t per_worker,
                std::int64_t waiting) {
  static std::map<std::array<std::int64_t, 3>, std::unique_ptr<fleet>> built;
  std::unique_ptr<fleet>& f = built[{workers, per_worker, waiting}];
  if (!f) {
    f = std::make_unique<fleet>(workers);
    f->Fill(per_worker * workers, workers);
    for (std::int64_t i = 0; i < waiting; ++i) {
      f->Submit();
    }
  }
  return *f;
}

/// One submission that is placed, on a fleet about half full, and the end of
/// one task, so that the fleet stays as it is.
void PlaceAndFinishBenchmark(benchmark::State& state) {
  fleet& f = Prepared(state.range(0), 8, 0);
  for (auto unused : state) {
    f.Submit();
    f.FinishOldest();
  }
  state.counters["running"] = static_cast<double>(f.running.size());
}
BENCHMARK(PlaceAndFinishBenchmark)->Arg(65)->Arg(350)->Arg(1000)->Arg(8000);

/// One end of a task on a full fleet with long queues, which starts another.
void ReplaceOnFullFleetBenchmark(benchmark::State& state) {
  fleet& f = Prepared(state.range(0), 40, 40 * state.range(0));
  for (auto unused : state) {
    f.Submit();
    f.FinishOldest();
  }
  state.counters["running"] = static_cast<double>(f.running.size());
}
BENCHMARK(ReplaceOnFullFleetBenchmark)->Arg(65)->Arg(350)->Arg(1000)->Arg(8000);

/// Cancellation of one waiting task among 100,000.
void CancelWaitingBenchmark(benchmark::State& state) {
  fleet& f = Prepared(state.range(0), 0, 100'000);
  for (auto unused : state) {
    f.Submit();
    benchmark::DoNotOptimize(f.scheduler.CancelTask({f.next_task - 1}, f.now));
  }
}
BENCHMARK(CancelWaitingBenchmark)->Arg(65)->Arg(350)->Arg(1000)->Arg(8000);

/// One report of a worker with its tasks.
void ReportBenchmark(benchmark::State& state) {
  fleet& f = Prepared(state.range(0), 8, 0);
  std::uint64_t worker = 0;
  for (auto unused : state) {
    worker = worker % static_cast<std::uint64_t>(state.range(0)) + 1;
    f.Report(worker);
  }
}
BENCHMARK(ReportBenchmark)->Arg(65)->Arg(350)->Arg(1000)->Arg(8000);

/// One round of Tick on a full fleet with every kind waiting.
void TickBenchmark(benchmark::State& state) {
  fleet& f = Prepared(state.range(0), 40, 40 * state.range(0));
  for (auto unused : state) {
    f.now += std::chrono::milliseconds(250);
    f.Take(f.scheduler.Tick(f.now));
  }
}
BENCHMARK(TickBenchmark)->Arg(65)->Arg(350)->Arg(1000)->Arg(8000);

}  // namespace
}  // namespace skylarkbridge::scheduling

BENCHMARK_MAIN();
