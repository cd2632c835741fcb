#ifndef SKYLARKBRIDGE_DAEMON_TASK_DESK_HPP
#define SKYLARKBRIDGE_DAEMON_TASK_DESK_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/coordination/shard_map.hpp"
#include "skylarkbridge/daemon/control_messages.hpp"
#include "skylarkbridge/daemon/log_part.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace skylarkbridge::daemon {

struct task_desk_options {
  /// Most open tasks of the data centre; more are refused as not-run.
  std::size_t max_open = 100'000;
  /// Ended tasks whose outcome is remembered for status queries.
  std::size_t max_ended = 20'000;
};

/// @brief Takes tasks in: checks them, makes them durable, and answers those
/// who submitted or cancelled them.
class task_desk {
 public:
  task_desk(task_desk_options options,
            coordination::shard_map shards,
            incarnation_id incarnation,
            log_part& log);

  void Configure(const declaration::configuration& configuration) {
    configuration_ = configuration;
  }
  void SetWorkers(std::vector<wire::worker_vm> workers) {
    workers_ = std::move(workers);
  }

  void Submit(submit_message message, const instant& at);
  void Cancel(cancel_task_message message, const instant& at);

  /// @brief A record is durable (true) or was refused for good (false).
  void Resolved(const coordination::record_id& record, bool durable);
  void Folded(const task_record_folded& folded);

  /// @brief Outcome of a task that ended recently.
  std::optional<coordination::task_outcome> Ended(task_id task) const;

 private:
  struct waiting_reply {
    task_id task;
    reply_to<entry::submit_answer> reply;
  };

  const declaration::batch_kind* FindKind(const std::string& name) const;
  std::string WhyNever(const declaration::batch_kind& kind) const;
  /// New id whose shard has a worker for the kind.
  task_id NewTask(const declaration::batch_kind& kind);
  void Write(coordination::record_body body,
             waiting_reply waiting,
             const instant& at);

  const task_desk_options options_;
  const coordination::shard_map shards_;
  const incarnation_id incarnation_;
  log_part& log_;
  declaration::configuration configuration_;
  std::vector<wire::worker_vm> workers_;
  std::uint64_t drawn_ = 0;
  std::map<coordination::record_id, waiting_reply> waiting_;
  absl::flat_hash_map<task_id, coordination::task_outcome> ended_;
  std::deque<task_id> ended_order_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_TASK_DESK_HPP
