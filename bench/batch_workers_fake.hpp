#ifndef SKYLARKBRIDGE_BENCH_BATCH_WORKERS_FAKE_HPP
#define SKYLARKBRIDGE_BENCH_BATCH_WORKERS_FAKE_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/scheduling/batch_scheduler_impl.hpp"

/// @brief Workers in virtual time with pairwise, load-dependent slowdowns and
/// lagging reports.
namespace skylarkbridge::scheduling {

using std::chrono::milliseconds;
using std::chrono::seconds;
using time_seconds = std::chrono::duration<double>;
using services_of = std::array<double, 2>;
inline constexpr std::uint32_t kKinds = 6;
inline constexpr double kMeanLoad[] = {100, 60};
inline constexpr double kNever = std::numeric_limits<double>::max();

inline double Growth(double relative) {
  return std::pow(relative, 1.5);
}
inline double Base(std::uint32_t service, double relative) {
  return (service == 0 ? 8000 : 20'000) * (1 + 0.3 * relative * relative);
}

/// Knows every slowdown at every load.
struct oracle_estimator {
  std::array<std::array<double, kKinds>, 2> harm{};
  std::optional<double> Learn(std::uint32_t service,
                              double p99,
                              double load,
                              std::span<const exposure>) {
    return p99 / Base(service, load / kMeanLoad[service]);
  }
  slowdown_estimate EstimateSlowdown(std::uint32_t service,
                                     std::uint32_t kind,
                                     double load) const {
    return {harm[service][kind] * Growth(load / kMeanLoad[service]), 0};
  }
};
/// Knows the baselines and takes every task to be equally guilty.
struct threshold_estimator : oracle_estimator {
  slowdown_estimate EstimateSlowdown(std::uint32_t,
                                     std::uint32_t,
                                     double) const {
    return {1e-6, 0};
  }
};

struct user {
  const char* name;
  std::uint64_t workers, rack;
  resources capacity;  // three quarters; the rest is for services
};
inline constexpr user kUsers[] = {{"Tintes", 65, 8, {24'000, 93'750}},
                                  {"Árbakki", 50, 6, {12'000, 45'000}}};

struct scenario {
  bool harm = false, wrong_sizes = false;
  double length = 600;
  std::vector<std::uint32_t> steady = {0, 1, 2, 3, 4, 5};
  std::vector<std::uint32_t> flood = {};  // from one third of the length on
  std::int64_t minimum = 0;               // of every kind, in thousandths
  std::array<std::int64_t, kKinds> urgency{};
  bool bursts = false;  // of kind 5, every 20 s
};
struct outcome {
  double throughput = 0, p99 = 0, evictions = 0, over_use = 0, over_lease = 0,
         share = 0, urgent_start = 0;
};
struct job {
  std::uint32_t kind = 0;
  resources use;
  double work = 0, saved = 0, done = 0, submitted = 0, stop_at = kNever;
  std::uint64_t worker = 0;
  std::uint32_t attempt = 0;
  std::int64_t permille = 1000;
  bool save = false;
};
struct host {
  double factor = 1;
  time_point window_begin;
  std::vector<std::uint64_t> tasks;
  services_of slowdown{}, load{};
};

inline resources Scaled(const resources& size, double by) {
  return {std::llround(static_cast<double>(size.millicores) * by),
          std::llround(static_cast<double>(size.memory_mib) * by)};
}
inline resources TrueSize(std::uint32_t kind) {
  return {500 + 500 * (kind % 4), 1500 + 1500 * (kind % 3)};
}

template <class Estimator>
class world {
 public:
  world(const user& owner,
        const scenario& script,
        const oracle_estimator& truth,
        const batch_options& options,
        Estimator estimator)
      : owner_(owner),
        script_(script),
        truth_(truth),
        random_(options.seed),
        loads_(options.seed + 1000),
        scheduler_(options, estimator) {
    declaration::configuration config{
        .services = {{.name = "0"}, {.name = "1"}}};
    for (std::uint32_t k = 0; k < kKinds; ++k) {
      const double wrong = k % 2 == 0 ? 4.0 : 0.25;
      config.batch_kinds.push_back(
          {.name = std::to_string(k),
           .team = std::to_string(k),
           .claim = {.minimum_permille = script.minimum},
           .size = Scaled(TrueSize(k), script.wrong_sizes ? wrong : 1.0),
           .run_time = seconds(40),
           .checkpoints = k % 2 == 0,
           .urgency = script.urgency[k]});
    }
    Take(scheduler_.Configure(config, now_));
    for (std::uint64_t w = 0; w < owner.workers; ++w) {
      hosts_.push_back(
          {.factor = 0.8 + 0.4 * Draw(loads_), .window_begin = now_});
      Take(scheduler_.Update(
          {.worker = {w}, .rack = {w / owner.rack}, .capacity = owner.capacity},
          now_));
    }
  }

  outcome Run() {
    for (int step = 0; time_ < script_.length; ++step, time_ = step * 0.1) {
      now_ += milliseconds(100);
      if (step % 600 == 0)
        shift_ = 0.6 + 0.9 * Draw(loads_);
      if (step % 10 == 0)
        EverySecond(step / 10);
      for (std::uint64_t w = 0; w < hosts_.size(); ++w)
        StepHost(w, step);
      while (!reports_.empty() && reports_.begin()->first <= now_) {
        const usage_report report = reports_.begin()->second;
        reports_.erase(reports_.begin());
        Take(scheduler_.Report(report, now_));
      }
      const auto due = scheduler_.NextDeadline();
      if (due && *due <= now_)
        Take(scheduler_.Tick(now_));
    }
    for (int s : {0, 1}) {
      result_.p99 = std::max(result_.p99, P99(latency_[s]) / P99(alone_[s]));
    }
    const auto& counters = scheduler_.Counters();
    result_.evictions = static_cast<double>(counters.evicted_for_interference);
    result_.share /= std::max(1.0, observed_);
    return result_;
  }

 private:
  static double Draw(std::mt19937_64& random) {
    return std::uniform_real_distribution<>(0, 1)(random);
  }
  double Noise(double sigma) {
    return std::exp(std::normal_distribution<>(0, sigma)(random_));
  }
  double Fleet() const {
    return static_cast<double>(owner_.capacity.millicores) *
           static_cast<double>(owner_.workers);
  }
  void Submit(std::uint32_t kind) {
    const std::uint64_t id = next_++;
    jobs_[id] = {.kind = kind,
                 .use = Scaled(TrueSize(kind), std::min(Noise(0.12), 1.5)),
                 .work = 20 + 40 * Draw(random_),
                 .submitted = time_};
    ++open_[kind];
    Take(scheduler_.Submit({.task = {id}, .kind = std::to_string(kind)}, now_));
  }
  void EverySecond(int second) {
    const double slots = Fleet() / 1000;
    for (const std::uint32_t k : script_.steady) {
      while (open_[k] < slots)
        Submit(k);
    }
    for (int i = 0; script_.bursts && second % 20 == 10 && i < 20; ++i) {
      Submit(5);
    }
    for (const worker_id id : scheduler_.Workers()) {
      const auto leased = scheduler_.Allocation(id)->leased;
      result_.over_lease += Fits(leased, owner_.capacity) ? 0 : 1;
    }
    if (script_.flood.empty() || time_ < script_.length / 3)
      return;
    while (open_[script_.flood[0]] < 10 * slots)
      Submit(script_.flood[0]);
    if (time_ < script_.length / 3 + 5)
      return;  // lent share comes back
    const resources held = scheduler_.Kinds()[script_.steady[0]].leased;
    const double guaranteed =
        Fleet() * static_cast<double>(script_.minimum) / 1000;
    result_.share +=
        std::min(1.0, static_cast<double>(held.millicores) / guaranteed);
    ++observed_;
  }
  void Take(const task_commands& commands) {
    for (const task_command& command : commands) {
      job& j = jobs_[std::visit([](auto& c) { return c.task.value; }, command)];
      if (const auto* start = std::get_if<start_task>(&command)) {
        if (script_.bursts && j.kind == 5 && start->attempt == 1) {
          result_.urgent_start =
              std::max(result_.urgent_start, time_ - j.submitted);
        }
        j.worker = start->worker.value;
        j.attempt = start->attempt;
        j.permille = 1000;
        j.done = j.saved;
        j.stop_at = kNever;
        j.save = false;
        hosts_[j.worker].tasks.push_back(start->task.value);
      } else if (const auto* change = std::get_if<throttle_task>(&command)) {
        j.permille = change->processor_permille;
      } else if (std::holds_alternative<checkpoint_task>(command)) {
        j.stop_at = time_ + 0.5;
        j.save = true;
      } else if (std::holds_alternative<stop_task>(command)) {
        j.stop_at = std::min(j.stop_at, time_ + 0.2);
      }
    }
  }
  void End(std::uint64_t id, bool done) {
    job& j = jobs_[id];
    const job ended = j;
    std::erase(hosts_[j.worker].tasks, id);
    if (done) {
      result_.throughput +=
          j.work * static_cast<double>(j.use.millicores) / 1000;
      --open_[j.kind];
      jobs_.erase(id);
    } else if (j.save) {
      j.saved = j.done;
      Take(scheduler_.Checkpointed(
          {{id}, {ended.worker}, ended.attempt, "saved"}, now_));
    }
    Take(scheduler_.Finished(
        {{id},
         {ended.worker},
         ended.attempt,
         done ? task_result::kSucceeded : task_result::kStopped},
        now_));
  }
  double Load(std::uint32_t service, const host& h) const {
    const double wave = std::sin(6.283 * (time_ / 600 + 0.3 * service));
    return std::max(0.1, (1 + 0.35 * wave) * shift_ * h.factor);
  }
  void StepHost(std::uint64_t w, int step) {
    host& h = hosts_[w];
    resources use;
    for (const std::uint64_t id : h.tasks)
      use += jobs_[id].use;
    result_.over_use += Fits(use, owner_.capacity) ? 0 : 0.1;
    const auto room = static_cast<double>(owner_.capacity.millicores);
    const double speed = std::min(
        1.0, room / std::max(1.0, static_cast<double>(use.millicores)));
    services_of slowdown{1, 1};
    std::vector<std::uint64_t> ended;
    for (const std::uint64_t id : h.tasks) {
      job& j = jobs_[id];
      const double pace = static_cast<double>(j.permille) / 1000;
      for (std::uint32_t s : {0, 1}) {
        slowdown[s] +=
            16'000 / room * pace * truth_.harm[s][j.kind] * Growth(Load(s, h));
      }
      j.done += 0.1 * pace * speed;
      if (j.done >= j.work || time_ >= j.stop_at)
        ended.push_back(id);
    }
    for (std::uint32_t s : {0, 1}) {
      h.slowdown[s] += slowdown[s];
      h.load[s] += Load(s, h);
      if (step % 5 == 0) {
        alone_[s].push_back(Base(s, Load(s, h)) * Noise(0.4));
        latency_[s].push_back(alone_[s].back() * slowdown[s]);
      }
    }
    for (const std::uint64_t id : ended) {
      End(id, jobs_[id].done >= jobs_[id].work);
    }
    if ((step + static_cast<int>(w)) % 50 == 49)
      MakeReport(w);
  }
  /// Windows of up to 5 s, staggered between workers, arrive 3 to 8 s late.
  void MakeReport(std::uint64_t w) {
    host& h = hosts_[w];
    usage_report report{{w}, h.window_begin, now_, {}, {}};
    for (const std::uint64_t id : h.tasks) {
      const job& j = jobs_[id];
      report.tasks.push_back(
          {{id}, {j.use.millicores * j.permille / 1000, j.use.memory_mib}});
    }
    const double length = time_seconds(now_ - h.window_begin).count();
    for (std::uint32_t s : {0, 1}) {
      const double load = h.load[s] / length / 10;
      const double p99 = Base(s, load) * h.slowdown[s] / length / 10;
      report.services.push_back(
          {std::to_string(s), std::llround(load * kMeanLoad[s] * length),
           std::chrono::microseconds(std::llround(p99 * Noise(0.06)))});
    }
    h.load = h.slowdown = {};
    h.window_begin = now_;
    reports_.emplace(
        now_ + milliseconds(std::llround(3000 + 5000 * Draw(random_))),
        std::move(report));
  }
  static double P99(std::vector<double>& values) {
    const auto at = values.begin() + std::ssize(values) * 99 / 100;
    std::nth_element(values.begin(), at, values.end());
    return *at;
  }

  user owner_;
  scenario script_;
  oracle_estimator truth_;
  std::mt19937_64 random_;
  /// Of its own, so that every scheduler meets the same load.
  std::mt19937_64 loads_;
  basic_batch_scheduler<Estimator> scheduler_;
  time_point now_ = time_point(std::chrono::hours(1));
  double time_ = 0, shift_ = 1, observed_ = 0;
  std::vector<host> hosts_;
  absl::flat_hash_map<std::uint64_t, job> jobs_;
  std::array<std::int64_t, kKinds> open_{};
  std::multimap<time_point, usage_report> reports_;
  std::array<std::vector<double>, 2> latency_, alone_;
  std::uint64_t next_ = 1;
  outcome result_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_BENCH_BATCH_WORKERS_FAKE_HPP
