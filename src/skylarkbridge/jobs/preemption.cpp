#include "skylarkbridge/jobs/preemption.hpp"

#include <algorithm>
#include <tuple>

namespace skylarkbridge::jobs {
namespace {

/// Whether the run holds some of what is missing.
bool Contributes(const resources& held, const resources& missing) {
  return (missing.millicores > 0 && held.millicores > 0) ||
         (missing.memory_mb > 0 && held.memory_mb > 0) ||
         (missing.accelerators > 0 && held.accelerators > 0);
}

bool IsCovered(const resources& missing) {
  return Fits(missing, resources{});
}

}  // namespace

std::vector<run_ref> ChooseRunsToPreempt(std::vector<preemptible_run> runs,
                                         resources missing) {
  std::sort(runs.begin(), runs.end(),
            [](const preemptible_run& left, const preemptible_run& right) {
              return std::tie(right.priority, left.lost_work, left.run) <
                     std::tie(left.priority, right.lost_work, right.run);
            });
  std::vector<preemptible_run> chosen;
  for (const preemptible_run& run : runs) {
    if (!IsCovered(missing) && Contributes(run.held, missing)) {
      missing -= run.held;
      chosen.push_back(run);
    }
  }
  if (!IsCovered(missing)) {
    return {};
  }
  // A run that was chosen early can be spared if a later one holds enough.
  std::vector<run_ref> stopped;
  for (const preemptible_run& run : chosen) {
    resources missing_without = missing;
    missing_without += run.held;
    if (IsCovered(missing_without)) {
      missing = missing_without;
    } else {
      stopped.push_back(run.run);
    }
  }
  return stopped;
}

}  // namespace skylarkbridge::jobs
