#ifndef SKYLARKBRIDGE_JOBS_JOB_SPEC_HPP
#define SKYLARKBRIDGE_JOBS_JOB_SPEC_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief Amounts of resources that a worker offers or a task needs.
struct resources {
  std::int64_t millicores = 0;
  std::int64_t memory_mb = 0;
  std::int64_t accelerators = 0;

  bool operator==(const resources&) const = default;

  resources& operator+=(const resources& other) {
    millicores += other.millicores;
    memory_mb += other.memory_mb;
    accelerators += other.accelerators;
    return *this;
  }
  resources& operator-=(const resources& other) {
    millicores -= other.millicores;
    memory_mb -= other.memory_mb;
    accelerators -= other.accelerators;
    return *this;
  }
};

/// @brief Whether no amount of @p need exceeds that of @p room.
inline bool Fits(const resources& need, const resources& room) {
  return need.millicores <= room.millicores &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators;
}

/// @brief A step of a job: a number of identical tasks.
struct step_spec {
  /// Number of tasks.
  std::uint32_t count = 0;
  /// Resources that each task needs.
  resources need;
  /// The caller's estimate of the run time of one task; often inaccurate.
  std::chrono::milliseconds estimate{};
  /// Indices of earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> depends_on;
  /// Tasks write checkpoints from which a later run continues.
  bool checkpoints = false;
  /// All tasks must start together, and the end of one ends the others.
  bool gang = false;
  /// Tasks slow down when they run on more than one rack.
  bool rack_local = false;
  /// Label that the worker must carry; empty for none.
  std::string required_label;
  /// Rack that holds the data; empty for none.
  std::string data_rack;
  /// Maximum number of tasks of one occurrence per worker; zero for no limit.
  std::uint32_t max_per_worker = 0;
  /// Several runs of a task may run at the same time.
  bool speculative = false;
  /// Runs until the job is cancelled.
  bool long_running = false;
  /// Program that the tasks run; tasks of one image behave alike.
  std::string image;
  /// Upper bound for the tail latency of a serving task; zero for other tasks.
  std::chrono::milliseconds latency_target{};
  /// Tasks use only processor time that others leave idle; their millicores
  /// don't count against the worker's capacity.
  bool best_effort = false;
  /// Maximum number of tasks of the step that may be down at once because of
  /// actions of the scheduler; negative when the step states no limit.
  std::int32_t disruption_budget = -1;
};

/// @brief Returns what a task of the step reserves on its worker. Best-effort
/// tasks reserve no processor time.
inline resources ReservedResources(const step_spec& step) {
  resources reserved = step.need;
  if (step.best_effort) {
    reserved.millicores = 0;
  }
  return reserved;
}

/// @brief A job as submitted by the caller.
struct job_spec {
  /// Text that is passed to the workers unchanged.
  std::string payload;
  std::vector<step_spec> steps;
  /// Number of scheduled occurrences; zero for a job that runs once,
  /// immediately.
  std::uint32_t repeat_count = 0;
  /// Time of the first scheduled occurrence.
  wall_time first_due{};
  /// Time between two scheduled occurrences.
  std::chrono::milliseconds interval{};
};

/// @brief Returns the processor time that the long-running steps of a job
/// request.
inline std::int64_t LongRunningMillicores(const job_spec& spec) {
  std::int64_t millicores = 0;
  for (const step_spec& step : spec.steps) {
    millicores += step.long_running ? step.count * step.need.millicores : 0;
  }
  return millicores;
}

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_SPEC_HPP
