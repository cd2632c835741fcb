#ifndef SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP
#define SKYLARKBRIDGE_SCHEDULING_DISPATCHER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/admission.hpp"
#include "skylarkbridge/scheduling/attempt_feedback.hpp"
#include "skylarkbridge/scheduling/attempt_watch.hpp"
#include "skylarkbridge/scheduling/request_events.hpp"
#include "skylarkbridge/scheduling/request_table.hpp"
#include "skylarkbridge/scheduling/retry_budget.hpp"
#include "skylarkbridge/scheduling/router.hpp"
#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

struct dispatcher_options {
  /// Most attempts of one request, hedges included.
  std::uint32_t max_attempts = 3;
  /// Seed of the random choices of routing.
  std::uint64_t seed = 1;
  admission_options admission = {};
  upstream_options upstreams = {};
  retry_options retry = {};
  watch_options watch = {};
  /// Time that an attempt in another data centre takes in addition; two ways of
  /// 1.5 ms.
  std::chrono::milliseconds remote_round_trip = std::chrono::milliseconds(3);
  /// Shortest time after which a refused caller is asked to come back.
  std::chrono::milliseconds shortest_retry = std::chrono::milliseconds(50);
};

/// @brief Decides on the admission, routing and retries of latency-critical
/// requests. Pure: time and events come in, commands go out.
///
/// Each start_attempt must be answered by exactly one attempt_finished, also
/// when the caller is gone or the request has been finished, because the
/// attempt holds its slot until then. Request ids must be unique among open
/// requests. No operation is linear in the number of waiting requests or
/// upstreams, unless leases or deadlines of many of them end at once.
template <routing_policy Policy>
class basic_dispatcher {
 public:
  explicit basic_dispatcher(dispatcher_options options = {});

  request_commands Configure(const declaration::configuration& config,
                             time_point now);
  request_commands Update(const upstream_state& state, time_point now);
  request_commands Arrive(const request_arrived& event, time_point now);
  /// @brief Frees the slot of the attempt and finishes or retries the request.
  /// An attempt that is unknown or has ended before is ignored.
  request_commands Finish(const attempt_finished& event, time_point now);
  /// @brief Refuses a waiting request. A running one is not retried any more
  /// and finishes with its attempt.
  request_commands Cancel(request_id request, time_point now);
  request_commands Tick(time_point now);

  /// @brief Time at which Tick is due, if any; constant time.
  std::optional<time_point> NextDeadline() const;

 private:
  void Advance(time_point now, request_commands& commands);
  void EndAttempt(request_index index,
                  const attempt_finished& event,
                  time_point now,
                  request_commands& commands);
  void CheckAttempt(const attempt_key& key,
                    time_point now,
                    request_commands& commands);
  void TryHedge(request_index index,
                time_point now,
                request_commands& commands);

  bool MaySpill(const request_record& record, time_point now);
  bool TryStart(request_index index,
                locality where,
                bool allow_tried,
                time_point now,
                request_commands& commands);
  void StartWaiting(time_point now, request_commands& commands);
  void StartLocal(time_point now, request_commands& commands);
  void StartRemote(time_point now, request_commands& commands);
  void StopWaiting(request_index index);

  bool MayRetry(const request_record& record, time_point now);
  std::optional<time_point> RetryAt(service_index service, time_point now);
  /// @brief Tells the outcome of a request that was not answered, and drops its
  /// record.
  void GiveUp(request_index index,
              refusal_reason reason,
              time_point now,
              request_commands& commands);

  dispatcher_options options_;
  admission admission_;
  upstream_table upstreams_;
  router<Policy> router_;
  request_table requests_;
  /// Retry budget of each service.
  std::vector<retry_budget> budgets_;
  attempt_watch watch_;
  attempt_feedback feedback_;
};

/// Least outstanding requests weighted by learnt latency, with power of two
/// choices; docs/decisions/routing.md gives the reason.
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
