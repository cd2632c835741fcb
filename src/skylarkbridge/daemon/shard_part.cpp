#include "skylarkbridge/daemon/shard_part.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/daemon/events.hpp"

namespace skylarkbridge::daemon {

using coordination::open_task;
using scheduling::task_result;
using scheduling::worker_status;

namespace {

// Interval at which the scheduler and the lender hear which workers the owner
// may command. Renewals come every 360 to 400 ms.
constexpr std::chrono::milliseconds kSyncInterval{50};

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
                         .resumed = true},
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
