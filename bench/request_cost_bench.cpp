// Cost of the decisions on requests, on one thread, by number of upstreams.
#include <benchmark/benchmark.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

#include "skylarkbridge/scheduling/dispatcher.hpp"

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::microseconds;
using std::chrono::seconds;

constexpr time_point kStart = time_point(seconds(1000));
constexpr std::int64_t kSlots = 8;

declaration::configuration Declared() {
  declaration::configuration config;
  config.teams = {{.name = "crew", .claim = {600, 1000}}};
  config.services = {{.name = "entry-desk",
                      .team = "crew",
                      .claim = {600, 1000},
                      .queue_limit = 1'000'000},
                     {.name = "heat-draw",
                      .team = "crew",
                      .queue_limit = 1'000'000,
                      .urgency = 10}};
  return config;
}

/// Arrivals and ends of attempts in a steady state.
template <class Dispatcher>
class steady_load {
 public:
  explicit steady_load(std::int64_t upstreams) {
    dispatcher_.Configure(Declared(), now_);
    for (std::int64_t id = 0; id < upstreams; ++id) {
      dispatcher_.Update({.upstream = {static_cast<std::uint64_t>(id)},
                          .slots = kSlots,
                          .connections = 64},
                         now_);
    }
  }

  void Arrive() {
    ++last_;
    Apply(dispatcher_.Arrive({{last_},
                              last_ % 2 == 0 ? "entry-desk" : "heat-draw",
                              now_ + seconds(30),
                              true},
                             now_));
  }

  /// Ends the attempt that has run for longest.
  void FinishOldest() {
    now_ += microseconds(20);
    const start_attempt ended = running_[oldest_++ % running_.size()];
    slot_ = &running_[(oldest_ - 1) % running_.size()];
    Apply(dispatcher_.Finish(
        {ended.request, ended.attempt, attempt_result::kAnswered}, now_));
  }

  Dispatcher& Get() { return dispatcher_; }

 private:
  void Apply(const request_commands& commands) {
    for (const request_command& command : commands) {
      if (const auto* start = std::get_if<start_attempt>(&command)) {
        if (slot_ != nullptr) {
          *slot_ = *start;
          slot_ = nullptr;
        } else {
          running_.push_back(*start);
        }
      }
    }
  }

  Dispatcher dispatcher_;
  time_point now_ = kStart;
  std::uint64_t last_ = 0;
  std::vector<start_attempt> running_;
  std::size_t oldest_ = 0;
  start_attempt* slot_ = nullptr;
};

/// One request: its arrival with a start at once, and its end. Half of the
/// slots are in use.
template <class Dispatcher>
void RequestBenchmark(benchmark::State& state) {
  steady_load<Dispatcher> load(state.range(0));
  for (std::int64_t i = 0; i < state.range(0) * kSlots / 2; ++i) {
    load.Arrive();
  }
  for (auto _ : state) {
    load.FinishOldest();
    load.Arrive();
  }
}

/// One request while all slots are in use and many wait: the end of another
/// with the start of the next one waiting, and an arrival that must wait.
template <class Dispatcher>
void QueueBenchmark(benchmark::State& state) {
  steady_load<Dispatcher> load(350);
  for (std::int64_t i = 0; i < 350 * kSlots + state.range(0); ++i) {
    load.Arrive();
  }
  for (auto _ : state) {
    load.FinishOldest();
    load.Arrive();
    benchmark::DoNotOptimize(load.Get().NextDeadline());
  }
}

#ifndef SKYLARKBRIDGE_BENCH_THIN
/// The choice of an upstream alone, with its slot taken and returned.
template <class Policy>
void ChoiceBenchmark(benchmark::State& state) {
  upstream_table table;
  for (std::int64_t id = 0; id < state.range(0); ++id) {
    table.Update({.upstream = {static_cast<std::uint64_t>(id)},
                  .slots = kSlots,
                  .connections = 64},
                 kStart);
  }
  router<Policy> choice(1);
  std::vector<upstream_index> held;
  for (std::int64_t i = 0; i < state.range(0) * kSlots / 2; ++i) {
    held.push_back(*choice.Choose(table.Candidates(locality::kLocal), {}));
    benchmark::DoNotOptimize(table.AcquireSlot(held.back(), kStart));
  }
  std::size_t oldest = 0;
  for (auto _ : state) {
    table.ReleaseSlot(held[oldest]);
    held[oldest] = *choice.Choose(table.Candidates(locality::kLocal), {});
    benchmark::DoNotOptimize(table.AcquireSlot(held[oldest], kStart));
    oldest = (oldest + 1) % held.size();
  }
}

using weighted = power_of_two_choices<latency_cost>;
using unweighted = power_of_two_choices<outstanding_cost>;
using scan = full_scan<outstanding_cost>;

void Sizes(benchmark::internal::Benchmark* bench) {
  bench->Arg(65)->Arg(350)->Arg(1000)->Arg(8000);
}

BENCHMARK_TEMPLATE(ChoiceBenchmark, weighted)->Apply(Sizes);
BENCHMARK_TEMPLATE(ChoiceBenchmark, unweighted)->Apply(Sizes);
BENCHMARK_TEMPLATE(ChoiceBenchmark, scan)->Apply(Sizes);
BENCHMARK_TEMPLATE(ChoiceBenchmark, round_robin)->Apply(Sizes);
BENCHMARK_TEMPLATE(ChoiceBenchmark, random_choice)->Apply(Sizes);
#endif

BENCHMARK_TEMPLATE(RequestBenchmark, dispatcher)
    ->Arg(65)
    ->Arg(350)
    ->Arg(1000)
    ->Arg(8000);
BENCHMARK_TEMPLATE(QueueBenchmark, dispatcher)
    ->Arg(0)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000);

}  // namespace
}  // namespace skylarkbridge::scheduling

BENCHMARK_MAIN();
