#include "skylarkbridge/coordination/task_lifecycle.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::coordination {

void task_lifecycle::Offer(entry& task, lifecycle_commands& out) {
  task.state = phase::kOffered;
  task.worker.reset();
  task.sent = false;
  task.sends = 0;
  task.resend_at = time_point::max();
  if (task.facts.cancelled) {
    End(task, task_outcome::kCancelled, out);
    return;
  }
  out.emplace_back(offer_task{task.facts.task, task.facts.kind, task.attempts,
                              task.facts.checkpoint});
}

void task_lifecycle::End(entry& task,
                         task_outcome outcome,
                         lifecycle_commands& out) {
  task.state = phase::kEnding;
  task.worker.reset();
  task.resend_at = time_point::max();
  out.emplace_back(record_end{task.facts.task, task.attempt, outcome});
}

void task_lifecycle::Release(entry& task,
                             bool may_have_run,
                             lifecycle_commands& out) {
  if (!task.known) {
    // Decided when the accepted record has been folded.
    task.state = phase::kHeld;
    task.worker.reset();
    task.sent |= may_have_run;
    return;
  }
  if (may_have_run && !task.facts.idempotent) {
    End(task, task_outcome::kUnknown, out);
  } else {
    Offer(task, out);
  }
}

void task_lifecycle::Send(entry& task,
                          time_point now,
                          lifecycle_commands& out) {
  task.state = phase::kStarting;
  task.sent = true;
  ++task.sends;
  task.resend_at = now + options_.resend_interval;
  out.emplace_back(run_attempt{task.facts.task, *task.worker, task.attempt,
                               task.facts.checkpoint});
}

void task_lifecycle::StopRunning(entry& task,
                                 time_point now,
                                 lifecycle_commands& out) {
  task.state = phase::kStopping;
  task.resend_at = now + options_.resend_interval;
  out.emplace_back(stop_attempt{task.facts.task, *task.worker, task.attempt});
}

bool task_lifecycle::Current(const entry& task,
                             worker_id worker,
                             std::uint32_t attempt) const {
  return !options_.test.check_attempts ||
         (task.worker == worker && task.attempt == attempt);
}

lifecycle_commands task_lifecycle::Own(const ready& takeover,
                                       std::span<const open_task> open,
                                       time_point now) {
  lifecycle_commands out;
  takeover_ = takeover.takeover;
  tasks_.clear();
  for (const open_task& facts : open) {
    entry& task = tasks_[facts.task];
    task.facts = facts;
    task.attempts = facts.attempts;
    task.attempt = facts.attempts;
  }
  Inventory(takeover.inventories, now, out);
  for (auto& [id, task] : tasks_) {
    if (task.state == phase::kOffered) {
      Release(task, task.facts.start_claimed, out);
    }
  }
  return out;
}

void task_lifecycle::Adopt(entry& task,
                           worker_id worker,
                           std::uint32_t attempt,
                           phase state) {
  task.attempts = std::max(task.attempts, attempt);
  task.attempt = attempt;
  task.worker = worker;
  task.sent = true;
  task.resend_at = time_point::max();
  task.state = state;
}

void task_lifecycle::Inventory(std::span<const worker_inventory> inventories,
                               time_point now,
                               lifecycle_commands& out) {
  std::vector<std::pair<worker_id, ended_attempt>> all_ended;
  for (const worker_inventory& inventory : inventories) {
    for (const running_attempt& running : inventory.running) {
      const auto [found, added] = tasks_.try_emplace(running.task);
      entry& task = found->second;
      task.known = task.known && !added;
      if (task.state == phase::kEnding ||
          (task.worker && task.worker != inventory.worker)) {
        out.emplace_back(
            stop_attempt{running.task, inventory.worker, running.attempt});
        continue;
      }
      Adopt(task, inventory.worker, running.attempt, phase::kRunning);
      if (task.facts.cancelled) {
        StopRunning(task, now, out);
      }
    }
    for (const ended_attempt& ended : inventory.ended) {
      all_ended.emplace_back(inventory.worker, ended);
    }
  }
  // A running attempt outweighs any ended one, a success outweighs other ends,
  // and a later attempt an earlier one.
  std::stable_sort(
      all_ended.begin(), all_ended.end(), [](const auto& a, const auto& b) {
        const auto rank = [](const ended_attempt& e) {
          return std::pair(e.end == attempt_end::kSucceeded, e.attempt);
        };
        return rank(a.second) > rank(b.second);
      });
  for (const auto& [worker, ended] : all_ended) {
    const auto [found, added] = tasks_.try_emplace(ended.task);
    entry& task = found->second;
    task.known = task.known && !added;
    if (!task.worker && task.state == phase::kOffered &&
        ended.attempt >= task.attempts) {
      Adopt(task, worker, ended.attempt, phase::kRunning);
    }
    const lifecycle_commands more = Ended(worker, ended, now);
    out.insert(out.end(), more.begin(), more.end());
  }
}

