#ifndef SKYLARKBRIDGE_WIRE_WORKER_PROTOCOL_HPP
#define SKYLARKBRIDGE_WIRE_WORKER_PROTOCOL_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/resources.hpp"
#include "skylarkbridge/coordination/ballot.hpp"
#include "skylarkbridge/coordination/owner_events.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"

/// @brief Commands to the platform's workers and their replies, as JSON over
/// HTTP: POST /v1/worker/NAME.
namespace skylarkbridge::wire {

/// @brief Permission that goes with each command: the ballot under which the
/// shard is held, and the latest known value of the worker's clock. The worker
/// refuses a command that is older than the agreed age by its own clock.
struct worker_permission {
  coordination::ballot lease;
  std::chrono::nanoseconds up_for{0};

  bool operator==(const worker_permission&) const = default;
};

struct start_on_worker {
  worker_id worker;
  worker_permission permission;
  task_id task;
  std::string kind;
  std::uint32_t attempt = 0;
  resources leased;
  std::optional<std::string> checkpoint;

  bool operator==(const start_on_worker&) const = default;
};

struct throttle_on_worker {
  worker_id worker;
  worker_permission permission;
  task_id task;
  std::uint32_t attempt = 0;
  std::int64_t processor_permille = 1000;
  resources leased;

  bool operator==(const throttle_on_worker&) const = default;
};

/// @brief Writes a checkpoint while the task goes on.
struct checkpoint_on_worker {
  worker_id worker;
  worker_permission permission;
  task_id task;
  std::uint32_t attempt = 0;

  bool operator==(const checkpoint_on_worker&) const = default;
};

struct stop_on_worker {
  worker_id worker;
  worker_permission permission;
  task_id task;
  std::uint32_t attempt = 0;

  bool operator==(const stop_on_worker&) const = default;
};

struct acknowledge_on_worker {
  worker_id worker;
  worker_permission permission;
  task_id task;
  std::uint32_t attempt = 0;

  bool operator==(const acknowledge_on_worker&) const = default;
};

/// @brief Asks for the usage windows that have ended since the last report.
struct read_report {
  worker_id worker;

  bool operator==(const read_report&) const = default;
};

using worker_command = std::variant<coordination::fence_worker,
                                    coordination::renew_lease,
                                    start_on_worker,
                                    throttle_on_worker,
                                    checkpoint_on_worker,
                                    stop_on_worker,
                                    acknowledge_on_worker,
                                    read_report>;

worker_id WorkerOf(const worker_command& command);
/// @brief Last part of the HTTP path, for example "fence".
std::string_view NameOf(const worker_command& command);

/// @brief Reply to a renewal, with the ends that are not acknowledged.
struct renew_answer {
  coordination::renew_reply renewal;
  std::vector<coordination::ended_attempt> ended;
};

/// @brief Reply to start, throttle, checkpoint, stop and acknowledge.
struct attempt_answer {
  /// Highest ballot that the worker obeys; above the command's when refused.
  coordination::ballot obeyed;
  bool refused = false;
  /// How the attempt ended, if it has; nothing while it runs.
  std::optional<coordination::ended_attempt> ended;
  /// Checkpoint that was written.
  std::optional<std::string> checkpoint;
};

/// @brief Measured use over a past window, counted back from the reply.
struct usage_window {
  std::chrono::milliseconds begin_ago{0};
  std::chrono::milliseconds end_ago{0};
  std::vector<scheduling::task_usage> tasks;
  std::vector<scheduling::service_latency> services;
};

struct report_answer {
  std::vector<usage_window> windows;
};

using worker_reply = std::variant<coordination::fence_reply,
                                  renew_answer,
                                  attempt_answer,
                                  report_answer>;

inline constexpr std::size_t kMaxWorkerReplyBytes = 1 << 20;

std::string EncodeCommand(const worker_command& command);
std::optional<worker_command> DecodeCommand(std::string_view name,
                                            std::string_view text,
                                            findings& found);

std::string EncodeReply(const worker_reply& reply);
/// @brief Reads the reply to @p command, whose times it takes over.
std::optional<worker_reply> DecodeReply(const worker_command& command,
                                        std::string_view text,
                                        findings& found);

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_WORKER_PROTOCOL_HPP
