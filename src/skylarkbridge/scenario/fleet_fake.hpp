#ifndef SKYLARKBRIDGE_SCENARIO_FLEET_FAKE_HPP
#define SKYLARKBRIDGE_SCENARIO_FLEET_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/coordination/invariant_checker.hpp"
#include "skylarkbridge/coordination/virtual_time_fake.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::scenario {

enum class worker_condition {
  kHealthy,
  /// Answers each request with a fault and fails each task.
  kFailing,
  /// Proves that it did not start the request or the task.
  kRefusing,
  /// Takes requests and never answers; runs tasks as usual.
  kSilent,
  kLost,
};

struct fleet_worker {
  rack_id rack;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  /// Room for batch tasks.
  resources room;
  worker_condition condition = worker_condition::kHealthy;
  bool leaving = false;
};

/// @brief What a service or a kind really does, whatever is declared.
struct true_behaviour {
  std::chrono::milliseconds takes{0};
  resources uses;
  /// Slowdown that one task brings to services on its worker, in thousandths.
  std::int64_t noise_permille = 0;
  bool fails = false;
};

/// @brief What requests and tasks share: time, workers and the declaration.
struct fleet_fake {
  std::chrono::milliseconds Uniform(std::chrono::milliseconds mean) {
    return mean * static_cast<std::int64_t>(750 + (random() % 501)) / 1000;
  }

  coordination::virtual_time time;
  coordination::invariant_checker checker;
  // The seed is fixed so that each run prints the same.
  std::mt19937_64 random{1};
  declaration::configuration declared;
  std::map<std::string, true_behaviour> behaviour;
  std::map<worker_id, fleet_worker> workers;
  /// Slowdown of services on each worker by its tasks, in thousandths.
  std::map<worker_id, std::int64_t> noise_permille;
};

/// @brief Calls a decision class at its next deadline, once.
class deadline_timer {
 public:
  explicit deadline_timer(coordination::virtual_time& time) : time_(time) {}

  template <class OnTime>
  void Arm(std::optional<time_point> deadline, OnTime on_time) {
    if (!deadline || (armed_ && *armed_ <= *deadline)) {
      return;
    }
    // A deadline that stays in the past would otherwise stop virtual time.
    const auto delay =
        std::max<boot_clock::duration>(*deadline - time_.Now(), kShortest);
    armed_ = time_.Now() + delay;
    time_.After(delay, [this, at = *armed_, on_time] {
      if (armed_ == at) {
        armed_.reset();
        on_time();
      }
    });
  }

 private:
  static constexpr std::chrono::milliseconds kShortest{1};

  coordination::virtual_time& time_;
  std::optional<time_point> armed_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_FLEET_FAKE_HPP
