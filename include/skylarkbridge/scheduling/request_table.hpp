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

/// @brief An attempt that holds a slot on an upstream.
struct running_attempt {
  std::uint32_t attempt = 0;
  upstream_index upstream = 0;
  time_point started_at;
  /// Time of the next check whether the attempt is slow, if one is scheduled.
  std::optional<time_point> check_at;
  /// Whether the next check starts a hedge; otherwise it records a stall.
  bool hedge_next = false;
  /// Whether the attempt has been counted as a failure because it stalled.
  bool stalled = false;
};

/// @brief An open request: one that is queued or has running attempts.
struct request_record {
  request_id request;
  service_index service = 0;
  time_point deadline;
  bool idempotent = false;
  /// Number of attempts started so far, which is also the number of the last
  /// one.
  std::uint32_t attempts = 0;
  /// Latest time at which the request may start. Set only while it is queued.
  std::optional<time_point> start_by;
  /// Whether an attempt that has ended may have run the request.
  bool may_have_run = false;
  bool cancelled = false;
  /// Whether the outcome has been reported to the caller. The record stays
  /// until the remaining attempts have ended, because they still hold slots.
  bool finished = false;
  absl::InlinedVector<running_attempt, 2> running;
  /// Upstreams of all attempts so far.
  absl::InlinedVector<upstream_index, 4> tried;
};

/// @brief Open requests by id. The index of a request stays the same while it
/// is open.
class request_table {
 public:
  /// @brief Adds a request. Returns nothing when a request with its id is open.
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
