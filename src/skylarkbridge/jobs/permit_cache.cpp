#include "skylarkbridge/jobs/permit_cache.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::jobs {

const std::string* permit_cache::Find(const step_ref& step,
                                     const std::string& worker,
                                     time_point now) const {
  const auto known = steps_.find(step);
  if (known == steps_.end()) {
    return nullptr;
  }
  const auto permit = known->second.granted.find(worker);
  return permit != known->second.granted.end() &&
                 now + options_.margin < permit->second.until
             ? &permit->second.ticket
             : nullptr;
}

std::size_t permit_cache::UnderWay() const {
  return static_cast<std::size_t>(std::count_if(
      steps_.begin(), steps_.end(),
      [](const auto& entry) { return !entry.second.asked.empty(); }));
}

std::optional<permit_request> permit_cache::NextRequest(
    const step_ref& step,
    const std::vector<std::string>& workers,
    const placement_policy& policy,
    time_point now) {
  step_permits& state = steps_[step];
  if (!state.asked.empty() || now < state.next_request ||
      UnderWay() >= options_.max_requests) {
    return std::nullopt;
  }
  for (const std::string& worker : workers) {
    if (state.asked.size() < options_.workers_per_request &&
        !state.barred.contains(worker) && Find(step, worker, now) == nullptr) {
      state.asked.push_back(worker);
    }
  }
  if (state.asked.empty()) {
    return std::nullopt;
  }
  state.sent = now;
  return permit_request{
      .step = TaskOf(step, 0),
      .workers = state.asked,
      .expected = policy.decision_time + static_cast<int>(state.asked.size()) *
                                             policy.time_per_worker};
}

void permit_cache::Handle(const permit_reply& reply, time_point now) {
  const auto known = steps_.find(StepOf(reply.step));
  if (known == steps_.end()) {
    return;
  }
  step_permits& state = known->second;
  const std::vector<std::string> asked = std::exchange(state.asked, {});
  if (reply.result != order_result::kDone) {
    state.next_request = now + options_.retry;
    return;
  }
  state.barred.insert(asked.begin(), asked.end());
  for (const permit& allowed : reply.eligible) {
    state.barred.erase(allowed.worker);
    // The validity may count from any time since the request was sent.
    state.granted[allowed.worker] = {allowed.ticket,
                                     state.sent + reply.validity};
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
