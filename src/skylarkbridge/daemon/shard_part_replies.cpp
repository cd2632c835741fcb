// What workers and the log report to a shard.

#include "skylarkbridge/daemon/shard_part.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::daemon {

using coordination::open_task;
using scheduling::task_result;

void shard_part::On(const coordination::fence_worker&,
                    const wire::worker_reply& reply) {
  if (const auto* fenced = std::get_if<coordination::fence_reply>(&reply)) {
    never_owned_.try_emplace(
        fenced->inventory.worker,
        fenced->displaced == coordination::ballot{} &&
            fenced->up_for > coordination::WithRateMargin(
                                 options_.slots.duration +
                                     options_.slots.clock.max_command_age,
                                 options_.slots.clock));
    Do(owner_.Fenced(*fenced, at_.now));
  }
}

void shard_part::On(const coordination::renew_lease&,
                    const wire::worker_reply& reply) {
  if (const auto* renewed = std::get_if<wire::renew_answer>(&reply)) {
    Do(owner_.Renewed(renewed->renewal, at_.now));
    for (const coordination::ended_attempt& ended : renewed->ended) {
      Ended(renewed->renewal.worker, ended);
    }
  }
}

void shard_part::On(const wire::start_on_worker& command,
                    const wire::worker_reply& reply) {
  const auto* answer = std::get_if<wire::attempt_answer>(&reply);
  if (answer == nullptr || !tasks_) {
    return;
  }
  if (answer->refused) {
    Do(owner_.Refused(answer->obeyed, at_.now));
    return;
  }
  if (answer->ended) {
    Ended(command.worker, *answer->ended);
    return;
  }
  const auto placed = placed_.find(command.task);
  if (placed != placed_.end() && placed->second.worker == command.worker) {
    Do(scheduler_->Started({.task = command.task,
                            .worker = command.worker,
                            .attempt = placed->second.attempt,
                            .kind = command.kind},
                           at_.now));
  }
  Do(tasks_->Started(command.worker, {command.task, command.attempt}, at_.now));
}

void shard_part::On(const wire::stop_on_worker& command,
                    const wire::worker_reply& reply) {
  const auto* answer = std::get_if<wire::attempt_answer>(&reply);
  if (answer != nullptr && answer->refused) {
    Do(owner_.Refused(answer->obeyed, at_.now));
  } else if (answer != nullptr && answer->ended && tasks_) {
    Ended(command.worker, *answer->ended);
  }
}

void shard_part::On(const wire::throttle_on_worker&,
                    const wire::worker_reply& reply) {
  const auto* answer = std::get_if<wire::attempt_answer>(&reply);
  if (answer != nullptr && answer->refused) {
    Do(owner_.Refused(answer->obeyed, at_.now));
  }
}

void shard_part::On(const wire::checkpoint_on_worker& command,
                    const wire::worker_reply& reply) {
  const auto* answer = std::get_if<wire::attempt_answer>(&reply);
  if (answer != nullptr && answer->checkpoint && tasks_) {
    Do(tasks_->Checkpointed(command.worker, {command.task, command.attempt},
                            *answer->checkpoint, at_.now));
  }
}

void shard_part::On(const wire::acknowledge_on_worker&,
                    const wire::worker_reply&) {}

void shard_part::On(const wire::read_report& command,
                    const wire::worker_reply& reply) {
  const auto* report = std::get_if<wire::report_answer>(&reply);
  if (report == nullptr || !scheduler_) {
    return;
  }
  for (const wire::usage_window& window : report->windows) {
    Do(scheduler_->Report({.worker = command.worker,
                           .window_begin = at_.now - window.begin_ago,
                           .window_end = at_.now - window.end_ago,
                           .tasks = window.tasks,
                           .services = window.services},
                          at_.now));
  }
}

void shard_part::FoldOpen(const open_task& task,
                          const coordination::log_record& record) {
  if (task.shard != options_.owner.shard) {
    return;
  }
  if (std::holds_alternative<coordination::task_accepted>(record.body)) {
    Do(tasks_->Accept(task, at_.now));
  } else if (const auto* claimed =
                 std::get_if<coordination::task_start_claimed>(&record.body)) {
    claims_.erase(record.id);
    Do(tasks_->Claimed(claimed->task, claimed->attempt, claimed->claimant,
                       at_.now));
  } else if (std::holds_alternative<coordination::task_cancelled>(
                 record.body)) {
    Do(tasks_->Cancel(task.task, at_.now));
  }
}

void shard_part::Ended(worker_id worker,
                       const coordination::ended_attempt& ended) {
  if (!tasks_) {
    return;
  }
  const coordination::lifecycle_commands next =
      tasks_->Ended(worker, ended, at_.now);
  const auto placed = placed_.find(ended.task);
  if (placed != placed_.end() && placed->second.worker == worker) {
    if (ended.checkpoint) {
      Do(scheduler_->Checkpointed({.task = ended.task,
                                   .worker = worker,
                                   .attempt = placed->second.attempt,
                                   .checkpoint = *ended.checkpoint},
                                  at_.now));
    }
    switch (ended.end) {
      case coordination::attempt_end::kSucceeded:
        Released(ended.task, task_result::kSucceeded);
        break;
      case coordination::attempt_end::kFailed:
        Released(ended.task, task_result::kFailed);
        break;
      case coordination::attempt_end::kStopped:
        Released(ended.task, task_result::kStopped);
        break;
      case coordination::attempt_end::kNotStarted:
        Released(ended.task, task_result::kNotStarted);
        break;
    }
  }
  Do(next);
}

void shard_part::Released(task_id task, task_result result) {
  const auto found = placed_.find(task);
  if (found == placed_.end() || !scheduler_) {
    return;
  }
  const placement was = found->second;
  placed_.erase(found);
  Do(scheduler_->Finished({.task = task,
                           .worker = was.worker,
                           .attempt = was.attempt,
                           .result = result},
                          at_.now));
}

}  // namespace skylarkbridge::daemon
