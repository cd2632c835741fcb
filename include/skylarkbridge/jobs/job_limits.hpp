#ifndef SKYLARKBRIDGE_JOBS_JOB_LIMITS_HPP
#define SKYLARKBRIDGE_JOBS_JOB_LIMITS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

/// @brief Limits of what workers and callers state. Arithmetic with values
/// within them does not overflow.
namespace skylarkbridge::jobs {

/// @brief Largest amount of one resource: a million cores in millicores, a
/// petabyte in megabytes.
inline constexpr std::int64_t kMaxAmount = 1'000'000'000;

/// @brief Most tasks of one occurrence of a job.
inline constexpr std::uint64_t kMaxTasksPerJob = 100'000;

/// @brief Most tasks of all occurrences of a job. All of them are due at once
/// when the job is first read after its last due time.
inline constexpr std::uint64_t kMaxTasksOfAllOccurrences = 10'000'000;

/// @brief Largest sum of the estimates of a job's steps. Objectives are
/// multiples of it.
inline constexpr std::chrono::milliseconds kMaxEstimate = std::chrono::years(1);

/// @brief Latest due time of an occurrence, since 1970.
inline constexpr std::chrono::milliseconds kMaxDueTime =
    std::chrono::years(200);

/// @brief Highest epoch of a claim. Each reserves a range of run numbers.
inline constexpr epoch kMaxEpoch = 1'000'000'000;

/// @brief Highest number of a run. JSON readers that use doubles keep it exact.
inline constexpr run_number kMaxRunNumber = (1ULL << 53U) - 1;

/// @brief Most long-running tasks of a job. The record of the job's progress
/// holds some 60 bytes for each, and the store takes 256 KB.
inline constexpr std::uint64_t kMaxLongRunningTasks = 4000;

/// @brief Returns why the job can't be run; nullopt for a valid job.
std::optional<std::string_view> FindFault(const job_spec& spec);

/// @brief Returns why the progress of a valid job could become larger than a
/// record; nullopt if it can't.
std::optional<std::string_view> FindStorageFault(const job_spec& spec);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_LIMITS_HPP
