#ifndef SKYLARKBRIDGE_JOBS_CELL_CHOICE_HPP
#define SKYLARKBRIDGE_JOBS_CELL_CHOICE_HPP

#include <cstdint>
#include <vector>

#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

/// @brief What decides whether a cell gets a job with long-running steps, in
/// millicores.
struct cell_load {
  /// Processor time of the listed workers; zero while none is known.
  std::int64_t capacity = 0;
  /// Requested by the long-running steps of the cell's open jobs.
  std::int64_t long_running = 0;
};

/// @brief Returns the cell that runs a new job with long-running steps: the one
/// with the most processor time that no long-running step has requested. Other
/// jobs stay in their home cells, in equal parts, so equal rests serve them
/// alike. While the capacity of a cell is not known, the requests alone decide.
/// A tie goes to @p home: jobs have different home cells, so that a burst of
/// jobs is spread over the cells.
/// @param loads by cell; not empty.
cell_id ChooseCellForLongRunning(const std::vector<cell_load>& loads,
                                 cell_id home);

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_CELL_CHOICE_HPP
