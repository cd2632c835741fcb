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

/// @brief A caller's request has been read.
struct request_arrived {
  request_id request;
  /// Name of a declared service.
  std::string service;
  /// Time by which the caller needs the answer.
  time_point deadline;
  /// Whether the request may run more than once.
  bool idempotent = false;
};

/// @brief How one attempt at an upstream ended.
enum class attempt_result {
  /// The upstream answered in full, with any status.
  kAnswered,
  /// It is proven that the upstream did not start the request.
  kNotStarted,
  /// The request may have run; no whole answer came.
  kUnknown,
};

/// @brief An attempt has ended and its connection is closed or returned.
struct attempt_finished {
  request_id request;
  std::uint32_t attempt = 0;
  attempt_result result = attempt_result::kUnknown;
  /// Whether the upstream itself reported a fault, for example status 500.
  bool upstream_fault = false;
};

enum class upstream_status {
  kLive,
  /// Finishes what it has and gets no new work.
  kLeaving,
  kGone,
};

/// @brief What is known of one upstream and of the room this VM may use on it.
struct upstream_state {
  worker_id upstream;
  upstream_status status = upstream_status::kLive;
  data_centre_id data_centre;
  /// Requests that may run on it at a time under the leases of this VM.
  std::int64_t slots = 0;
  /// Connections that this VM may hold to it.
  std::int64_t connections = 0;
  /// Time at which the lease of the slots ends; no attempt starts after it.
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

/// @brief What a caller is told.
enum class request_outcome {
  /// The answer of the upstream is passed on.
  kDone,
  /// The request did not run.
  kNotRun,
  /// The request may have run.
  kUnknown,
};

enum class refusal_reason {
  kNone,
  kUnknownService,
  kQueueFull,
  kDeadlineTooClose,
  kDeadlinePassed,
  kOverShare,
  kNoUpstream,
  kUpstreamRefused,
  kCancelled,
  kStopping,
  kNoConfiguration,
  /// Another VM owns the home shard of the idempotency key, or nobody does.
  kKeyHomeElsewhere,
  /// An earlier request with the idempotency key is being carried out.
  kKeyInProgress,
  /// An earlier request with the idempotency key may have run.
  kKeyOutcomeUnknown,
};

/// @brief Ends a request.
struct finish_request {
  request_id request;
  request_outcome outcome = request_outcome::kUnknown;
  refusal_reason reason = refusal_reason::kNone;
  /// Earliest time at which a new try makes sense, for not-run.
  std::optional<time_point> retry_at;

  bool operator==(const finish_request&) const = default;
};

using request_command = std::variant<start_attempt, finish_request>;
using request_commands = std::vector<request_command>;

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_REQUEST_EVENTS_HPP
