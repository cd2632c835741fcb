#ifndef SKYLARKBRIDGE_COORDINATION_LEASE_HPP
#define SKYLARKBRIDGE_COORDINATION_LEASE_HPP

#include <chrono>
#include <cstdint>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::coordination {

/// @brief Settings of the leases that a shard owner holds at workers. All VMs
/// of a data centre must use the same values.
struct lease_options {
  /// A worker stops its tasks this long after the last renewal it received.
  /// 1.8 s survives a takeover (about 0.8 s) and keeps the wait for an
  /// unreachable worker below the aim of 3 s after the owner's death.
  std::chrono::milliseconds duration{1800};
  /// A worker refuses a command older than this by its own clock, so that a
  /// delayed renewal cannot extend a lease later.
  std::chrono::milliseconds max_command_age{250};
  /// Largest difference between the rates of two clocks, in thousandths.
  std::int64_t rate_difference_permille = 10;
};

/// @brief Time to wait on this clock until @p interval has passed on every
/// other clock.
constexpr std::chrono::nanoseconds WithRateMargin(
    std::chrono::nanoseconds interval,
    const lease_options& options) {
  return interval + interval * options.rate_difference_permille / 1000;
}

/// @brief Holder's deadline of a lease of @p granted requested at @p sent.
/// Counted from the request and shortened by the rate margin, so it ends before
/// the worker's own, which counts from the receipt.
constexpr time_point HolderDeadline(time_point sent,
                                    std::chrono::nanoseconds granted,
                                    const lease_options& options) {
  return sent + granted - granted * options.rate_difference_permille / 1000;
}

/// @brief Time at which a lease of @p granted requested at @p sent has ended at
/// the worker, however long the request was on its way.
constexpr time_point SurelyExpired(time_point sent,
                                   std::chrono::nanoseconds granted,
                                   const lease_options& options) {
  return sent + WithRateMargin(granted + options.max_command_age, options);
}

/// @brief Longest time for which a lease of an earlier owner can outlast the
/// moment at which a quorum of the workers has been fenced.
constexpr std::chrono::nanoseconds LongestForeignLease(
    const lease_options& options) {
  return WithRateMargin(options.duration + options.max_command_age, options);
}

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_LEASE_HPP
