#ifndef SKYLARKBRIDGE_JOBS_ORDERS_HPP
#define SKYLARKBRIDGE_JOBS_ORDERS_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_record.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief Where an order goes. The worker refuses it when it is not the one
/// that is named.
struct worker_target {
  std::string worker;
  std::string address;
  epoch fence = 0;
};

/// @brief Renews the lease, acknowledges ends and asks for the lists.
struct renew_order {
  worker_target target;
  /// Numbers the calls to one worker, from 1.
  std::uint64_t call = 0;
  /// Ends up to this number are stored.
  std::uint64_t acknowledged = 0;
  /// Nothing leaves the lease as it is.
  std::optional<worker_time> lease_until;
  /// How long the worker may wait for an end before it answers.
  std::chrono::milliseconds wait{};
};

struct start_order {
  worker_target target;
  run_ref run;
  std::string payload;
  /// The worker refuses the order after this time.
  worker_time start_by;
  std::string checkpoint;
  /// Permit of the placement policy; empty for none.
  std::string permit;
};

struct stop_order {
  worker_target target;
  run_ref run;
};

/// @brief Sets the share of its speed at which a task works.
struct pace_order {
  worker_target target;
  run_ref run;
  int percent = 100;
};

/// @brief Asks the placement policy which workers may run a step.
struct permit_request {
  task_ref step;
  std::vector<std::string> workers;
  /// How long the policy takes for it.
  std::chrono::milliseconds expected{};
};

using order = std::
    variant<renew_order, start_order, stop_order, pace_order, permit_request>;

enum class order_result {
  kDone,
  /// The worker has seen a higher epoch.
  kFenced,
  /// The run is not higher than one that was stopped or has ended there.
  kStaleRun,
  /// The order came after its time.
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
  /// The order may have been carried out, or may still be.
  kNoAnswer,
};

/// @brief Whether the result shows that the order was not carried out and won't
/// be.
inline bool Rejected(order_result result) {
  return result != order_result::kDone && result != order_result::kNoAnswer;
}

struct renew_reply {
  std::string worker;
  std::uint64_t call = 0;
  order_result result = order_result::kNoAnswer;
  /// Present when the order was carried out.
  std::optional<worker_report> report;
};

struct start_reply {
  std::string worker;
  run_ref run;
  order_result result = order_result::kNoAnswer;
};

struct stop_reply {
  std::string worker;
  run_ref run;
  order_result result = order_result::kNoAnswer;
};

struct pace_reply {
  std::string worker;
  run_ref run;
  int percent = 100;
  order_result result = order_result::kNoAnswer;
};

struct permit {
  std::string worker;
  std::string ticket;
};

struct permit_reply {
  task_ref step;
  order_result result = order_result::kNoAnswer;
  std::vector<permit> eligible;
  std::chrono::milliseconds validity{};
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_ORDERS_HPP
