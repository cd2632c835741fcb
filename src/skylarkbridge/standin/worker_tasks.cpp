#include "skylarkbridge/standin/worker_tasks.hpp"

#include <algorithm>
#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::standin {

using coordination::attempt_end;
using coordination::ended_attempt;
using std::chrono::milliseconds;
using wire::attempt_answer;

worker_tasks::worker_tasks(worker_tasks_options options)
    : options_(options),
      started_(boot_clock::now() - options.up_before),
      reported_until_(boot_clock::now()) {}

wire::worker_reply worker_tasks::Handle(const wire::worker_command& command,
                                        time_point now) {
  absl::MutexLock lock(&mutex_);
  Settle(now);
  return std::visit([&](const auto& one) ABSL_EXCLUSIVE_LOCKS_REQUIRED(
                        mutex_) { return On(one, now); },
                    command);
}

std::vector<task_run> worker_tasks::Runs(time_point now) {
  absl::MutexLock lock(&mutex_);
  Settle(now);
  return runs_;
}

std::int64_t worker_tasks::RefusedForRoom() const {
  absl::MutexLock lock(&mutex_);
  return refused_for_room_;
}

wire::worker_reply worker_tasks::On(const coordination::fence_worker& command,
                                    time_point now) {
  if (command.fence > obeyed_) {
    displaced_ = std::exchange(obeyed_, command.fence);
  }
  coordination::fence_reply reply{.fence = command.fence,
                                  .sent = command.sent,
                                  .obeyed = obeyed_,
                                  .displaced = displaced_,
                                  .up_for = now - started_,
                                  .worker_set = worker_set_,
                                  .inventory = {.worker = options_.worker}};
  for (const auto& [task, run] : running_) {
    reply.inventory.running.push_back({task, run.attempt});
  }
  reply.inventory.ended = Ended();
  return reply;
}

wire::worker_reply worker_tasks::On(const coordination::renew_lease& command,
                                    time_point now) {
  wire::renew_answer reply{.renewal = {.worker = options_.worker,
                                       .lease = command.lease,
                                       .sent = command.sent,
                                       .granted = command.granted}};
  if (command.lease == obeyed_ && Fresh(command.up_for, now)) {
    reply.renewal.accepted = true;
    worker_set_ = command.worker_set;
    lease_end_ = std::max(lease_end_, now + command.granted);
  }
  reply.renewal.obeyed = obeyed_;
  reply.renewal.up_for = now - started_;
  reply.renewal.worker_set = worker_set_;
  reply.ended = Ended();
  return reply;
}

wire::worker_reply worker_tasks::On(const wire::start_on_worker& command,
                                    time_point now) {
  attempt_answer answer = Answer(command.permission.lease);
  if (answer.refused) {
    return answer;
  }
  const auto ended = ended_.find(command.task);
  if (ended != ended_.end() && ended->second.attempt == command.attempt) {
    answer.ended = ended->second;
    return answer;
  }
  const auto run = running_.find(command.task);
  if (run != running_.end() && run->second.attempt == command.attempt) {
    return answer;
  }
  std::uint32_t& last = last_attempt_[command.task];
  const bool room = HasRoom(command.leased);
  refused_for_room_ += room ? 0 : 1;
  if (command.attempt <= last || run != running_.end() || !room ||
      now >= lease_end_ || !Fresh(command.permission.up_for, now)) {
    last = std::max(last, command.attempt);
    answer.ended = {.task = command.task,
                    .attempt = command.attempt,
                    .end = attempt_end::kNotStarted};
    return answer;
  }
  last = command.attempt;
  runs_.push_back({.task = command.task,
                   .worker = options_.worker,
                   .attempt = command.attempt,
                   .resumed_from = command.checkpoint,
                   .begin = now});
  running_[command.task] = {.attempt = command.attempt,
                            .leased = command.leased,
                            .ends_at = now + options_.run_time,
                            .run = runs_.size() - 1};
  return answer;
}

wire::worker_reply worker_tasks::On(const wire::throttle_on_worker& command,
                                    time_point) {
  const attempt_answer answer = Answer(command.permission.lease);
  const auto found = running_.find(command.task);
  if (!answer.refused && found != running_.end() &&
      found->second.attempt == command.attempt) {
    found->second.leased = command.leased;
  }
  return answer;
}

