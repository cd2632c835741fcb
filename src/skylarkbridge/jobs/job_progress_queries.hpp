#ifndef SKYLARKBRIDGE_JOBS_JOB_PROGRESS_QUERIES_HPP
#define SKYLARKBRIDGE_JOBS_JOB_PROGRESS_QUERIES_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "skylarkbridge/jobs/job_record.hpp"

namespace skylarkbridge::jobs {

/// @brief The progress of a step; null while there is none.
inline const step_progress* FindProgress(const job_progress& progress,
                                         std::uint32_t occurrence,
                                         std::uint32_t step) {
  for (const step_progress& entry : progress.steps) {
    if (entry.occurrence == occurrence && entry.step == step) {
      return &entry;
    }
  }
  return nullptr;
}

/// @brief step_progress::waiting_since of a task; nullopt when there is none.
inline std::optional<wall_time> WaitingSince(const step_progress* progress,
                                             std::uint32_t index) {
  if (progress == nullptr) {
    return std::nullopt;
  }
  const auto since = progress->waiting_since.find(index);
  return since == progress->waiting_since.end() ? std::nullopt
                                                : std::optional(since->second);
}

/// @brief Number of the runs with this evidence of a crash or stronger one.
inline std::size_t CountCrashes(const crashed_runs& crashes,
                                crash_evidence at_least) {
  return static_cast<std::size_t>(std::count_if(
      crashes.begin(), crashes.end(),
      [at_least](const auto& entry) { return entry.second >= at_least; }));
}

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_PROGRESS_QUERIES_HPP
