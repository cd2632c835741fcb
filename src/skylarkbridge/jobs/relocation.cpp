#include "skylarkbridge/jobs/relocation.hpp"

#include <algorithm>
#include <tuple>

namespace skylarkbridge::jobs {

std::vector<relocatable_run> RankRunsToRelocate(
    std::vector<relocatable_run> runs) {
  std::erase_if(runs, [](const relocatable_run& run) {
    return !Fits(run.missing, run.held);
  });
  std::sort(runs.begin(), runs.end(),
            [](const relocatable_run& left, const relocatable_run& right) {
              return std::tie(left.held.millicores, left.held.memory_mb,
                              left.missing.millicores, left.run) <
                     std::tie(right.held.millicores, right.held.memory_mb,
                              right.missing.millicores, right.run);
            });
  return runs;
}

}  // namespace skylarkbridge::jobs
