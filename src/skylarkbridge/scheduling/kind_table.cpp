#include "skylarkbridge/scheduling/kind_table.hpp"

namespace skylarkbridge::scheduling {
namespace {

std::int64_t ShareOf(std::int64_t permille, const resources& fleet) {
  return fleet.millicores * permille / 1000;
}

bool WithinCap(std::int64_t held,
               std::int64_t need,
               std::int64_t cap_permille,
               const resources& fleet) {
  return cap_permille >= 1000 || held + need <= ShareOf(cap_permille, fleet);
}

// A limit of 0 means no limit. A task that needs none of the resource always
// fits.
bool WithinLimit(std::int64_t held, std::int64_t need, std::int64_t limit) {
  return limit == 0 || need == 0 || held + need <= limit;
}

bool FitsQuota(const resources& held,
               const resources& need,
               const resources& quota) {
  return WithinLimit(held.millicores, need.millicores, quota.millicores) &&
         WithinLimit(held.memory_mib, need.memory_mib, quota.memory_mib) &&
         WithinLimit(held.accelerators, need.accelerators, quota.accelerators);
}

}  // namespace

bool queue_key::operator<(const queue_key& other) const {
  if (below_minimum != other.below_minimum) {
    return below_minimum;
  }
  if (urgency != other.urgency) {
    return urgency > other.urgency;
  }
  if (sequence != other.sequence) {
    return sequence < other.sequence;
  }
  return kind < other.kind;
}

void kind_table::Configure(const declaration::configuration& config) {
  for (kind_entry& entry : kinds_) {
    entry.is_declared = false;
    entry.declared.claim.minimum_permille = 0;
  }
  for (team_entry& entry : teams_) {
    entry.declared = {.name = entry.declared.name};
    entry.kinds.clear();
    entry.leased = {};
    entry.leases_ending = {};
  }
  for (const declaration::team& declared : config.teams) {
    const team_index index = EnsureTeam(declared.name);
    teams_[index].declared = declared;
  }
  for (const declaration::batch_kind& declared : config.batch_kinds) {
    kind_entry& entry = kinds_[Ensure(declared.name)];
    entry.declared = declared;
    entry.is_declared = true;
    entry.usage.Declare(declared.size, declared.run_time);
  }
  for (kind_index index = 0; index < kinds_.size(); ++index) {
    kind_entry& entry = kinds_[index];
    entry.team = EnsureTeam(entry.declared.team);
    team_entry& team = teams_[entry.team];
    team.kinds.push_back(index);
    team.leased += entry.leased;
    team.leases_ending += entry.leases_ending;
  }
}

kind_index kind_table::Find(const std::string& name) const {
  const auto found = kind_names_.find(name);
  return found == kind_names_.end() ? kNone : found->second;
}

kind_index kind_table::Ensure(const std::string& name) {
  const auto [found, added] =
      kind_names_.try_emplace(name, static_cast<kind_index>(kinds_.size()));
  if (added) {
    kinds_.emplace_back();
    kinds_.back().declared.name = name;
    kinds_.back().team = EnsureTeam("");
    teams_[kinds_.back().team].kinds.push_back(found->second);
  }
  return found->second;
}

team_index kind_table::EnsureTeam(const std::string& name) {
  const auto [found, added] =
      team_names_.try_emplace(name, static_cast<team_index>(teams_.size()));
  if (added) {
    teams_.emplace_back();
    teams_.back().declared.name = name;
  }
  return found->second;
}

void kind_table::Lease(kind_index kind, const resources& amount) {
  kinds_[kind].leased += amount;
  teams_[kinds_[kind].team].leased += amount;
}

void kind_table::Release(kind_index kind, const resources& amount) {
  kinds_[kind].leased -= amount;
  teams_[kinds_[kind].team].leased -= amount;
}

void kind_table::MarkEnding(kind_index kind, const resources& amount) {
  kinds_[kind].leases_ending += amount;
  teams_[kinds_[kind].team].leases_ending += amount;
}

bool kind_table::BelowMinimum(kind_index kind,
                              const resources& fleet,
                              std::int64_t promised) const {
  const kind_entry& entry = kinds_[kind];
  const team_entry& team = teams_[entry.team];
  return entry.leased.millicores + promised <
             ShareOf(entry.declared.claim.minimum_permille, fleet) ||
         team.leased.millicores + promised <
             ShareOf(team.declared.claim.minimum_permille, fleet);
}

bool kind_table::KeepsMinimumWithout(kind_index kind,
                                     const resources& amount,
                                     const resources& fleet) const {
  const kind_entry& entry = kinds_[kind];
  const team_entry& team = teams_[entry.team];
  return (entry.leased - entry.leases_ending - amount).millicores >=
             ShareOf(entry.declared.claim.minimum_permille, fleet) &&
         (team.leased - team.leases_ending - amount).millicores >=
             ShareOf(team.declared.claim.minimum_permille, fleet);
}

std::optional<waiting_reason> kind_table::BlockingReason(
    kind_index kind,
    const resources& need,
    const resources& fleet) const {
  const kind_entry& entry = kinds_[kind];
  const team_entry& team = teams_[entry.team];
  if (!WithinCap(entry.leased.millicores, need.millicores,
                 entry.declared.claim.cap_permille, fleet) ||
      !WithinCap(team.leased.millicores, need.millicores,
                 team.declared.claim.cap_permille, fleet)) {
    return waiting_reason::kShareCap;
  }
  if (!FitsQuota(team.leased, need, team.declared.quota)) {
    return waiting_reason::kTeamQuota;
  }
  return std::nullopt;
}

bool kind_table::TaskFitsQuota(kind_index kind, const resources& need) const {
  return FitsQuota({}, need, teams_[kinds_[kind].team].declared.quota);
}

}  // namespace skylarkbridge::scheduling
