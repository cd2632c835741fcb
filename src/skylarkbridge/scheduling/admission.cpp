#include "skylarkbridge/scheduling/admission.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

void admission::Configure(const declaration::configuration& config) {
  for (entry& known : services_) {
    known.current = false;
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
    entry& set = services_[found->second];
    set.declared = declared;
    set.current = true;
    ledger_.SetService(found->second, declared.claim, declared.team);
  }
  for (service_index service = 0; service < services_.size(); ++service) {
    entry& known = services_[service];
    if (!known.current) {
      known.declared.claim = {};
      ledger_.SetService(service, known.declared.claim, known.declared.team);
    }
  }
  services_of_team_.clear();
  for (service_index service = 0; service < services_.size(); ++service) {
    const std::uint32_t team = ledger_.TeamOf(service);
    if (team >= services_of_team_.size()) {
      services_of_team_.resize(team + 1);
    }
    services_of_team_[team].push_back(service);
    Rank(service);
  }
}

void admission::SetCapacity(std::int64_t slots) {
  if (slots == ledger_.Capacity()) {
    return;
  }
  ledger_.SetCapacity(slots);
  for (service_index service = 0; service < services_.size(); ++service) {
    Rank(service);
  }
}

std::optional<service_index> admission::Find(const std::string& name) const {
  const auto found = indices_.find(name);
  if (found == indices_.end() || !services_[found->second].current) {
    return std::nullopt;
  }
  return found->second;
}

bool admission::MayStartNow(service_index service) const {
  return BelowCap(service) && !queues_.Next(false);
}

void admission::Take(service_index service) {
  const std::uint32_t team = ledger_.TeamOf(service);
  const int before = ledger_.TeamShareState(team);
  ledger_.AcquireSlot(service);
  Rank(service);
  if (ledger_.TeamShareState(team) != before) {
    RankTeam(team);
  }
}

void admission::Return(service_index service) {
  const std::uint32_t team = ledger_.TeamOf(service);
  const int before = ledger_.TeamShareState(team);
  ledger_.ReleaseSlot(service);
  Rank(service);
  if (ledger_.TeamShareState(team) != before) {
    RankTeam(team);
  }
}

time_point admission::StartBy(service_index service,
                              time_point deadline,
                              bool retry,
                              time_point now) const {
  const latency_estimate& latency = services_[service].latency;
  const bool known = options_.early_refusal && latency.Usable(now);
  time_point latest = deadline;
  if (known) {
    latest -= retry ? latency.Mean() : latency.High();
  }
  return retry ? latest : std::min(latest, now + options_.longest_wait);
}

bool admission::TooLate(service_index service,
                        time_point deadline,
                        time_point now) const {
  const latency_estimate& latency = services_[service].latency;
  return deadline <= now || (options_.early_refusal && latency.Usable(now) &&
                             now + latency.Mean() > deadline);
}

refusal_reason admission::CheckQueue(service_index service,
                                     time_point start_by,
                                     time_point now) const {
  const entry& of = services_[service];
  const auto length = static_cast<std::int64_t>(queues_.Length(service));
  if (length >= of.declared.queue_limit) {
    return refusal_reason::kQueueFull;
  }
  if (!options_.early_refusal) {
    return refusal_reason::kNone;
  }
  if (start_by <= now) {
    return refusal_reason::kDeadlineTooClose;
  }
  if (length == 0 || !of.latency.Usable(now)) {
    return refusal_reason::kNone;
  }
  const std::chrono::nanoseconds wait =
      Wait(service, queues_.Ahead(service, start_by));
  if (now + wait > start_by) {
    return BelowCap(service) ? refusal_reason::kDeadlineTooClose
                             : refusal_reason::kOverShare;
  }
  const bool standing = now >= of.burst_until;
  if (standing &&
      wait > of.latency.High() * options_.standing_wait_permille / 1000) {
    return refusal_reason::kQueueFull;
  }
  return refusal_reason::kNone;
}

std::chrono::nanoseconds admission::Wait(service_index service,
                                         std::size_t ahead) const {
  // One more than are ahead, because the first must wait for a running one.
  return services_[service].latency.Mean() *
         (static_cast<std::int64_t>(ahead) + 1) / ledger_.ExpectedSlots(service);
}

void admission::Enqueue(const waiting_request& waiting, time_point now) {
  if (queues_.Length(waiting.service) == 0) {
    services_[waiting.service].burst_until = now + options_.burst;
  }
  queues_.Add(waiting);
}

void admission::Rank(service_index service) {
  const declaration::service& declared = services_[service].declared;
  queues_.Rank(service, ledger_.ClassOf(service), declared.urgency,
               declared.spill);
}

void admission::RankTeam(std::uint32_t team) {
  for (const service_index service : services_of_team_[team]) {
    Rank(service);
  }
}

}  // namespace skylarkbridge::scheduling
