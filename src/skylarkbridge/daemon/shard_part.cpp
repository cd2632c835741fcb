#include "skylarkbridge/daemon/shard_part.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::daemon {

using coordination::open_task;
using scheduling::task_result;
using scheduling::worker_status;

namespace {

// Interval at which the scheduler and the lender hear which workers the owner
// may command. Renewals come every 360 to 400 ms.
constexpr std::chrono::milliseconds kSyncInterval{50};

}  // namespace

shard_part::shard_part(const shard_part_options& options, log_part& log)
    : options_(options), log_(log), owner_(options.owner) {}

control_outputs shard_part::Configure(
    const declaration::configuration& configuration,
    const instant& at) {
  at_ = at;
  configuration_ = configuration;
  if (scheduler_) {
    Do(scheduler_->Configure(configuration_, at.now));
  }
  return TakeOutputs(at);
}

control_outputs shard_part::SetWorkers(std::vector<wire::worker_vm> workers,
                                       const instant& at) {
  at_ = at;
  workers_ = std::move(workers);
  std::vector<worker_id> ids;
  ids.reserve(workers_.size());
  for (const wire::worker_vm& worker : workers_) {
    ids.push_back(worker.worker);
  }
  Do(owner_.SetWorkers(ids, at.now));
  SyncWorkers();
  SyncSlots();
  return TakeOutputs(at);
}

control_outputs shard_part::SetExpected(bool expected, const instant& at) {
  at_ = at;
  Do(owner_.SetExpected(expected, at.now));
  return TakeOutputs(at);
}

control_outputs shard_part::Leave(const instant& at) {
  at_ = at;
  Do(owner_.Leave(at.now));
  return TakeOutputs(at);
}

control_outputs shard_part::Answered(
    const wire::worker_command& command,
    const std::optional<wire::worker_reply>& reply,
    const instant& at) {
  at_ = at;
  if (reply) {
    std::visit([&](const auto& one) { On(one, *reply); }, command);
  }
  return TakeOutputs(at);
}

control_outputs shard_part::Folded(const task_record_folded& folded,
                                   const instant& at) {
  at_ = at;
  if (!tasks_) {
    return {};
  }
  for (const coordination::ledger_event& event : folded.events) {
    if (const auto* closed = std::get_if<coordination::task_closed>(&event)) {
      Do(tasks_->Recorded(closed->task, at.now));
      Released(closed->task, task_result::kStopped);
      Do(scheduler_->CancelTask(closed->task, at.now));
    } else if (const auto* changed =
                   std::get_if<coordination::task_changed>(&event)) {
      const open_task* task = log_.Tasks().Find(changed->task);
      if (task != nullptr) {
        FoldOpen(*task, folded.record);
      }
    }
  }
  return TakeOutputs(at);
}

control_outputs shard_part::TasksReplaced(const instant& at) {
  at_ = at;
  if (tasks_) {
    for (const auto& [id, task] : log_.Tasks().OpenTasks()) {
      if (task.shard == options_.owner.shard) {
        Do(tasks_->Accept(task, at.now));
      }
    }
  }
  return TakeOutputs(at);
}

control_outputs shard_part::TasksCurrent(time_point read_sent,
                                         const instant& at) {
  at_ = at;
  if (tasks_ && read_sent >= joined_at_) {
    Do(tasks_->LogCurrent(at.now));
  }
  return TakeOutputs(at);
}

control_outputs shard_part::Refused(const coordination::record_id& record,
                                    const instant& at) {
  at_ = at;
  const auto found = claims_.find(record);
  if (found != claims_.end()) {
    const claim refused = found->second;
    claims_.erase(found);
    if (tasks_) {
      Released(refused.task, task_result::kNotStarted);
      Do(tasks_->NotClaimed(refused.task, refused.attempt, at.now));
    }
  }
  return TakeOutputs(at);
}

control_outputs shard_part::Tick(const instant& at) {
  at_ = at;
  Do(owner_.Tick(at.now));
  if (tasks_) {
    Do(tasks_->Tick(at.now));
  }
  if (lender_) {
    lender_->Tick(at.now);
  }
  if (scheduler_ && at.now >= next_sync_) {
    next_sync_ = at.now + kSyncInterval;
    SyncWorkers();
    SyncSlots();
  }
  if (scheduler_) {
    ReadReports();
    Do(scheduler_->Tick(at.now));
  }
  return TakeOutputs(at);
}

