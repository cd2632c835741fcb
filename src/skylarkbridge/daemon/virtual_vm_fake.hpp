#ifndef SKYLARKBRIDGE_DAEMON_VIRTUAL_VM_FAKE_HPP
#define SKYLARKBRIDGE_DAEMON_VIRTUAL_VM_FAKE_HPP

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "skylarkbridge/daemon/control_state.hpp"
#include "skylarkbridge/declaration/json.hpp"
#include "skylarkbridge/standin/worker_tasks.hpp"
#include "skylarkbridge/wire/worker_protocol.hpp"

namespace skylarkbridge::daemon {

/// @brief Processor time of the calling thread.
inline std::chrono::nanoseconds ThreadTime() {
  timespec reading{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &reading);
  return std::chrono::seconds(reading.tv_sec) +
         std::chrono::nanoseconds(reading.tv_nsec);
}

/// @brief Teams named team-N with one batch kind named kind-N each.
inline declaration::configuration DeclareTeams(std::size_t teams) {
  declaration::configuration config;
  for (std::size_t i = 0; i < teams; ++i) {
    const std::string name = "team-" + std::to_string(i);
    config.teams.push_back({.name = name});
    config.batch_kinds.push_back(
        {.name = "kind-" + std::to_string(i),
         .team = name,
         .size = {.millicores = 500, .memory_mib = 512},
         .run_time = std::chrono::seconds(1),
         .checkpoints = true});
  }
  return config;
}

/// @brief A daemon's control state in virtual time, with workers and a log in
/// the same thread; for benchmarks and tests.
class virtual_vm {
 public:
  virtual_vm(std::size_t workers, std::size_t teams)
      : virtual_vm(workers, DeclareTeams(teams)) {}

  virtual_vm(std::size_t workers, const declaration::configuration& declared)
      : port_(1'000'000),
        state_({.shards = 4}, {7}, port_, upstreams_, addresses_, at_) {
    wire::vm_list list;
    for (std::size_t i = 0; i < workers; ++i) {
      const resources capacity{.millicores = 32'000, .memory_mib = 125'000};
      workers_.push_back(std::make_unique<standin::worker_tasks>(
          standin::worker_tasks_options{.worker = {i + 1},
                                        .capacity = capacity,
                                        .run_time = std::chrono::seconds(1)}));
      list.workers.push_back({.worker = {i + 1},
                              .address = {"127.0.0.1", 1},
                              .data_centre = {1},
                              .rack = {i / 8 + 1},
                              .slots = 8,
                              .connections = 64,
                              .capacity = capacity});
    }
    Send(vm_list_message{list});
    Send(publish_message{
        .text = declaration::PrintJson(declared),
        .reply = std::make_shared<one_shot<entry::publish_answer>>()});
    Run(std::chrono::seconds(10));
  }

  /// @brief Submits a task. The answer comes in virtual time; see Answer.
  reply_to<entry::submit_answer> Submit(const std::string& kind) {
    auto reply = std::make_shared<one_shot<entry::submit_answer>>();
    Send(submit_message{kind, reply});
    return reply;
  }

  void Run(std::chrono::nanoseconds time) {
    const time_point end = at_.now + time;
    while (at_.now < end) {
      const time_point next = std::clamp(
          state_.NextDeadline(), at_.now + std::chrono::milliseconds(1), end);
      at_.wall += next - at_.now;
      at_.now = next;
      const std::chrono::nanoseconds before = ThreadTime();
      control_outputs outputs = state_.Tick(at_);
      spent_ += ThreadTime() - before;
      Carry(std::move(outputs));
    }
  }

  /// @brief Appends and reads fail while false.
  bool log_up = true;
  /// @brief The next appends take effect, and their reply is lost.
  int lost_replies = 0;

  std::chrono::nanoseconds Spent() const { return spent_; }
  std::uint64_t Commands() const { return commands_; }
  std::uint64_t CommandBytes() const { return command_bytes_; }
  std::uint64_t Appends() const { return appends_; }
  std::size_t Open() {
    auto reply = std::make_shared<one_shot<entry::task_list_answer>>();
    Send(list_tasks_message{.limit = 1, .reply = reply});
    return static_cast<std::size_t>(reply->Wait(boot_clock::now())->total);
  }
  /// @brief All attempts on all workers.
  std::vector<standin::task_run> Runs() {
    std::vector<standin::task_run> all;
    for (const auto& worker : workers_) {
      const std::vector<standin::task_run> runs = worker->Runs(at_.now);
      all.insert(all.end(), runs.begin(), runs.end());
    }
    return all;
  }

 private:
  void Send(control_message message) {
    const std::chrono::nanoseconds before = ThreadTime();
    control_outputs outputs = state_.Handle(std::move(message), at_);
    spent_ += ThreadTime() - before;
    Carry(std::move(outputs));
  }

  void Carry(control_outputs outputs) {
    for (control_output& output : outputs) {
      std::visit([this](auto& one) { Do(std::move(one)); }, output);
    }
  }

  void Do(wire::worker_command command) {
    ++commands_;
    const std::uint64_t worker = wire::WorkerOf(command).value;
    wire::worker_reply reply = workers_[worker - 1]->Handle(command, at_.now);
    if (commands_ % kSampledCommands == 0) {
      command_bytes_ +=
          kSampledCommands * (wire::EncodeCommand(command).size() +
                              wire::EncodeReply(reply).size());
    }
    Send(worker_message{std::move(command), std::move(reply)});
  }
  void Do(coordination::append_records append) {
    using coordination::append_result;
    if (!log_up) {
      Send(append_message{append.append, append_result::kNotWritten});
      return;
    }
    ++appends_;
    auto& stream = log_[static_cast<std::size_t>(append.stream)];
    stream.insert(stream.end(), append.records.begin(), append.records.end());
    const bool lost = lost_replies > 0 && lost_replies-- > 0;
    Send(append_message{append.append, lost ? append_result::kUnknown
                                            : append_result::kWritten});
  }
  void Do(const read_stream& read) {
    if (!log_up) {
      Send(page_message{read.stream, read.read.read, std::nullopt});
      return;
    }
    const auto& stream = log_[static_cast<std::size_t>(read.stream)];
    coordination::read_page page{.end = stream.size()};
    for (std::size_t i = read.read.offset;
         i < stream.size() && page.records.size() < read.read.limit; ++i) {
      page.records.push_back({i, stream[i]});
    }
    Send(page_message{read.stream, read.read.read, std::move(page)});
  }
  void Do(const send_to_peer&) {}
  void Do(const forget_peer&) {}

  // Writing every command as JSON would take longer than deciding on it.
  static constexpr std::uint64_t kSampledCommands = 16;

  instant at_{boot_clock::now(), std::chrono::system_clock::now()};
  control_port port_;
  gateway::upstream_client upstreams_;
  gateway::address_book addresses_;
  std::vector<std::unique_ptr<standin::worker_tasks>> workers_;
  std::array<std::vector<coordination::log_record>, 2> log_;
  std::chrono::nanoseconds spent_{0};
  std::uint64_t commands_ = 0;
  std::uint64_t command_bytes_ = 0;
  std::uint64_t appends_ = 0;
  control_state state_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_VIRTUAL_VM_FAKE_HPP
