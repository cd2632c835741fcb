#ifndef SKYLARKBRIDGE_SCHEDULING_REQUEST_TABLE_HPP
#define SKYLARKBRIDGE_SCHEDULING_REQUEST_TABLE_HPP

#include <cstdint>
#include <optional>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/inlined_vector.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/request_queues.hpp"
#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

struct running_attempt {
  std::uint32_t attempt = 0;
  upstream_index upstream = 0;
  time_point started_at;
  /// Time of the next check whether it is slow, if one is due.
  std::optional<time_point> check_at;
  /// Whether the next check is for a hedge and not for a stall.
  bool hedge_next = false;
  /// Whether it was counted as a failure because it stalled.
  bool stalled = false;
};

/// @brief An open request: one that waits or has attempts running.
struct request_record {
  request_id request;
  service_index service = 0;
  time_point deadline;
  bool idempotent = false;
  /// Attempts started so far; the last one has this number.
  std::uint32_t attempts = 0;
  /// Latest start while it waits in a queue.
  std::optional<time_point> waiting_until;
  /// Whether any ended attempt may have run.
  bool may_have_run = false;
  bool cancelled = false;
  /// Whether the caller has been told the outcome. The record then stays until
  /// the remaining attempts have ended, because they still use slots.
  bool finished = false;
  absl::InlinedVector<running_attempt, 2> running;
  absl::InlinedVector<upstream_index, 4> tried;
};

/// @brief Open requests by id, at stable positions.
class request_table {
 public:
  /// @brief Adds a request, or returns nothing when its id is already open.
  std::optional<request_index> Add(request_record record);
  std::optional<request_index> Find(request_id request) const;
  request_record& At(request_index index) { return records_[index]; }
  void Remove(request_index index);

 private:
  std::vector<request_record> records_;
  std::vector<request_index> free_;
  absl::flat_hash_map<request_id, request_index> indices_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_REQUEST_TABLE_HPP
