#ifndef SKYLARKBRIDGE_JOBS_PRESUMED_CRASH_HPP
#define SKYLARKBRIDGE_JOBS_PRESUMED_CRASH_HPP

#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief A worker that is silent and missing from the list of workers. It has
/// crashed or is only cut off; before this is known, no task is given up.
struct presumed_crash {
  /// The life that may have crashed.
  std::optional<worker_start_time> start_time;
  std::string address;
  time_point last_answer;
  time_point presumed_at;
  /// The crash is held against no task any more unless it is proved before.
  time_point forget_at;
  /// A list of machines names the worker, so that its process had not ended
  /// then. No further list is needed.
  bool named = false;
  /// The runs that may have crashed it.
  std::vector<run_ref> suspects;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PRESUMED_CRASH_HPP