std::optional<time_point> shard_part::NextDeadline() const {
  std::optional<time_point> next = owner_.NextDeadline();
  const auto sooner = [&](std::optional<time_point> other) {
    if (other && (!next || *other < *next)) {
      next = other;
    }
  };
  if (tasks_) {
    sooner(tasks_->NextDeadline());
  }
  if (scheduler_) {
    sooner(scheduler_->NextDeadline());
    sooner(next_report_);
  }
  return next;
}

void shard_part::AdoptRunning(const coordination::worker_inventory& inventory) {
  for (const coordination::running_attempt& running : inventory.running) {
    const std::string kind = KindOf(running.task);
    const auto declared = std::find_if(
        configuration_.batch_kinds.begin(), configuration_.batch_kinds.end(),
        [&](const declaration::batch_kind& one) { return one.name == kind; });
    placed_[running.task] = {
        .worker = inventory.worker,
        .attempt = running.attempt,
        .leased = declared == configuration_.batch_kinds.end()
                      ? resources{}
                      : declared->size};
    Do(scheduler_->Started({.task = running.task,
                            .worker = inventory.worker,
                            .attempt = running.attempt,
                            .kind = kind},
                           at_.now));
  }
}

void shard_part::SyncWorkers() {
  if (!scheduler_) {
    return;
  }
  for (const wire::worker_vm& worker : workers_) {
    if (!owner_.MayCommand(worker.worker, at_.now)) {
      continue;
    }
    UpdateWorker(worker.worker, worker.status == wire::vm_status::kLive
                                    ? worker_status::kLive
                                    : worker_status::kLeaving);
  }
}

bool shard_part::NeverOwned() const {
  return std::all_of(workers_.begin(), workers_.end(),
                     [&](const wire::worker_vm& worker) {
                       const auto found = never_owned_.find(worker.worker);
                       return found != never_owned_.end() && found->second;
                     });
}

void shard_part::SyncSlots() {
  if (!lender_) {
    return;
  }
  for (const wire::worker_vm& worker : workers_) {
    coordination::slot_room room;
    // Slots are lent only of workers that obey this owner, so that a worker
    // without a ballot proves that none of its slots are lent.
    if (worker.status == wire::vm_status::kLive &&
        owner_.MayCommand(worker.worker, at_.now)) {
      room = {worker.slots, worker.connections};
    }
    lender_->SetWorker(worker.worker, room, at_.now);
  }
}

void shard_part::UpdateWorker(worker_id worker, worker_status status) {
  const auto described = std::find_if(
      workers_.begin(), workers_.end(),
      [&](const wire::worker_vm& one) { return one.worker == worker; });
  const auto [known, added] = usable_.try_emplace(worker, status);
  if (!added && known->second == status) {
    return;
  }
  known->second = status;
  scheduling::worker_state state{.worker = worker, .status = status};
  if (described != workers_.end()) {
    state.rack = described->rack;
    state.capacity = described->capacity;
  }
  if (status == worker_status::kGone) {
    usable_.erase(known);
  }
  Do(scheduler_->Update(state, at_.now));
}

std::optional<wire::worker_permission> shard_part::Permission(
    worker_id worker) const {
  const auto permission = owner_.MayCommand(worker, at_.now);
  if (!permission) {
    return std::nullopt;
  }
  return wire::worker_permission{permission->lease, permission->up_for};
}

void shard_part::ReadReports() {
  if (at_.now < next_report_) {
    return;
  }
  next_report_ = at_.now + options_.report_interval;
  for (const auto& [worker, status] : usable_) {
    outputs_.emplace_back(wire::worker_command(wire::read_report{worker}));
  }
}

std::string shard_part::KindOf(task_id task) const {
  const open_task* open = log_.Tasks().Find(task);
  return open == nullptr ? std::string() : open->kind;
}

control_outputs shard_part::TakeOutputs(const instant&) {
  return std::exchange(outputs_, {});
}

}  // namespace skylarkbridge::daemon
