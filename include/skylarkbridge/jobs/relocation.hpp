#ifndef SKYLARKBRIDGE_JOBS_RELOCATION_HPP
#define SKYLARKBRIDGE_JOBS_RELOCATION_HPP

#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief A long-running run whose task may restart on another worker, so that
/// a larger task finds its room in one piece.
struct relocatable_run {
  run_ref run;
  std::string worker;
  /// What its end frees.
  resources held;
  /// What the larger task lacks on the worker; amounts that are not positive
  /// are not missing.
  resources missing;
};

/// @brief A long-running run that is stopped so that a larger waiting task gets
/// its room. Room is reserved for its own task on another worker before.
struct relocation {
  run_ref run;
  std::string from;
  std::string to;
  /// From then on no room is kept for the relocation.
  time_point give_up_at;
};

/// @brief Returns the runs of which one alone frees what is missing: the
/// smallest first, among equal ones those on the workers that lack least.
std::vector<relocatable_run> RankRunsToRelocate(
    std::vector<relocatable_run> runs);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RELOCATION_HPP
