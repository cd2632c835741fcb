#include "skylarkbridge/jobs/permit_cache.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::jobs {

const std::string* permit_cache::FindTicket(const step_ref& step,
                                            const std::string& worker,
                                            time_point now) const {
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return nullptr;
  }
  const auto permit = known->second.granted.find(worker);
  return permit != known->second.granted.end() &&
                 now + options_.expiry_margin < permit->second.valid_until
             ? &permit->second.ticket
             : nullptr;
}

std::size_t permit_cache::RequestsInFlight() const {
  return static_cast<std::size_t>(std::count_if(
      steps_.begin(), steps_.end(),
      [](const auto& entry) { return !entry.second.requested.empty(); }));
}

std::optional<permit_request> permit_cache::NextRequest(
    const step_ref& step,
    const std::vector<std::string>& workers,
    const placement_policy_timing& policy,
    time_point now) {
  step_permits& state = steps_[step];
  if (!state.requested.empty() || now < state.next_request_at ||
      RequestsInFlight() >= options_.max_requests) {
    return std::nullopt;
  }
  for (const std::string& worker : workers) {
    if (state.requested.size() < options_.workers_per_request &&
        !state.denied.contains(worker) &&
        FindTicket(step, worker, now) == nullptr) {
      state.requested.push_back(worker);
    }
  }
  if (state.requested.empty()) {
    return std::nullopt;
  }
  state.sent_at = now;
  return permit_request{.step = TaskOf(step, 0),
                        .workers = state.requested,
                        .expected = policy.decision_time +
                                    static_cast<int>(state.requested.size()) *
                                        policy.time_per_worker};
}

void permit_cache::Handle(const permit_reply& reply, time_point now) {
  const auto known = steps_.find(StepOf(reply.step));
  if (known == steps_.end()) {
    return;
  }
  step_permits& state = known->second;
  const std::vector<std::string> requested = std::exchange(state.requested, {});
  if (reply.result != order_result::kDone) {
    state.next_request_at = now + options_.retry_delay;
    return;
  }
  state.denied.insert(requested.begin(), requested.end());
  for (const permit& allowed : reply.eligible) {
    state.denied.erase(allowed.worker);
    // The policy may have issued the permit as early as the request was sent.
    state.granted[allowed.worker] = {allowed.ticket,
                                     state.sent_at + reply.validity};
  }
}

void permit_cache::WorkerRestarted(const std::string& worker) {
  for (auto& [step, state] : steps_) {
    state.granted.erase(worker);
  }
}

void permit_cache::Refused(const step_ref& step, const std::string& worker) {
  if (const auto known = steps_.find(step); known != steps_.end()) {
    known->second.granted.erase(worker);
  }
}

void permit_cache::DropClosedSteps(const job_table& jobs) {
  std::erase_if(steps_, [&jobs](const auto& entry) {
    return jobs.Find(entry.first) == nullptr;
  });
}

}  // namespace skylarkbridge::jobs
