// What the owner, the lifecycle and the scheduler of a shard ask for.

#include "skylarkbridge/daemon/shard_part.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/daemon/events.hpp"

namespace skylarkbridge::daemon {
namespace {

std::string ReasonName(coordination::step_down_reason reason) {
  switch (reason) {
    case coordination::step_down_reason::kHigherBallot:
      return "higher_ballot";
    case coordination::step_down_reason::kNoQuorum:
      return "no_quorum";
    case coordination::step_down_reason::kNotExpected:
      return "not_expected";
    case coordination::step_down_reason::kLeaving:
      return "leaving";
  }
  return "";
}

}  // namespace

using coordination::open_task;
using scheduling::task_result;
using scheduling::worker_status;

void shard_part::Do(const coordination::owner_commands& commands) {
  for (const coordination::owner_command& command : commands) {
    std::visit([this](const auto& one) { Do(one); }, command);
  }
}

void shard_part::Do(const coordination::fence_worker& command) {
  outputs_.emplace_back(wire::worker_command(command));
}

void shard_part::Do(const coordination::renew_lease& command) {
  outputs_.emplace_back(wire::worker_command(command));
}

void shard_part::Do(const coordination::ready& command) {
  LogEvent(kShardOwned, {{"shard", absl::StrCat(options_.owner.shard.value)},
                         {"ballot", absl::StrCat(command.takeover.round, "/",
                                                 command.takeover.vm.value)}});
  placed_.clear();
  claims_.clear();
  usable_.clear();
  joined_at_ = at_.now;
  next_report_ = at_.now;
  scheduler_.emplace(options_.batch);
  tasks_.emplace(options_.lifecycle);
  // An earlier owner that is cut off from the workers may lend and take keys
  // until it notices. Without an earlier owner there is nothing to wait for.
  const time_point exclusive_since =
      NeverOwned()
          ? time_point()
          : command.exclusive_since +
                coordination::LongestForeignLease(options_.owner.lease);
  lender_.emplace(options_.slots, command.takeover, exclusive_since);
  keys_.emplace(options_.keys, command.takeover, exclusive_since);
  SyncSlots();
  Do(scheduler_->Configure(configuration_, at_.now));
  SyncWorkers();
  std::vector<open_task> open;
  for (const auto& [id, task] : log_.Tasks().OpenTasks()) {
    if (task.shard == options_.owner.shard) {
      open.push_back(task);
    }
  }
  for (const coordination::worker_inventory& inventory : command.inventories) {
    AdoptRunning(inventory);
  }
  Do(tasks_->Own(command, open, at_.now));
}

void shard_part::Do(const coordination::worker_joined& command) {
  joined_at_ = at_.now;
  if (!tasks_) {
    return;
  }
  SyncWorkers();
  AdoptRunning(command.inventory);
  // The scheduler forgets what the worker no longer runs.
  std::vector<task_id> lost;
  for (const auto& [task, where] : placed_) {
    const bool listed = std::any_of(
        command.inventory.running.begin(), command.inventory.running.end(),
        [id = task](const auto& one) { return one.task == id; });
    if (where.worker == command.inventory.worker && !listed) {
      lost.push_back(task);
    }
  }
  for (const task_id task : lost) {
    Released(task, task_result::kStopped);
  }
  Do(tasks_->Joined(command.inventory, at_.now));
}

void shard_part::Do(const coordination::worker_unreachable& command) {
  if (tasks_) {
    UpdateWorker(command.worker, worker_status::kUnreachable);
    Do(tasks_->Unreachable(command.worker, at_.now));
  }
}

void shard_part::Do(const coordination::worker_expired& command) {
  if (!tasks_) {
    return;
  }
  absl::erase_if(placed_, [&](const auto& entry) {
    return entry.second.worker == command.worker;
  });
  // The lifecycle offers the tasks again before the scheduler places them.
  Do(tasks_->Expired(command.worker, at_.now));
  UpdateWorker(command.worker, worker_status::kGone);
}

void shard_part::Do(const coordination::step_down& command) {
  LogEvent(kShardLost, {{"shard", absl::StrCat(options_.owner.shard.value)},
                        {"reason", ReasonName(command.reason)}});
  tasks_.reset();
  scheduler_.reset();
  lender_.reset();
  keys_.reset();
  never_owned_.clear();
  placed_.clear();
  claims_.clear();
  usable_.clear();
}

void shard_part::Do(const coordination::lifecycle_commands& commands) {
  for (const coordination::lifecycle_command& command : commands) {
    std::visit([this](const auto& one) { Do(one); }, command);
  }
}

void shard_part::Do(const coordination::offer_task& command) {
  Do(scheduler_->Submit({.task = command.task,
                         .kind = command.kind,
                         .attempts = command.attempts,
                         .checkpoint = command.checkpoint,
                         .previously_accepted = true},
                        at_.now));
}

void shard_part::Do(const coordination::withdraw_task& command) {
  Do(scheduler_->CancelTask(command.task, at_.now));
}

void shard_part::Do(const coordination::claim_start& command) {
  const auto added =
      log_.Add(coordination::task_start_claimed{.task = command.task,
                                                .attempt = command.attempt,
                                                .claimant = owner_.Takeover()},
               at_);
  if (const auto* id = std::get_if<coordination::record_id>(&added)) {
    claims_[*id] = {command.task, command.attempt};
    return;
  }
  Released(command.task, task_result::kNotStarted);
  Do(tasks_->NotClaimed(command.task, command.attempt, at_.now));
}

void shard_part::Do(const coordination::run_attempt& command) {
  const auto permission = Permission(command.worker);
  const auto placed = placed_.find(command.task);
  if (!permission || placed == placed_.end()) {
    Released(command.task, task_result::kNotStarted);
    Do(tasks_->NotSent(command.task, command.attempt, at_.now));
    return;
  }
  outputs_.emplace_back(wire::worker_command(
      wire::start_on_worker{.worker = command.worker,
                            .permission = *permission,
                            .task = command.task,
                            .kind = KindOf(command.task),
                            .attempt = command.attempt,
                            .leased = placed->second.leased,
                            .checkpoint = command.checkpoint}));
}

void shard_part::Do(const coordination::stop_attempt& command) {
  if (const auto permission = Permission(command.worker)) {
    outputs_.emplace_back(
        wire::worker_command(wire::stop_on_worker{.worker = command.worker,
                                                  .permission = *permission,
                                                  .task = command.task,
                                                  .attempt = command.attempt}));
  }
}

void shard_part::Do(const coordination::acknowledge_attempt& command) {
  if (const auto permission = Permission(command.worker)) {
    outputs_.emplace_back(wire::worker_command(
        wire::acknowledge_on_worker{.worker = command.worker,
                                    .permission = *permission,
                                    .task = command.task,
                                    .attempt = command.attempt}));
  }
}

void shard_part::Do(const coordination::record_checkpoint& command) {
  log_.AddFact(coordination::task_checkpointed{.task = command.task,
                                               .attempt = command.attempt,
                                               .checkpoint = command.checkpoint,
                                               .stopped = command.stopped},
               at_);
}

void shard_part::Do(const coordination::record_end& command) {
  log_.AddFact(coordination::task_finished{.task = command.task,
                                           .attempt = command.attempt,
                                           .outcome = command.outcome},
               at_);
  // The scheduler would start a failed task again.
  Do(scheduler_->CancelTask(command.task, at_.now));
}

void shard_part::Do(const scheduling::task_commands& commands) {
  for (const scheduling::task_command& command : commands) {
    std::visit([this](const auto& one) { Do(one); }, command);
  }
}

void shard_part::Do(const scheduling::start_task& command) {
  placed_[command.task] = {command.worker, command.attempt, command.leased};
  const coordination::lifecycle_commands next =
      tasks_->Start(command.task, command.worker, at_.now);
  if (next.empty()) {
    Released(command.task, task_result::kNotStarted);
  }
  Do(next);
}

void shard_part::Do(const scheduling::throttle_task& command) {
  const auto permission = Permission(command.worker);
  const auto placed = placed_.find(command.task);
  if (!permission || placed == placed_.end()) {
    return;
  }
  placed->second.leased = command.leased;
  outputs_.emplace_back(wire::worker_command(
      wire::throttle_on_worker{.worker = command.worker,
                               .permission = *permission,
                               .task = command.task,
                               .attempt = command.attempt,
                               .processor_permille = command.processor_permille,
                               .leased = command.leased}));
}

void shard_part::Do(const scheduling::checkpoint_task& command) {
  // A worker writes the checkpoint when it stops the task.
  Do(tasks_->Evict(command.task, at_.now));
}

void shard_part::Do(const scheduling::stop_task& command) {
  if (command.reason != scheduling::stop_reason::kCancelled) {
    Do(tasks_->Evict(command.task, at_.now));
  }
}

void shard_part::Do(const scheduling::refuse_task& command) {
  placed_.erase(command.task);
  log_.AddFact(
      coordination::task_finished{
          .task = command.task, .outcome = coordination::task_outcome::kFailed},
      at_);
}

}  // namespace skylarkbridge::daemon
