#ifndef SKYLARKBRIDGE_COORDINATION_BALLOT_HPP
#define SKYLARKBRIDGE_COORDINATION_BALLOT_HPP

#include <algorithm>
#include <compare>
#include <cstdint>
#include <ostream>

#include "skylarkbridge/base/ids.hpp"

namespace skylarkbridge::coordination {

/// @brief Orders successive claims to one shard. Ordered by round first; the
/// default value is below every drawn ballot.
struct ballot {
  std::uint64_t round = 0;
  entry_vm_id vm;
  incarnation_id incarnation;

  auto operator<=>(const ballot&) const = default;

  friend std::ostream& operator<<(std::ostream& out, const ballot& b) {
    return out << b.round << '/' << b.vm << '/' << b.incarnation;
  }
};

/// @brief Draws ballots that no other process draws. The incarnation must be
/// unique to this process.
class ballot_source {
 public:
  ballot_source(entry_vm_id vm, incarnation_id incarnation)
      : vm_(vm), incarnation_(incarnation) {}

  /// @brief Notes a ballot that a worker or peer reported.
  void Observe(const ballot& seen) { round_ = std::max(round_, seen.round); }

  /// @brief Returns a ballot above all observed and all drawn ones.
  ballot Next() { return {++round_, vm_, incarnation_}; }

 private:
  std::uint64_t round_ = 0;
  entry_vm_id vm_;
  incarnation_id incarnation_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_BALLOT_HPP
