#ifndef SKYLARKBRIDGE_SCENARIO_SHARD_FAKE_HPP
#define SKYLARKBRIDGE_SCENARIO_SHARD_FAKE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/coordination/entry_vm_fake.hpp"
#include "skylarkbridge/coordination/request_fake.hpp"

namespace skylarkbridge::scenario {

/// @brief One shard with the fakes of coordination, as the random explorer
/// joins them, but with faults that a scenario chooses.
class shard_fake {
 public:
  using record_kind = coordination::record_kind_fake;
  using vm_fake = coordination::entry_vm_fake;

  /// Worker 1 of a scenario has this id plus one; ids below are VMs, and 99 is
  /// the log.
  static constexpr std::uint64_t kFirstWorker = 100;
  static constexpr std::uint64_t kLog = 99;

  shard_fake(std::uint64_t vm_count, std::uint64_t worker_count) {
    for (std::uint64_t worker = 1; worker <= worker_count; ++worker) {
      AddWorker({kFirstWorker + worker});
    }
    for (std::uint64_t vm = 1; vm <= vm_count; ++vm) {
      vms.push_back(std::make_unique<vm_fake>(entry_vm_id{vm}, cluster, vms));
    }
    for (const auto& vm : vms) {
      sides.push_back(std::make_unique<coordination::request_side_fake>(
          *vm, cluster, sides, true));
    }
  }

  coordination::network_fake& Net() { return cluster.net; }

  void RunFor(std::chrono::nanoseconds duration) {
    now_ += duration;
    while (Net().Step(now_)) {
    }
    // The network's clock stops at its last message, so that the next command
    // would act too early without this one.
    Net().After(now_ - Net().Now(), [] {});
    Net().Step(now_);
  }

  void Accept(std::int64_t count, std::chrono::milliseconds over) {
    for (std::int64_t i = 0; i < count; ++i) {
      Net().After(over * i / count, [this] {
        const task_id task{++last_task_};
        Append({.id = {0, task.value * 10},
                .kind = record_kind::kAccepted,
                .task = {.task = task, .idempotent = task.value % 2 == 0}});
      });
    }
  }

  void Ask(std::int64_t count, std::chrono::milliseconds over) {
    for (std::int64_t i = 0; i < count; ++i) {
      Net().After(over * i / count, [this] {
        std::vector<std::size_t> open;
        for (std::size_t side = 0; side < vms.size(); ++side) {
          // The load balancer sends nothing to a VM that is leaving or dead; it
          // doesn't know that one is paused.
          if (vms[side]->alive && !leaving.contains(vms[side]->id)) {
            open.push_back(side);
          }
        }
        const request_id request{++asked};
        if (!open.empty()) {
          sides[open[asked % open.size()]]->Arrive(request,
                                                   absl::StrCat("key ", asked));
        }
      });
    }
  }

  /// @brief Announces that the VM leaves, and ends its process once its
  /// requests, which last at most 1 s, have ended.
  void Stop(vm_fake& vm) {
    leaving.insert(vm.id);
    vm.Deliver([this, &vm] {
      vm.owner->Leave(vm.Now());
      vm.tasks.reset();
      Net().After(kDrain, [&vm, incarnation = vm.Incarnation()] {
        if (vm.alive && vm.Incarnation() == incarnation) {
          vm.Kill();
        }
      });
    });
  }

  void Cut(std::uint64_t a, std::uint64_t b) {
    Net().cut.insert({a, b});
    Net().cut.insert({b, a});
  }

  coordination::cluster_fake cluster{.net = coordination::network_fake(1)};
  vm_fake::peers vms;
  coordination::request_side_fake::sides sides;
  std::set<entry_vm_id> leaving;
  std::uint64_t asked = 0;
  std::uint64_t refused_tasks = 0;

 private:
  static constexpr std::chrono::milliseconds kDrain{1500};

  void AddWorker(worker_id id) {
    auto worker =
        std::make_unique<coordination::worker_fake>(id, Net(), cluster.checker);
    worker->on_end = [this, id](const coordination::ballot& owner,
                                const coordination::ended_attempt& end) {
      for (const auto& vm : vms) {
        if (vm->Incarnation() == owner.incarnation.value) {
          Net().Send(id.value, vm->id.value, [=, to = vm.get()] {
            to->Deliver([=] { to->Ended(id, end); });
          });
        }
      }
    };
    cluster.workers[id] = std::move(worker);
  }

  /// A task is accepted only when it is durable.
  void Append(const coordination::record_fake& record) {
    if (!cluster.log.Append(record)) {
      ++refused_tasks;
    }
  }

  std::chrono::nanoseconds now_{0};
  std::uint64_t last_task_ = 0;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_SHARD_FAKE_HPP
