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

/// @brief A time at which a kind, a worker or a task must be looked at again.
/// The state decides whether there is still something to do.
struct deadline {
  time_point at;
  kind_index kind = kNone;
  std::optional<worker_id> worker = std::nullopt;
  std::optional<task_id> task = std::nullopt;
  std::uint32_t attempt = 0;

  bool operator<(const deadline& other) const { return at > other.at; }
};

class deadline_queue {
 public:
  void Add(const deadline& added) { queue_.push(added); }
  std::optional<time_point> NextDeadline() const {
    return queue_.empty() ? std::nullopt : std::optional(queue_.top().at);
  }
  /// @return a deadline that is due, if any.
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
