#ifndef SKYLARKBRIDGE_STANDIN_SUBMITTER_HPP
#define SKYLARKBRIDGE_STANDIN_SUBMITTER_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::standin {

/// @brief What submitters of batch tasks were told.
struct submit_tally {
  /// Ids of accepted tasks.
  std::vector<std::string> accepted;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
};

/// @brief Submits @p count tasks of a kind from @p submitters threads.
submit_tally SubmitTasks(const ip_address& entry,
                         const std::string& kind,
                         std::int64_t count,
                         std::size_t submitters = 8);

/// @brief Asks for the tasks until all have ended or @p deadline has passed.
/// Returns how many have each outcome; open ones count as "open".
std::map<std::string, std::int64_t> AwaitTasks(
    const ip_address& entry,
    const std::vector<std::string>& tasks,
    time_point deadline);

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_SUBMITTER_HPP
