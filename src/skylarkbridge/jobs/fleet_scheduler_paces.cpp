#include "skylarkbridge/jobs/fleet_scheduler.hpp"

namespace skylarkbridge::jobs {

void fleet_scheduler::Handle(const pace_reply& reply, time_point now) {
  const auto worker = workers_.find(reply.worker);
  if (worker == workers_.end() || reply.fence.owner_epoch != epoch_) {
    return;
  }
  worker_session& session = worker->second;
  if (reply.result == order_result::kNoAnswer && reply.fence == session.fence) {
    // The order may be carried out after newer ones. Orders on pace follow an
    // answered renewal, so the next one is sent once the worker refuses it.
    RaiseFence(session, now);
  }
  const auto found = session.runs.find(reply.run);
  if (found == session.runs.end()) {
    return;
  }
  run_pace& pace = found->second.pace;
  pace.order_under_way = false;
  if (reply.result == order_result::kDone) {
    pace.speed_percent = reply.speed_percent;
  } else if (reply.result == order_result::kNoAnswer) {
    pace.speed_percent.reset();
  }
}

}  // namespace skylarkbridge::jobs
