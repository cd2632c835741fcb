#include "skylarkbridge/coordination/task_ledger.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::coordination {
namespace {

/// A snapshot with more parts is malformed; it would hold ten million tasks.
constexpr std::uint32_t kMaxParts = 10'000;

using task_map = absl::flat_hash_map<task_id, open_task>;

/// Applies one record body to the open tasks.
struct apply_body {
  task_map& tasks;
  ledger_events& events;

  void operator()(const task_accepted& body) const {
    const auto [it, added] = tasks.try_emplace(body.task);
    if (added) {
      it->second = {.task = body.task,
                    .kind = body.kind,
                    .shard = body.shard,
                    .idempotent = body.idempotent};
      events.emplace_back(task_changed{body.task});
    }
  }
  void operator()(const task_start_claimed& body) const {
    Change(body.task, [&](open_task& task) {
      // A claim of an attempt that has ended since must not come back.
      if (body.attempt > task.attempts) {
        task.start_claimed = true;
        task.attempts = body.attempt;
      }
    });
  }
  void operator()(const task_checkpointed& body) const {
    Change(body.task, [&](open_task& task) {
      // Late news of an older attempt must not replace a newer checkpoint.
      if (body.attempt >= task.attempts) {
        task.attempts = body.attempt;
        task.checkpoint = body.checkpoint;
        task.start_claimed = task.start_claimed && !body.stopped;
      }
    });
  }
  void operator()(const task_cancelled& body) const {
    Change(body.task, [](open_task& task) { task.cancelled = true; });
  }
  void operator()(const task_finished& body) const {
    if (tasks.erase(body.task) > 0) {
      events.emplace_back(task_closed{body.task, body.outcome});
    }
  }
  void operator()(const task_snapshot& /*body*/) const {}
  void operator()(const configuration_published& /*body*/) const {}
  void operator()(const configuration_snapshot& /*body*/) const {}

 private:
  template <class F>
  void Change(task_id id, F change) const {
    const auto found = tasks.find(id);
    if (found != tasks.end()) {
      change(found->second);
      events.emplace_back(task_changed{id});
    }
  }
};

}  // namespace

ledger_events task_ledger::Apply(const stored_record& stored) {
  ledger_events events;
  // After a snapshot took the fold back, the rest of the page is read again.
  if (stored.offset != next_) {
    return events;
  }
  next_ = stored.offset + 1;
  const log_record& record = stored.record;
  if (Repeated(record)) {
    return events;
  }
  if (const auto* part = std::get_if<task_snapshot>(&record.body)) {
    Collect(record, *part, events);
  } else {
    std::visit(apply_body{tasks_, events}, record.body);
  }
  return events;
}

void task_ledger::Skip(const offset_gap& gap) {
  if (gap.begin > next_ || gap.end <= next_) {
    return;
  }
  next_ = gap.end;
  uncertain_until_ = next_;
  gap_accepted_ = false;
  // A part may stand in the gap; later parts alone make no snapshot.
  partial_.clear();
}

ledger_events task_ledger::AcceptGap() {
  ledger_events events;
  if (Certain()) {
    return events;
  }
  gap_accepted_ = true;
  for (auto& [id, task] : tasks_) {
    if (!task.idempotent && !task.start_claimed) {
      task.start_claimed = true;
      events.emplace_back(task_changed{id});
    }
  }
  return events;
}

const open_task* task_ledger::Find(task_id task) const {
  const auto found = tasks_.find(task);
  return found == tasks_.end() ? nullptr : &found->second;
}

std::vector<task_snapshot> task_ledger::Snapshot() const {
  const std::size_t per_part =
      std::max<std::size_t>(options_.tasks_per_part, 1);
  const std::size_t parts =
      std::max<std::size_t>((tasks_.size() + per_part - 1) / per_part, 1);
  std::vector<task_snapshot> snapshot(parts);
  for (std::size_t i = 0; i < parts; ++i) {
    snapshot[i].valid_until = next_;
    snapshot[i].part = static_cast<std::uint32_t>(i);
    snapshot[i].parts = static_cast<std::uint32_t>(parts);
    snapshot[i].tasks.reserve(std::min(per_part, tasks_.size()));
  }
  std::size_t index = 0;
  for (const auto& [id, task] : tasks_) {
    snapshot[index++ / per_part].tasks.push_back(task);
  }
  for (const auto& [writer, state] : writers_) {
    snapshot.front().writers.push_back({writer, state.sequence});
  }
  return snapshot;
}

bool task_ledger::Repeated(const log_record& record) {
  const auto [it, added] = writers_.try_emplace(record.id.writer);
  if (!added && record.id.sequence <= it->second.sequence) {
    return true;
  }
  it->second = {record.id.sequence, record.written_at};
  if (added) {
    ForgetWriters(record.written_at);
  }
  return false;
}

void task_ledger::ForgetWriters(wall_time now) {
  absl::erase_if(writers_, [&](const auto& entry) {
    return entry.second.last_seen + options_.writer_memory < now;
  });
}

void task_ledger::Collect(const log_record& record,
                          const task_snapshot& part,
                          ledger_events& events) {
  if (part.parts == 0 || part.parts > kMaxParts || part.part >= part.parts) {
    return;
  }
  auto found =
      std::find_if(partial_.begin(), partial_.end(), [&](const auto& other) {
        return other.writer == record.id.writer &&
               other.valid_until == part.valid_until &&
               other.received.size() == part.parts;
      });
  if (found == partial_.end()) {
    if (partial_.size() >= options_.snapshots_in_progress) {
      partial_.pop_front();
    }
    partial_.push_back({.writer = record.id.writer,
                        .valid_until = part.valid_until,
                        .received = std::vector<bool>(part.parts),
                        .missing = part.parts});
    found = std::prev(partial_.end());
  }
  if (found->received[part.part]) {
    return;
  }
  found->received[part.part] = true;
  --found->missing;
  if (uncertain_until_) {
    found->tasks.insert(found->tasks.end(), part.tasks.begin(),
                        part.tasks.end());
    found->writers.insert(found->writers.end(), part.writers.begin(),
                          part.writers.end());
  }
  if (found->missing > 0) {
    return;
  }
  partial_snapshot complete = std::move(*found);
  partial_.erase(found);
  events.emplace_back(snapshot_seen{complete.valid_until, record.written_at});
  if (uncertain_until_ && complete.valid_until >= *uncertain_until_) {
    const log_offset offset = complete.valid_until;
    Adopt(std::move(complete), record.written_at);
    events.emplace_back(tasks_replaced{offset});
  }
}

void task_ledger::Adopt(partial_snapshot snapshot, wall_time written_at) {
  tasks_.clear();
  writers_.clear();
  partial_.clear();
  for (open_task& task : snapshot.tasks) {
    const task_id id = task.task;
    tasks_.insert_or_assign(id, std::move(task));
  }
  for (const record_id& writer : snapshot.writers) {
    writers_[writer.writer] = {writer.sequence, written_at};
  }
  next_ = snapshot.valid_until;
  uncertain_until_.reset();
  gap_accepted_ = false;
}

}  // namespace skylarkbridge::coordination
