#include "skylarkbridge/jobs/fleet_map.hpp"

#include <algorithm>
#include <utility>

#include "skylarkbridge/base/stable_hash.hpp"

namespace skylarkbridge::jobs {

cell_id fleet_map::HomeOf(job_id job) const {
  return static_cast<cell_id>(StableHash(Format(job)) % cells);
}

cell_id fleet_map::CellOfRack(const std::string& rack) const {
  const auto entry = racks.find(rack);
  return entry != racks.end() ? entry->second
                              : static_cast<cell_id>(StableHash(rack) % cells);
}

fleet_map DivideFleet(const std::vector<worker_entry>& workers,
                      const division_options& options) {
  fleet_map map;
  const std::size_t wanted_cells =
      (workers.size() + options.workers_per_cell - 1) /
      options.workers_per_cell;
  map.cells = static_cast<cell_id>(
      std::clamp<std::size_t>(wanted_cells, 1, options.max_cells));
  // Ordered by data centre, so that racks of one data centre are assigned to
  // different cells.
  std::map<std::pair<std::string, std::string>, std::size_t> racks;
  for (const worker_entry& worker : workers) {
    ++racks[{worker.data_centre, worker.rack}];
  }
  std::vector<std::size_t> load(map.cells, 0);
  for (const auto& [rack, size] : racks) {
    const auto least = std::min_element(load.begin(), load.end());
    *least += size;
    map.racks.emplace(rack.second, least - load.begin());
  }
  return map;
}

}  // namespace skylarkbridge::jobs
