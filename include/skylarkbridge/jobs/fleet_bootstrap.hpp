#ifndef SKYLARKBRIDGE_JOBS_FLEET_BOOTSTRAP_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_BOOTSTRAP_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fleet_map.hpp"

namespace skylarkbridge::jobs {

struct fleet_bootstrap_options {
  division_options division;
  /// The list of workers counts as complete when no worker was added to it for
  /// this time.
  std::chrono::milliseconds settle_time{1500};
  /// The fleet is divided after this time even if workers are still added.
  std::chrono::milliseconds max_wait{4000};
  /// Time between two attempts to write the map.
  std::chrono::milliseconds retry{600};
};

/// @brief Decides when this VM writes the first fleet map, after it has found
/// none in the store.
///
/// Several VMs may write one: the store accepts only the first.
class fleet_bootstrap {
 public:
  explicit fleet_bootstrap(fleet_bootstrap_options options)
      : options_(options) {}

  /// @brief Starts the wait for workers. Called once the store was read and
  /// holds no map.
  void Begin(time_point now);
  bool Begun() const { return begun_.has_value(); }
  /// @brief Adds or updates a worker of the platform's list.
  void Observe(const worker_entry& worker, time_point now);
  /// @brief Returns the map to write now, if a write is due.
  std::optional<fleet_map> NextMap(time_point now);

 private:
  const fleet_bootstrap_options options_;
  std::optional<time_point> begun_;
  std::map<std::string, worker_entry> workers_;
  /// When a worker was last added to `workers_`.
  time_point last_added_;
  time_point next_try_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_BOOTSTRAP_HPP
