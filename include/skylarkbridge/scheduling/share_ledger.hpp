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

/// @brief Precedence of a service for the next free slot; smaller values go
/// first.
enum class share_class {
  /// The service holds less than its own guaranteed minimum.
  kBelowMinimum,
  /// The service has its minimum, but its team holds less than the team's.
  kTeamBelowMinimum,
  /// Both have their minimum; further slots are borrowed.
  kBorrowing,
  /// The service or its team has reached its cap, so requests must wait.
  kAtCap,
};

/// @brief Slots in use per service and per team against their shares.
///
/// Minimum and cap are thousandths of the capacity. A minimum only gives
/// precedence: guaranteed slots that are not requested are lent to others.
class share_ledger {
 public:
  /// @brief Sets the share and the team of a service; keeps its slots in use.
  void SetService(service_index service,
                  const declaration::share& claim,
                  const std::string& team);
  void SetTeam(const std::string& team, const declaration::share& claim);
  /// @brief Resets every team to the default share; keeps slots in use.
  void ResetTeams();
  /// @brief Sets the number of slots that shares refer to.
  void SetCapacity(std::int64_t slots) { capacity_ = slots; }
  std::int64_t Capacity() const { return capacity_; }

  void AcquireSlot(service_index service);
  void ReleaseSlot(service_index service);

  share_class ClassOf(service_index service) const;
  std::int64_t InUse(service_index service) const {
    return services_[service].in_use;
  }
  /// @brief Number of slots that the minimum of the service guarantees.
  std::int64_t Guaranteed(service_index service) const;

  /// @brief Estimate of the number of slots that the service will have while
  /// requests wait: the larger of the slots in use and the guaranteed slots, at
  /// least one.
  std::int64_t ExpectedSlots(service_index service) const;

  std::uint32_t TeamOf(service_index service) const {
    return services_[service].team;
  }
  /// @brief Bit 0 is set if the team is below its minimum, bit 1 if it is at
  /// its cap. If acquiring or releasing a slot leaves this value unchanged,
  /// only the class of that service can have changed, not that of others in the
  /// team.
  int TeamShareState(std::uint32_t team) const;

 private:
  /// @brief Share and slots in use of one service or one team.
  struct share_account {
    declaration::share claim;
    std::int64_t in_use = 0;
    std::uint32_t team = 0;
  };

  std::uint32_t TeamIndex(const std::string& team);
  bool BelowMinimum(const share_account& account) const;
  bool AtCap(const share_account& account) const;

  std::int64_t capacity_ = 0;
  std::vector<share_account> services_;
  std::vector<share_account> teams_;
  absl::flat_hash_map<std::string, std::uint32_t> team_indices_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_SHARE_LEDGER_HPP
