#ifndef SKYLARKBRIDGE_JOBS_PREEMPTION_HPP
#define SKYLARKBRIDGE_JOBS_PREEMPTION_HPP

#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"

namespace skylarkbridge::jobs {

/// @brief A run that can be stopped to make room, and started again later.
struct preemptible_run {
  run_ref run;
  /// What its end frees.
  resources held;
  /// Priority of its queue; lower values are more urgent.
  int priority = 0;
  /// Work in core-seconds that is lost when it is stopped now.
  double lost_work = 0;
};

/// @brief Returns the runs to stop so that at least @p missing becomes free:
/// less urgent ones first, then those that lose the least work. Returns no run
/// when all together hold too little.
/// @param missing amounts that are not positive are not missing.
std::vector<run_ref> ChooseRunsToPreempt(std::vector<preemptible_run> runs,
                                         resources missing);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PREEMPTION_HPP
