#ifndef SKYLARKBRIDGE_STANDIN_WORKER_TASKS_HPP
#define SKYLARKBRIDGE_STANDIN_WORKER_TASKS_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/lease.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge::standin {

/// @brief One attempt that ran on a worker.
struct task_run {
  task_id task;
  worker_id worker;
  std::uint32_t attempt = 0;
  std::optional<std::string> resumed_from;
  time_point begin;
  /// Nothing while it runs.
  std::optional<time_point> end;
  coordination::attempt_end result = coordination::attempt_end::kSucceeded;
};

struct worker_tasks_options {
  worker_id worker;
  resources capacity;
  /// Time that each task takes; the worker only waits.
  std::chrono::milliseconds run_time = std::chrono::milliseconds(200);
  coordination::lease_options lease;
  /// Time that the worker was up before it was created here; workers are
  /// usually up for long when an entry VM starts.
  std::chrono::milliseconds up_before = std::chrono::minutes(10);
};

/// @brief Task side of the stand-in for a worker: ballots, leases, inventory
/// and checkpoints, as the platform's workers have them.
///
/// Ends are worked out when the worker is asked, from the times at which tasks
/// end and leases expire. Safe to use from many threads.
class worker_tasks {
 public:
  explicit worker_tasks(worker_tasks_options options);

  wire::worker_reply Handle(const wire::worker_command& command,
                            time_point now);

  /// @brief All attempts that ran here, with ends up to @p now.
  std::vector<task_run> Runs(time_point now);

  /// @brief Starts that would have gone beyond the capacity.
  std::int64_t RefusedForRoom() const;

 private:
  struct running_task {
    std::uint32_t attempt = 0;
    resources leased;
    time_point ends_at;
    std::size_t run = 0;
  };

  wire::worker_reply On(const coordination::fence_worker& command,
                        time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const coordination::renew_lease& command,
                        time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const wire::start_on_worker& command, time_point now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const wire::throttle_on_worker& command, time_point now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const wire::checkpoint_on_worker& command,
                        time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const wire::stop_on_worker& command, time_point now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const wire::acknowledge_on_worker& command,
                        time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::worker_reply On(const wire::read_report& command, time_point now)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  /// Ends what has run out by @p now.
  void Settle(time_point now) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  void End(task_id task,
           coordination::attempt_end end,
           std::optional<std::string> checkpoint,
           time_point when) ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  bool Fresh(std::chrono::nanoseconds up_for, time_point now) const;
  bool HasRoom(const resources& need) const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  wire::attempt_answer Answer(const coordination::ballot& lease)
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);
  std::vector<coordination::ended_attempt> Ended() const
      ABSL_EXCLUSIVE_LOCKS_REQUIRED(mutex_);

  const worker_tasks_options options_;
  const time_point started_;
  mutable absl::Mutex mutex_;
  coordination::ballot obeyed_ ABSL_GUARDED_BY(mutex_);
  coordination::ballot displaced_ ABSL_GUARDED_BY(mutex_);
  std::uint64_t worker_set_ ABSL_GUARDED_BY(mutex_) = 0;
  time_point lease_end_ ABSL_GUARDED_BY(mutex_);
  std::map<task_id, running_task> running_ ABSL_GUARDED_BY(mutex_);
  std::map<task_id, coordination::ended_attempt> ended_ ABSL_GUARDED_BY(mutex_);
  std::map<task_id, std::uint32_t> last_attempt_ ABSL_GUARDED_BY(mutex_);
  std::vector<task_run> runs_ ABSL_GUARDED_BY(mutex_);
  std::int64_t refused_for_room_ ABSL_GUARDED_BY(mutex_) = 0;
  time_point reported_until_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_WORKER_TASKS_HPP
