#ifndef SKYLARKBRIDGE_JOBS_JOB_SPEC_HPP
#define SKYLARKBRIDGE_JOBS_JOB_SPEC_HPP

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief Amounts of what a worker offers and a task needs.
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

/// @brief Whether @p need is at most @p room in every amount.
inline bool Fits(const resources& need, const resources& room) {
  return need.millicores <= room.millicores &&
         need.memory_mb <= room.memory_mb &&
         need.accelerators <= room.accelerators;
}

/// @brief A set of equal tasks of a job.
struct step_spec {
  std::uint32_t count = 0;
  resources need;
  /// What the caller expects one task to take; often far off.
  std::chrono::milliseconds estimate{};
  /// Earlier steps whose tasks must all be done first.
  std::vector<std::uint32_t> depends_on;
  bool checkpoints = false;
  /// All tasks start together, and end together.
  bool gang = false;
  /// Tasks slow down when they run on more than one rack.
  bool rack_local = false;
  /// Label that the worker must carry; empty for none.
  std::string required_label;
  /// Rack that holds the data; empty for none.
  std::string data_rack;
  /// Most tasks of one occurrence on one worker; zero for no limit.
  std::uint32_t max_per_worker = 0;
  /// Several runs of one task may run at a time.
  bool speculative = false;
  /// Runs until the job is cancelled.
  bool long_running = false;
  /// What the tasks run; tasks of one image behave alike.
  std::string image;
  /// Tail latency that a serving task has to stay below; zero for none.
  std::chrono::milliseconds latency_target{};
  /// Runs on processor time that other tasks leave unused; its millicores are
  /// not counted against the worker.
  bool best_effort = false;
  /// How many of the tasks may be away at a time through our own actions;
  /// negative when the step states none.
  std::int32_t disruption_budget = -1;
};

/// @brief A job as the caller handed it in.
struct job_spec {
  /// Opaque text that is passed to the workers.
  std::string payload;
  std::vector<step_spec> steps;
  /// How many times the steps run on a schedule; zero for once, at once.
  std::uint32_t repeat_count = 0;
  wall_time first_due{};
  std::chrono::milliseconds interval{};
};

/// @brief Processor time that the long-running steps of a job ask for.
inline std::int64_t LongRunningMillicores(const job_spec& spec) {
  std::int64_t millicores = 0;
  for (const step_spec& step : spec.steps) {
    millicores += step.long_running ? step.count * step.need.millicores : 0;
  }
  return millicores;
}

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_SPEC_HPP
