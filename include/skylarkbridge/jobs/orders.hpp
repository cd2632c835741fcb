#ifndef SKYLARKBRIDGE_JOBS_ORDERS_HPP
#define SKYLARKBRIDGE_JOBS_ORDERS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fencing_token.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_record.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief The worker that an order is sent to. A worker of another name that
/// answers at the address refuses the order.
struct worker_target {
  std::string worker;
  std::string address;
  fencing_token fence;
};

/// @brief Renews the lease of a worker, acknowledges ended runs and requests a
/// report.
struct renew_order {
  worker_target target;
  /// Sequence number of the renewals sent to this worker, from 1.
  std::uint64_t renewal_number = 0;
  /// Ended runs up to this number are durable in the log.
  std::uint64_t acknowledged = 0;
  /// New expiry of the lease; when absent, the lease is left unchanged.
  std::optional<worker_time> lease_until;
  /// How long the worker may delay its answer until a run ends.
  std::chrono::milliseconds wait{};
  /// A later answer counts as none.
  time_point answer_by;
  /// Until then the sender may go on trying to open a connection. Empty: the
  /// renewal fails when the first attempt does.
  std::optional<time_point> reconnect_until;
};

/// @brief Starts a run of a task.
struct start_order {
  worker_target target;
  run_ref run;
  std::string payload;
  /// The worker refuses the order after this time.
  worker_time start_by;
  /// Checkpoint to resume from; empty to start from the beginning.
  std::string checkpoint;
  /// Ticket of the placement policy; empty for none.
  std::string ticket;
};

/// @brief Stops a run, or keeps it from starting.
struct stop_order {
  worker_target target;
  run_ref run;
};

/// @brief Throttles a task to a percentage of its full speed.
struct pace_order {
  worker_target target;
  run_ref run;
  int speed_percent = 100;
};

/// @brief Asks the placement policy which workers may run a step.
struct permit_request {
  task_ref step;
  std::vector<std::string> workers;
  /// Expected time until the placement policy answers.
  std::chrono::milliseconds expected{};
};

using order = std::
    variant<renew_order, start_order, stop_order, pace_order, permit_request>;

/// @brief Outcome of an order, as far as the sender knows.
enum class order_result {
  kDone,
  /// The worker has seen a higher fencing token.
  kFenced,
  /// A run of the same task with this or a higher number was stopped or has
  /// ended on the worker.
  kStaleRun,
  /// The order arrived after its deadline.
  kExpired,
  kNoRoom,
  kNoPermit,
  kInvalid,
  /// The worker is overloaded or unhealthy and did nothing.
  kUnhealthy,
  /// Another worker answers at the address.
  kWrongWorker,
  /// The order was not sent, so it has not been carried out.
  kNotSent,
  /// Unknown: the order may have been carried out, or may still be.
  kNoAnswer,
};

/// @brief Whether the order was certainly not carried out and never will be.
inline bool Rejected(order_result result) {
  return result != order_result::kDone && result != order_result::kNoAnswer;
}

struct renew_reply {
  std::string worker;
  std::uint64_t renewal_number = 0;
  order_result result = order_result::kNoAnswer;
  /// Token of the order that was answered.
  fencing_token fence;
  /// Present when the order was carried out.
  std::optional<worker_report> report;
};

struct start_reply {
  std::string worker;
  run_ref run;
  order_result result = order_result::kNoAnswer;
  fencing_token fence;
};

struct stop_reply {
  std::string worker;
  run_ref run;
  order_result result = order_result::kNoAnswer;
  fencing_token fence;
};

struct pace_reply {
  std::string worker;
  run_ref run;
  int speed_percent = 100;
  order_result result = order_result::kNoAnswer;
  fencing_token fence;
};

/// @brief Permission of the placement policy to start tasks of a step on a
/// worker.
struct permit {
  std::string worker;
  /// Passed to the worker with the start order.
  std::string ticket;
};

struct permit_reply {
  task_ref step;
  order_result result = order_result::kNoAnswer;
  std::vector<permit> eligible;
  /// How long the permits are valid.
  std::chrono::milliseconds validity{};
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_ORDERS_HPP
