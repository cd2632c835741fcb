#ifndef SKYLARKBRIDGE_JOBS_RESTART_BACKLOG_HPP
#define SKYLARKBRIDGE_JOBS_RESTART_BACKLOG_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/restart_cause.hpp"

/// @brief The long-running tasks of a cell that wait for their restarts, as the
/// owner reports them.
namespace skylarkbridge::jobs {

/// @brief Place of a task among those that wait for their restarts, in the
/// order in which placement passes look at them.
struct queue_place {
  /// From one.
  std::size_t place = 0;
  std::size_t tasks = 0;
};

/// @brief A long-running task that waits for its restart.
struct queued_restart {
  /// The last run; its number is zero for a task that has not run here.
  run_ref run;
  queue_place place;
  /// In the last placement pass.
  restart_obstacle obstacle = restart_obstacle::kNone;
  /// Processor time that its start reserves.
  std::int64_t need_millicores = 0;
  std::chrono::milliseconds waited{};
};

/// @brief Sums over waiting tasks.
struct restart_group {
  std::size_t tasks = 0;
  std::int64_t need_millicores = 0;
  /// Of the task that needs least.
  std::int64_t smallest_need_millicores = 0;
  std::chrono::milliseconds longest_wait{};

  void Add(const queued_restart& restart);
};

/// @brief All tasks of a cell that wait for their restarts.
struct restart_backlog {
  restart_group all;
  std::map<restart_obstacle, restart_group> by_obstacle;
};

/// @brief What an owner reports at intervals while a task waits for long.
struct restart_report {
  restart_backlog backlog;
  /// Some of the tasks that no note reports in full. Each is listed in one of
  /// the next reports while it waits.
  std::vector<queued_restart> others;
};

restart_backlog SummarizeRestarts(const std::vector<queued_restart>& queue);

/// @brief Chooses the tasks that are reported in full: of those that have
/// waited for @p min_wait, as many as @p limit that have waited longest, and as
/// many of the others that need least. The latter should find room first, so
/// that their wait tells most about the placement.
/// @return the places of the tasks.
std::set<std::size_t> ChooseRestartsToReport(
    const std::vector<queued_restart>& queue,
    std::chrono::milliseconds min_wait,
    std::size_t limit);

/// @brief Returns the next part of a list that is reported in parts: at most
/// @p limit tasks in the order of their references, those behind @p last first.
/// Tasks that leave or join the queue between two parts delay no other one.
std::vector<queued_restart> NextRestartsToList(
    std::vector<queued_restart> queue,
    const task_ref& last,
    std::size_t limit);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_RESTART_BACKLOG_HPP
