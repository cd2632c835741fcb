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
  share_account& entry = services_[service];
  entry.claim = claim;
  teams_[entry.team].in_use -= entry.in_use;
  teams_[index].in_use += entry.in_use;
  entry.team = index;
}

void share_ledger::ResetTeams() {
  for (share_account& team : teams_) {
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
  const share_account& account = services_[service];
  const share_account& team = teams_[account.team];
  if (AtCap(account) || AtCap(team)) {
    return share_class::kAtCap;
  }
  if (BelowMinimum(account)) {
    return share_class::kBelowMinimum;
  }
  return BelowMinimum(team) ? share_class::kTeamBelowMinimum
                            : share_class::kBorrowing;
}

std::int64_t share_ledger::Guaranteed(service_index service) const {
  return services_[service].claim.minimum_permille * capacity_ / kPermille;
}

std::int64_t share_ledger::ExpectedSlots(service_index service) const {
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

bool share_ledger::BelowMinimum(const share_account& account) const {
  return account.in_use * kPermille <
         account.claim.minimum_permille * capacity_;
}

bool share_ledger::AtCap(const share_account& account) const {
  // A cap of 100% is not compared with the capacity: slots in other data
  // centres may be in use too, which the capacity does not include.
  if (account.claim.cap_permille >= kPermille) {
    return false;
  }
  // A positive cap always allows one slot. On a VM with few slots it may be
  // less than one slot, and the service could then never be served.
  if (account.in_use == 0) {
    return account.claim.cap_permille <= 0;
  }
  return (account.in_use + 1) * kPermille >
         account.claim.cap_permille * capacity_;
}

}  // namespace skylarkbridge::scheduling
