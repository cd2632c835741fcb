#ifndef SKYLARKBRIDGE_COORDINATION_EXPLORER_FAKE_HPP
#define SKYLARKBRIDGE_COORDINATION_EXPLORER_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "skylarkbridge/coordination/entry_vm_fake.hpp"
#include "skylarkbridge/coordination/request_fake.hpp"

namespace skylarkbridge::coordination {

enum class fault_fake {
  kKillVm,
  kPauseVm,
  kCutVms,
  kKillWorker,
  kCutWorker,
  kCutWorkerFromOwner,
  kLateMessages,
  kDuplicates,
  kLostReplies,
  kLogDown,
  kTwoOwners,
  /// A VM's list of workers lacks one of them.
  kShortList,
  kCount,
};

struct schedule_options {
  std::uint64_t seed = 1;
  /// Faults beside the first; they also strike while the system recovers.
  int more_faults = 1;
  /// Faults that strike together, first; drawn from the seed when empty.
  std::vector<fault_fake> first;
  bool fencing = true;
  owner_test_options owner;
  lifecycle_test_options lifecycle;
  bool check_slot_deadline = true;
  /// A killed VM is replaced after 0.3 to 4 s.
  bool replace_vms = true;
};

struct schedule_result {
  std::vector<std::string> violations;
  std::size_t unfinished = 0;
  std::uint64_t steps = 0;
  /// From an owner's death to the next completed takeover.
  std::vector<std::chrono::nanoseconds> takeovers;
  /// Requests answered done, not-run and unknown.
  std::array<std::uint64_t, 3> told{};
};

/// @brief Runs one random schedule in virtual time: three entry VMs, four
/// workers, one shard, and faults that heal after 9 s.
class explorer_fake {
 public:
  explicit explorer_fake(const schedule_options& options)
      : options_(options), cluster_{.net = network_fake(options.seed)} {
    cluster_.owner_test = options.owner;
    cluster_.lifecycle_test = options.lifecycle;
    for (std::uint64_t worker = 101; worker <= 104; ++worker) {
      AddWorker({worker});
    }
    for (std::uint64_t vm = 1; vm <= 3; ++vm) {
      vms_.push_back(
          std::make_unique<entry_vm_fake>(entry_vm_id{vm}, cluster_, vms_));
    }
  }

  schedule_result Run() {
    using std::chrono::seconds;
    for (std::uint64_t task = 1; task <= 24; ++task) {
      Submit({task});
    }
    for (const auto& vm : vms_) {
      requests_.push_back(std::make_unique<request_side_fake>(
          *vm, cluster_, requests_, options_.check_slot_deadline));
    }
    for (std::uint64_t request = 1; request <= 120; ++request) {
      // Callers repeat some keys, also while the first request is in progress.
      const std::string key =
          request % 3 == 0 ? absl::StrCat("none", request)
                           : absl::StrCat("k", request - (request % 3 == 2));
      const auto side = static_cast<std::size_t>(Net().Uniform(3));
      Net().After(std::chrono::milliseconds(2500 + (request * 60)),
                  [=, this] { requests_[side]->Arrive({request}, key); });
    }
    for (int i = 0; i < 4; ++i) {
      Net().After(Net().Milliseconds(3500, 9000), [this] { EvictOne(); });
    }
    std::chrono::nanoseconds at = Net().Milliseconds(3500, 5000);
    for (const fault_fake fault : options_.first) {
      Net().After(at, [this, fault] { Strike(fault); });
    }
    for (int i = options_.first.empty() ? 0 : 1; i <= options_.more_faults;
         ++i) {
      const auto fault = static_cast<fault_fake>(
          Net().Uniform(static_cast<std::int64_t>(fault_fake::kCount)));
      Net().After(at, [this, fault] { Strike(fault); });
      at += Net().Milliseconds(0, 2500);
    }
    schedule_result result;
    while (Net().Step(seconds(40))) {
      ++result.steps;
      if (!cluster_.checker.Violations().empty() ||
          (Net().Now() > seconds(14) && cluster_.log.ended.size() == 24)) {
        break;
      }
    }
    result.unfinished = 24 - cluster_.log.ended.size();
    if (result.unfinished == 0) {
      cluster_.checker.CheckSettled();
    }
    result.told = cluster_.told;
    result.violations = cluster_.checker.Violations();
    for (const std::chrono::nanoseconds died : owner_deaths_) {
      for (const auto& [time, vm] : cluster_.takeovers) {
        if (time > died) {
          result.takeovers.push_back(time - died);
          break;
        }
      }
    }
    return result;
  }

 private:
  network_fake& Net() { return cluster_.net; }

