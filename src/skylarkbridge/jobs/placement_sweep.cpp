#include "skylarkbridge/jobs/placement_sweep.hpp"

#include <algorithm>

namespace skylarkbridge::jobs {

void placement_sweep::BeginPass(std::size_t waiting) {
  if (over_ || passes_ >= MaxPasses()) {
    Clear();
  }
  searches_ = 0;
  ++passes_;
  most_waiting_ = std::max(most_waiting_, waiting);
}

std::size_t placement_sweep::MaxPasses() const {
  const std::size_t behind =
      limits_.total > limits_.in_front ? limits_.total - limits_.in_front : 1;
  return 2 * (most_waiting_ / behind + 1);
}

}  // namespace skylarkbridge::jobs
