#ifndef SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP
#define SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/admission_controller.hpp"
#include "skylarkbridge/scheduling/attempt_feedback.hpp"
#include "skylarkbridge/scheduling/attempt_timers.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/scheduling/request_table.hpp"
#include "skylarkbridge/scheduling/retry_budget.hpp"
#include "skylarkbridge/scheduling/router.hpp"
#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Options of the dispatcher and of its parts.
struct dispatcher_options {
  /// Maximum number of attempts per request, including hedges.
  std::uint32_t max_attempts = 3;
  /// Seed of the random numbers for routing and retry times.
  std::uint64_t seed = 1;
  admission_options admission = {};
  upstream_options upstreams = {};
  retry_options retry = {};
  attempt_timer_options timers = {};
  /// Additional time of an attempt in another data centre: 1.5 ms each way.
  std::chrono::milliseconds remote_round_trip = std::chrono::milliseconds(3);
  /// Shortest time after which a refused caller may retry.
  std::chrono::milliseconds min_retry_delay = std::chrono::milliseconds(50);
};

/// @brief Decides on the admission, routing and retries of latency-critical
/// requests. It does no I/O: it takes events with their time and returns
/// commands.
///
/// Each start_attempt must be followed by exactly one attempt_finished, even
/// when the caller has disconnected or the request is finished, because the
/// attempt holds its slot until then. Request ids must be unique among open
/// requests. No operation is linear in the number of queued requests or
/// upstreams, unless many leases or deadlines end at the same time.
template <routing_policy Policy>
class basic_dispatcher {
 public:
  explicit basic_dispatcher(dispatcher_options options = {});

  /// @brief Applies a configuration and starts requests that it allows.
  request_commands Configure(const declaration::configuration& config,
                             time_point now);
  /// @brief Adds, changes or removes an upstream.
  request_commands Update(const upstream_state& state, time_point now);
  /// @brief Starts, queues or refuses a new request.
  request_commands Arrive(const request_arrived& event, time_point now);
  /// @brief Releases the slot of the attempt and finishes or retries the
  /// request. An attempt that is unknown or has already ended is ignored.
  request_commands Finish(const attempt_finished& event, time_point now);
  /// @brief Cancels a request. A queued one is finished at once. A running one
  /// is finished when its attempt ends, and isn't retried.
  request_commands Cancel(request_id request, time_point now);
  /// @brief Handles everything that is due at @p now and starts queued
  /// requests.
  request_commands Tick(time_point now);

  /// @brief Time at which Tick must be called next, if any. Takes constant
  /// time.
  std::optional<time_point> NextDeadline() const;

 private:
  void Advance(time_point now, request_commands& commands);
  void EndAttempt(request_index index,
                  const attempt_finished& event,
                  time_point now,
                  request_commands& commands);
  /// @brief Handles a due timer: starts a hedge or records a stall.
  void CheckAttempt(const attempt_key& key,
                    time_point now,
                    request_commands& commands);
  void TryHedge(request_index index,
                time_point now,
                request_commands& commands);

  /// @brief Whether the request may start in another data centre: its service
  /// permits it, and its deadline leaves time for the longer round trip.
  bool MaySpill(const request_record& record, time_point now);
  /// @brief Starts an attempt if an upstream has a free slot. With
  /// @p allow_tried, an upstream of an earlier attempt is used when there is no
  /// other one.
  bool TryStart(request_index index,
                locality location,
                bool allow_tried,
                time_point now,
                request_commands& commands);
  void StartQueued(time_point now, request_commands& commands);
  void StartQueuedLocally(time_point now, request_commands& commands);
  void StartQueuedRemotely(time_point now, request_commands& commands);
  void Dequeue(request_index index);

  bool MayRetry(const request_record& record, time_point now);
  /// @brief Earliest time at which a refused caller should retry: after the
  /// expected wait of the queue plus jitter.
  std::optional<time_point> RetryAt(service_index service, time_point now);
  /// @brief Finishes a request that no upstream answered and removes its
  /// record.
  void FinishUnanswered(request_index index,
                        refusal_reason reason,
                        time_point now,
                        request_commands& commands);

  dispatcher_options options_;
  admission_controller admission_;
  upstream_table upstreams_;
  router<Policy> router_;
  request_table requests_;
  /// Retry budgets by service.
  std::vector<retry_budget> budgets_;
  attempt_timers timers_;
  attempt_feedback feedback_;
};

/// Power of two choices with the number of outstanding attempts, weighted by
/// measured latency, as cost. docs/decisions/routing.md gives the reasons.
using default_routing = power_of_two_choices<latency_cost>;
using dispatcher = basic_dispatcher<default_routing>;

extern template class basic_dispatcher<power_of_two_choices<latency_cost>>;
extern template class basic_dispatcher<power_of_two_choices<outstanding_cost>>;
extern template class basic_dispatcher<full_scan<latency_cost>>;
extern template class basic_dispatcher<full_scan<outstanding_cost>>;
extern template class basic_dispatcher<round_robin>;
extern template class basic_dispatcher<random_choice>;

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP
