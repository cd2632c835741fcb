#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_FLEET_FAKE_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_FLEET_FAKE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "gtest/gtest.h"
#include "skylarkbridge/scheduling/batch_scheduler.hpp"

namespace skylarkbridge::scheduling {

/// @brief Fake workers around a scheduler. Starts, throttles and refusals take
/// effect at once; stops and checkpoints wait for ConfirmStops. Checks after
/// every event that leases fit the capacity of each worker and that no task
/// runs twice.
class batch_fleet_fake {
 public:
  struct run {
    worker_id worker;
    std::uint32_t attempt = 0;
    resources leased;
    std::optional<std::string> checkpoint;
    std::int64_t permille = 1000;
  };

  explicit batch_fleet_fake(batch_options options = {}) : scheduler(options) {}

  void UpdateWorker(std::uint64_t id,
                    resources capacity,
                    std::uint64_t rack = 0,
                    worker_status status = worker_status::kLive) {
    if (status == worker_status::kGone) {
      capacities.erase(id);
      std::erase_if(running, [&](const auto& held) {
        return held.second.worker.value == id;
      });
    } else {
      capacities[id] = capacity;
    }
    Apply(scheduler.Update({.worker = {id},
                            .status = status,
                            .rack = {rack},
                            .capacity = capacity},
                           now));
  }
  void Submit(std::uint64_t task, const std::string& kind) {
    Apply(scheduler.Submit({.task = {task}, .kind = kind}, now));
  }
  void Cancel(std::uint64_t task) { Apply(scheduler.CancelTask({task}, now)); }
  void Checkpoint(std::uint64_t task, const std::string& checkpoint) {
    const run held = running.at(task);
    Apply(scheduler.Checkpointed({.task = {task},
                                  .worker = held.worker,
                                  .attempt = held.attempt,
                                  .checkpoint = checkpoint},
                                 now));
  }
  void Finish(std::uint64_t task,
              task_result result = task_result::kSucceeded) {
    const run held = running.at(task);
    running.erase(task);
    Apply(scheduler.Finished({.task = {task},
                              .worker = held.worker,
                              .attempt = held.attempt,
                              .result = result},
                             now));
  }
  /// @brief Advances time in steps of 100 ms.
  void Advance(std::chrono::milliseconds duration) {
    for (const time_point end = now + duration; now < end;) {
      now += std::chrono::milliseconds(100);
      Apply(scheduler.Tick(now));
    }
  }
  void Report(std::uint64_t worker,
              std::vector<task_usage> tasks,
              std::vector<service_latency> services = {}) {
    Apply(scheduler.Report({.worker = {worker},
                            .window_begin = now - std::chrono::seconds(5),
                            .window_end = now,
                            .tasks = std::move(tasks),
                            .services = std::move(services)},
                           now));
  }

  void Apply(const task_commands& commands) {
    for (const task_command& command : commands) {
      last_commands = commands;
      if (const auto* start = std::get_if<start_task>(&command)) {
        EXPECT_FALSE(running.contains(start->task.value))
            << "task " << start->task << " runs twice";
        running[start->task.value] = {.worker = start->worker,
                                      .attempt = start->attempt,
                                      .leased = start->leased,
                                      .checkpoint = start->checkpoint};
      } else if (const auto* throttle = std::get_if<throttle_task>(&command)) {
        running[throttle->task.value].leased = throttle->leased;
        running[throttle->task.value].permille = throttle->processor_permille;
      } else if (const auto* refuse = std::get_if<refuse_task>(&command)) {
        refused[refuse->task.value] = *refuse;
      } else if (const auto* stop = std::get_if<stop_task>(&command)) {
        stopping.push_back(stop->task.value);
      } else if (const auto* save = std::get_if<checkpoint_task>(&command)) {
        checkpointing.push_back(save->task.value);
      }
    }
    std::map<std::uint64_t, resources> held;
    for (const auto& [task, r] : running) {
      held[r.worker.value] += r.leased;
    }
    for (const auto& [worker, sum] : held) {
      EXPECT_TRUE(!capacities.contains(worker) ||
                  Fits(sum, capacities[worker]) || skip_capacity_check)
          << "worker " << worker << " holds more than its capacity";
    }
  }
  /// @brief Confirms all pending stop and checkpoint commands.
  void ConfirmStops() {
    for (const std::uint64_t task : std::exchange(checkpointing, {})) {
      if (running.contains(task)) {
        Checkpoint(task, "saved");
        Finish(task, task_result::kStopped);
      }
    }
    for (const std::uint64_t task : std::exchange(stopping, {})) {
      if (running.contains(task)) {
        Finish(task, task_result::kStopped);
      }
    }
  }
  std::int64_t CountRunning(std::uint64_t first,
                            std::uint64_t last_task) const {
    std::int64_t count = 0;
    for (const auto& [task, r] : running) {
      count += task >= first && task <= last_task ? 1 : 0;
    }
    return count;
  }

  batch_scheduler scheduler;
  time_point now = time_point(std::chrono::hours(1));
  std::map<std::uint64_t, run> running;
  std::map<std::uint64_t, refuse_task> refused;
  std::map<std::uint64_t, resources> capacities;
  std::vector<std::uint64_t> stopping;
  std::vector<std::uint64_t> checkpointing;
  task_commands last_commands;
  /// Skips the capacity check while evictions after a reduction are pending.
  bool skip_capacity_check = false;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_FLEET_FAKE_HPP