lifecycle_commands task_lifecycle::Accept(const open_task& facts,
                                          time_point now) {
  lifecycle_commands out;
  const auto [found, added] = tasks_.try_emplace(facts.task);
  entry& task = found->second;
  if (!added && task.known) {
    return out;
  }
  task.known = true;
  task.facts = facts;
  task.attempts = std::max(task.attempts, facts.attempts);
  if (added || !task.worker) {
    Release(task, task.sent || facts.start_claimed, out);
  } else if (facts.cancelled) {
    StopRunning(task, now, out);
  }
  return out;
}

lifecycle_commands task_lifecycle::LogCurrent(time_point now) {
  lifecycle_commands out;
  for (auto it = tasks_.begin(); it != tasks_.end();) {
    if (it->second.known) {
      ++it;
      continue;
    }
    if (it->second.worker) {
      StopRunning(it->second, now, out);
      out.emplace_back(acknowledge_attempt{it->first, *it->second.worker,
                                           it->second.attempt});
    }
    it = tasks_.erase(it);
  }
  return out;
}

lifecycle_commands task_lifecycle::Cancel(task_id id, time_point now) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return out;
  }
  entry& task = found->second;
  task.facts.cancelled = true;
  switch (task.state) {
    case phase::kOffered:
      out.emplace_back(withdraw_task{id});
      End(task, task_outcome::kCancelled, out);
      break;
    case phase::kClaiming:
      End(task, task_outcome::kCancelled, out);
      break;
    case phase::kStarting:
    case phase::kRunning:
      StopRunning(task, now, out);
      break;
    case phase::kStopping:
    case phase::kHeld:
    case phase::kEnding:
      break;
  }
  return out;
}

lifecycle_commands task_lifecycle::Start(task_id id,
                                         worker_id worker,
                                         time_point now) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found == tasks_.end() || found->second.state != phase::kOffered) {
    return out;
  }
  entry& task = found->second;
  task.worker = worker;
  task.attempt = ++task.attempts;
  if (task.facts.idempotent || !options_.test.claim_before_start) {
    Send(task, now, out);
  } else {
    task.state = phase::kClaiming;
    out.emplace_back(claim_start{id, task.attempt});
  }
  return out;
}

lifecycle_commands task_lifecycle::Claimed(task_id id,
                                           std::uint32_t attempt,
                                           const ballot& claimant,
                                           time_point now) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return out;
  }
  entry& task = found->second;
  task.facts.start_claimed = true;
  if (claimant != takeover_) {
    // The record of an earlier owner was folded only after the takeover.
    if (task.state == phase::kOffered) {
      out.emplace_back(withdraw_task{id});
    }
    if (task.state == phase::kOffered || task.state == phase::kClaiming) {
      Release(task, true, out);
    }
  } else if (task.state == phase::kClaiming && task.attempt == attempt) {
    Send(task, now, out);
  }
  return out;
}

lifecycle_commands task_lifecycle::NotClaimed(task_id id,
                                              std::uint32_t attempt,
                                              time_point) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found != tasks_.end() && found->second.attempt == attempt &&
      found->second.state == phase::kClaiming) {
    Offer(found->second, out);
  }
  return out;
}

lifecycle_commands task_lifecycle::NotSent(task_id id,
                                           std::uint32_t attempt,
                                           time_point) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found != tasks_.end() && found->second.attempt == attempt &&
      found->second.state == phase::kStarting && found->second.sends == 1) {
    Offer(found->second, out);
  }
  return out;
}

lifecycle_commands task_lifecycle::Started(worker_id worker,
                                           const running_attempt& attempt,
                                           time_point) {
  const auto found = tasks_.find(attempt.task);
  if (found != tasks_.end() && found->second.state == phase::kStarting &&
      Current(found->second, worker, attempt.attempt)) {
    found->second.state = phase::kRunning;
    found->second.resend_at = time_point::max();
  }
  return {};
}

