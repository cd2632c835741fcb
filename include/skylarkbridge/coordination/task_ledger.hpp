#ifndef SKYLARKBRIDGE_COORDINATION_TASK_LEDGER_HPP
#define SKYLARKBRIDGE_COORDINATION_TASK_LEDGER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_record.hpp"
#include "skylarkbridge/coordination/open_task.hpp"

namespace skylarkbridge::coordination {

struct task_ledger_options {
  /// Most tasks in one record of a snapshot.
  std::size_t tasks_per_part = 1000;
  /// A writer without records for this time is forgotten; repetitions of its
  /// records are not expected any more.
  std::chrono::minutes writer_memory{60};
  /// Most snapshots that are put together at a time.
  std::size_t snapshots_in_progress = 8;
};

/// @brief The task was opened or changed; look it up.
struct task_changed {
  task_id task;

  bool operator==(const task_changed&) const = default;
};

struct task_closed {
  task_id task;
  task_outcome outcome = task_outcome::kSucceeded;

  bool operator==(const task_closed&) const = default;
};

/// @brief All open tasks were replaced by a snapshot. Read the stream again
/// from @p offset on.
struct tasks_replaced {
  log_offset offset = 0;

  bool operator==(const tasks_replaced&) const = default;
};

using ledger_event =
    std::variant<task_changed, task_closed, tasks_replaced, snapshot_seen>;
using ledger_events = std::vector<ledger_event>;

/// @brief Fold of the task stream of a data centre into its open tasks.
///
/// Memory grows with the open tasks, not with the records. A record that is
/// repeated is recognised by the highest sequence seen of its writer.
class task_ledger {
 public:
  explicit task_ledger(task_ledger_options options) : options_(options) {}

  /// @brief Applies the next record of the stream; any other one is ignored.
  ledger_events Apply(const stored_record& stored);

  /// @brief Records were trimmed or skipped. The tasks are uncertain until a
  /// snapshot that covers the gap replaces them.
  void Skip(const offset_gap& gap);

  /// @brief Goes on without a snapshot, for when no VM can write one. A
  /// non-idempotent task counts as claimed from then on, as the claim may
  /// stand in the gap. The next snapshot that covers the gap still replaces
  /// the tasks, so that all VMs agree again.
  ledger_events AcceptGap();

  /// @brief False from a gap until a snapshot covers it or it is accepted.
  bool Certain() const { return !uncertain_until_ || gap_accepted_; }

  const absl::flat_hash_map<task_id, open_task>& OpenTasks() const {
    return tasks_;
  }
  const open_task* Find(task_id task) const;

  /// @brief All open tasks, in parts. Call only while certain.
  std::vector<task_snapshot> Snapshot() const;

  /// @brief Offset of the next record.
  log_offset Next() const { return next_; }
  std::size_t Writers() const { return writers_.size(); }

 private:
  struct writer_state {
    std::uint64_t sequence = 0;
    wall_time last_seen;
  };
  struct partial_snapshot {
    incarnation_id writer;
    log_offset valid_until = 0;
    std::vector<bool> received;
    std::size_t missing = 0;
    /// Filled only while the tasks are uncertain.
    std::vector<open_task> tasks;
    std::vector<record_id> writers;
  };

  bool Repeated(const log_record& record);
  void ForgetWriters(wall_time now);
  void Collect(const log_record& record,
               const task_snapshot& part,
               ledger_events& events);
  void Adopt(partial_snapshot snapshot, wall_time written_at);

  const task_ledger_options options_;
  absl::flat_hash_map<task_id, open_task> tasks_;
  absl::flat_hash_map<incarnation_id, writer_state> writers_;
  std::deque<partial_snapshot> partial_;
  log_offset next_ = 0;
  /// End of the last gap, until a snapshot covers it.
  std::optional<log_offset> uncertain_until_;
  bool gap_accepted_ = false;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_TASK_LEDGER_HPP
