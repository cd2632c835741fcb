#ifndef SKYLARKBRIDGE_SCHEDULING_SHARE_LEDGER_HPP
#define SKYLARKBRIDGE_SCHEDULING_SHARE_LEDGER_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::scheduling {

/// @brief Position of a service in the tables of the dispatcher.
using service_index = std::uint32_t;

/// @brief Claim of a service to the next free slot; smaller goes first.
enum class share_class {
  /// The service holds less than its own guaranteed minimum.
  kBelowMinimum,
  /// The service has its minimum, but its team holds less than the team's.
  kTeamBelowMinimum,
  /// Further slots are lent.
  kBorrowing,
  /// The service or its team holds its cap; it must wait.
  kAtCap,
};

/// @brief Slots in use per service and per team against their shares.
///
/// Minimum and cap are thousandths of the capacity. A minimum only gives
/// precedence: slots that its holder does not ask for are lent to others.
class share_ledger {
 public:
  /// @brief Sets the claim of a service and its team; keeps slots in use.
  void SetService(service_index service,
                  const declaration::share& claim,
                  const std::string& team);
  void SetTeam(const std::string& team, const declaration::share& claim);
  /// @brief Gives every team the default claim; keeps slots in use.
  void ResetTeams();
  /// @brief Sets the number of slots of which shares are thousandths.
  void SetCapacity(std::int64_t slots) { capacity_ = slots; }
  std::int64_t Capacity() const { return capacity_; }

  void AcquireSlot(service_index service);
  void ReleaseSlot(service_index service);

  share_class ClassOf(service_index service) const;
  std::int64_t InUse(service_index service) const {
    return services_[service].in_use;
  }
  /// @brief Slots that the minimum of the service guarantees.
  std::int64_t Guaranteed(service_index service) const;

  /// @brief Slots to expect for the service while it has work waiting: those
  /// that it holds or is guaranteed, whichever are more, and at least one.
  std::int64_t Expected(service_index service) const;

  std::uint32_t TeamOf(service_index service) const {
    return services_[service].team;
  }
  /// @brief Whether the team is below its minimum and whether it is at its
  /// cap. While both stay the same, only the service whose slots changed can
  /// change its class.
  int TeamShareState(std::uint32_t team) const;

 private:
  struct holder {
    declaration::share claim;
    std::int64_t in_use = 0;
    std::uint32_t team = 0;
  };

  std::uint32_t TeamIndex(const std::string& team);
  bool BelowMinimum(const holder& of) const;
  bool AtCap(const holder& of) const;

  std::int64_t capacity_ = 0;
  std::vector<holder> services_;
  std::vector<holder> teams_;
  absl::flat_hash_map<std::string, std::uint32_t> team_indices_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_SHARE_LEDGER_HPP
