#ifndef SKYLARKBRIDGE_BENCH_REQUEST_SIMULATION_HPP
#define SKYLARKBRIDGE_BENCH_REQUEST_SIMULATION_HPP

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "skylarkbridge/scheduling/dispatcher.hpp"

/// @brief Fake upstreams and callers that drive a dispatcher in virtual time.
namespace skylarkbridge::bench {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

inline constexpr time_point kBegin = time_point(seconds(1000));

enum class fault { kNone, kRefuses, kAnswersWithFault, kStalls };

struct fake_upstream {
  /// Service time relative to the others.
  double slowness = 1;
  /// Fault that it shows from fault_from on.
  fault shows = fault::kNone;
  std::int64_t running = 0;
};

struct fake_service {
  declaration::service declared;
  milliseconds mean{20};
  /// Spread of the log-normal service time.
  double sigma = 0.5;
  milliseconds deadline{500};
  /// Requests per second outside and inside of the flood.
  double rate = 0;
  double flood_rate = 0;
  bool idempotent = true;
};

struct simulation_options {
  std::vector<fake_upstream> upstreams;
  std::vector<fake_service> services;
  std::vector<declaration::team> teams;
  std::int64_t slots = 8;
  std::int64_t connections = 64;
  /// Growth of the service time when all slots of an upstream are in use.
  double contention = 0;
  std::uint64_t seed = 1;
  /// Requests that arrive between measure_from and end are counted; faults and
  /// floods start at change_at.
  milliseconds change_at{1500};
  milliseconds flood_until{1'000'000};
  milliseconds measure_from{2500};
  milliseconds end{6000};
  scheduling::dispatcher_options dispatcher;
};

struct service_result {
  std::int64_t arrived = 0;
  /// Answered without a fault within the deadline.
  std::int64_t good = 0;
  /// Such answers between measure_from and end, whenever the request arrived.
  std::int64_t good_in_window = 0;
  std::int64_t admitted = 0;
  std::int64_t attempts = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  /// Milliseconds from arrival to answer and to the first start.
  std::vector<double> latency;
  std::vector<double> wait;
};

struct simulation_result {
  std::vector<service_result> services;
  /// Broken invariants: attempts over the slots of an upstream, starts after
  /// the deadline, second runs of non-idempotent requests, and requests that
  /// were called not-run but ran.
  std::int64_t violations = 0;

  service_result Total() const {
    service_result sum;
    for (const service_result& each : services) {
      sum.arrived += each.arrived;
      sum.good += each.good;
      sum.good_in_window += each.good_in_window;
      sum.admitted += each.admitted;
      sum.attempts += each.attempts;
    }
    return sum;
  }
};

inline double Percentile(std::vector<double> values, double part) {
  if (values.empty()) {
    return 0;
  }
  const auto at = static_cast<std::ptrdiff_t>(
      part * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + at, values.end());
  return values[static_cast<std::size_t>(at)];
}

inline double Ratio(std::int64_t part, std::int64_t whole) {
  return whole == 0 ? 0
                    : static_cast<double>(part) / static_cast<double>(whole);
}

/// @brief Answers per second when all slots are always in use.
inline double Capacity(const simulation_options& options) {
  double mean = 0;
  double rate = 0;
  for (const fake_service& service : options.services) {
    mean += static_cast<double>(service.mean.count()) / 1e3 * service.rate;
    rate += service.rate;
  }
  double capacity = 0;
  for (const fake_upstream& upstream : options.upstreams) {
    capacity += static_cast<double>(options.slots) /
                (mean / rate * upstream.slowness * (1 + options.contention));
  }
  return capacity;
}

template <class Dispatcher>
class simulation {
 public:
  explicit simulation(simulation_options options)
      : options_(std::move(options)),
        random_(options_.seed),
        dispatcher_(options_.dispatcher) {
    result_.services.resize(options_.services.size());
  }

