// Measures admission, routing and retries in virtual time, against baselines.
// Writes Markdown to standard output; --svg FILE also writes a plot.
// Wall-clock speed does not influence any figure.
#include <cstdio>
#include <cstring>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "request_report.hpp"
#include "request_simulation.hpp"

namespace skylarkbridge::bench {
namespace {

using scheduling::basic_dispatcher;
using scheduling::dispatcher;

constexpr std::uint64_t kSeeds = 5;

struct fleet {
  std::string name;
  std::size_t workers;
  std::int64_t slots;
};

const std::vector<fleet> kFleets = {{"65 workers", 65, 8},
                                    {"50 workers", 50, 8}};

using measures = std::map<std::string, samples>;
using run_function = simulation_result (*)(simulation_options);

template <class Dispatcher>
simulation_result RunWith(simulation_options options) {
  return simulation<Dispatcher>(std::move(options)).Run();
}

/// Broken invariants of each run of the program.
samples violations;

/// Runs once per seed and collects what @p measure reads from each result.
measures RunSeeds(
    simulation_options options,
    run_function run,
    const std::function<void(const simulation_options&,
                             const simulation_result&,
                             std::map<std::string, double>&)>& measure) {
  measures collected;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    options.seed = seed;
    options.dispatcher.seed = seed;
    const simulation_result result = run(options);
    std::map<std::string, double> values;
    violations.push_back(static_cast<double>(result.violations));
    measure(options, result, values);
    for (const auto& [name, value] : values) {
      collected[name].push_back(value);
    }
  }
  return collected;
}

double PerSecond(const simulation_options& options, std::int64_t count) {
  return static_cast<double>(count) /
         std::chrono::duration<double>(options.end - options.measure_from)
             .count();
}

/// One service at @p load of the capacity.
simulation_options OneService(const fleet& size, double load) {
  simulation_options options{
      .upstreams = std::vector<fake_upstream>(size.workers),
      .services = {{.declared = {.name = "entry-desk"}, .rate = 1}},
      .slots = size.slots};
  options.services[0].rate = Capacity(options) * load;
  return options;
}

// --- Routing ---

struct routing_row {
  std::string name;
  run_function run;
};

const std::vector<routing_row> kPolicies = {
    {"two choices, weighted by latency (chosen)", RunWith<dispatcher>},
    {"two choices",
     RunWith<basic_dispatcher<
         scheduling::power_of_two_choices<scheduling::outstanding_cost>>>},
    {"full scan, weighted by latency",
     RunWith<
         basic_dispatcher<scheduling::full_scan<scheduling::latency_cost>>>},
    {"full scan, least outstanding",
     RunWith<basic_dispatcher<
         scheduling::full_scan<scheduling::outstanding_cost>>>},
    {"round robin", RunWith<basic_dispatcher<scheduling::round_robin>>},
    {"random", RunWith<basic_dispatcher<scheduling::random_choice>>},
};

void MeasureRouting(std::vector<panel>& panels) {
  PrintHeader(
      "Routing: one worker in ten is 3 times slower; service time grows by "
      "half on a full worker; load 60% of capacity",
      {"Fleet", "Policy", "p50 ms", "p99 ms", "late or refused, permille"});
  std::vector<fleet> fleets = kFleets;
  fleets.push_back({"65 workers, 1 slot", 65, 1});
  for (const fleet& size : fleets) {
    panel plot{.title = "Routing, " + size.name + ": p99 ms"};
    for (const routing_row& policy : kPolicies) {
      simulation_options options = OneService(size, 1);
      options.contention = 0.5;
      for (std::size_t i = 0; i < size.workers; i += 10) {
        options.upstreams[i].slowness = 3;
      }
      options.services[0].rate = Capacity(options) * 0.6;
      const measures found = RunSeeds(
          options, policy.run,
          [](const auto&, const simulation_result& result, auto& values) {
            const service_result& service = result.services[0];
            values["p50"] = Percentile(service.latency, 0.5);
            values["p99"] = Percentile(service.latency, 0.99);
            values["lost"] = 1000 - 1000 * Ratio(service.good, service.arrived);
          });
      PrintRow({size.name, policy.name, Format(found.at("p50")),
                Format(found.at("p99")), Format(found.at("lost"))});
      plot.bars.push_back({policy.name, found.at("p99")});
    }
    panels.push_back(plot);
  }
}

// --- Floods ---

/// Which service of the two floods. The other offers its guaranteed share.
enum class flooding { kLessUrgent, kMoreUrgent };

/// "entry-desk" is more urgent than "heat-draw"; each is guaranteed 40% of the
/// capacity and offers that, and one rises to ten times its share. The queues
/// are long, so that only decisions bound the wait.
simulation_options Flood(const fleet& size, flooding which, bool shares) {
  simulation_options options = OneService(size, 1);
  options.measure_from = options.change_at;
  const double capacity = options.services[0].rate;
  options.services[0].rate = capacity * 0.4;
  options.services[0].declared.queue_limit = 100'000;
  options.services.push_back(options.services[0]);
  options.services[1].declared.name = "heat-draw";
  fake_service& flooder =
      options.services[which == flooding::kLessUrgent ? 1 : 0];
  flooder.flood_rate = capacity * 4;
  flooder.deadline = milliseconds(300);
  if (shares) {
    options.services[0].declared.claim = {400, 1000};
    options.services[0].declared.urgency = 200;
    options.services[1].declared.claim = {400, 1000};
  } else {
    options.services[1].declared = options.services[0].declared;
  }
  return options;
}

struct flood_row {
  std::string name;
  bool shares;
  bool early_refusal;
  /// Time for which a queue may grow up to what the deadlines allow.
  milliseconds burst;
};

const milliseconds kBurst = scheduling::admission_options().burst_allowance;

const std::vector<flood_row> kFloodRows = {
    {"shares, early refusal (chosen)", true, true, kBurst},
    {"no burst allowance", true, true, milliseconds(0)},
    {"without the rule for standing queues", true, true, std::chrono::hours(1)},
    {"no early refusal", true, false, kBurst},
    {"one queue for both, no shares", false, true, kBurst},
    {"one queue for both, no early refusal", false, false, kBurst},
};

void SetAdmission(simulation_options& options, const flood_row& row) {
  options.dispatcher.admission.early_refusal = row.early_refusal;
  options.dispatcher.admission.burst_allowance = row.burst;
}

/// p99 of a service with 40% of the capacity when it is alone.
samples UnloadedP99(const fleet& size) {
  simulation_options alone = Flood(size, flooding::kLessUrgent, true);
  alone.services.resize(1);
  return RunSeeds(
             alone, RunWith<dispatcher>,
             [](const auto&, const simulation_result& result, auto& values) {
               values["p99"] = Percentile(result.services[0].latency, 0.99);
             })
      .at("p99");
}

/// Measures service number @p watched.
measures RunFlood(simulation_options options,
                  double unloaded,
                  std::size_t watched) {
  return RunSeeds(
      std::move(options), RunWith<dispatcher>,
      [unloaded, watched](const simulation_options& used,
                          const simulation_result& result, auto& values) {
        const service_result& kept = result.services[watched];
        values["kept"] = Ratio(kept.good, kept.arrived);
        values["goodput"] =
            PerSecond(used, result.Total().good_in_window) / Capacity(used);
        values["p99"] = Percentile(kept.latency, 0.99) / unloaded;
        values["wait"] = Percentile(kept.wait, 1) / 1000;
        values["last wait"] = Percentile(result.services.back().wait, 1) / 1000;
      });
}

void AddAll(measures& aims, const std::string& prefix, const measures& found) {
  for (const auto& [name, values] : found) {
    samples& all = aims[prefix + name];
    all.insert(all.end(), values.begin(), values.end());
  }
}

void MeasureFlood(flooding which, std::vector<panel>& panels, measures& aims) {
  const bool less_urgent = which == flooding::kLessUrgent;
  const std::string kept = less_urgent ? "entry-desk" : "heat-draw";
  PrintHeader(std::string("Flood of the ") + (less_urgent ? "less" : "more") +
                  " urgent service: it offers 10 times its share with "
                  "deadlines of 300 ms; " +
                  kept + " offers its guaranteed 40% of capacity",
              {"Fleet", "Admission", kept + ": answered in time / guaranteed",
               "both: goodput / capacity", kept + ": p99 / unloaded p99",
               kept + ": longest wait, s"});
  for (const fleet& size : kFleets) {
    const double unloaded = Median(UnloadedP99(size));
    panel plot{.title = "Flood, " + size.name + ": part of " + kept +
                        " answered in time"};
    for (const flood_row& row : kFloodRows) {
      simulation_options options = Flood(size, which, row.shares);
      SetAdmission(options, row);
      const measures found = RunFlood(options, unloaded, less_urgent ? 0 : 1);
      PrintRow({size.name, row.name, Format(found.at("kept")),
                Format(found.at("goodput")), Format(found.at("p99")),
                Format(found.at("wait"))});
      plot.bars.push_back({row.name, found.at("kept")});
      if (&row == &kFloodRows.front()) {
        AddAll(aims, less_urgent ? "flood " : "urgent flood ", found);
      }
    }
    panels.push_back(plot);
  }
}

void MeasureOwnFlood(int factor, measures& aims) {
  PrintHeader(
      "Flood of the urgent service itself: entry-desk offers " +
          std::to_string(factor) + " times its guaranteed 40%; deadline 500 ms",
      {"Fleet", "Admission", "goodput / capacity",
       "p99 of admitted / unloaded p99", "the same with the first second",
       "longest wait with the first second, s"});
  for (const fleet& size : kFleets) {
    const double unloaded = Median(UnloadedP99(size));
    for (const flood_row& row : kFloodRows) {
      if (!row.shares) {
        continue;
      }
      simulation_options options = Flood(size, flooding::kMoreUrgent, true);
      options.services.resize(1);
      options.services[0].deadline = milliseconds(500);
      options.services[0].flood_rate = options.services[0].rate * factor;
      options.measure_from = options.change_at + seconds(1);
      SetAdmission(options, row);
      const measures found = RunFlood(options, unloaded, 0);
      options.measure_from = options.change_at;
      const measures with_onset = RunFlood(options, unloaded, 0);
      PrintRow({size.name, row.name, Format(found.at("goodput")),
                Format(found.at("p99")), Format(with_onset.at("p99")),
                Format(with_onset.at("wait"))});
      if (factor == 10 && &row == &kFloodRows.front()) {
        AddAll(aims, "own ", found);
        AddAll(aims, "own onset ", with_onset);
      }
    }
  }
}

void MeasureShortBurst() {
  PrintHeader(
      "Short burst: entry-desk offers 4 times the capacity for 80 ms; requests "
      "of these 80 ms",
      {"Fleet", "Admission", "answered in time / offered",
       "p99 of admitted / unloaded p99"});
  for (const fleet& size : kFleets) {
    const double unloaded = Median(UnloadedP99(size));
    for (const flood_row& row : {kFloodRows[0], kFloodRows[1]}) {
      simulation_options options = Flood(size, flooding::kMoreUrgent, true);
      options.services.resize(1);
      options.services[0].deadline = milliseconds(500);
      options.flood_until = options.change_at + milliseconds(80);
      options.end = options.flood_until;
      SetAdmission(options, row);
      const measures found = RunFlood(options, unloaded, 0);
      PrintRow({size.name, row.name, Format(found.at("kept")),
                Format(found.at("p99"))});
    }
  }
}

void MeasureUrgentStart(measures& aims) {
  PrintHeader(
      "Start of urgent requests: all deadlines are 30 s, both services offer "
      "10 times their share",
      {"Fleet", "Admission", "entry-desk: longest wait, s",
       "heat-draw: longest wait, s", "both: goodput / capacity"});
  for (const fleet& size : kFleets) {
    for (const flood_row& row :
         {kFloodRows[0], kFloodRows[2], kFloodRows.back()}) {
      simulation_options options =
          Flood(size, flooding::kLessUrgent, row.shares);
      for (fake_service& service : options.services) {
        service.deadline = seconds(30);
        service.flood_rate = service.rate * 10;
        service.declared.queue_limit = 1'000'000;
      }
      SetAdmission(options, row);
      if (!row.early_refusal) {
        options.dispatcher.admission.max_queue_wait = seconds(30);
      }
      const measures found = RunFlood(options, 1, 0);
      PrintRow({size.name, row.name, Format(found.at("wait")),
                Format(found.at("last wait")), Format(found.at("goodput"))});
      if (row.shares) {
        AddAll(aims, "start ", found);
      }
    }
  }
}

// --- Failures ---

struct retry_row {
  std::string name;
  std::int64_t budget_permille;
  std::uint32_t max_attempts;
  bool ejection;
  bool hedging;
};

const std::vector<retry_row> kRetryRows = {
    {"budget and ejection (chosen)", 90, 3, true, false},
    {"with hedging", 90, 3, true, true},
    {"no ejection", 90, 3, false, false},
    {"unlimited retries", 1'000'000, 20, true, false},
    {"unlimited retries, no ejection", 1'000'000, 20, false, false},
};

void MeasureFailures(std::vector<panel>& panels, measures& aims) {
  const std::vector<std::pair<fault, std::string>> faults = {
      {fault::kRefuses, "refuse"},
      {fault::kAnswersWithFault, "answer 500"},
      {fault::kStalls, "stall"}};
  PrintHeader(
      "Half of the upstreams fail: load 40% of capacity, measured from the "
      "fault on",
      {"Fleet", "Fault", "Retries", "attempts / request",
       "answered in time / offered", "p99 ms"});
  for (const fleet& size : kFleets) {
    for (const auto& [shows, fault_name] : faults) {
      panel plot{.title = "Half of " + size.name + " " + fault_name +
                          ": answered in time / offered"};
      for (const retry_row& row : kRetryRows) {
        simulation_options options = OneService(size, 0.4);
        for (std::size_t i = 0; i < size.workers; i += 2) {
          options.upstreams[i].shows = shows;
        }
        options.measure_from = options.change_at;
        options.dispatcher.max_attempts = row.max_attempts;
        options.dispatcher.retry = {.budget_permille = row.budget_permille,
                                    .max_saved_attempts = 1'000'000,
                                    .hedging = row.hedging};
        if (row.budget_permille < 1000) {
          options.dispatcher.retry.max_saved_attempts = 20;
        }
        if (!row.ejection) {
          options.dispatcher.upstreams.panic_permille = 0;
        }
        const measures found = RunSeeds(
            options, RunWith<dispatcher>,
            [](const auto&, const simulation_result& result, auto& values) {
              const service_result& service = result.services[0];
              values["attempts"] = Ratio(service.attempts, service.admitted);
              values["good"] = Ratio(service.good, service.arrived);
              values["p99"] = Percentile(service.latency, 0.99);
            });
        PrintRow({size.name, fault_name, row.name, Format(found.at("attempts")),
                  Format(found.at("good")), Format(found.at("p99"))});
        plot.bars.push_back({row.name, found.at("good")});
        if (&row == &kRetryRows.front()) {
          for (const double value : found.at("attempts")) {
            aims["attempts"].push_back(value);
          }
        }
      }
      panels.push_back(plot);
    }
  }
}

void PrintAims(const measures& aims) {
  PrintHeader("Aims of the design page",
              {"Aim", "Measured over both fleets", "Met"});
  const auto row = [&](const std::string& aim, const std::string& name,
                       double limit, bool at_least,
                       const std::string& reason = "") {
    const samples& values = aims.at(name);
    const bool met = at_least ? std::ranges::min(values) >= limit
                              : std::ranges::max(values) <= limit;
    PrintRow({aim, Format(values), met ? "yes" : "no" + reason});
  };
  row("10x flood of the less urgent service: the other keeps at least 0.95 of "
      "its share",
      "flood kept", 0.95, true);
  row("10x flood of the more urgent service: the other keeps at least 0.95 of "
      "its share",
      "urgent flood kept", 0.95, true);
  row("10x flood of the less urgent service: goodput at least 0.95 of capacity",
      "flood goodput", 0.95, true);
  row("10x flood of the more urgent service: goodput at least 0.95 of capacity",
      "urgent flood goodput", 0.95, true);
  row("10x flood of another service: p99 of admitted urgent requests at most "
      "1.2x",
      "flood p99", 1.2, false);
  row("10x flood of the urgent service itself, after its first second: goodput "
      "at least 0.95 of "
      "capacity",
      "own goodput", 0.95, true);
  row("10x flood of the urgent service itself, after its first second: p99 of "
      "admitted at most 1.2x",
      "own p99", 1.2, false);
  row("10x flood of the urgent service itself, its first second included: p99 "
      "of admitted at most 1.2x",
      "own onset p99", 1.2, false,
      ": a flood counts as a burst at first, and bursts are queued as far as "
      "their deadlines allow; see the table on short bursts for what this "
      "saves");
  row("Urgent requests start within 3.2 s", "start wait", 3.2, false);
  row("Half of the upstreams fail: at most 1.1 attempts per request",
      "attempts", 1.1, false);
  row("No broken invariant in these runs", "violations", 0, false);
}

int Main(int argc, char** argv) {
  const bool svg = argc == 3 && std::strcmp(argv[1], "--svg") == 0;
  if (argc != 1 && !svg) {
    std::fprintf(stderr, "usage: request_bench [--svg FILE]\n");
    return 2;
  }
  std::printf(
      "# Results: latency-critical requests\n\n"
      "Written by `build/bench/request_bench --svg docs/results/requests.svg > "
      "docs/results/requests.md`.\n\n"
      "Virtual time, fake upstreams, seeds 1 to %d; each cell is the median "
      "with the range over the seeds. Service times are log-normal with a mean "
      "of 20 ms and a sigma of 0.5; deadlines are 500 ms unless stated. Each "
      "worker has 8 slots and 64 connections, all of them held by one VM. "
      "Floods are measured from their start on unless stated. Slots do not "
      "slow one another down except in the runs on routing.\n",
      static_cast<int>(kSeeds));
  std::vector<panel> panels;
  measures aims;
  MeasureRouting(panels);
  MeasureFlood(flooding::kLessUrgent, panels, aims);
  MeasureFlood(flooding::kMoreUrgent, panels, aims);
  MeasureOwnFlood(10, aims);
  MeasureOwnFlood(3, aims);
  MeasureShortBurst();
  MeasureUrgentStart(aims);
  MeasureFailures(panels, aims);
  aims["violations"] = violations;
  PrintAims(aims);
  if (svg && !WriteSvg(argv[2], panels)) {
    std::fprintf(stderr, "cannot write %s\n", argv[2]);
    return 1;
  }
  return 0;
}

}  // namespace
}  // namespace skylarkbridge::bench

int main(int argc, char** argv) {
  return skylarkbridge::bench::Main(argc, argv);
}
