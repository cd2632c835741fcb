#include "skylarkbridge/scenario/task_side.hpp"

#include <utility>
#include <variant>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/scenario/names.hpp"

namespace skylarkbridge::scenario {

using coordination::attempt_end;
using scheduling::task_result;
using scheduling::worker_status;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStartTakes{5};
constexpr milliseconds kFailureTakes{200};
constexpr milliseconds kCheckpointTakes{200};
constexpr milliseconds kStopTakes{20};
/// Leases of a lost worker run for so long; nothing runs there afterwards.
constexpr milliseconds kLease{3000};

attempt_end ToEnd(task_result result) {
  switch (result) {
    case task_result::kSucceeded:
      return attempt_end::kSucceeded;
    case task_result::kFailed:
      return attempt_end::kFailed;
    case task_result::kNotStarted:
      return attempt_end::kNotStarted;
    case task_result::kStopped:
      return attempt_end::kStopped;
  }
  return attempt_end::kFailed;
}

}  // namespace

void task_side::Configure() {
  Do(scheduler_.Configure(fleet_.declared, fleet_.time.Now()));
}

void task_side::Submit(const std::string& kind,
                       std::int64_t count,
                       milliseconds over) {
  for (std::int64_t i = 0; i < count; ++i) {
    fleet_.time.After(over * i / count, [this, kind] {
      const task_id task{++last_task_};
      open_[task] = {.kind = kind, .submitted = fleet_.time.Now()};
      ++tallies_[kind].submitted;
      Do(scheduler_.Submit({.task = task, .kind = kind}, fleet_.time.Now()));
    });
  }
}

void task_side::Cancel(const std::string& kind, std::int64_t count) {
  std::vector<task_id> cancelled;
  for (const auto& [task, facts] : open_) {
    if (facts.kind == kind && !facts.cancelled &&
        std::ssize(cancelled) < count) {
      cancelled.push_back(task);
    }
  }
  for (const task_id task : cancelled) {
    ++tallies_[kind].cancelled;
    open_.at(task).cancelled = true;
    const bool running = running_.contains(task);
    Do(scheduler_.CancelTask(task, fleet_.time.Now()));
    if (!running) {
      Told(task);
    }
  }
}

void task_side::Update(worker_id worker) {
  const fleet_worker& state = fleet_.workers.at(worker);
  const auto update = [this, worker, state](worker_status status) {
    Do(scheduler_.Update({.worker = worker,
                          .status = status,
                          .rack = state.rack,
                          .capacity = state.room},
                         fleet_.time.Now()));
  };
  if (state.condition != worker_condition::kLost) {
    update(state.leaving ? worker_status::kLeaving : worker_status::kLive);
    return;
  }
  Lose(worker);
  update(worker_status::kUnreachable);
  fleet_.time.After(kLease, [this, worker, update] {
    if (fleet_.workers.at(worker).condition == worker_condition::kLost) {
      update(worker_status::kGone);
    }
  });
}

void task_side::Lose(worker_id worker) {
  fleet_.checker.WorkerDied(worker);
  std::vector<task_id> lost;
  for (const auto& [task, held] : running_) {
    if (held.start.worker == worker) {
      lost.push_back(task);
    }
  }
  for (const task_id task : lost) {
    running_.erase(task);
    const auto open = open_.find(task);
    if (open != open_.end() && open->second.cancelled) {
      Told(task);
    }
  }
  UpdateNoise();
}

void task_side::Do(const scheduling::task_commands& commands) {
  for (const scheduling::task_command& item : commands) {
    std::visit([this](const auto& c) { Do(c); }, item);
  }
  if (!commands.empty()) {
    CheckLeases();
    UpdateNoise();
  }
  timer_.Arm(scheduler_.NextDeadline(),
             [this] { Do(scheduler_.Tick(fleet_.time.Now())); });
}