  simulation_result Run() {
    declaration::configuration config{.teams = options_.teams};
    for (const fake_service& service : options_.services) {
      config.services.push_back(service.declared);
    }
    dispatcher_.Configure(config, kBegin);
    for (std::size_t id = 0; id < options_.upstreams.size(); ++id) {
      dispatcher_.Update({.upstream = {id},
                          .slots = options_.slots,
                          .connections = options_.connections},
                         kBegin);
    }
    for (std::size_t service = 0; service < options_.services.size();
         ++service) {
      ScheduleArrival(service, kBegin);
    }
    while (!events_.empty()) {
      const std::optional<time_point> due = dispatcher_.NextDeadline();
      if (due && *due < events_.top().at) {
        Apply(dispatcher_.Tick(*due), *due);
        continue;
      }
      const event next = events_.top();
      events_.pop();
      if (next.arrival) {
        Arrive(next.service, next.at);
      } else {
        End(next);
      }
    }
    return std::move(result_);
  }

 private:
  struct event {
    time_point at;
    std::uint64_t order = 0;
    bool arrival = false;
    std::size_t service = 0;
    std::uint64_t request = 0;
    std::uint32_t attempt = 0;
    scheduling::attempt_result result = scheduling::attempt_result::kAnswered;
    bool upstream_fault = false;

    bool operator<(const event& other) const {
      return std::tie(at, order) > std::tie(other.at, other.order);
    }
  };
  struct open_attempt {
    std::uint32_t attempt = 0;
    std::uint64_t upstream = 0;
  };
  struct open_request {
    std::size_t service = 0;
    time_point arrived;
    time_point deadline;
    bool counted = false;
    bool finished = false;
    bool fault = false;
    int runs = 0;
    std::vector<open_attempt> attempts;
  };

  bool Changed(time_point now) const {
    return now >= kBegin + options_.change_at;
  }

  void ScheduleArrival(std::size_t service, time_point now) {
    const fake_service& of = options_.services[service];
    const double rate =
        Changed(now) && of.flood_rate > 0 && now < kBegin + options_.flood_until
            ? of.flood_rate
            : of.rate;
    const double gap = std::exponential_distribution<double>(rate)(random_);
    const time_point at = now + nanoseconds(std::llround(gap * 1e9));
    if (at < kBegin + options_.end) {
      events_.push(
          {.at = at, .order = ++order_, .arrival = true, .service = service});
    }
  }

  void Arrive(std::size_t service, time_point now) {
    ScheduleArrival(service, now);
    const fake_service& of = options_.services[service];
    const std::uint64_t id = ++last_request_;
    open_request& request = requests_[id];
    request.service = service;
    request.arrived = now;
    request.deadline = now + of.deadline;
    request.counted = now >= kBegin + options_.measure_from;
    result_.services[service].arrived += request.counted ? 1 : 0;
    Apply(dispatcher_.Arrive(
              {{id}, of.declared.name, request.deadline, of.idempotent}, now),
          now);
  }

  void Start(const scheduling::start_attempt& start, time_point now) {
    open_request& request = requests_.at(start.request.value);
    fake_upstream& upstream = options_.upstreams[start.upstream.value];
    const fake_service& of = options_.services[request.service];
    service_result& result = result_.services[request.service];
    if (request.counted) {
      ++result.attempts;
      if (start.attempt == 1) {
        ++result.admitted;
        result.wait.push_back(ToMilliseconds(now - request.arrived));
      }
    }
    ++upstream.running;
    Violation(upstream.running > options_.slots || now >= request.deadline);
    request.attempts.push_back({start.attempt, start.upstream.value});
    event end{.order = ++order_,
              .request = start.request.value,
              .attempt = start.attempt};
    const fault shows = Changed(now) ? upstream.shows : fault::kNone;
    if (shows == fault::kRefuses) {
      end.at = now + milliseconds(1);
      end.result = scheduling::attempt_result::kNotStarted;
    } else {
      ++request.runs;
      Violation(!of.idempotent && request.runs > 1);
      end.upstream_fault = shows == fault::kAnswersWithFault;
      end.at = shows == fault::kStalls ? time_point::max()
               : end.upstream_fault    ? now + milliseconds(2)
                                       : now + ServiceTime(of, upstream);
      if (end.at > request.deadline) {
        end.at = request.deadline;
        end.result = scheduling::attempt_result::kUnknown;
      }
    }
    events_.push(end);
  }

