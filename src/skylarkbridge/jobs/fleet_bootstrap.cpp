#include "skylarkbridge/jobs/fleet_bootstrap.hpp"

#include <vector>

namespace skylarkbridge::jobs {

void fleet_bootstrap::Begin(time_point now) {
  if (!begun_) {
    begun_ = now;
    last_added_ = now;
  }
}

void fleet_bootstrap::Observe(const worker_entry& worker, time_point now) {
  if (workers_.insert_or_assign(worker.worker, worker).second) {
    last_added_ = now;
  }
}

std::optional<fleet_map> fleet_bootstrap::NextMap(time_point now) {
  if (!begun_ || now < next_try_) {
    return std::nullopt;
  }
  const bool settled =
      !workers_.empty() && now >= last_added_ + options_.settle_time;
  if (!settled && now < *begun_ + options_.max_wait) {
    return std::nullopt;
  }
  next_try_ = now + options_.retry;
  std::vector<worker_entry> workers;
  workers.reserve(workers_.size());
  for (const auto& [id, worker] : workers_) {
    workers.push_back(worker);
  }
  return DivideFleet(workers, options_.division);
}

}  // namespace skylarkbridge::jobs