lifecycle_commands task_lifecycle::Ended(worker_id worker,
                                         const ended_attempt& attempt,
                                         time_point) {
  lifecycle_commands out;
  const acknowledge_attempt acknowledge{attempt.task, worker, attempt.attempt};
  const auto found = tasks_.find(attempt.task);
  if (found == tasks_.end()) {
    out.emplace_back(acknowledge);
    return out;
  }
  entry& task = found->second;
  if (!task.known) {
    return out;
  }
  if (!Current(task, worker, attempt.attempt) ||
      task.state == phase::kOffered || task.state == phase::kClaiming ||
      task.state == phase::kEnding) {
    if (task.state == phase::kEnding &&
        std::find(task.unacknowledged.begin(), task.unacknowledged.end(),
                  acknowledge) != task.unacknowledged.end()) {
      // Kept on the worker until the end is durable.
      return out;
    }
    out.emplace_back(acknowledge);
    return out;
  }
  switch (attempt.end) {
    case attempt_end::kSucceeded:
      task.unacknowledged.push_back(acknowledge);
      End(task, task_outcome::kSucceeded, out);
      return out;
    case attempt_end::kFailed:
      if (!task.facts.idempotent) {
        task.unacknowledged.push_back(acknowledge);
        End(task, task_outcome::kFailed, out);
        return out;
      }
      Release(task, true, out);
      break;
    case attempt_end::kStopped:
      if (attempt.checkpoint) {
        task.facts.checkpoint = attempt.checkpoint;
        out.emplace_back(record_checkpoint{attempt.task, attempt.attempt,
                                           *attempt.checkpoint, true});
      }
      // A checkpoint taken at the stop loses no work, so that a non-idempotent
      // task can resume from it.
      Release(task, !attempt.checkpoint, out);
      break;
    case attempt_end::kNotStarted:
      Release(task, false, out);
      break;
  }
  out.emplace_back(acknowledge);
  return out;
}

lifecycle_commands task_lifecycle::Checkpointed(worker_id worker,
                                                const running_attempt& attempt,
                                                std::string checkpoint,
                                                time_point) {
  lifecycle_commands out;
  const auto found = tasks_.find(attempt.task);
  if (found == tasks_.end() ||
      !Current(found->second, worker, attempt.attempt)) {
    return out;
  }
  found->second.facts.checkpoint = checkpoint;
  out.emplace_back(record_checkpoint{attempt.task, attempt.attempt,
                                     std::move(checkpoint), false});
  return out;
}

lifecycle_commands task_lifecycle::Evict(task_id id, time_point now) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found != tasks_.end() && found->second.state == phase::kRunning) {
    StopRunning(found->second, now, out);
  }
  return out;
}

lifecycle_commands task_lifecycle::Recorded(task_id id, time_point now) {
  lifecycle_commands out;
  const auto found = tasks_.find(id);
  if (found == tasks_.end()) {
    return out;
  }
  entry& task = found->second;
  out.assign(task.unacknowledged.begin(), task.unacknowledged.end());
  if (task.state == phase::kOffered) {
    out.emplace_back(withdraw_task{id});
  } else if (task.worker && task.sent) {
    // Ended by the record of an earlier owner while it runs.
    StopRunning(task, now, out);
  }
  tasks_.erase(found);
  return out;
}

lifecycle_commands task_lifecycle::Joined(const worker_inventory& inventory,
                                          time_point now) {
  lifecycle_commands out;
  Inventory(std::span(&inventory, 1), now, out);
  for (auto& [id, task] : tasks_) {
    const bool listed = std::any_of(
        inventory.running.begin(), inventory.running.end(),
        [id = id](const running_attempt& r) { return r.task == id; });
    const bool active =
        task.state == phase::kStarting || task.state == phase::kRunning ||
        task.state == phase::kStopping || task.state == phase::kHeld;
    if (task.worker == inventory.worker && active && !listed) {
      // The new ballot keeps an unlisted attempt from starting later.
      Release(task, task.sent, out);
    }
  }
  return out;
}

lifecycle_commands task_lifecycle::Unreachable(worker_id worker, time_point) {
  for (auto& [id, task] : tasks_) {
    if (task.worker == worker &&
        (task.state == phase::kStarting || task.state == phase::kRunning ||
         task.state == phase::kStopping)) {
      task.state = phase::kHeld;
      task.resend_at = time_point::max();
    }
  }
  return {};
}

lifecycle_commands task_lifecycle::Expired(worker_id worker, time_point) {
  lifecycle_commands out;
  for (auto& [id, task] : tasks_) {
    if (task.worker == worker && task.state == phase::kHeld) {
      Release(task, task.sent, out);
    }
  }
  return out;
}

lifecycle_commands task_lifecycle::Tick(time_point now) {
  lifecycle_commands out;
  for (auto& [id, task] : tasks_) {
    if (task.resend_at > now) {
      continue;
    }
    if (task.state == phase::kStarting) {
      Send(task, now, out);
    } else if (task.state == phase::kStopping) {
      StopRunning(task, now, out);
    }
  }
  return out;
}

std::optional<time_point> task_lifecycle::NextDeadline() const {
  std::optional<time_point> next;
  for (const auto& [id, task] : tasks_) {
    if (task.resend_at != time_point::max()) {
      next = next ? std::min(*next, task.resend_at) : task.resend_at;
    }
  }
  return next;
}

}  // namespace skylarkbridge::coordination
