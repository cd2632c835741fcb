#include "skylarkbridge/jobs/machine_list.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

bool Names(const machine_list& list, const std::string& worker) {
  return std::any_of(
      list.workers.begin(), list.workers.end(),
      [&worker](const auto& machine) { return machine.second == worker; });
}

bool Confirms(const machine_list& later, const machine_list& earlier) {
  // A list without any machine is a fault of the platform.
  return !later.workers.empty() && later.requested_at > earlier.requested_at &&
         std::equal(later.workers.begin(), later.workers.end(),
                    earlier.workers.begin(), earlier.workers.end(),
                    [](const auto& one, const auto& other) {
                      return one.first == other.first;
                    });
}

}  // namespace skylarkbridge::jobs
