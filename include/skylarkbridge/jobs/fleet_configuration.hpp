#ifndef SKYLARKBRIDGE_JOBS_FLEET_CONFIGURATION_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_CONFIGURATION_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkbridge::jobs {

/// @brief Timing of the external placement policy of a queue. A queue uses a
/// policy if `permit_validity` is not zero.
struct placement_policy_timing {
  /// Expected fixed part of the time of a request; `time_per_worker` is added
  /// for each worker.
  std::chrono::milliseconds decision_time{};
  /// Additional time for each worker that the request names.
  std::chrono::milliseconds time_per_worker{};
  /// How long a permit can be used.
  std::chrono::milliseconds permit_validity{};

  bool operator==(const placement_policy_timing&) const = default;
};

/// @brief A queue that callers submit jobs to, and the settings of its tasks.
struct queue_configuration {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Service whose workers run the tasks.
  std::string service;
  /// Lower values are more urgent; zero is the most urgent.
  int priority = 0;
  /// Failed runs after which a task is given up; nullopt while it is not known.
  std::optional<std::uint32_t> max_attempts;
  /// A job should complete within `slack_factor` times the length of its
  /// critical path, plus `slack_time`.
  double slack_factor = 1.0;
  std::chrono::milliseconds slack_time{};
  /// Time limit for answering a caller.
  std::chrono::milliseconds timeout{};
  placement_policy_timing policy;

  /// @brief Whether a placement policy decides which workers a step may use.
  bool HasPlacementPolicy() const { return policy.permit_validity.count() > 0; }

  bool operator==(const queue_configuration&) const = default;
};

/// @brief The settings of a queue that its tasks need, without those that only
/// concern callers.
queue_configuration SettingsOfTasks(const queue_configuration& queue);

/// @brief A complete version of the configuration that operators publish.
struct fleet_configuration {
  std::uint64_t version = 0;
  std::vector<queue_configuration> queues;
  std::size_t max_body_bytes = 0;

  /// @brief Finds the queue of a request: its host is equal, and its path
  /// prefix is the longest one that matches. Null when there is none.
  const queue_configuration* Match(std::string_view host,
                                   std::string_view path) const;
  /// @brief Finds a queue by its name. Null when there is none.
  const queue_configuration* Find(std::string_view name) const;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_CONFIGURATION_HPP
