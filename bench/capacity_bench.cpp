// Measures what one daemon's control thread costs as the data centre grows, in
// virtual time: the control state of the daemon with in-process workers, log
// and no network. docs/CAPACITY.md is worked out from its output.

#include <glog/logging.h>
#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/daemon/control_state.hpp"
#include "skylarkbridge/declaration/json.hpp"
#include "skylarkbridge/standin/worker_tasks.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge {
namespace {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

nanoseconds ThreadTime() {
  timespec reading{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
  return seconds(reading.tv_sec) + nanoseconds(reading.tv_nsec);
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

declaration::configuration Declared(std::size_t teams) {
  declaration::configuration config;
  for (std::size_t i = 0; i < teams; ++i) {
    const std::string name = "team-" + std::to_string(i);
    config.teams.push_back({.name = name});
    config.batch_kinds.push_back(
        {.name = "kind-" + std::to_string(i),
         .team = name,
         .size = {.millicores = 500, .memory_mib = 512},
         .run_time = seconds(1),
         .checkpoints = true});
  }
  return config;
}

/// A daemon's control state with workers and a log in the same thread.
class virtual_vm {
 public:
  explicit virtual_vm(std::size_t workers, std::size_t teams)
      : port_(1'000'000),
        state_({.shards = 4}, {7}, port_, upstreams_, addresses_, at_) {
    wire::vm_list list;
    for (std::size_t i = 0; i < workers; ++i) {
      const resources capacity{.millicores = 32'000, .memory_mib = 125'000};
      workers_.push_back(std::make_unique<standin::worker_tasks>(
          standin::worker_tasks_options{.worker = {i + 1},
                                        .capacity = capacity,
                                        .run_time = seconds(1)}));
      list.workers.push_back({.worker = {i + 1},
                              .address = {"127.0.0.1", 1},
                              .data_centre = {1},
                              .rack = {i / 8 + 1},
                              .slots = 8,
                              .connections = 64,
                              .capacity = capacity});
    }
    Send(daemon::vm_list_message{list});
    auto reply = std::make_shared<one_shot<entry::publish_answer>>();
    Send(daemon::publish_message{
        .text = declaration::PrintJson(Declared(teams)), .reply = reply});
    Run(seconds(10));
  }

  void Submit(std::size_t team) {
    Send(daemon::submit_message{
        "kind-" + std::to_string(team),
        std::make_shared<one_shot<entry::submit_answer>>()});
  }

  void Run(nanoseconds time) {
    const time_point end = at_.now + time;
    while (at_.now < end) {
      const time_point next =
          std::clamp(state_.NextDeadline(), at_.now + milliseconds(1), end);
      at_.wall += next - at_.now;
      at_.now = next;
      const nanoseconds before = ThreadTime();
      daemon::control_outputs outputs = state_.Tick(at_);
      spent_ += ThreadTime() - before;
      Carry(std::move(outputs));
    }
  }

  nanoseconds Spent() const { return spent_; }
  std::uint64_t Commands() const { return commands_; }
  std::uint64_t CommandBytes() const { return command_bytes_; }
  std::uint64_t Appends() const { return appends_; }
  std::size_t Records() const { return log_[0].size(); }
  std::size_t Open() {
    auto reply = std::make_shared<one_shot<entry::task_list_answer>>();
    Send(daemon::list_tasks_message{.limit = 1, .reply = reply});
    return static_cast<std::size_t>(reply->Wait(boot_clock::now())->total);
  }

 private:
  void Send(daemon::control_message message) {
    const nanoseconds before = ThreadTime();
    daemon::control_outputs outputs = state_.Handle(std::move(message), at_);
    spent_ += ThreadTime() - before;
    Carry(std::move(outputs));
  }

  void Carry(daemon::control_outputs outputs) {
    for (daemon::control_output& output : outputs) {
      std::visit([this](auto& one) { Do(std::move(one)); }, output);
    }
  }

  void Do(wire::worker_command command) {
    ++commands_;
    const std::uint64_t worker = wire::WorkerOf(command).value;
    wire::worker_reply reply = workers_[worker - 1]->Handle(command, at_.now);
    if (commands_ % 16 == 0) {
      command_bytes_ += 16 * (wire::EncodeCommand(command).size() +
                              wire::EncodeReply(reply).size());
    }
    Send(daemon::worker_message{std::move(command), std::move(reply)});
  }
  void Do(coordination::append_records append) {
    ++appends_;
    auto& stream = log_[static_cast<std::size_t>(append.stream)];
    stream.insert(stream.end(), append.records.begin(), append.records.end());
    Send(daemon::append_message{append.append,
                                coordination::append_result::kWritten});
  }
  void Do(const daemon::read_stream& read) {
    const auto& stream = log_[static_cast<std::size_t>(read.stream)];
    coordination::read_page page{.end = stream.size()};
    for (std::size_t i = read.read.offset;
         i < stream.size() && page.records.size() < read.read.limit; ++i) {
      page.records.push_back({i, stream[i]});
    }
    Send(daemon::page_message{read.stream, read.read.read, std::move(page)});
  }
  void Do(const daemon::send_to_peer&) {}
  void Do(const daemon::forget_peer&) {}

  daemon::instant at_{boot_clock::now(), std::chrono::system_clock::now()};
  daemon::control_port port_;
  gateway::upstream_client upstreams_;
  gateway::address_book addresses_;
  std::vector<std::unique_ptr<standin::worker_tasks>> workers_;
  std::vector<coordination::log_record> log_[2];
  nanoseconds spent_{0};
  std::uint64_t commands_ = 0;
  std::uint64_t command_bytes_ = 0;
  std::uint64_t appends_ = 0;
  daemon::control_state state_;
};

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
        vm.Submit(i % 10);
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
      vm.Submit(i % 10);
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
