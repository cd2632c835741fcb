#include "skylarkbridge/supervisor/restart_intensity.hpp"

namespace skylarkbridge::supervisor {

bool restart_intensity::Allow(time_point now) {
  while (!restarts_.empty() && restarts_.front() + limits_.window <= now) {
    restarts_.pop_front();
  }
  restarts_.push_back(now);
  return restarts_.size() <= limits_.max_restarts;
}

}  // namespace skylarkbridge::supervisor
