#ifndef SKYLARKBRIDGE_SCHEDULING_REQUEST_EVENTS_HPP
#define SKYLARKBRIDGE_SCHEDULING_REQUEST_EVENTS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"

/// @brief Events and commands of the dispatcher of latency-critical requests.
namespace skylarkbridge::scheduling {

/// @brief A caller's request has been read and waits for a decision.
struct request_arrived {
  request_id request;
  /// Name of a declared service.
  std::string service;
  /// Time by which the caller needs the response.
  time_point deadline;
  /// Whether the request may run more than once.
  bool idempotent = false;
};

/// @brief How one attempt at an upstream ended.
enum class attempt_result {
  /// The upstream sent a complete response, with any status.
  kAnswered,
  /// The upstream is known not to have started the request.
  kNotStarted,
  /// The request may have run, but no complete response arrived.
  kUnknown,
};

/// @brief An attempt has ended, and its connection is closed or back in the
/// pool.
struct attempt_finished {
  request_id request;
  std::uint32_t attempt = 0;
  attempt_result result = attempt_result::kUnknown;
  /// Whether the response itself reports a fault, for example with status 500.
  bool upstream_fault = false;
};

/// @brief Whether an upstream takes new requests.
enum class upstream_status {
  kLive,
  /// Completes its running requests and receives no new ones.
  kLeaving,
  /// Receives no requests and is removed when its last attempt has ended.
  kGone,
};

/// @brief Status of one upstream and the capacity on it that this VM may use.
struct upstream_state {
  worker_id upstream;
  upstream_status status = upstream_status::kLive;
  data_centre_id data_centre;
  /// Number of concurrent requests that the leases of this VM allow on it.
  std::int64_t slots = 0;
  /// Number of connections that this VM may have open to it.
  std::int64_t connections = 0;
  /// Time at which the lease on the slots ends. No attempt starts from then on.
  time_point lease_deadline = time_point::max();
};

/// @brief Starts an attempt at an upstream.
struct start_attempt {
  request_id request;
  std::uint32_t attempt = 0;
  worker_id upstream;
  /// Time by which the attempt must have ended.
  time_point deadline;

  bool operator==(const start_attempt&) const = default;
};

/// @brief Outcome of a request as reported to the caller.
enum class request_outcome {
  /// The response of the upstream is forwarded.
  kDone,
  /// The request did not run.
  kNotRun,
  /// The request may have run.
  kUnknown,
};

/// @brief Why a request was not answered.
enum class refusal_reason {
  kNone,
  kUnknownService,
  kQueueFull,
  kDeadlineTooClose,
  kDeadlinePassed,
  /// The wait is too long because the service or its team is at its cap.
  kOverShare,
  /// No upstream is known, or none has usable slots.
  kNoUpstream,
  /// Every attempt ended without running the request, and no further attempt
  /// is allowed.
  kUpstreamRefused,
  kCancelled,
  kStopping,
  kNoConfiguration,
  /// The home shard of the idempotency key is owned by another VM or by none.
  kKeyHomeElsewhere,
  /// An earlier request with the idempotency key is still in progress.
  kKeyInProgress,
  /// An earlier request with the idempotency key may have run.
  kKeyOutcomeUnknown,
};

/// @brief Reports the outcome of a request to its caller.
struct finish_request {
  request_id request;
  request_outcome outcome = request_outcome::kUnknown;
  refusal_reason reason = refusal_reason::kNone;
  /// Earliest time at which the caller should retry. Set only for kNotRun.
  std::optional<time_point> retry_at;

  bool operator==(const finish_request&) const = default;
};

using request_command = std::variant<start_attempt, finish_request>;
using request_commands = std::vector<request_command>;

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_REQUEST_EVENTS_HPP
