#ifndef SKYLARKBRIDGE_JOBS_MACHINE_LIST_HPP
#define SKYLARKBRIDGE_JOBS_MACHINE_LIST_HPP

#include <map>
#include <string>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief One whole reading of the platform's list of machines.
struct machine_list {
  /// When its first page was requested.
  time_point requested_at;
  /// The id of the worker on each machine; empty for a machine without one.
  std::map<std::string, std::string> workers;
};

/// @brief Whether the list names a worker as that of any machine.
bool Names(const machine_list& list, const std::string& worker);

/// @brief Whether the reading @p later misses no machine that was there all the
/// time from the start of @p earlier, the reading before it.
///
/// Pages are no snapshot: a machine that leaves between two pages can hide
/// another one. Two readings in a row that hide the same machine differ in the
/// machine that left.
bool Confirms(const machine_list& later, const machine_list& earlier);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_MACHINE_LIST_HPP
