#ifndef SKYLARKBRIDGE_JOBS_WORKER_CELLS_HPP
#define SKYLARKBRIDGE_JOBS_WORKER_CELLS_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/worker_report.hpp"

namespace skylarkbridge::jobs {

/// @brief The cell to which the last entry of each worker was passed on, and
/// the processor time of the listed workers of each cell.
class worker_cells {
 public:
  /// @brief Records an entry of a worker. A draining worker adds no processor
  /// time to its cell.
  void Set(const worker_entry& entry, cell_id cell);
  /// @brief The platform's list no longer contains the worker. Its cell is
  /// still known, as the worker may come back.
  void Unlist(const std::string& worker);
  /// @brief Unlists all workers that are not in @p listed.
  void UnlistMissing(const std::set<std::string>& listed);
  std::optional<cell_id> Find(const std::string& worker) const;
  /// @brief Whether the worker adds processor time to a cell.
  bool Counts(const std::string& worker) const;
  /// @brief Processor time of the listed workers of a cell, in millicores.
  std::int64_t Millicores(cell_id cell) const;

 private:
  struct listed_worker {
    cell_id cell = 0;
    /// Zero when it drains or is not listed.
    std::int64_t millicores = 0;
  };

  /// Changes what a worker adds to its cell.
  void SetMillicores(listed_worker& worker, std::int64_t millicores);

  absl::flat_hash_map<std::string, listed_worker> workers_;
  /// By cell.
  std::vector<std::int64_t> millicores_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_WORKER_CELLS_HPP
