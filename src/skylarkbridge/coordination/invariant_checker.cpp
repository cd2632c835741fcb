#include "skylarkbridge/coordination/invariant_checker.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge::coordination {

void invariant_checker::Violate(int invariant, const std::string& text) {
  std::string line = absl::StrCat("invariant ", invariant, ": ", text);
  if (reported_.insert(line).second) {
    violations_.push_back(std::move(line));
  }
}

void invariant_checker::WorkerAdded(worker_id worker, const worker_room& room) {
  workers_[worker] = {.room = room};
}

void invariant_checker::WorkerDied(worker_id worker) {
  for (auto& [id, task] : tasks_) {
    if (task.running.erase(worker) > 0) {
      Free(worker, task.takes[worker]);
    }
  }
  for (auto& [id, request] : requests_) {
    const auto running = request.running.find(worker);
    if (running != request.running.end()) {
      Free(worker, running->second);
      request.running.erase(running);
    }
  }
}

void invariant_checker::UpstreamLeaving(worker_id worker, time_point now) {
  workers_[worker].leaving_since = now;
}

void invariant_checker::Take(worker_id worker,
                             const worker_room& takes,
                             time_point now) {
  worker_entry& entry = workers_[worker];
  entry.used.machine += takes.machine;
  entry.used.slots += takes.slots;
  entry.used.connections += takes.connections;
  if (!Fits(entry.used.machine, entry.room.machine) ||
      entry.used.slots > entry.room.slots ||
      entry.used.connections > entry.room.connections) {
    Violate(1, absl::StrCat("worker ", worker.value, " is over its capacity"));
  }
  if (entry.leaving_since && now > *entry.leaving_since + limits_.leaving) {
    Violate(7, absl::StrCat("worker ", worker.value,
                            " got work after it announced that it leaves"));
  }
}

void invariant_checker::Free(worker_id worker, const worker_room& takes) {
  worker_entry& entry = workers_[worker];
  entry.used.machine -= takes.machine;
  entry.used.slots -= takes.slots;
  entry.used.connections -= takes.connections;
}

void invariant_checker::TaskStarted(const task_start& start, time_point now) {
  task_entry& task = tasks_[start.task];
  Take(start.worker, start.takes, now);
  if (!task.running.empty()) {
    Violate(2, absl::StrCat("task ", start.task.value, " runs on worker ",
                            task.running.begin()->value, " and on worker ",
                            start.worker.value));
  }
  task.idempotent = start.idempotent;
  task.running.insert(start.worker);
  task.takes[start.worker] = start.takes;
  const auto resumed = start.checkpoint
                           ? task.open_checkpoints.find(*start.checkpoint)
                           : task.open_checkpoints.end();
  const bool resumes = resumed != task.open_checkpoints.end();
  if (resumes) {
    task.open_checkpoints.erase(resumed);
  }
  task.evicted = false;
  if (++task.starts > 1 && !task.idempotent && !resumes) {
    Violate(6, absl::StrCat("non-idempotent task ", start.task.value,
                            " started again"));
    if (start.checkpoint) {
      Violate(3, absl::StrCat("task ", start.task.value,
                              " resumed twice from one checkpoint"));
    }
  }
}

void invariant_checker::TaskEnded(task_id id,
                                  worker_id worker,
                                  attempt_end end,
                                  std::optional<std::string> checkpoint) {
  task_entry& task = tasks_[id];
  if (task.running.erase(worker) == 0) {
    return;
  }
  Free(worker, task.takes[worker]);
  if (end == attempt_end::kStopped && checkpoint) {
    task.evicted = true;
    task.open_checkpoints.insert(*std::move(checkpoint));
  }
}

void invariant_checker::RequestStarted(const request_start& start,
                                       time_point now) {
  request_entry& request = requests_[start.request];
  Take(start.worker, start.takes, now);
  request.key = start.key;
  request.started = true;
  request.running[start.worker] = start.takes;
  if (request.told == told_outcome::kNotRun) {
    Violate(5, absl::StrCat("request ", start.request.value,
                            " ran after its caller was told not-run"));
  }
  if (++key_starts_[start.key] > 1 && !start.idempotent) {
    Violate(6, absl::StrCat("non-idempotent request with key ", start.key,
                            " ran again"));
  }
}

void invariant_checker::RequestEnded(request_id id,
                                     worker_id worker,
                                     std::optional<std::string> answer) {
  request_entry& request = requests_[id];
  const auto running = request.running.find(worker);
  if (running == request.running.end()) {
    return;
  }
  Free(worker, running->second);
  request.running.erase(running);
  if (answer) {
    request.answers.insert(*std::move(answer));
  }
}

void invariant_checker::CallerAsked(request_id request, std::string key) {
  requests_[request].key = std::move(key);
}

void invariant_checker::CallerTold(request_id id,
                                   told_outcome outcome,
                                   std::string_view answer) {
  request_entry& request = requests_[id];
  if (request.told) {
    Violate(
        4, absl::StrCat("caller of request ", id.value, " was answered twice"));
  }
  request.told = outcome;
  if (outcome == told_outcome::kNotRun && request.started) {
    Violate(5, absl::StrCat("caller of request ", id.value,
                            " was told not-run although it ran"));
  }
  if (outcome != told_outcome::kDone) {
    return;
  }
  // A repeat with the same key is given the answer of the request that ran.
  const bool own =
      std::any_of(requests_.begin(), requests_.end(), [&](const auto& item) {
        const request_entry& other = item.second;
        return (item.first == id ||
                (!request.key.empty() && other.key == request.key)) &&
               other.answers.contains(std::string(answer));
      });
  if (!own) {
    Violate(4, absl::StrCat("caller of request ", id.value,
                            " got an answer that is not complete or not its "
                            "own"));
  }
}

void invariant_checker::SubmitterTold(task_id id) {
  tasks_[id].told = true;
}

void invariant_checker::PlannedStopInterrupted(entry_vm_id vm,
                                               request_id request) {
  Violate(8, absl::StrCat("the planned stop of VM ", vm.value,
                          " interrupted request ", request.value));
}

void invariant_checker::ConfigurationAccepted(std::uint64_t version,
                                              time_point now) {
  accepted_.try_emplace(version, now);
}

void invariant_checker::ConfigurationInForce(entry_vm_id vm,
                                             std::uint64_t version,
                                             time_point now) {
  const auto [found, added] = in_force_.try_emplace(vm, version);
  if (version < found->second) {
    Violate(9, absl::StrCat("VM ", vm.value, " reverted from configuration ",
                            found->second, " to ", version));
  }
  found->second = std::max(found->second, version);
  CheckTime(now);
}

void invariant_checker::VmExcused(entry_vm_id vm) {
  in_force_.erase(vm);
}

void invariant_checker::CheckTime(time_point now) {
  std::uint64_t due = 0;
  for (const auto& [version, at] : accepted_) {
    due = now > at + limits_.configuration ? version : due;
  }
  for (const auto& [vm, version] : in_force_) {
    if (version < due) {
      Violate(9, absl::StrCat("VM ", vm.value, " still has configuration ",
                              version, " when ", due, " is due"));
    }
  }
}

void invariant_checker::CheckSettled() {
  for (const auto& [id, task] : tasks_) {
    if (task.evicted && !task.told) {
      Violate(3, absl::StrCat("evicted task ", id.value, " did not resume"));
    }
  }
}

}  // namespace skylarkbridge::coordination
