#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::Handle(const pace_reply& reply, time_point /*now*/) {
  const auto worker = workers_.find(reply.worker);
  if (worker == workers_.end()) {
    return;
  }
  const auto found = worker->second.runs.find(reply.run);
  if (found == worker->second.runs.end()) {
    return;
  }
  run_pace& pace = found->second.pace;
  pace.order_under_way = false;
  if (reply.result == order_result::kDone) {
    pace.speed_percent = reply.speed_percent;
  }
}

}  // namespace skylarkbridge::jobs
