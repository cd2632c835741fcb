#include "skylarkbridge/scheduling/share_ledger.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

namespace {

constexpr std::int64_t kPermille = 1000;

}  // namespace

void share_ledger::SetService(service_index service,
                              const declaration::share& claim,
                              const std::string& team) {
  if (service >= services_.size()) {
    services_.resize(service + 1);
  }
  const std::uint32_t index = TeamIndex(team);
  holder& set = services_[service];
  set.claim = claim;
  teams_[set.team].in_use -= set.in_use;
  teams_[index].in_use += set.in_use;
  set.team = index;
}

void share_ledger::ResetTeams() {
  for (holder& team : teams_) {
    team.claim = {};
  }
}

void share_ledger::SetTeam(const std::string& team,
                           const declaration::share& claim) {
  teams_[TeamIndex(team)].claim = claim;
}

void share_ledger::AcquireSlot(service_index service) {
  ++services_[service].in_use;
  ++teams_[services_[service].team].in_use;
}

void share_ledger::ReleaseSlot(service_index service) {
  --services_[service].in_use;
  --teams_[services_[service].team].in_use;
}

share_class share_ledger::ClassOf(service_index service) const {
  const holder& of = services_[service];
  const holder& team = teams_[of.team];
  if (AtCap(of) || AtCap(team)) {
    return share_class::kAtCap;
  }
  if (BelowMinimum(of)) {
    return share_class::kBelowMinimum;
  }
  return BelowMinimum(team) ? share_class::kTeamBelowMinimum
                            : share_class::kBorrowing;
}

std::int64_t share_ledger::Guaranteed(service_index service) const {
  return services_[service].claim.minimum_permille * capacity_ / kPermille;
}

std::int64_t share_ledger::Expected(service_index service) const {
  return std::max<std::int64_t>(
      {services_[service].in_use, Guaranteed(service), 1});
}

int share_ledger::TeamShareState(std::uint32_t team) const {
  return (BelowMinimum(teams_[team]) ? 1 : 0) + (AtCap(teams_[team]) ? 2 : 0);
}

std::uint32_t share_ledger::TeamIndex(const std::string& team) {
  const auto [found, added] = team_indices_.try_emplace(
      team, static_cast<std::uint32_t>(teams_.size()));
  if (added) {
    teams_.emplace_back();
  }
  return found->second;
}

bool share_ledger::BelowMinimum(const holder& of) const {
  return of.in_use * kPermille < of.claim.minimum_permille * capacity_;
}

bool share_ledger::AtCap(const holder& of) const {
  // Slots in other data centres are used beyond the capacity, so a cap of all
  // slots must not be compared with it.
  if (of.claim.cap_permille >= kPermille) {
    return false;
  }
  // A cap of less than one slot still allows one, or a small VM could never
  // serve the holder.
  if (of.in_use == 0) {
    return of.claim.cap_permille <= 0;
  }
  return (of.in_use + 1) * kPermille > of.claim.cap_permille * capacity_;
}

}  // namespace skylarkbridge::scheduling
