#ifndef SKYLARKBRIDGE_SCHEDULING_DEADLINE_QUEUE_HPP
#define SKYLARKBRIDGE_SCHEDULING_DEADLINE_QUEUE_HPP

#include <cstdint>
#include <optional>
#include <queue>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/task_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief A time at which the scheduler re-evaluates a kind, a worker or a
/// task. Entries aren't withdrawn, so the handler checks whether the entry
/// still applies.
struct deadline {
  time_point at;
  kind_index kind = kNone;
  std::optional<worker_id> worker = std::nullopt;
  std::optional<task_id> task = std::nullopt;
  std::uint32_t attempt = 0;

  /// Reversed, because std::priority_queue returns the largest element first.
  bool operator<(const deadline& other) const { return at > other.at; }
};

/// @brief Deadlines in the order in which they fall due.
class deadline_queue {
 public:
  void Add(const deadline& added) { queue_.push(added); }
  /// @brief Time of the earliest deadline, if any.
  std::optional<time_point> NextDeadline() const {
    return queue_.empty() ? std::nullopt : std::optional(queue_.top().at);
  }
  /// @brief Removes and returns the earliest deadline, if it is due at @p now.
  std::optional<deadline> PopDue(time_point now) {
    if (queue_.empty() || queue_.top().at > now) {
      return std::nullopt;
    }
    deadline due = queue_.top();
    queue_.pop();
    return due;
  }

 private:
  std::priority_queue<deadline> queue_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_DEADLINE_QUEUE_HPP
