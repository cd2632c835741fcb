#include "skylarkbridge/jobs/placement_sweep.hpp"

namespace skylarkbridge::jobs {

void placement_sweep::BeginPass() {
  searches_ = 0;
  if (over_) {
    looked_at_.clear();
    over_ = false;
  }
}

}  // namespace skylarkbridge::jobs
