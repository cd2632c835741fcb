#ifndef SKYLARKBRIDGE_CONTROL_VIRTUAL_FLEET_CALLS_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_VIRTUAL_FLEET_CALLS_FAKE_HPP

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/control/replies_fake.hpp"
#include "skylarkbridge/control/virtual_fleet_fake.hpp"

/// @brief How the calls of the VMs of a virtual_fleet reach the store and the
/// workers, and how the replies come back.
namespace skylarkbridge::control {

inline void callers_fake::Answer(std::uint64_t token,
                                 const caller_answer& answer) {
  fleet_.RecordAnswer(token, answer);
}

inline void platform_fake::Append(append_call call, time_point deadline) {
  fleet_.Transmit(vm_, [this, call = std::move(call), deadline] {
    AppendNow(call, deadline);
  });
}
inline void platform_fake::Read(const topic& source,
                                const jobs::read_request& call,
                                time_point deadline) {
  fleet_.Transmit(
      vm_, [this, source, call, deadline] { ReadNow(source, call, deadline); });
}
inline void platform_fake::ReadMachines(const jobs::machine_page_request& call,
                                        time_point deadline) {
  fleet_.Transmit(vm_,
                  [this, call, deadline] { ReadMachinesNow(call, deadline); });
}
inline void platform_fake::SendOrder(const jobs::order& order,
                                     time_point deadline) {
  fleet_.Transmit(vm_,
                  [this, order, deadline] { SendOrderNow(order, deadline); });
}

inline void platform_fake::AppendNow(append_call call, time_point deadline) {
  const auto no_answer = [this, target = call.target, number = call.number,
                          deadline] {
    fleet_.ScheduleAt(deadline, [&fleet = fleet_, vm = vm_,
                                 incarnation = incarnation_, target, number] {
      fleet.Deliver(vm, incarnation,
                    append_reply{.target = target, .number = number});
    });
  };
  if (!fleet_.StoreReachable(vm_, call.target)) {
    no_answer();
    return;
  }
  if (fleet_.DrawStoreRefusal()) {
    fleet_.ScheduleAfter(
        fleet_.Delay(), [&fleet = fleet_, vm = vm_, incarnation = incarnation_,
                         target = call.target, number = call.number] {
          fleet.Deliver(vm, incarnation,
                        append_reply{.target = target,
                                     .number = number,
                                     .result = store_result::kRefused});
        });
    return;
  }
  const bool answer_lost =
      fleet_.DrawAnswerLost() || fleet_.StoreTooSlow(deadline);
  if (answer_lost) {
    no_answer();
  }
  fleet_.ScheduleAfter(
      fleet_.StoreDelay(),
      [&fleet = fleet_, vm = vm_, incarnation = incarnation_, answer_lost,
       deadline, call = std::move(call)] {
        const append_reply reply = fleet.ExecuteAppend(call);
        if (!answer_lost) {
          fleet.ScheduleAfter(fleet.StoreDelay(),
                              [&fleet, vm, incarnation, reply, deadline] {
                                fleet.Deliver(vm, incarnation, reply, deadline);
                              });
        }
      });
}

inline void platform_fake::ReadNow(const topic& source,
                                   const jobs::read_request& call,
                                   time_point deadline) {
  const bool snapshot_of_cell =
      call.snapshot && source.kind == topic_kind::kJobs;
  if (snapshot_of_cell) {
    fleet_.SnapshotStarted(vm_);
  }
  const auto fail_at = [this, source, number = call.number](
                           time_point when, store_result result) {
    fleet_.ScheduleAt(
        when, [&fleet = fleet_, vm = vm_, incarnation = incarnation_, source,
               number, result] {
          fleet.Deliver(vm, incarnation,
                        read_reply{.source = source,
                                   .number = number,
                                   .outcome = read_failed{result}});
        });
  };
  if (!fleet_.StoreReachable(vm_, source) || fleet_.StoreTooSlow(deadline) ||
      (snapshot_of_cell && fleet_.TakeLostSnapshotAnswer(vm_, source.cell))) {
    fail_at(deadline, store_result::kNoAnswer);
    return;
  }
  if (fleet_.DrawStoreRefusal()) {
    fail_at(fleet_.Now() + fleet_.Delay(), store_result::kRefused);
    return;
  }
  const time_point until =
      fleet_.Now() +
      (call.tail ? call.tail->wait : std::chrono::milliseconds());
  fleet_.ScheduleAfter(fleet_.StoreDelay(), [&fleet = fleet_, vm = vm_,
                                             incarnation = incarnation_, source,
                                             call, until, deadline] {
    fleet.PollRead(vm, incarnation, source, call, until, deadline);
  });
}

inline void platform_fake::ReadMachinesNow(
    const jobs::machine_page_request& call,
    time_point deadline) {
  if (!fleet_.MachineListReachable(vm_)) {
    fleet_.ScheduleAt(
        deadline, [&fleet = fleet_, vm = vm_, incarnation = incarnation_,
                   number = call.number] {
          fleet.Deliver(vm, incarnation, machine_page_reply{.number = number});
        });
    return;
  }
  fleet_.ScheduleAfter(
      fleet_.Delay(),
      [&fleet = fleet_, vm = vm_, incarnation = incarnation_, call, deadline] {
        fleet.ScheduleAfter(fleet.Delay(),
                            [&fleet, vm, incarnation, deadline,
                             reply = machine_page_reply{
                                 .number = call.number,
                                 .page = fleet.MachinePage(call.page_token)}] {
                              fleet.Deliver(vm, incarnation, reply, deadline);
                            });
      });
}

inline void virtual_fleet::PollRead(std::size_t vm,
                                    std::uint64_t incarnation,
                                    topic source,
                                    const jobs::read_request& call,
                                    time_point until,
                                    time_point deadline) {
  read_reply reply{.source = source, .number = call.number};
  if (call.snapshot) {
    reply.outcome = store_.Snapshot(source, call.snapshot->after);
  } else if (auto page = store_.Tail(source, call.tail->from)) {
    if (page->records.empty() && now_ < until) {
      ScheduleAfter(kPollInterval,
                    [this, vm, incarnation, source, call, until, deadline] {
                      PollRead(vm, incarnation, source, call, until, deadline);
                    });
      return;
    }
    reply.outcome = std::move(*page);
  } else {
    reply.outcome = history_trimmed{};
  }
  time_point arrival = now_ + StoreDelay();
  if (arrival > deadline) {
    arrival = deadline;
    reply.outcome = read_failed{};
  }
  ScheduleAt(arrival, [this, vm, incarnation, reply, deadline] {
    Deliver(vm, incarnation, reply, deadline);
  });
}

inline void virtual_fleet::Transmit(std::size_t vm,
                                    std::function<void()> send) {
  vm_state& state = vms_[vm];
  if (!state.processor) {
    send();
    return;
  }
  state.processor->Add(
      {.first_turn = options_.processor.costs.request,
       .finish = [send = std::move(send)](bool /*in_time*/) { send(); }});
}

inline void virtual_fleet::Receive(std::size_t vm,
                                   platform_reply reply,
                                   time_point deadline) {
  const processor_costs& costs = options_.processor.costs;
  if (now_ > deadline) {
    reply = WithoutAnswer(reply);
  }
  vms_[vm].processor->Add(
      {.turns = 1 + BytesOf(reply) / options_.processor.read_bytes,
       .first_turn = costs.reply + costs.reported_run * RunsOf(reply),
       .further_turn = costs.further_read,
       .deadline = deadline,
       .finish = [this, vm, reply](bool in_time) {
         vms_[vm].mailbox.push_back(in_time ? reply : WithoutAnswer(reply));
       }});
}

inline std::chrono::nanoseconds virtual_fleet::RunControl(vm_state& vm) {
  if (vm.mailbox.empty() && now_ < vm.next_run_at) {
    return std::chrono::nanoseconds(0);
  }
  const processor_costs& costs = options_.processor.costs;
  std::chrono::nanoseconds cost = costs.pass;
  for (platform_reply& reply : std::exchange(vm.mailbox, {})) {
    const auto* const records = RecordsOf(reply);
    cost += costs.handled_reply;
    cost += costs.record * (records == nullptr ? 0 : records->size());
    vm.control->Handle(std::move(reply), now_, Wall());
  }
  for (const auto& cell : vm.control->Cells()) {
    if (cell->Active()) {
      cost += costs.ready_step * cell->Scheduler().Jobs().ReadySteps().size();
    }
  }
  vm.control->Run(now_, Wall());
  vm.next_run_at = std::max(vm.control->NextDeadline(now_), now_ + kTick);
  return cost;
}

template <class Order>
void virtual_fleet::ExecuteOrder(std::size_t vm,
                                 std::uint64_t incarnation,
                                 const Order& order,
                                 bool deliver_reply,
                                 int worker_incarnation,
                                 time_point until,
                                 time_point deadline) {
  worker_fake& worker = Worker(order.target.worker);
  // A crash breaks the connections of the calls in flight. An order whose
  // answer is lost may still reach the restarted worker.
  if (!worker.Up() ||
      (deliver_reply && worker.Incarnation() != worker_incarnation)) {
    if (deliver_reply) {
      Deliver(vm, incarnation, NoAnswerReply(order));
    }
    return;
  }
  if constexpr (std::is_same_v<Order, jobs::start_order>) {
    NoteLateStart(order, worker_incarnation);
  }
  if constexpr (std::is_same_v<Order, jobs::renew_order>) {
    NoteLateRenewal(order, deliver_reply);
  }
  const auto reply = worker.Execute(order, now_);
  if constexpr (std::is_same_v<Order, jobs::start_order>) {
    if (reply.result != jobs::order_result::kDone) {
      checker_.LateStartRefused(worker.Id(), order.run);
    }
  }
  if constexpr (std::is_same_v<Order, jobs::renew_order>) {
    if (!worker.HasUnacknowledgedEnds(order) && now_ < until && deliver_reply) {
      ScheduleAfter(kPollInterval, [this, vm, incarnation, order,
                                    worker_incarnation, until, deadline] {
        ExecuteOrder(vm, incarnation, order, true, worker_incarnation, until,
                     deadline);
      });
      return;
    }
  }
  if (deliver_reply) {
    ScheduleAfter(Delay(), [this, vm, incarnation, reply, deadline] {
      Deliver(vm, incarnation, reply, deadline);
    });
  }
}

inline std::chrono::milliseconds LongPollWait(const jobs::renew_order& order) {
  return order.wait;
}
template <class Order>
std::chrono::milliseconds LongPollWait(const Order& /*order*/) {
  return {};
}

template <class Order>
void platform_fake::SendToWorker(const Order& order, time_point deadline) {
  const std::string& worker = order.target.worker;
  const std::optional<std::chrono::milliseconds> late =
      fleet_.DrawLateOrder(worker, std::is_same_v<Order, jobs::start_order>);
  const bool answer_lost = late || fleet_.DrawAnswerLost();
  const worker_fake* const listener = fleet_.WorkerAt(order.target.address);
  if (listener == nullptr && fleet_.RefusesConnections() &&
      fleet_.WorkerReachable(vm_, worker)) {
    fleet_.ScheduleAfter(fleet_.Delay() + fleet_.Delay(),
                         [&fleet = fleet_, vm = vm_, incarnation = incarnation_,
                          reply = RefusedConnectionReply(order)] {
                           fleet.Deliver(vm, incarnation, reply);
                         });
    return;
  }
  const bool reachable =
      listener != nullptr && fleet_.WorkerReachable(vm_, listener->Id());
  if (answer_lost || !reachable) {
    fleet_.ScheduleAt(deadline,
                      [&fleet = fleet_, vm = vm_, incarnation = incarnation_,
                       reply = NoAnswerReply(order)] {
                        fleet.Deliver(vm, incarnation, reply);
                      });
  }
  if (!reachable) {
    return;
  }
  if (listener->Id() != worker) {
    if (!answer_lost) {
      fleet_.ScheduleAfter(
          fleet_.Delay() + fleet_.Delay(),
          [&fleet = fleet_, vm = vm_, incarnation = incarnation_, deadline,
           reply = WrongWorkerReply(order)] {
            fleet.Deliver(vm, incarnation, reply, deadline);
          });
    }
    return;
  }
  const std::chrono::milliseconds delay = late          ? *late
                                          : answer_lost ? kLostAnswerOrderDelay
                                                        : fleet_.Delay();
  fleet_.ScheduleAfter(
      delay,
      [&fleet = fleet_, vm = vm_, incarnation = incarnation_, order,
       answer_lost, worker_incarnation = fleet_.Worker(worker).Incarnation(),
       until = fleet_.Now() + LongPollWait(order), deadline] {
        fleet.ExecuteOrder(vm, incarnation, order, !answer_lost,
                           worker_incarnation, until, deadline);
      });
}

inline void platform_fake::SendOrderNow(const jobs::order& order,
                                        time_point deadline) {
  if (const auto* renewal = std::get_if<jobs::renew_order>(&order)) {
    SendToWorker(*renewal, deadline);
  } else if (const auto* start = std::get_if<jobs::start_order>(&order)) {
    SendToWorker(*start, deadline);
  } else if (const auto* stop = std::get_if<jobs::stop_order>(&order)) {
    SendToWorker(*stop, deadline);
  }
}

static_assert(fleet_platform<platform_fake>);
static_assert(caller_port<callers_fake>);

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_VIRTUAL_FLEET_CALLS_FAKE_HPP
