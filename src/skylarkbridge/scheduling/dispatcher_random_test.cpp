#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <unordered_map>

#include "skylarkbridge/scheduling/dispatcher.hpp"

namespace skylarkbridge::scheduling {
namespace {

using std::chrono::milliseconds;

/// Model of the requests and attempts as callers and upstreams see them. Checks
/// every command of the dispatcher against the model.
class request_checker {
 public:
  void Update(const upstream_state& state) {
    upstreams_[state.upstream] = state;
  }

  void AddRequest(const request_arrived& arrival) {
    requests_[arrival.request].idempotent = arrival.idempotent;
  }

  void Apply(const request_commands& commands, time_point now) {
    for (const request_command& command : commands) {
      if (const auto* start = std::get_if<start_attempt>(&command)) {
        Start(*start, now);
      } else {
        Finish(std::get<finish_request>(command));
      }
    }
  }

  /// Removes a running attempt and records whether its request may have run.
  void EndAttempt(const start_attempt& attempt, attempt_result result) {
    std::erase(running, attempt);
    --in_use_[attempt.upstream];
    requests_[attempt.request].may_have_run |=
        result != attempt_result::kNotStarted;
  }

  std::size_t Unfinished() const {
    std::size_t open = 0;
    for (const auto& [id, request] : requests_) {
      open += request.finished ? 0 : 1;
    }
    return open;
  }

  std::vector<start_attempt> running;

 private:
  struct request {
    bool idempotent = false;
    bool may_have_run = false;
    bool finished = false;
    std::uint32_t attempts = 0;
  };

  bool IsRunning(request_id id) const {
    return std::ranges::find(running, id, &start_attempt::request) !=
           running.end();
  }

  void Start(const start_attempt& start, time_point now) {
    const upstream_state& upstream = upstreams_.at(start.upstream);
    request& tracked = requests_.at(start.request);
    EXPECT_EQ(upstream.status, upstream_status::kLive);
    EXPECT_LT(now, upstream.lease_deadline);
    EXPECT_LT(now, start.deadline);
    EXPECT_LE(++in_use_[start.upstream],
              std::min(upstream.slots, upstream.connections));
    EXPECT_FALSE(tracked.finished);
    EXPECT_TRUE(tracked.idempotent ||
                (!tracked.may_have_run && !IsRunning(start.request)));
    EXPECT_EQ(start.attempt, ++tracked.attempts);
    running.push_back(start);
  }

  void Finish(const finish_request& finish) {
    request& tracked = requests_.at(finish.request);
    EXPECT_FALSE(tracked.finished) << "finished twice";
    tracked.finished = true;
    if (finish.outcome == request_outcome::kNotRun) {
      EXPECT_FALSE(tracked.may_have_run);
      EXPECT_FALSE(IsRunning(finish.request));
    }
  }

  std::unordered_map<worker_id, upstream_state> upstreams_;
  std::unordered_map<worker_id, std::int64_t> in_use_;
  std::unordered_map<request_id, request> requests_;
};

declaration::configuration RandomConfiguration(std::mt19937_64& random) {
  declaration::configuration config;
  config.teams = {{.name = "one", .claim = {100, 700}}, {.name = "two"}};
  for (const char* name : {"a", "b", "c", "d"}) {
    const auto minimum = static_cast<std::int64_t>(random() % 250);
    config.services.push_back(
        {.name = name,
         .team = random() % 2 == 0 ? "one" : "two",
         .claim = {minimum,
                   minimum + static_cast<std::int64_t>(random() % 750)},
         .spill = random() % 2 == 0,
         .queue_limit = 20});
  }
  // Removes a service in some configurations, also while it has open requests.
  config.services.resize(3 + random() % 2);
  return config;
}

void RunRandomEvents(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  time_point now{std::chrono::seconds(1000)};
  dispatcher tested({.seed = seed,
                     .upstreams = {.data_centre = data_centre_id{0}},
                     .retry = {.budget_permille = 500, .hedging = true}});
  request_checker checker;
  tested.Configure(RandomConfiguration(random), now);
  std::uint64_t last_id = 0;
  for (int step = 0; step < 4000; ++step) {
    now += std::chrono::microseconds(random() % 2000);
    switch (random() % 16) {
      case 0:
        checker.Apply(tested.Configure(RandomConfiguration(random), now), now);
        break;
      case 1:
      case 2: {
        const upstream_state state{
            {random() % 8},
            random() % 4 == 0 ? static_cast<upstream_status>(random() % 3)
                              : upstream_status::kLive,
            {random() % 2},
            static_cast<std::int64_t>(random() % 5),
            static_cast<std::int64_t>(random() % 5),
            now + milliseconds(random() % 200)};
        checker.Update(state);
        checker.Apply(tested.Update(state, now), now);
        break;
      }
      case 3:
        checker.Apply(tested.Cancel({1 + random() % (last_id + 1)}, now), now);
        break;
      case 4:
        checker.Apply(tested.Tick(now), now);
        if (const auto next = tested.NextDeadline()) {
          EXPECT_GT(*next, now)
              << "NextDeadline is not later than the last tick";
        }
        break;
      case 5:
        // Reports the end of an attempt that isn't running.
        checker.Apply(tested.Finish({{random() % (last_id + 2)}, 99}, now),
                      now);
        break;
      default:
        if (random() % 2 == 0 || checker.running.empty()) {
          const std::string service(1, static_cast<char>('a' + random() % 4));
          const request_arrived arrival{{++last_id},
                                        service,
                                        now + milliseconds(random() % 100),
                                        random() % 2 == 0};
          checker.AddRequest(arrival);
          checker.Apply(tested.Arrive(arrival, now), now);
        } else {
          const start_attempt ended =
              checker.running[random() % checker.running.size()];
          const auto result =
              static_cast<attempt_result>(random() % 3 == 0 ? random() % 3 : 0);
          checker.EndAttempt(ended, result);
          checker.Apply(tested.Finish({ended.request, ended.attempt, result,
                                       random() % 8 == 0},
                                      now),
                        now);
        }
    }
  }
  while (!checker.running.empty()) {
    const start_attempt ended = checker.running.front();
    checker.EndAttempt(ended, attempt_result::kAnswered);
    checker.Apply(
        tested.Finish({ended.request, ended.attempt, attempt_result::kAnswered},
                      now),
        now);
  }
  checker.Apply(tested.Tick(now + std::chrono::seconds(10)),
                now + std::chrono::seconds(10));
  EXPECT_EQ(checker.Unfinished(), 0U);
}

// Guards, over random events, against more attempts than slots, a second run of
// a non-idempotent request, a false kNotRun, and a request that is finished
// twice or never.
TEST(DispatcherRandomTest, KeepsInvariants) {
  for (std::uint64_t seed = 1; seed <= 25; ++seed) {
    SCOPED_TRACE(testing::Message() << "seed " << seed);
    RunRandomEvents(seed);
    if (testing::Test::HasFailure()) {
      return;
    }
  }
}

}  // namespace
}  // namespace skylarkbridge::scheduling
