// Batch and interference aims of docs/design.md in virtual time, with fixed
// seeds. Writes a Markdown table; --svg PATH also writes a plot.
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <initializer_list>
#include <random>
#include <string>
#include <vector>

#include "batch_workers_fake.hpp"

namespace skylarkbridge::scheduling {
namespace {

enum class variant {
  kOurs,
  kReactive,
  kDeclared,
  kNoShares,
  kOracle,
  // Ours without one of its parts.
  kPack,
  kBlindPlacement,
  kNoThrottle,
  kSingleWindows,
};

outcome Play(const user& owner,
             const scenario& script,
             std::uint64_t seed,
             variant chosen) {
  std::mt19937_64 random(seed * 7919);
  oracle_estimator truth;
  for (auto& service : truth.harm) {
    for (double& pair : service) {
      const double draw = std::uniform_real_distribution<>(0, 1)(random);
      pair = !script.harm ? 0 : draw < 0.5 ? 0.004 : 0.1 * draw - 0.03;
    }
  }
  batch_options options{.seed = seed};
  options.usage.learn = chosen != variant::kDeclared;
  options.reclaim.enforce_shares = chosen != variant::kNoShares;
  options.interference.throttle_first = chosen != variant::kNoThrottle;
  options.interference.smooth_windows = chosen != variant::kSingleWindows;
  if (chosen == variant::kPack) {
    options.placement.free_resources_weight =
        -options.placement.free_resources_weight;
  }
  if (chosen == variant::kBlindPlacement) {
    options.placement.slowdown_weight = 0;
    options.interference.max_placement_slowdown = 1e9;
  }
  if (chosen == variant::kReactive) {
    options.interference = {.max_placement_slowdown = 1e9,
                            .smooth_windows = false,
                            .throttle_first = false,
                            .wait_for_effect = false,
                            .windows_before_eviction = 1,
                            .evictions_per_worker_minute = 1e9,
                            .eviction_burst = 1e9};
    options.placement.slowdown_weight = 0;
    return world(owner, script, truth, options, threshold_estimator{truth})
        .Run();
  }
  if (chosen != variant::kOracle) {
    return world(owner, script, truth, options, slowdown_model()).Run();
  }
  // The most throughput of several limits that keep the aim for p99.
  outcome best;
  for (const double limit : {1.18, 1.20, 1.22, 1.24}) {
    options.interference.max_placement_slowdown = limit;
    const outcome tried = world(owner, script, truth, options, truth).Run();
    const bool better = tried.throughput > best.throughput;
    if (best.p99 == 0 || (tried.p99 <= 1.25 && better)) {
      best = tried;
    }
  }
  return best;
}

using outcomes = std::vector<outcome>;
struct row {
  std::string matter;
  double limit;  // 0 with kBaseline: no aim
  enum { kAtLeast, kAtMost, kBaseline } aim;
  const outcomes& top;
  double outcome::*value;
  const outcomes* bottom = nullptr;
};

/// Prints a row of the table and returns the median.
double Print(const char* name, const row& r) {
  std::vector<double> v;
  for (std::size_t i = 0; i < r.top.size(); ++i) {
    const double by = r.bottom ? (*r.bottom)[i].*r.value : 1.0;
    v.push_back(r.top[i].*r.value / (by == 0 ? 1 : by));
  }
  std::sort(v.begin(), v.end());
  const auto met = [&](double x) {
    return r.aim == row::kAtLeast ? x >= r.limit : x <= r.limit;
  };
  const bool all = met(v.front()) && met(v.back());
  const double median = v[v.size() / 2];
  char aim[32] = "baseline";
  if (r.aim != row::kBaseline) {
    std::snprintf(aim, sizeof(aim), "%s %.2f",
                  r.aim == row::kAtLeast ? "≥" : "≤", r.limit);
  }
  std::printf("| %s | %s | %s | %.3g | %.3g to %.3g | %s |\n", r.matter.c_str(),
              name, aim, median, v.front(), v.back(),
              r.aim == row::kBaseline ? ""
              : all                   ? "met"
              : met(median)           ? "met by the median only"
                                      : "not met");
  return median;
}

int Main(int argc, char** argv) {
  std::uint64_t seeds = 5;
  std::ofstream svg;
  for (int i = 1; i + 1 < argc; i += 2) {
    if (std::strcmp(argv[i], "--svg") == 0) {
      svg.open(argv[i + 1]);
    }
    if (std::strcmp(argv[i], "--seeds") == 0) {
      seeds = std::stoull(argv[i + 1]);
    }
  }
  std::printf(
      "| Matter | User | Aim | Median | Range | Result |\n"
      "|---|---|---|---|---|---|\n");
  svg << "<svg xmlns='http://www.w3.org/2000/svg' width='800' height='460' "
         "font-family='sans-serif' font-size='12'>\n";
  int y = 5;
  for (const user& owner : kUsers) {
    const auto play = [&](const scenario& script, variant chosen) {
      outcomes all;
      for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        all.push_back(Play(owner, script, seed, chosen));
      }
      return all;
    };
    using enum variant;
    const scenario mixed{.harm = true, .length = 900};
    const scenario right, wrong{.wrong_sizes = true};
    const scenario flood{
        .length = 300, .steady = {1}, .flood = {0}, .minimum = 400};
    scenario urgent = flood;
    urgent.urgency[0] = 10;
    scenario bursts{.length = 300, .steady = {0, 1, 2, 3, 4}, .bursts = true};
    bursts.urgency[5] = 100;
    const outcomes ours = play(mixed, kOurs), oracle = play(mixed, kOracle),
                   reactive = play(mixed, kReactive),
                   exact = play(right, kOurs), learnt = play(wrong, kOurs),
                   declared = play(wrong, kDeclared), kept = play(flood, kOurs),
                   unkept = play(flood, kNoShares),
                   pressed = play(urgent, kOurs), started = play(bursts, kOurs),
                   aged = play(bursts, kNoShares);
    const outcomes pack = play(mixed, kPack),
                   blind = play(mixed, kBlindPlacement),
                   unthrottled = play(mixed, kNoThrottle),
                   single = play(mixed, kSingleWindows);
    using o = outcome;
    for (const row& r : std::initializer_list<row>{
             {"p99 of services against none", 1.25, row::kAtMost, ours,
              &o::p99},
             {"same, oracle", 0, row::kBaseline, oracle, &o::p99},
             {"same, reactive", 0, row::kBaseline, reactive, &o::p99},
             {"throughput against oracle", 0.9, row::kAtLeast, ours,
              &o::throughput, &oracle},
             {"same, reactive", 0, row::kBaseline, reactive, &o::throughput,
              &oracle},
             {"evictions against reactive", 0.2, row::kAtMost, ours,
              &o::evictions, &reactive},
             {"evictions, reactive", 0, row::kBaseline, reactive,
              &o::evictions},
             {"p99, packed", 0, row::kBaseline, pack, &o::p99},
             {"throughput, packed", 0, row::kBaseline, pack, &o::throughput,
              &oracle},
             {"p99, placed without regard to harm", 0, row::kBaseline, blind,
              &o::p99},
             {"throughput, placed without regard to harm", 0, row::kBaseline,
              blind, &o::throughput, &oracle},
             {"p99, no throttle step", 0, row::kBaseline, unthrottled, &o::p99},
             {"throughput, no throttle step", 0, row::kBaseline, unthrottled,
              &o::throughput, &oracle},
             {"p99, single windows", 0, row::kBaseline, single, &o::p99},
             {"throughput, single windows", 0, row::kBaseline, single,
              &o::throughput, &oracle},
             {"evictions, no throttle step", 0, row::kBaseline, unthrottled,
              &o::evictions},
             {"evictions, ours", 0, row::kBaseline, ours, &o::evictions},
             {"throughput, sizes wrong by 4x", 0.85, row::kAtLeast, learnt,
              &o::throughput, &exact},
             {"same, declared sizes only", 0, row::kBaseline, declared,
              &o::throughput, &exact},
             {"leases over capacity", 0, row::kAtMost, learnt, &o::over_lease},
             {"worker seconds of use over capacity", 0, row::kAtMost, learnt,
              &o::over_use},
             {"same, declared sizes only", 0, row::kBaseline, declared,
              &o::over_use},
             {"share kept in a 10x flood", 0.95, row::kAtLeast, kept,
              &o::share},
             {"same, more urgent flood", 0.95, row::kAtLeast, pressed,
              &o::share},
             {"same, no shares", 0, row::kBaseline, unkept, &o::share},
             {"slowest urgent start, s", 3.2, row::kAtMost, started,
              &o::urgent_start},
             {"same, no shares", 0, row::kBaseline, aged, &o::urgent_start}}) {
      const double median = Print(owner.name, r);
      if (r.limit == 0) {
        continue;
      }
      // The red line marks the aim of each bar.
      svg << "<text x='5' y='" << y + 13 << "'>" << owner.name << ": "
          << r.matter << (r.aim == row::kAtLeast ? " (at least)" : " (at most)")
          << "</text><rect x='400' height='16' fill='#47a' y='" << y
          << "' width='" << std::min(200 * median / r.limit, 390.0) << "'/>\n";
      y += 24;
    }
  }
  svg << "<path d='M600 0V" << y << "' stroke='#c33'/></svg>\n";
  return 0;
}

}  // namespace
}  // namespace skylarkbridge::scheduling

int main(int argc, char** argv) {
  return skylarkbridge::scheduling::Main(argc, argv);
}
