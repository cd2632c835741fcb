#include "skylarkbridge/jobs/unmatched_ends.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

std::optional<std::uint64_t> unmatched_ends::FirstListed(
    const std::string& worker) const {
  std::optional<std::uint64_t> first;
  for (const unmatched_end& end : ends_) {
    if (end.worker == worker && end.listed) {
      first = std::min(first.value_or(end.end.number), end.end.number);
    }
  }
  return first;
}

void unmatched_ends::WorkerRestarted(const std::string& worker) {
  for (unmatched_end& end : ends_) {
    end.listed &= end.worker != worker;
  }
}

}  // namespace skylarkbridge::jobs
