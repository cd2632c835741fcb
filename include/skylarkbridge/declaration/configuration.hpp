#ifndef SKYLARKBRIDGE_DECLARATION_CONFIGURATION_HPP
#define SKYLARKBRIDGE_DECLARATION_CONFIGURATION_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "skylarkbridge/base/resources.hpp"

namespace skylarkbridge::declaration {

/// @brief Part of the fleet that a kind of work or a team may claim, in
/// thousandths of the fleet.
struct share {
  /// Guaranteed also while other kinds of work flood.
  std::int64_t minimum_permille = 0;
  /// Never exceeded, also while the fleet is idle.
  std::int64_t cap_permille = 1000;

  bool operator==(const share&) const = default;
};

/// @brief A team whose services and batch kinds share one claim and one quota.
struct team {
  std::string name;
  share claim;
  /// Most resources that batch tasks of the team hold at a time; zero in a
  /// dimension means no limit.
  resources quota;

  bool operator==(const team&) const = default;
};

/// @brief A latency-critical service that answers requests.
struct service {
  std::string name;
  std::string team;
  /// Part of the request slots.
  share claim;
  /// Deadline of a request that names none, counted from its arrival.
  std::chrono::milliseconds default_deadline = std::chrono::seconds(1);
  /// Latest deadline that a request may name, counted from its arrival.
  std::chrono::milliseconds longest_deadline = std::chrono::seconds(30);
  /// p99 latency that the operator wants kept; the aim of interference control.
  std::chrono::milliseconds latency_objective = std::chrono::milliseconds(100);
  /// Whether a request may run more than once unless it says otherwise.
  bool idempotent = false;
  /// Whether requests may run in another data centre.
  bool spill = false;
  /// Most requests that wait for a slot on one entry VM.
  std::int64_t queue_limit = 1000;
  /// Larger is more urgent; decides who waits when shares are equal.
  std::int64_t urgency = 100;

  bool operator==(const service&) const = default;
};

/// @brief A kind of batch task.
struct batch_kind {
  std::string name;
  std::string team;
  /// Part of the processors.
  share claim;
  /// Declared size of one task; often wrong.
  resources size;
  /// Declared run time of one task; often wrong.
  std::chrono::milliseconds run_time = std::chrono::minutes(1);
  bool idempotent = true;
  bool checkpoints = false;
  /// Most tasks of this kind on one rack; zero means no limit.
  std::int64_t rack_limit = 0;
  /// Most tasks that wait in one shard.
  std::int64_t queue_limit = 100'000;
  /// Larger is more urgent.
  std::int64_t urgency = 0;

  bool operator==(const batch_kind&) const = default;
};

/// @brief All that operators declare.
struct configuration {
  std::vector<team> teams;
  std::vector<service> services;
  std::vector<batch_kind> batch_kinds;

  bool operator==(const configuration&) const = default;
};

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_CONFIGURATION_HPP
