#include "skylarkbridge/jobs/cell_choice.hpp"

#include <algorithm>
#include <cstddef>

namespace skylarkbridge::jobs {

cell_id ChooseCellForLongRunning(const std::vector<cell_load>& loads,
                                 cell_id home) {
  const bool capacities_known =
      std::all_of(loads.begin(), loads.end(),
                  [](const cell_load& load) { return load.capacity > 0; });
  const auto rest = [&](std::size_t cell) {
    return (capacities_known ? loads[cell].capacity : 0) -
           loads[cell].long_running;
  };
  std::size_t most = home;
  for (std::size_t cell = 0; cell < loads.size(); ++cell) {
    if (rest(cell) > rest(most)) {
      most = cell;
    }
  }
  return static_cast<cell_id>(most);
}

}  // namespace skylarkbridge::jobs
