#ifndef SKYLARKBRIDGE_JOBS_FLEET_CONFIGURATION_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_CONFIGURATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkbridge::jobs {

/// @brief How long the external policy service takes and how long its permits
/// hold. A queue without such a policy has a zero `permit_validity`.
struct placement_policy {
  std::chrono::milliseconds decision_time{};
  std::chrono::milliseconds time_per_worker{};
  std::chrono::milliseconds permit_validity{};
};

/// @brief Where jobs are handed in, and how their tasks are treated.
struct queue_configuration {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Service whose workers run the tasks.
  std::string service;
  /// Zero is the most urgent.
  int priority = 0;
  std::uint32_t max_attempts = 1;
  /// The objective of a job is this many times its longest chain of work, and
  /// `latency_target` more.
  double slack_factor = 1.0;
  std::chrono::milliseconds latency_target{};
  /// Time limit for the answer to a caller.
  std::chrono::milliseconds timeout{};
  placement_policy policy;
};

/// @brief One whole version of the operators' configuration.
struct fleet_configuration {
  std::uint64_t version = 0;
  std::vector<queue_configuration> queues;
  std::size_t max_body_bytes = 0;

  /// @brief The queue of a request: the host matches and the path begins with
  /// the longest prefix. Null when there is none.
  const queue_configuration* Match(std::string_view host,
                                   std::string_view path) const;
  /// @brief Null when there is no such queue.
  const queue_configuration* Find(std::string_view name) const;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_CONFIGURATION_HPP
