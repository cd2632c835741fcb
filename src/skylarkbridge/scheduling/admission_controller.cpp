#include "skylarkbridge/scheduling/admission_controller.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

void admission_controller::Configure(const declaration::configuration& config) {
  for (service_entry& entry : services_) {
    entry.is_declared = false;
  }
  ledger_.ResetTeams();
  for (const declaration::team& team : config.teams) {
    ledger_.SetTeam(team.name, team.claim);
  }
  for (const declaration::service& declared : config.services) {
    const auto [found, added] = indices_.try_emplace(
        declared.name, static_cast<service_index>(services_.size()));
    if (added) {
      services_.push_back({.latency = latency_estimate(options_.latency)});
    }
    service_entry& entry = services_[found->second];
    entry.declared = declared;
    entry.is_declared = true;
    ledger_.SetService(found->second, declared.claim, declared.team);
  }
  for (service_index service = 0; service < services_.size(); ++service) {
    service_entry& entry = services_[service];
    if (!entry.is_declared) {
      entry.declared.claim = {};
      ledger_.SetService(service, entry.declared.claim, entry.declared.team);
    }
  }
  services_of_team_.clear();
  for (service_index service = 0; service < services_.size(); ++service) {
    const std::uint32_t team = ledger_.TeamOf(service);
    if (team >= services_of_team_.size()) {
      services_of_team_.resize(team + 1);
    }
    services_of_team_[team].push_back(service);
    UpdatePriority(service);
  }
}

void admission_controller::SetCapacity(std::int64_t slots) {
  if (slots == ledger_.Capacity()) {
    return;
  }
  ledger_.SetCapacity(slots);
  for (service_index service = 0; service < services_.size(); ++service) {
    UpdatePriority(service);
  }
}

std::optional<service_index> admission_controller::Find(
    const std::string& name) const {
  const auto found = indices_.find(name);
  if (found == indices_.end() || !services_[found->second].is_declared) {
    return std::nullopt;
  }
  return found->second;
}

bool admission_controller::MayStartNow(service_index service) const {
  return BelowCap(service) && !queues_.Next(false);
}

void admission_controller::AcquireSlot(service_index service) {
  const std::uint32_t team = ledger_.TeamOf(service);
  const int before = ledger_.TeamShareState(team);
  ledger_.AcquireSlot(service);
  UpdatePriority(service);
  if (ledger_.TeamShareState(team) != before) {
    UpdateTeamPriorities(team);
  }
}

void admission_controller::ReleaseSlot(service_index service) {
  const std::uint32_t team = ledger_.TeamOf(service);
  const int before = ledger_.TeamShareState(team);
  ledger_.ReleaseSlot(service);
  UpdatePriority(service);
  if (ledger_.TeamShareState(team) != before) {
    UpdateTeamPriorities(team);
  }
}

time_point admission_controller::LatestStart(service_index service,
                                             time_point deadline,
                                             bool retry,
                                             time_point now) const {
  const latency_estimate& latency = services_[service].latency;
  const bool use_estimate = options_.early_refusal && latency.Usable(now);
  time_point latest = deadline;
  if (use_estimate) {
    latest -= retry ? latency.Mean() : latency.HighQuantile();
  }
  return retry ? latest : std::min(latest, now + options_.max_queue_wait);
}

bool admission_controller::CannotMeetDeadline(service_index service,
                                              time_point deadline,
                                              time_point now) const {
  const latency_estimate& latency = services_[service].latency;
  return deadline <= now || (options_.early_refusal && latency.Usable(now) &&
                             now + latency.Mean() > deadline);
}

refusal_reason admission_controller::CheckQueue(service_index service,
                                                time_point start_by,
                                                time_point now) const {
  const service_entry& service_state = services_[service];
  const auto length = static_cast<std::int64_t>(queues_.Length(service));
  if (length >= service_state.declared.queue_limit) {
    return refusal_reason::kQueueFull;
  }
  if (!options_.early_refusal) {
    return refusal_reason::kNone;
  }
  if (start_by <= now) {
    return refusal_reason::kDeadlineTooClose;
  }
  if (length == 0 || !service_state.latency.Usable(now)) {
    return refusal_reason::kNone;
  }
  const std::chrono::nanoseconds wait =
      ExpectedWait(service, queues_.EstimateAhead(service, start_by));
  if (now + wait > start_by) {
    return BelowCap(service) ? refusal_reason::kDeadlineTooClose
                             : refusal_reason::kOverShare;
  }
  const bool standing = now >= service_state.burst_until;
  if (standing && wait > service_state.latency.HighQuantile() *
                             options_.standing_wait_permille / 1000) {
    return refusal_reason::kQueueFull;
  }
  return refusal_reason::kNone;
}

std::chrono::nanoseconds admission_controller::ExpectedWait(
    service_index service,
    std::size_t ahead) const {
  // The first queued request also waits for a running one to end, hence + 1.
  return services_[service].latency.Mean() *
         (static_cast<std::int64_t>(ahead) + 1) /
         ledger_.ExpectedSlots(service);
}

void admission_controller::Enqueue(const waiting_request& waiting,
                                   time_point now) {
  if (queues_.Length(waiting.service) == 0) {
    services_[waiting.service].burst_until = now + options_.burst_allowance;
  }
  queues_.Add(waiting);
}

void admission_controller::UpdatePriority(service_index service) {
  const declaration::service& declared = services_[service].declared;
  queues_.SetPriority(service, ledger_.ClassOf(service), declared.urgency,
                      declared.spill);
}

void admission_controller::UpdateTeamPriorities(std::uint32_t team) {
  for (const service_index service : services_of_team_[team]) {
    UpdatePriority(service);
  }
}

}  // namespace skylarkbridge::scheduling
