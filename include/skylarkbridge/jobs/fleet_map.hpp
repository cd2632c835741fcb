#ifndef SKYLARKBRIDGE_JOBS_FLEET_MAP_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_MAP_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/vm_capacity.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief Assigns jobs and workers to the cells of the fleet. It is written
/// once, before the first job, and never changes, so that every VM assigns the
/// same cells.
struct fleet_map {
  cell_id cells = 1;
  /// Racks that were known when the fleet was divided. Other racks are assigned
  /// by a hash of their name.
  std::map<std::string, cell_id> racks;

  /// @brief Returns the home cell of a job. Its log records the acceptance and
  /// the cancellation, so that a job submitted through several VMs is accepted
  /// once.
  cell_id HomeOf(job_id job) const;
  /// @brief Returns the cell of a rack's workers.
  cell_id CellOfRack(const std::string& rack) const;

  bool operator==(const fleet_map&) const = default;
};

/// @brief Each cell needs a topic of its own, and the store allows 100 topics.
inline constexpr cell_id kMaxCells = 64;

struct division_options {
  /// See WorkersPerCell.
  std::size_t workers_per_cell = kMaxWorkersPerCell;
  cell_id max_cells = kMaxCells;
};

/// @brief Divides the fleet into cells with about the same number of workers.
/// Racks are not split, and each cell spans several data centres where it can.
fleet_map DivideFleet(const std::vector<worker_entry>& workers,
                      const division_options& options);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_MAP_HPP