wire::worker_reply worker_tasks::On(const wire::checkpoint_on_worker& command,
                                    time_point) {
  attempt_answer answer = Answer(command.permission.lease);
  const auto found = running_.find(command.task);
  if (!answer.refused && found != running_.end() &&
      found->second.attempt == command.attempt) {
    answer.checkpoint = absl::StrCat(command.task.value, ".", command.attempt);
  }
  return answer;
}

wire::worker_reply worker_tasks::On(const wire::stop_on_worker& command,
                                    time_point now) {
  attempt_answer answer = Answer(command.permission.lease);
  if (answer.refused) {
    return answer;
  }
  std::uint32_t& last = last_attempt_[command.task];
  const bool seen = command.attempt <= last;
  last = std::max(last, command.attempt);
  const auto found = running_.find(command.task);
  if (found != running_.end() && found->second.attempt == command.attempt) {
    End(command.task, attempt_end::kStopped,
        absl::StrCat(command.task.value, ".", command.attempt), now);
  } else if (!seen) {
    ended_[command.task] = {.task = command.task,
                            .attempt = command.attempt,
                            .end = attempt_end::kNotStarted};
  }
  const auto ended = ended_.find(command.task);
  if (ended != ended_.end() && ended->second.attempt == command.attempt) {
    answer.ended = ended->second;
  }
  return answer;
}

wire::worker_reply worker_tasks::On(const wire::acknowledge_on_worker& command,
                                    time_point) {
  const attempt_answer answer = Answer(command.permission.lease);
  const auto found = ended_.find(command.task);
  if (!answer.refused && found != ended_.end() &&
      found->second.attempt == command.attempt) {
    ended_.erase(found);
  }
  return answer;
}

wire::worker_reply worker_tasks::On(const wire::read_report&, time_point now) {
  const time_point begin = std::exchange(reported_until_, now);
  wire::usage_window window{
      .begin_ago = std::chrono::ceil<milliseconds>(now - begin),
      .end_ago = milliseconds(0)};
  for (const auto& [task, run] : running_) {
    window.tasks.push_back({.task = task, .used = run.leased});
  }
  return wire::report_answer{{std::move(window)}};
}

void worker_tasks::Settle(time_point now) {
  std::vector<std::pair<time_point, task_id>> due;
  for (const auto& [task, run] : running_) {
    const time_point when = std::min(run.ends_at, lease_end_);
    if (when <= now) {
      due.emplace_back(when, task);
    }
  }
  for (const auto& [when, task] : due) {
    const bool finished = running_.at(task).ends_at <= lease_end_;
    End(task, finished ? attempt_end::kSucceeded : attempt_end::kStopped,
        std::nullopt, when);
  }
}

void worker_tasks::End(task_id task,
                       attempt_end end,
                       std::optional<std::string> checkpoint,
                       time_point when) {
  const auto found = running_.find(task);
  runs_[found->second.run].end = when;
  runs_[found->second.run].result = end;
  ended_[task] = {.task = task,
                  .attempt = found->second.attempt,
                  .end = end,
                  .checkpoint = std::move(checkpoint)};
  running_.erase(found);
}

bool worker_tasks::Fresh(std::chrono::nanoseconds up_for,
                         time_point now) const {
  const auto here = now - started_;
  return up_for <= here && here - up_for <= options_.lease.max_command_age;
}

bool worker_tasks::HasRoom(const resources& need) const {
  resources used = need;
  for (const auto& [task, run] : running_) {
    used += run.leased;
  }
  return Fits(used, options_.capacity);
}

attempt_answer worker_tasks::Answer(const coordination::ballot& lease) {
  return {.obeyed = obeyed_, .refused = lease != obeyed_};
}

std::vector<ended_attempt> worker_tasks::Ended() const {
  std::vector<ended_attempt> all;
  for (const auto& [task, ended] : ended_) {
    all.push_back(ended);
  }
  return all;
}

}  // namespace skylarkbridge::standin
