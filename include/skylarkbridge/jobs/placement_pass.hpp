#ifndef SKYLARKBRIDGE_JOBS_PLACEMENT_PASS_HPP
#define SKYLARKBRIDGE_JOBS_PLACEMENT_PASS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/interference_model.hpp"
#include "skylarkbridge/jobs/job_table.hpp"
#include "skylarkbridge/jobs/placement.hpp"
#include "skylarkbridge/jobs/restart_cause.hpp"
#include "skylarkbridge/jobs/unplaced_shapes.hpp"
#include "skylarkbridge/jobs/worker_session.hpp"

/// @brief What a fleet_scheduler keeps during one placement pass, and from one
/// pass to the next.
namespace skylarkbridge::jobs {

/// @brief Whether a job can still meet its objective.
enum class job_lateness {
  /// The job can meet its objective.
  kInTime,
  /// It can only complete late, with some value.
  kLate,
  /// Its completion has no value any more.
  kWithoutValue,
};

/// @brief A step with ready tasks, and what decides when it is placed.
struct ready_step {
  int priority = 0;
  job_lateness lateness = job_lateness::kInTime;
  /// Remaining work per unit of the job's value.
  double cost = 0;
  /// The step is long-running and its job has begun: its tasks are placed
  /// before others of their priority, and room is reserved for them.
  bool begun_long_running = false;
  /// No task of the job runs although the fleet is underused: one of its
  /// tasks is placed first, regardless of best_effort_share.
  bool starving = false;
  step_ref ref;
};

/// @brief What a placement pass did for a step.
enum class step_outcome {
  /// All ready tasks were started, or none is ready.
  kPlaced,
  /// The workers were searched for a task that is suspected of crashes. It
  /// waits for one without another suspect.
  kWaitsAsSuspect,
  /// Tasks were not started, most often because there is no room.
  kUnplaced,
};

/// @brief Demand for best-effort tasks of one image.
struct image_demand {
  std::string_view image;
  /// Resources of one of its tasks, used to estimate its interference.
  resources need;
  /// Share in all best-effort tasks that wait or run.
  double share = 0;
  /// Number of workers on which its tasks interfere little with serving
  /// tasks.
  std::size_t suitable_workers = 0;
};

/// @brief Demand for best-effort tasks of all images. The strings belong to
/// runs and jobs, so it is valid for one pass only.
struct best_effort_demand {
  /// Ordered by image.
  std::vector<image_demand> images;
  /// Positions in `images` of those that the worker suits.
  absl::flat_hash_map<const worker_session*, std::vector<std::size_t>>
      images_by_worker;
};

/// @brief What the interference of further tasks on a worker depends on. The
/// strings belong to runs, so it is valid for one pass only.
struct interference_view {
  struct serving_run {
    std::string_view image;
    /// Expected logarithm of the ratio of its tail latency to its target.
    double log_ratio = 0;
  };

  /// Number of runs on the worker when the view was computed. A pass only
  /// adds runs, so that a view with this number is up to date.
  std::size_t runs = 0;
  /// The best-effort tasks at their declared load.
  std::vector<neighbour> neighbours;
  std::vector<serving_run> serving_runs;
};
using interference_views =
    absl::flat_hash_map<const worker_session*, interference_view>;

/// @brief Why a placement pass did not start a restart.
struct blocked_restart {
  restart_obstacle obstacle = restart_obstacle::kNone;
  /// Number of the pass.
  std::uint64_t pass = 0;
};

/// @brief When a waiting restart could first have started in this cell if there
/// had been room.
struct restart_wait {
  /// As waiting_restart::known_since, which tells one wait from the next.
  time_point known_since;
  time_point may_start_since;
};

/// @brief A restart for which no worker of the cell can have room by stopping
/// batch work.
struct restart_without_room {
  waiting_restart restart;
  /// How long it could have started here.
  std::chrono::milliseconds waited{};
};

/// @brief State of one placement pass, shared by its steps.
struct placement_pass {
  /// Candidates by service, image and whether the step is best-effort.
  std::map<std::tuple<std::string, std::string, bool>,
           std::vector<placement_candidate>>
      by_kind;
  std::optional<best_effort_demand> demand;
  interference_views views;
  /// Room reserved for tasks that found none yet, by worker.
  absl::flat_hash_map<std::string, resources> reserved_room;
  /// Worker on which room is reserved, by task.
  std::map<task_ref, std::string> reserved_workers;
  /// The restarts that were not placed.
  std::map<task_ref, blocked_restart> blocked_restarts;
  /// Room by worker that first starts of long-running tasks leave for the
  /// restarts to come. Other tasks may use it, as they can be stopped.
  absl::flat_hash_map<std::string, resources> expected_restart_room;
  /// Whether expected_restart_room has been computed.
  bool expects_restarts = false;
  /// The restarts that a relocation may make room for, once all restarts have
  /// had their turn.
  std::vector<restart_without_room> restarts_without_room;
  /// Restarts for which a run to relocate was searched.
  int relocation_searches = 0;
  /// The needs of steps that could start on any candidate of their kind.
  refused_shapes refused;

  /// Room on the worker that is kept from a step.
  resources ReservedRoom(const std::string& worker,
                         bool with_expected_restarts) const;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_PLACEMENT_PASS_HPP