  void AddWorker(worker_id id) {
    auto worker = std::make_unique<worker_fake>(id, Net(), cluster_.checker);
    worker->fencing = options_.fencing;
    worker->on_end = [this, id](const ballot& owner, const ended_attempt& end) {
      for (const auto& vm : vms_) {
        if (vm->Incarnation() == owner.incarnation.value) {
          Net().Send(id.value, vm->id.value, [=, to = vm.get()] {
            to->Deliver([=] { to->Ended(id, end); });
          });
        }
      }
    };
    cluster_.workers[id] = std::move(worker);
  }

  void Submit(task_id task) {
    const auto at = Net().Milliseconds(0, 7000);
    Net().After(at,
                [this, task] { Append(record_kind_fake::kAccepted, task); });
    if (Net().Chance(15)) {
      Net().After(at + Net().Milliseconds(0, 2000),
                  [this, task] { Append(record_kind_fake::kCancelled, task); });
    }
  }
  /// Submitters repeat the append until the log accepts it.
  void Append(record_kind_fake kind, task_id task) {
    const record_fake record{
        .id = {0, (task.value * 10) + static_cast<std::uint64_t>(kind)},
        .kind = kind,
        .task = {.task = task, .idempotent = task.value % 2 == 0}};
    if (!cluster_.log.Append(record)) {
      Net().After(std::chrono::milliseconds(200),
                  [=, this] { Append(kind, task); });
    }
  }

  void EvictOne() {
    const task_id task{static_cast<std::uint64_t>(Net().Uniform(24)) + 1};
    for (const auto& vm : vms_) {
      vm->Deliver([to = vm.get(), task] { to->Evict(task); });
    }
  }

  entry_vm_fake& Owner() {
    for (const auto& vm : vms_) {
      if (vm->alive && vm->owner->State() == ownership::kOwner) {
        return *vm;
      }
    }
    return *vms_[static_cast<std::size_t>(Net().Uniform(3))];
  }

  void Cut(std::uint64_t a, std::uint64_t b, std::chrono::nanoseconds length) {
    Net().cut.insert({a, b});
    Net().cut.insert({b, a});
    Net().After(length, [this, a, b] {
      Net().cut.erase({a, b});
      Net().cut.erase({b, a});
    });
  }

  void Strike(fault_fake fault) {
    const auto length = Net().Milliseconds(300, 4000);
    entry_vm_fake* vm = &Owner();
    worker_fake* worker =
        cluster_.workers
            .at({101 + static_cast<std::uint64_t>(Net().Uniform(4))})
            .get();
    switch (fault) {
      case fault_fake::kKillVm:
        if (vm->alive) {
          if (vm->owner->State() == ownership::kOwner) {
            owner_deaths_.push_back(Net().Now());
          }
          vm->Kill();
          if (options_.replace_vms) {
            Net().After(length, [vm] { vm->Start(); });
          }
        }
        break;
      case fault_fake::kPauseVm:
        vm->Pause();
        Net().After(length, [vm] { vm->Resume(); });
        break;
      case fault_fake::kCutVms:
        Cut(1 + static_cast<std::uint64_t>(Net().Uniform(3)), vm->id.value,
            length);
        break;
      case fault_fake::kKillWorker:
        if (worker->alive) {
          worker->Kill();
          Net().After(length, [worker] { worker->Restart(); });
        }
        break;
      case fault_fake::kCutWorker:
        Cut(worker->id.value, 0, length);
        break;
      case fault_fake::kCutWorkerFromOwner:
        Cut(worker->id.value, vm->id.value, length);
        break;
      case fault_fake::kLateMessages:
        Set(Net().late_percent, 20, length);
        break;
      case fault_fake::kDuplicates:
        Set(Net().duplicate_percent, 30, length);
        Set(Net().late_percent, 15, length);
        break;
      case fault_fake::kLostReplies:
        Set(Net().lost_reply_percent, 40, length);
        break;
      case fault_fake::kLogDown:
        cluster_.log.up = false;
        Net().After(length, [this] { cluster_.log.up = true; });
        break;
      case fault_fake::kTwoOwners:
        cluster_.all_expected = true;
        Net().After(length, [this] { cluster_.all_expected = false; });
        break;
      case fault_fake::kShortList: {
        entry_vm_fake* reader =
            vms_[static_cast<std::size_t>(Net().Uniform(3))].get();
        reader->Deliver([=] { reader->ListWorkers(worker->id); });
        Net().After(length, [reader] {
          reader->Deliver([reader] { reader->ListWorkers(std::nullopt); });
        });
        break;
      }
      case fault_fake::kCount:
        break;
    }
  }
  void Set(int& percent, int value, std::chrono::nanoseconds length) {
    percent = value;
    Net().After(length, [&percent] { percent = 0; });
  }

  schedule_options options_;
  cluster_fake cluster_;
  entry_vm_fake::peers vms_;
  request_side_fake::sides requests_;
  std::vector<std::chrono::nanoseconds> owner_deaths_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_EXPLORER_FAKE_HPP
