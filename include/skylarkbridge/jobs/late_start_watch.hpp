#ifndef SKYLARKBRIDGE_JOBS_LATE_START_WATCH_HPP
#define SKYLARKBRIDGE_JOBS_LATE_START_WATCH_HPP

#include <map>
#include <string>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief Until when each worker may carry out a start order that got no
/// answer.
///
/// The life of the worker that has answered a renewal since refuses the order,
/// but the next one accepts it until a renewal has reached it. While such an
/// order may arrive, an owner therefore reaches a new life as early as it can.
/// A worker that leaves the list and returns under its id stays watched.
class late_start_watch {
 public:
  /// @brief A start on the worker got no answer. It is carried out before
  /// @p arrives_by or never.
  void Add(const std::string& worker, time_point arrives_by);
  /// @brief Earlier owners may have left starts unanswered on any worker. These
  /// are carried out before @p arrives_by or never.
  void AddEarlierOwners(time_point arrives_by);
  /// @brief Whether the worker may still carry out such an order.
  bool IsWatched(const std::string& worker, time_point now) const;
  /// @brief Removes the workers that can receive no such order any more.
  void RemoveOver(time_point now);
  void Clear();

 private:
  std::map<std::string, time_point> arrives_by_;
  time_point of_earlier_owners_arrive_by_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_LATE_START_WATCH_HPP
