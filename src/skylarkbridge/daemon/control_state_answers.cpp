// Answers to questions of operators and submitters.

#include "skylarkbridge/daemon/control_state.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

namespace skylarkbridge::daemon {
namespace {

using entry::task_answer;

std::string OwnershipName(coordination::ownership state) {
  switch (state) {
    case coordination::ownership::kNotOwner:
      return "not_owner";
    case coordination::ownership::kTakingOver:
      return "taking_over";
    case coordination::ownership::kOwner:
      return "owner";
    case coordination::ownership::kLost:
      return "lost";
  }
  return "";
}

std::string Text(const coordination::ballot& ballot) {
  std::ostringstream text;
  text << ballot;
  return text.str();
}

}  // namespace

void control_state::On(const find_task_message& message, const instant&) {
  const coordination::open_task* open = log_.Tasks().Find(message.task);
  task_answer answer;
  if (open != nullptr) {
    answer = Describe(*open);
  } else if (const auto outcome = tasks_.Ended(message.task)) {
    answer = {.phase = task_answer::state::kEnded,
              .task = message.task,
              .outcome = outcome};
  }
  message.reply->Set(std::move(answer));
}

void control_state::On(const list_tasks_message& message, const instant&) {
  const auto& open = log_.Tasks().OpenTasks();
  entry::task_list_answer answer{.total =
                                     static_cast<std::int64_t>(open.size())};
  for (const auto& [id, task] : open) {
    if (answer.tasks.size() >= message.limit) {
      break;
    }
    answer.tasks.push_back(Describe(task));
  }
  std::sort(answer.tasks.begin(), answer.tasks.end(),
            [](const task_answer& a, const task_answer& b) {
              return a.task < b.task;
            });
  message.reply->Set(std::move(answer));
}

void control_state::On(const configuration_query& message, const instant&) {
  const coordination::known_version& version = log_.Configuration().InEffect();
  message.reply->Set({version.number, version.text});
}

void control_state::On(const status_query& message, const instant& at) {
  entry::status_answer answer{
      .vm = options_.vm,
      .data_centre = options_.data_centre,
      .version = log_.Configuration().InEffect().number,
      .configuration_state =
          log_.Configuration().State() ==
                  coordination::configuration_state::kInEffect
              ? "in_effect"
              : "none",
      .log_up = log_.Outbox().Up(coordination::log_stream::kTasks),
      .open_tasks = static_cast<std::int64_t>(log_.Tasks().OpenTasks().size()),
      .unwritten_records = static_cast<std::int64_t>(log_.Outbox().Size())};
  for (const auto& [id, shard] : shards_) {
    answer.shards.push_back(
        {.shard = id,
         .state =
             shard->Owned(at.now) ? "owner" : OwnershipName(shard->State()),
         .ballot = Text(shard->Owner().Takeover()),
         .workers = static_cast<std::int64_t>(shard->Workers().size())});
  }
  for (const wire::worker_vm& worker : workers_) {
    const shard_id shard = shard_map_.ShardOf(worker.worker);
    entry::worker_status_row row{
        .worker = worker.worker,
        .status =
            StatusOf(worker) == wire::vm_status::kLive ? "live" : "leaving",
        .shard = shard,
        .slots = worker.slots,
        .slots_held = slots_.Describe(worker).slots};
    const shard_part* part = FindShard(shard);
    if (part != nullptr && part->Scheduler() != nullptr) {
      if (const auto held = part->Scheduler()->Allocation(worker.worker)) {
        row.tasks = static_cast<std::int64_t>(held->tasks.size());
      }
    }
    answer.workers.push_back(std::move(row));
  }
  for (const entry_vm_id vm : peers_.Members().Live(options_.data_centre)) {
    answer.members.push_back({vm, "live"});
  }
  message.reply->Set(std::move(answer));
}

task_answer control_state::Describe(const coordination::open_task& task) const {
  task_answer answer{.phase = task_answer::state::kRunning,
                     .task = task.task,
                     .kind = task.kind,
                     .shard = task.shard,
                     .attempts = task.attempts,
                     .cancelled = task.cancelled};
  const shard_part* shard = FindShard(task.shard);
  if (shard == nullptr || shard->Scheduler() == nullptr) {
    answer.phase = task_answer::state::kWaiting;
    answer.detail = "Another VM owns the shard, or nobody yet.";
    return answer;
  }
  if (const auto waiting = shard->Scheduler()->WaitingStatus(task.task)) {
    answer.phase = task_answer::state::kWaiting;
    answer.attempts = std::max(answer.attempts, waiting->attempts);
    answer.detail = waiting->detail;
  }
  return answer;
}

}  // namespace skylarkbridge::daemon