void task_side::Do(const scheduling::start_task& start) {
  const auto open = open_.find(start.task);
  if (open == open_.end()) {
    violations_.insert(absl::StrCat("invariant 3: task ", start.task.value,
                                    " started after its end"));
    return;
  }
  task_facts& facts = open->second;
  tally& counts = tallies_[facts.kind];
  const worker_condition condition = fleet_.workers.at(start.worker).condition;
  if (condition == worker_condition::kRefusing ||
      condition == worker_condition::kLost) {
    fleet_.time.After(kStartTakes, [this, start] {
      Do(scheduler_.Finished({.task = start.task,
                              .worker = start.worker,
                              .attempt = start.attempt,
                              .result = task_result::kNotStarted},
                             fleet_.time.Now()));
    });
    return;
  }
  ++counts.starts;
  counts.resumed += start.checkpoint ? 1 : 0;
  if (!std::exchange(facts.started, true)) {
    counts.waits.push_back(fleet_.time.Now() - facts.submitted);
  }
  bool idempotent = true;
  for (const declaration::batch_kind& kind : fleet_.declared.batch_kinds) {
    idempotent = kind.name == facts.kind ? kind.idempotent : idempotent;
  }
  fleet_.checker.TaskStarted({.task = start.task,
                              .worker = start.worker,
                              .attempt = start.attempt,
                              .idempotent = idempotent,
                              .checkpoint = start.checkpoint,
                              .takes = {}},
                             fleet_.time.Now());
  const true_behaviour& truth = fleet_.behaviour[facts.kind];
  run& held = running_[start.task];
  held = {.start = start,
          .kind = facts.kind,
          .done = start.checkpoint ? facts.saved[*start.checkpoint]
                                   : std::chrono::nanoseconds(0),
          .since = fleet_.time.Now(),
          .takes = fleet_.Uniform(truth.takes)};
  fleet_.time.After(kStartTakes, [this, start, kind = facts.kind] {
    if (Find(start.task, start.worker, start.attempt) != nullptr) {
      Do(scheduler_.Started({.task = start.task,
                             .worker = start.worker,
                             .attempt = start.attempt,
                             .kind = kind},
                            fleet_.time.Now()));
    }
  });
  if (truth.fails || condition == worker_condition::kFailing) {
    fleet_.time.After(kFailureTakes, [this, start] {
      if (const run* failed = Find(start.task, start.worker, start.attempt)) {
        End(*failed, task_result::kFailed);
      }
    });
  } else {
    Plan(held);
  }
}

void task_side::Do(const scheduling::throttle_task& throttle) {
  run* held = Find(throttle.task, throttle.worker, throttle.attempt);
  if (held == nullptr) {
    return;
  }
  held->done = Work(*held);
  held->since = fleet_.time.Now();
  held->permille = throttle.processor_permille;
  held->start.leased = throttle.leased;
  if (held->plan > 0) {
    Plan(*held);
  }
}

void task_side::Do(const scheduling::checkpoint_task& save) {
  fleet_.time.After(kCheckpointTakes, [this, save] {
    run* held = Find(save.task, save.worker, save.attempt);
    if (held == nullptr) {
      return;
    }
    const std::string checkpoint =
        absl::StrCat("task ", save.task.value, " attempt ", save.attempt);
    const auto open = open_.find(save.task);
    if (open != open_.end()) {
      open->second.saved[checkpoint] = Work(*held);
    }
    Do(scheduler_.Checkpointed({.task = save.task,
                                .worker = save.worker,
                                .attempt = save.attempt,
                                .checkpoint = checkpoint},
                               fleet_.time.Now()));
    if (const run* saved = Find(save.task, save.worker, save.attempt)) {
      End(*saved, task_result::kStopped, checkpoint);
    }
  });
}

void task_side::Do(const scheduling::stop_task& stop) {
  fleet_.time.After(kStopTakes, [this, stop] {
    if (const run* held = Find(stop.task, stop.worker, stop.attempt)) {
      End(*held, task_result::kStopped);
    }
  });
}

void task_side::Do(const scheduling::refuse_task& refuse) {
  const auto found = open_.find(refuse.task);
  if (found != open_.end()) {
    tally& counts = tallies_[found->second.kind];
    ++counts.refused[Name(refuse.reason)];
    counts.refusal_detail = refuse.detail;
  }
  Told(refuse.task);
}

void task_side::Plan(run& held) {
  const auto left = (held.takes - Work(held)) * 1000 / held.permille;
  fleet_.time.After(std::max(left, std::chrono::nanoseconds(1)),
                    [this, start = held.start, plan = ++held.plan] {
                      const run* ended =
                          Find(start.task, start.worker, start.attempt);
                      if (ended != nullptr && ended->plan == plan) {
                        End(*ended, task_result::kSucceeded);
                      }
                    });
}

std::chrono::nanoseconds task_side::Work(const run& held) const {
  return held.done + ((fleet_.time.Now() - held.since) * held.permille / 1000);
}

task_side::run* task_side::Find(task_id task,
                                worker_id worker,
                                std::uint32_t attempt) {
  const auto found = running_.find(task);
  return found != running_.end() && found->second.start.worker == worker &&
                 found->second.start.attempt == attempt
             ? &found->second
             : nullptr;
}

void task_side::End(const run& held,
                    task_result result,
                    std::optional<std::string> checkpoint) {
  const scheduling::start_task start = held.start;
  tally& counts = tallies_[held.kind];
  running_.erase(start.task);
  fleet_.checker.TaskEnded(start.task, start.worker, ToEnd(result),
                           std::move(checkpoint));
  counts.succeeded += result == task_result::kSucceeded ? 1 : 0;
  counts.failed += result == task_result::kFailed ? 1 : 0;
  const auto open = open_.find(start.task);
  if (open != open_.end() &&
      (result == task_result::kSucceeded || open->second.cancelled)) {
    Told(start.task);
  }
  Do(scheduler_.Finished({.task = start.task,
                          .worker = start.worker,
                          .attempt = start.attempt,
                          .result = result},
                         fleet_.time.Now()));
  UpdateNoise();
}

void task_side::Told(task_id task) {
  fleet_.checker.SubmitterTold(task);
  open_.erase(task);
}

}  // namespace skylarkbridge::scenario
