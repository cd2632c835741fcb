#ifndef SKYLARKBRIDGE_ENTRY_CONTROL_ANSWERS_HPP
#define SKYLARKBRIDGE_ENTRY_CONTROL_ANSWERS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/coordination/configuration_version.hpp"
#include "skylarkbridge/coordination/task_outcome.hpp"

/// @brief Answers of the control thread to the HTTP front ends.
namespace skylarkbridge::entry {

struct submit_answer {
  enum class result {
    /// The task is durable.
    kAccepted,
    /// The task was not taken and will not run.
    kNotRun,
    /// The record may be written; ask for the task later.
    kUnknown,
  };
  result outcome = result::kUnknown;
  task_id task;
  /// Stable code of a refusal, for example "log_down".
  std::string code;
  std::string detail;
};

struct task_answer {
  enum class state {
    /// Not known here; it may have ended long ago.
    kUnknownTask,
    kWaiting,
    kRunning,
    kEnded,
  };
  state phase = state::kUnknownTask;
  task_id task;
  std::string kind;
  shard_id shard;
  std::uint32_t attempts = 0;
  bool cancelled = false;
  /// Set for kEnded.
  std::optional<coordination::task_outcome> outcome;
  /// Why the task waits, or where it runs.
  std::string detail;
};

struct publish_answer {
  enum class result {
    kAccepted,
    kConflict,
    kInvalid,
    /// The log is down; nothing was published.
    kRefused,
    /// No answer in time; read the configuration to find out.
    kUnknown,
  };
  result outcome = result::kUnknown;
  /// Version in effect after the publish, or the winner's.
  coordination::version_number version = 0;
  /// Changes between the base and the winner, in words.
  std::vector<std::string> changes;
  findings faults;
};

struct worker_status_row {
  worker_id worker;
  std::string status;
  shard_id shard;
  std::int64_t slots = 0;
  /// Slots that this VM holds under its leases.
  std::int64_t slots_held = 0;
  std::int64_t tasks = 0;
};

struct shard_status_row {
  shard_id shard;
  std::string state;
  std::string ballot;
  std::int64_t workers = 0;
};

struct member_status_row {
  entry_vm_id vm;
  std::string status;
};

struct status_answer {
  entry_vm_id vm;
  data_centre_id data_centre;
  coordination::version_number version = 0;
  std::string configuration_state;
  bool log_up = false;
  std::int64_t open_tasks = 0;
  std::int64_t unwritten_records = 0;
  std::vector<shard_status_row> shards;
  std::vector<worker_status_row> workers;
  std::vector<member_status_row> members;
};

/// @brief Configuration in effect; version 0 when there is none.
struct configuration_answer {
  coordination::version_number version = 0;
  std::string text;
};

struct task_list_answer {
  std::vector<task_answer> tasks;
  /// All open tasks; the list holds the first ones.
  std::int64_t total = 0;
};

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_CONTROL_ANSWERS_HPP
