#ifndef SKYLARKBRIDGE_JOBS_JOB_LIMITS_HPP
#define SKYLARKBRIDGE_JOBS_JOB_LIMITS_HPP

#include <cstdint>

/// @brief Limits of what workers and callers state. Arithmetic with values
/// within them does not overflow.
namespace skylarkbridge::jobs {

/// @brief Largest amount of one resource: a million cores in millicores, a
/// petabyte in megabytes.
inline constexpr std::int64_t kMaxAmount = 1'000'000'000;

/// @brief A job with more tasks is rejected.
inline constexpr std::uint64_t kMaxTasksPerJob = 100'000;

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_LIMITS_HPP
