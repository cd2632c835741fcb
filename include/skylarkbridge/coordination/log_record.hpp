#ifndef SKYLARKBRIDGE_COORDINATION_LOG_RECORD_HPP
#define SKYLARKBRIDGE_COORDINATION_LOG_RECORD_HPP

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/ballot.hpp"
#include "skylarkbridge/coordination/configuration_version.hpp"
#include "skylarkbridge/coordination/open_task.hpp"
#include "skylarkbridge/coordination/task_outcome.hpp"

/// @brief Records of the streams on the platform's log.
namespace skylarkbridge::coordination {

/// @brief Position in a stream; the first record has offset 0.
using log_offset = std::uint64_t;

enum class log_stream {
  /// Batch tasks of one data centre.
  kTasks,
  /// Configuration of all data centres.
  kConfiguration,
};

/// @brief Identifies a record, also when it was written twice.
struct record_id {
  incarnation_id writer;
  /// Rises with every record of the writer; a writer's records stand in the
  /// log in this order, apart from repetitions.
  std::uint64_t sequence = 0;

  // clang-tidy 14 takes the 0 in rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const record_id&) const = default;

  template <class H>
  friend H AbslHashValue(H hash, const record_id& id) {
    return H::combine(std::move(hash), id.writer, id.sequence);
  }
};

/// @brief A task is accepted once this record is durable.
struct task_accepted {
  task_id task;
  std::string kind;
  shard_id shard;
  bool idempotent = true;

  bool operator==(const task_accepted&) const = default;
};

/// @brief Written before each start of a non-idempotent task.
struct task_start_claimed {
  task_id task;
  std::uint32_t attempt = 0;
  /// Takeover ballot of the owner that claims the start.
  ballot claimant;

  bool operator==(const task_start_claimed&) const = default;
};

struct task_checkpointed {
  task_id task;
  std::uint32_t attempt = 0;
  std::string checkpoint;
  /// The worker stopped the attempt at this checkpoint, so its start claim has
  /// ended.
  bool stopped = false;

  bool operator==(const task_checkpointed&) const = default;
};

/// @brief Ends the task; it is no longer open.
struct task_finished {
  task_id task;
  std::uint32_t attempt = 0;
  task_outcome outcome = task_outcome::kSucceeded;

  bool operator==(const task_finished&) const = default;
};

/// @brief Asks for the end of a task, which stays open until it has finished.
struct task_cancelled {
  task_id task;

  bool operator==(const task_cancelled&) const = default;
};

/// @brief One part of all open tasks after the records before @p valid_until.
struct task_snapshot {
  /// Offset of the first record that is not included.
  log_offset valid_until = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::vector<open_task> tasks;
  /// Highest sequence seen of each writer; only in part 0.
  std::vector<record_id> writers;

  bool operator==(const task_snapshot&) const = default;
};

/// @brief An operator's change. It counts when its base is in effect at its
/// place in the log and the result is valid.
struct configuration_published {
  version_number base = 0;
  /// Whether @p text is a whole configuration or a difference to the base.
  bool full = true;
  std::string text;

  bool operator==(const configuration_published&) const = default;
};

struct configuration_snapshot {
  known_version version;

  bool operator==(const configuration_snapshot&) const = default;
};

using record_body = std::variant<task_accepted,
                                 task_start_claimed,
                                 task_checkpointed,
                                 task_finished,
                                 task_cancelled,
                                 task_snapshot,
                                 configuration_published,
                                 configuration_snapshot>;

struct log_record {
  record_id id;
  wall_time written_at;
  record_body body;

  bool operator==(const log_record&) const = default;
};

/// @brief A record with its place in the stream.
struct stored_record {
  log_offset offset = 0;
  log_record record;

  bool operator==(const stored_record&) const = default;
};

/// @brief A complete snapshot stands in the log.
struct snapshot_seen {
  log_offset valid_until = 0;
  wall_time written_at;

  bool operator==(const snapshot_seen&) const = default;
};

/// @brief Stream that a record belongs to.
inline log_stream StreamOf(const record_body& body) {
  return std::holds_alternative<configuration_published>(body) ||
                 std::holds_alternative<configuration_snapshot>(body)
             ? log_stream::kConfiguration
             : log_stream::kTasks;
}

/// @brief True for records whose writer waits for them before it acts; they are
/// refused while the log is down. The others report what has happened already
/// and wait.
inline bool RefusedWhileDown(const record_body& body) {
  return std::holds_alternative<task_accepted>(body) ||
         std::holds_alternative<task_start_claimed>(body) ||
         std::holds_alternative<configuration_published>(body) ||
         std::holds_alternative<task_snapshot>(body) ||
         std::holds_alternative<configuration_snapshot>(body);
}

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_LOG_RECORD_HPP
