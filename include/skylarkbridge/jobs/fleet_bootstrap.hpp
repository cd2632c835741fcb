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
  /// The list of workers counts as complete when it has not grown for so long.
  std::chrono::milliseconds settle_time{1500};
  /// The fleet is divided after this time in any case.
  std::chrono::milliseconds limit{4000};
  /// Between two attempts to write the map.
  std::chrono::milliseconds retry{600};
};

/// @brief Decides when a VM that finds no map of the fleet writes one.
///
/// Every VM may do so: the store takes the first map only.
class fleet_bootstrap {
 public:
  explicit fleet_bootstrap(fleet_bootstrap_options options) : options_(options) {}

  /// @brief The store has no map.
  void Begin(time_point now);
  bool Begun() const { return begun_.has_value(); }
  void Observe(const worker_entry& worker, time_point now);
  /// @brief The map to write now, if one is due.
  std::optional<fleet_map> NextMap(time_point now);

 private:
  const fleet_bootstrap_options options_;
  std::optional<time_point> begun_;
  std::map<std::string, worker_entry> workers_;
  time_point grown_;
  time_point next_try_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_BOOTSTRAP_HPP