  nanoseconds ServiceTime(const fake_service& of,
                          const fake_upstream& upstream) {
    const double mean = static_cast<double>(of.mean.count()) * 1e6;
    const double busy = static_cast<double>(upstream.running) /
                        static_cast<double>(options_.slots);
    std::lognormal_distribution<double> spread(-of.sigma * of.sigma / 2,
                                               of.sigma);
    return nanoseconds(std::llround(mean * spread(random_) * upstream.slowness *
                                    (1 + options_.contention * busy)));
  }

  void End(const event& ended) {
    const auto found = requests_.find(ended.request);
    if (found == requests_.end()) {
      return;
    }
    open_request& request = found->second;
    const auto attempt = std::ranges::find(request.attempts, ended.attempt,
                                           &open_attempt::attempt);
    if (attempt == request.attempts.end()) {
      return;
    }
    --options_.upstreams[attempt->upstream].running;
    request.attempts.erase(attempt);
    request.fault = ended.upstream_fault;
    Apply(dispatcher_.Finish({{ended.request},
                              ended.attempt,
                              ended.result,
                              ended.upstream_fault},
                             ended.at),
          ended.at);
    const auto left = requests_.find(ended.request);
    if (left != requests_.end() && left->second.finished &&
        left->second.attempts.empty()) {
      requests_.erase(left);
    }
  }

  void Apply(const scheduling::request_commands& commands, time_point now) {
    for (const scheduling::request_command& command : commands) {
      if (const auto* start =
              std::get_if<scheduling::start_attempt>(&command)) {
        Start(*start, now);
      } else {
        Outcome(std::get<scheduling::finish_request>(command), now);
      }
    }
  }

  void Outcome(const scheduling::finish_request& finish, time_point now) {
    const std::uint64_t id = finish.request.value;
    open_request& request = requests_.at(id);
    Violation(request.finished ||
              (finish.outcome == scheduling::request_outcome::kNotRun &&
               request.runs > 0));
    request.finished = true;
    service_result& result = result_.services[request.service];
    const bool good = finish.outcome == scheduling::request_outcome::kDone &&
                      !request.fault && now <= request.deadline;
    if (now >= kBegin + options_.measure_from && now < kBegin + options_.end) {
      result.good_in_window += good ? 1 : 0;
    }
    if (request.counted) {
      result.good += good ? 1 : 0;
      if (finish.outcome == scheduling::request_outcome::kDone) {
        result.latency.push_back(ToMilliseconds(now - request.arrived));
      } else if (finish.outcome == scheduling::request_outcome::kNotRun) {
        ++result.not_run;
      } else {
        ++result.unknown;
      }
    }
    if (request.attempts.empty()) {
      requests_.erase(id);
      return;
    }
    // The daemon closes the connections of the remaining attempts.
    for (const open_attempt& open : request.attempts) {
      events_.push({.at = now,
                    .order = ++order_,
                    .request = id,
                    .attempt = open.attempt,
                    .result = scheduling::attempt_result::kUnknown});
    }
  }

  static double ToMilliseconds(nanoseconds time) {
    return static_cast<double>(time.count()) / 1e6;
  }
  void Violation(bool broken) { result_.violations += broken ? 1 : 0; }

  simulation_options options_;
  std::mt19937_64 random_;
  Dispatcher dispatcher_;
  simulation_result result_;
  std::priority_queue<event> events_;
  std::unordered_map<std::uint64_t, open_request> requests_;
  std::uint64_t order_ = 0;
  std::uint64_t last_request_ = 0;
};

}  // namespace skylarkbridge::bench

#endif  // SKYLARKBRIDGE_BENCH_REQUEST_SIMULATION_HPP
