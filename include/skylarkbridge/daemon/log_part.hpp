#ifndef SKYLARKBRIDGE_DAEMON_LOG_PART_HPP
#define SKYLARKBRIDGE_DAEMON_LOG_PART_HPP

#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/coordination/configuration_ledger.hpp"
#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_outbox.hpp"
#include "skylarkbridge/coordination/snapshot_schedule.hpp"
#include "skylarkbridge/coordination/task_ledger.hpp"
#include "skylarkbridge/daemon/configuration_scheme.hpp"
#include "skylarkbridge/daemon/control_outputs.hpp"

namespace skylarkbridge::daemon {

struct log_part_options {
  coordination::log_outbox_options outbox;
  coordination::log_cursor_options cursor;
  coordination::task_ledger_options tasks;
  coordination::configuration_ledger_options configuration;
  coordination::snapshot_schedule_options snapshots;
};

/// @brief A record of the task stream took effect on the open tasks.
struct task_record_folded {
  coordination::log_record record;
  coordination::ledger_events events;
};

/// @brief The task stream was read to its end as of @p read_sent.
struct tasks_current {
  time_point read_sent;
};

using log_event = std::variant<task_record_folded,
                               tasks_current,
                               coordination::configuration_event,
                               coordination::record_durable,
                               coordination::record_refused,
                               coordination::log_availability>;

/// @brief What a step asks for and what it found.
struct log_step {
  control_outputs outputs;
  std::vector<log_event> events;
};

/// @brief The streams of the log as the control thread sees them: what is
/// written, what is read, and the state that is folded from it.
class log_part {
 public:
  using configuration_ledger =
      coordination::configuration_ledger<json_configuration_scheme>;

  log_part(const log_part_options& options,
           entry_vm_id self,
           incarnation_id writer);

  /// @brief Takes a record to write, or tells why not.
  std::variant<coordination::record_id, coordination::add_refusal> Add(
      coordination::record_body body,
      const instant& at);
  /// @brief Writes a record that reports what has happened already. It waits
  /// while the outbox is full.
  void AddFact(coordination::record_body body, const instant& at);

  log_step Appended(std::uint64_t append,
                    coordination::append_result result,
                    const instant& at);
  log_step PageRead(coordination::log_stream stream,
                    std::uint64_t read,
                    std::optional<coordination::read_page> page,
                    const instant& at);
  /// @param live entry VMs that share the writing of snapshots.
  log_step Tick(const std::vector<entry_vm_id>& live, const instant& at);
  time_point NextDeadline() const;

  const coordination::task_ledger& Tasks() const { return tasks_; }
  const coordination::log_outbox& Outbox() const { return outbox_; }
  configuration_ledger& Configuration() { return configuration_; }

 private:
  coordination::log_cursor& Cursor(coordination::log_stream stream);
  void Take(coordination::outbox_commands commands, log_step& step);
  void Take(coordination::log_stream stream,
            coordination::cursor_commands commands,
            const instant& at,
            log_step& step);
  void TakeRecord(coordination::log_stream stream,
                  const coordination::stored_record& stored,
                  log_step& step);
  void TakeTaskRecord(const coordination::stored_record& stored,
                      log_step& step);
  void WriteSnapshots(const std::vector<entry_vm_id>& live, const instant& at);

  const entry_vm_id self_;
  const incarnation_id writer_;
  coordination::log_outbox outbox_;
  coordination::log_cursor task_cursor_;
  coordination::log_cursor configuration_cursor_;
  coordination::task_ledger tasks_;
  configuration_ledger configuration_;
  coordination::snapshot_schedule task_snapshots_;
  coordination::snapshot_schedule configuration_snapshots_;
  std::deque<coordination::record_body> waiting_facts_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_LOG_PART_HPP
