#ifndef SKYLARKBRIDGE_SCENARIO_TASK_SIDE_HPP
#define SKYLARKBRIDGE_SCENARIO_TASK_SIDE_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"
#include "skylarkbridge/scenario/fleet_fake.hpp"
#include "skylarkbridge/scheduling/batch_scheduler.hpp"

namespace skylarkbridge::scenario {

/// @brief One shard's batch scheduler with submitters and workers around it.
class task_side {
 public:
  explicit task_side(fleet_fake& fleet) : fleet_(fleet) { ReportLater(); }

  void Configure();
  void Submit(const std::string& kind,
              std::int64_t count,
              std::chrono::milliseconds over);
  void Cancel(const std::string& kind, std::int64_t count);
  void Update(worker_id worker);
  void Show(command& line) const;
  void ShowWorkers(command& line) const;
  void ShowWaiting(command& line) const;
  /// @brief Leases above the capacity of their worker.
  const std::set<std::string>& Violations() const { return violations_; }

 private:
  struct task_facts {
    std::string kind;
    time_point submitted;
    bool started = false;
    bool cancelled = false;
    /// Work that the latest checkpoint holds.
    std::map<std::string, std::chrono::nanoseconds> saved;
  };
  struct run {
    scheduling::start_task start;
    std::string kind;
    std::int64_t permille = 1000;
    /// Work done until `since`.
    std::chrono::nanoseconds done{0};
    time_point since;
    std::chrono::nanoseconds takes{0};
    /// Rises when the end moves, so that an old timer does nothing.
    std::uint64_t plan = 0;
  };
  struct tally {
    std::int64_t submitted = 0;
    std::int64_t succeeded = 0;
    std::int64_t cancelled = 0;
    std::int64_t starts = 0;
    std::int64_t failed = 0;
    std::int64_t resumed = 0;
    std::map<std::string, std::int64_t> refused;
    std::string refusal_detail;
    std::vector<std::chrono::nanoseconds> waits;
  };

  void Do(const scheduling::task_commands& commands);
  void Do(const scheduling::start_task& start);
  void Do(const scheduling::throttle_task& throttle);
  void Do(const scheduling::checkpoint_task& save);
  void Do(const scheduling::stop_task& stop);
  void Do(const scheduling::refuse_task& refuse);
  void Plan(run& held);
  std::chrono::nanoseconds Work(const run& held) const;
  /// @brief The run of this attempt; none when it has ended.
  run* Find(task_id task, worker_id worker, std::uint32_t attempt);
  void End(const run& held,
           scheduling::task_result result,
           std::optional<std::string> checkpoint = std::nullopt);
  void Told(task_id task);
  void Lose(worker_id worker);
  void ReportLater();
  void Report(worker_id worker);
  void CheckLeases();
  void UpdateNoise();

  fleet_fake& fleet_;
  scheduling::batch_scheduler scheduler_;
  deadline_timer timer_{fleet_.time};
  std::uint64_t last_task_ = 0;
  std::map<task_id, task_facts> open_;
  std::map<task_id, run> running_;
  std::map<std::string, tally> tallies_;
  std::map<worker_id, std::int64_t> most_memory_permille_;
  std::set<std::string> violations_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_TASK_SIDE_HPP
