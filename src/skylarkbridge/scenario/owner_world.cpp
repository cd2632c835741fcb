#include "skylarkbridge/scenario/owner_world.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/scenario/shard_fake.hpp"
#include "skylarkbridge/scenario/world.hpp"

namespace skylarkbridge::scenario {

using coordination::ownership;
using std::chrono::milliseconds;

static_assert(world<owner_world>);

namespace {

constexpr std::int64_t kMostVms = 90;
constexpr std::int64_t kMostWorkers = 1000;

std::string StateOf(const shard_fake::vm_fake& vm) {
  if (!vm.alive) {
    return "dead";
  }
  // A paused process can say nothing; its last state misleads.
  if (vm.paused) {
    return "paused";
  }
  switch (vm.owner->State()) {
    case ownership::kNotOwner:
      return "not owner";
    case ownership::kTakingOver:
      return "taking over";
    case ownership::kOwner:
      return vm.owner->Holds(vm.Now()) ? "owner" : "owner, lease run out";
    case ownership::kLost:
      return "lost the shard";
  }
  return "?";
}

}  // namespace

struct owner_world::parts {
  std::unique_ptr<shard_fake> shard;

  shard_fake::vm_fake* Vm(command& line) {
    const auto id = line.Unsigned("VM");
    if (id == 0 || id > shard->vms.size()) {
      line.Fail("no such VM");
      return nullptr;
    }
    return line.Done() ? shard->vms[id - 1].get() : nullptr;
  }
  coordination::worker_fake* Worker(command& line) {
    const auto found = shard->cluster.workers.find(
        worker_id{shard_fake::kFirstWorker + line.Unsigned("worker")});
    if (found == shard->cluster.workers.end()) {
      line.Fail("no such worker");
      return nullptr;
    }
    return line.Done() ? found->second.get() : nullptr;
  }
};

owner_world::owner_world() : parts_(std::make_unique<parts>()) {}
owner_world::~owner_world() = default;
owner_world::owner_world(owner_world&&) noexcept = default;
owner_world& owner_world::operator=(owner_world&&) noexcept = default;

bool owner_world::Run(command& line) {
  if (line.Take({"shard"})) {
    const std::int64_t vms = line.Number("vms", std::int64_t{3});
    const std::int64_t workers = line.Number("workers", std::int64_t{4});
    if (vms < 1 || vms > kMostVms || workers < 1 || workers > kMostWorkers) {
      line.Fail("a shard has 1 to 90 VMs and 1 to 1000 workers");
    }
    if (line.Done()) {
      parts_->shard = std::make_unique<shard_fake>(
          static_cast<std::uint64_t>(vms), static_cast<std::uint64_t>(workers));
    }
    return true;
  }
  return parts_->shard &&
         (Work(line) || FaultOfVm(line) || FaultOfOthers(line) || Show(line));
}

void owner_world::Advance(milliseconds duration) {
  if (parts_->shard) {
    parts_->shard->RunFor(duration);
  }
}

std::vector<std::string> owner_world::Violations() const {
  return parts_->shard ? parts_->shard->cluster.checker.Violations()
                       : std::vector<std::string>();
}

bool owner_world::Work(command& line) {
  shard_fake& shard = *parts_->shard;
  const bool accept = line.Take({"accept"});
  if (accept || line.Take({"ask"})) {
    const std::int64_t count = line.Number("count");
    const milliseconds over = line.Duration("over", milliseconds(0));
    if (line.Done()) {
      accept ? shard.Accept(count, over) : shard.Ask(count, over);
    }
    return true;
  }
  if (line.Take({"evict", "task"})) {
    const task_id task{line.Unsigned("task")};
    if (line.Done()) {
      for (const auto& vm : shard.vms) {
        vm->Deliver([to = vm.get(), task] { to->Evict(task); });
      }
    }
    return true;
  }
  if (line.Take({"settled"})) {
    if (line.Done()) {
      shard.cluster.checker.CheckSettled();
    }
    return true;
  }
  return false;
}

bool owner_world::FaultOfVm(command& line) {
  shard_fake& shard = *parts_->shard;
  const auto apply = [&](auto change) {
    if (auto* vm = parts_->Vm(line)) {
      change(*vm);
    }
    return true;
  };
  if (line.Take({"kill", "vm"})) {
    return apply([](auto& vm) { vm.Kill(); });
  }
  if (line.Take({"start", "vm"})) {
    return apply([&](auto& vm) {
      shard.leaving.erase(vm.id);
      vm.alive ? void() : vm.Start();
    });
  }
  if (line.Take({"pause", "vm"})) {
    return apply([](auto& vm) { vm.Pause(); });
  }
  if (line.Take({"resume", "vm"})) {
    return apply([](auto& vm) { vm.Resume(); });
  }
  if (line.Take({"stop", "vm"})) {
    return apply([&](auto& vm) { shard.Stop(vm); });
  }
  if (line.Take({"isolate", "vm"})) {
    return apply([&](auto& vm) { shard.Cut(vm.id.value, 0); });
  }
  return false;
}

bool owner_world::FaultOfOthers(command& line) {
  shard_fake& shard = *parts_->shard;
  const auto apply = [&](auto change) {
    if (auto* worker = parts_->Worker(line)) {
      change(*worker);
    }
    return true;
  };
  if (line.Take({"kill", "worker"})) {
    return apply([](auto& worker) { worker.Kill(); });
  }
  if (line.Take({"start", "worker"})) {
    return apply([](auto& worker) { worker.Restart(); });
  }
  if (line.Take({"isolate", "worker"})) {
    return apply([&](auto& worker) { shard.Cut(worker.id.value, 0); });
  }
  if (line.Take({"unsafe", "workers"})) {
    for (const auto& [id, worker] : shard.cluster.workers) {
      worker->fencing = false;
    }
  } else if (line.Take({"unsafe", "owners"})) {
    shard.cluster.all_expected = true;
  } else if (line.Take({"drop", "replies"})) {
    shard.Net().lost_reply_percent =
        static_cast<int>(std::min<std::int64_t>(100, line.Number("percent")));
  } else if (line.Take({"heal"})) {
    shard.Net().cut.clear();
    shard.Net().lost_reply_percent = 0;
  } else if (line.Take({"log", "down"})) {
    shard.cluster.log.up = false;
  } else if (line.Take({"log", "up"})) {
    shard.cluster.log.up = true;
  } else {
    return false;
  }
  line.Done();
  return true;
}

bool owner_world::Show(command& line) {
  shard_fake& shard = *parts_->shard;
  coordination::cluster_fake& cluster = shard.cluster;
  if (line.Take({"show", "owners"})) {
    for (const auto& vm : shard.vms) {
      line.Print(absl::StrCat("vm ", vm->id.value, ": ", StateOf(*vm)));
    }
  } else if (line.Take({"show", "holders"})) {
    for (const auto& vm : shard.vms) {
      if (vm->alive && !vm->paused && vm->owner->Holds(vm->Now())) {
        line.Print(absl::StrCat("vm ", vm->id.value));
      }
    }
  } else if (line.Take({"show", "takeovers"})) {
    for (const auto& [at, vm] : cluster.takeovers) {
      line.Print(absl::StrCat(
          "vm ", vm.value, " at ",
          std::chrono::duration_cast<milliseconds>(at).count(), " ms"));
    }
  } else if (line.Take({"show", "log"})) {
    std::int64_t accepted = 0;
    std::int64_t claims = 0;
    for (const coordination::record_fake& record : cluster.log.records) {
      accepted += record.kind == shard_fake::record_kind::kAccepted ? 1 : 0;
      claims += record.kind == shard_fake::record_kind::kClaimed ? 1 : 0;
    }
    line.Print(absl::StrCat(accepted, " tasks accepted, ", shard.refused_tasks,
                            " refused, ", cluster.log.ended.size(), " ended, ",
                            claims, " start claims, ",
                            cluster.log.records.size(), " records"));
  } else if (line.Take({"show", "answers"})) {
    const auto& told = cluster.told;
    line.Print(absl::StrCat(shard.asked, " asked, ", told[0], " done, ",
                            told[1], " not run, ", told[2], " unknown, ",
                            shard.asked - told[0] - told[1] - told[2],
                            " without an answer"));
  } else {
    return false;
  }
  line.Done();
  return true;
}

}  // namespace skylarkbridge::scenario
