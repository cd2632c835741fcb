#ifndef SKYLARKBRIDGE_JOBS_FLEET_MAP_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_MAP_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief How the fleet is divided. Written once, before the first job, and
/// never changed: every VM derives the same cell for a job and for a worker.
struct fleet_map {
  cell_id cells = 1;
  /// Racks that were known when the fleet was divided; others go by a hash.
  std::map<std::string, cell_id> racks;

  /// @brief The home of a job: the cell in whose log it is accepted and
  /// cancelled, so that it is one job wherever it is handed in.
  cell_id HomeOf(job_id job) const;
  /// @brief The cell of the workers of a rack.
  cell_id CellOfRack(const std::string& rack) const;

  bool operator==(const fleet_map&) const = default;
};

struct division_options {
  /// One owner on half a core keeps up with about this many workers.
  std::size_t workers_per_cell = 123;
  /// Each cell is a topic of the store, which holds 100 of them.
  cell_id max_cells = 64;
};

/// @brief Divides the fleet into cells of whole racks with about the same
/// number of workers, each spread over the data centres.
fleet_map DivideFleet(const std::vector<worker_entry>& workers,
                      const division_options& options);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_MAP_HPP
