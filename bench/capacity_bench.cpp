// Measures what one daemon's control thread costs as the data centre grows, in
// virtual time: the control state of the daemon with in-process workers, log
// and no network. docs/CAPACITY.md is worked out from its output.

#include <glog/logging.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>

#include "skylarkbridge/daemon/virtual_vm_fake.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge {
namespace {

using daemon::ThreadTime;
using daemon::virtual_vm;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

double Percent(nanoseconds spent, seconds time) {
  return 100.0 * std::chrono::duration<double>(spent).count() /
         std::chrono::duration<double>(time).count();
}

void MeasureIdle() {
  constexpr seconds kTime{20};
  std::printf(
      "Idle, by workers of the data centre (all shards held by one VM):\n\n"
      "| workers | control thread, %% of a core | commands/s | bytes/s of "
      "commands and replies | state, KiB |\n|---|---|---|---|---|\n");
  for (const std::size_t workers : {16, 65, 130, 350}) {
    const std::size_t heap = HeapBytes();
    virtual_vm vm(workers, 10);
    const std::size_t state = HeapBytes() - heap;
    const nanoseconds spent = vm.Spent();
    const std::uint64_t commands = vm.Commands();
    const std::uint64_t bytes = vm.CommandBytes();
    vm.Run(kTime);
    std::printf("| %zu | %.3f | %.0f | %.0f | %zu |\n", workers,
                Percent(vm.Spent() - spent, kTime),
                static_cast<double>(vm.Commands() - commands) / kTime.count(),
                static_cast<double>(vm.CommandBytes() - bytes) / kTime.count(),
                state / 1024);
  }
}

void MeasureTasks() {
  constexpr seconds kTime{20};
  std::printf(
      "\nTask starts, with 65 workers and tasks of 1 s:\n\n"
      "| tasks/s | control thread, %% of a core | us per task above idle | "
      "worker commands per task | appends per task | open tasks at the end "
      "|\n|---|---|---|---|---|---|\n");
  double idle = 0;
  double idle_commands = 0;
  for (const std::size_t rate : {0, 10, 50, 100}) {
    virtual_vm vm(65, 10);
    const nanoseconds spent = vm.Spent();
    const std::uint64_t commands = vm.Commands();
    const std::uint64_t appends = vm.Appends();
    for (int tick = 0; tick < kTime.count() * 10; ++tick) {
      for (std::size_t i = 0; i < rate / 10; ++i) {
        vm.Submit("kind-" + std::to_string(i % 10));
      }
      vm.Run(milliseconds(100));
    }
    const double used = Percent(vm.Spent() - spent, kTime);
    const double sent = static_cast<double>(vm.Commands() - commands);
    const double tasks = static_cast<double>(rate) * kTime.count();
    if (rate == 0) {
      idle = used;
      idle_commands = sent;
    }
    const double per_task =
        rate == 0 ? 0 : (used - idle) / 100 * 1e6 * kTime.count() / tasks;
    std::printf(
        "| %zu | %.2f | %.0f | %.2f | %.3f | %zu |\n", rate, used, per_task,
        rate == 0 ? 0 : (sent - idle_commands) / tasks,
        rate == 0 ? 0 : static_cast<double>(vm.Appends() - appends) / tasks,
        vm.Open());
  }
}

void MeasureWaiting() {
  std::printf(
      "\nMemory by open tasks (16 workers) and by teams, with one batch kind "
      "each:\n\n| what | count | bytes each |\n|---|---|---|\n");
  for (const std::size_t tasks : {2000, 10'000}) {
    virtual_vm vm(16, 10);
    const std::size_t heap = HeapBytes();
    for (std::size_t i = 0; i < tasks; ++i) {
      vm.Submit("kind-" + std::to_string(i % 10));
      if (i % 1000 == 999) {
        vm.Run(milliseconds(1500));
      }
    }
    vm.Run(seconds(5));
    std::printf("| open tasks, with their log records | %zu | %zu |\n",
                vm.Open(),
                (HeapBytes() - heap) / std::max<std::size_t>(1, vm.Open()));
  }
  const std::size_t heap = HeapBytes();
  const virtual_vm small(4, 10);
  const std::size_t base = HeapBytes() - heap;
  const std::size_t before = HeapBytes();
  const virtual_vm large(4, 700);
  std::printf("| teams | 700 | %zu |\n", (HeapBytes() - before - base) / 690);
}

void MeasureMessages() {
  const coordination::ballot ballot{12, {3}, {0x123456789abcdefU}};
  const coordination::renew_lease renew{.worker = {17},
                                        .lease = ballot,
                                        .granted = milliseconds(1800),
                                        .up_for = seconds(86'400)};
  constexpr int kRounds = 20'000;
  std::size_t bytes = 0;
  const nanoseconds before = ThreadTime();
  for (int i = 0; i < kRounds; ++i) {
    const std::string command = wire::EncodeCommand(renew);
    findings found;
    bytes += command.size();
    static_cast<void>(wire::DecodeCommand("renew", command, found));
  }
  const nanoseconds spent = ThreadTime() - before;
  std::printf(
      "\nRenewal as JSON: %zu bytes, %.1f us to write and read one.\n",
      bytes / kRounds,
      std::chrono::duration<double, std::micro>(spent).count() / kRounds);
  const coordination::heartbeat beat{
      .sender = {.vm = {3}, .address = {"10.0.0.3", 8082}}};
  std::printf("Heartbeat frame: %zu bytes of body.\n",
              wire::EncodePeerMessage(beat).value().size());
}

}  // namespace
}  // namespace skylarkbridge

int main(int, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_minloglevel = google::GLOG_ERROR;
  skylarkbridge::MeasureIdle();
  skylarkbridge::MeasureTasks();
  skylarkbridge::MeasureWaiting();
  skylarkbridge::MeasureMessages();
  return 0;
}
