#ifndef SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP
#define SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"

namespace skylarkbridge::scheduling {

struct dispatcher_options {
  /// Most attempts of one idempotent request.
  std::uint32_t max_attempts = 3;
  /// Seed of the random choices of routing.
  std::uint64_t seed = 1;
};

/// @brief Decides on the admission, routing and retries of latency-critical
/// requests. Pure: time and events come in, commands go out.
class dispatcher {
 public:
  explicit dispatcher(dispatcher_options options = {});

  request_commands Configure(const declaration::configuration& config,
                             time_point now);
  request_commands Update(const upstream_state& state, time_point now);
  request_commands Arrive(const request_arrived& event, time_point now);
  request_commands Finish(const attempt_finished& event, time_point now);
  request_commands Cancel(request_id request, time_point now);
  request_commands Tick(time_point now);

  /// @brief Time at which Tick is due, if any.
  std::optional<time_point> NextDeadline() const;

 private:
  struct upstream {
    upstream_state state;
    std::int64_t in_use = 0;
  };
  struct request {
    request_arrived arrival;
    std::uint32_t attempts = 0;
    std::optional<worker_id> upstream;
  };

  std::optional<worker_id> Choose(time_point now) const;
  bool TryStart(request& waiting, time_point now, request_commands& commands);
  void StartWaiting(time_point now, request_commands& commands);
  void Refuse(request_id id, refusal_reason reason, request_commands& commands);

  dispatcher_options options_;
  absl::flat_hash_map<std::string, declaration::service> services_;
  absl::flat_hash_map<worker_id, upstream> upstreams_;
  absl::flat_hash_map<request_id, request> requests_;
  std::deque<request_id> queue_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP
