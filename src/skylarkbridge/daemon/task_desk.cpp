#include "skylarkbridge/daemon/task_desk.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::daemon {
namespace {

using entry::submit_answer;
using result = entry::submit_answer::result;

// Ids are drawn until one belongs to a shard with a worker that is large
// enough; with one such shard in 64 this fails once in 10^27.
constexpr int kMaxDraws = 4096;

submit_answer NotRun(std::string code, std::string detail) {
  return {.outcome = result::kNotRun,
          .code = std::move(code),
          .detail = std::move(detail)};
}

}  // namespace

task_desk::task_desk(task_desk_options options,
                     coordination::shard_map shards,
                     incarnation_id incarnation,
                     log_part& log)
    : options_(options),
      shards_(shards),
      incarnation_(incarnation),
      log_(log) {}

void task_desk::Submit(submit_message message, const instant& at) {
  const declaration::batch_kind* kind = FindKind(message.kind);
  if (kind == nullptr) {
    message.reply->Set(
        NotRun("unknown_kind",
               absl::StrCat("Batch kind ", message.kind, " is not declared.")));
    return;
  }
  const std::string never = WhyNever(*kind);
  if (!never.empty()) {
    message.reply->Set(NotRun("never_fits", never));
    return;
  }
  if (log_.Tasks().OpenTasks().size() >= options_.max_open) {
    message.reply->Set(NotRun(
        "queue_full", absl::StrCat(options_.max_open, " tasks are open.")));
    return;
  }
  const task_id task = NewTask(*kind);
  Write(coordination::task_accepted{.task = task,
                                    .kind = kind->name,
                                    .shard = shards_.ShardOf(task),
                                    .idempotent = kind->idempotent},
        {task, std::move(message.reply)}, at);
}

void task_desk::Cancel(cancel_task_message message, const instant& at) {
  if (log_.Tasks().Find(message.task) == nullptr) {
    message.reply->Set(NotRun("unknown_task", "No such task is open."));
    return;
  }
  Write(coordination::task_cancelled{message.task},
        {message.task, std::move(message.reply)}, at);
}

void task_desk::Resolved(const coordination::record_id& record, bool durable) {
  const auto found = waiting_.find(record);
  if (found == waiting_.end()) {
    return;
  }
  submit_answer answer =
      durable ? submit_answer{.outcome = result::kAccepted}
              : NotRun("log_down", "The log is down; nothing was accepted.");
  answer.task = found->second.task;
  found->second.reply->Set(std::move(answer));
  waiting_.erase(found);
}

void task_desk::Folded(const task_record_folded& folded) {
  for (const coordination::ledger_event& event : folded.events) {
    const auto* closed = std::get_if<coordination::task_closed>(&event);
    if (closed == nullptr ||
        !ended_.try_emplace(closed->task, closed->outcome).second) {
      continue;
    }
    ended_order_.push_back(closed->task);
    if (ended_order_.size() > options_.max_ended) {
      ended_.erase(ended_order_.front());
      ended_order_.pop_front();
    }
  }
}

std::optional<coordination::task_outcome> task_desk::Ended(task_id task) const {
  const auto found = ended_.find(task);
  return found == ended_.end() ? std::nullopt : std::optional(found->second);
}

const declaration::batch_kind* task_desk::FindKind(
    const std::string& name) const {
  const auto found = std::find_if(
      configuration_.batch_kinds.begin(), configuration_.batch_kinds.end(),
      [&](const declaration::batch_kind& one) { return one.name == name; });
  return found == configuration_.batch_kinds.end() ? nullptr : &*found;
}

std::string task_desk::WhyNever(const declaration::batch_kind& kind) const {
  const bool fits = std::any_of(workers_.begin(), workers_.end(),
                                [&](const wire::worker_vm& worker) {
                                  return Fits(kind.size, worker.capacity);
                                });
  if (fits || workers_.empty()) {
    return "";
  }
  return absl::StrCat("Batch kind ", kind.name, " needs ", kind.size.millicores,
                      " millicores, ", kind.size.memory_mib, " MiB and ",
                      kind.size.accelerators,
                      " accelerators; no worker of this data centre has all "
                      "of it.");
}

task_id task_desk::NewTask(const declaration::batch_kind& kind) {
  std::vector<bool> fits(shards_.Shards(), workers_.empty());
  for (const wire::worker_vm& worker : workers_) {
    if (Fits(kind.size, worker.capacity)) {
      fits[shards_.ShardOf(worker.worker).value] = true;
    }
  }
  task_id task;
  for (int draw = 0; draw < kMaxDraws; ++draw) {
    // Incarnations are random, so that ids of different VMs do not meet. The
    // id fits a signed 64-bit integer, which some JSON readers need.
    task.value =
        coordination::Mix(incarnation_.value ^ coordination::Mix(++drawn_)) >>
        1U;
    if (fits[shards_.ShardOf(task).value]) {
      break;
    }
  }
  return task;
}

void task_desk::Write(coordination::record_body body,
                      waiting_reply waiting,
                      const instant& at) {
  const auto added = log_.Add(std::move(body), at);
  if (const auto* id = std::get_if<coordination::record_id>(&added)) {
    waiting_.emplace(*id, std::move(waiting));
    return;
  }
  const bool down = std::get<coordination::add_refusal>(added) ==
                    coordination::add_refusal::kLogDown;
  submit_answer answer =
      down ? NotRun("log_down", "The log is down; nothing was accepted.")
           : NotRun("queue_full", "Too many records wait for the log.");
  answer.task = waiting.task;
  waiting.reply->Set(std::move(answer));
}

}  // namespace skylarkbridge::daemon
