#ifndef SKYLARKBRIDGE_DECLARATION_CHECK_HPP
#define SKYLARKBRIDGE_DECLARATION_CHECK_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::declaration {

/// The target size is 700 teams; the limits leave room for about three times
/// as much and bound the memory of one configuration.
inline constexpr std::size_t kMaxTeams = 2000;
inline constexpr std::size_t kMaxServices = 2000;
inline constexpr std::size_t kMaxBatchKinds = 2000;

/// Largest canonical form in bytes, and so the largest input of ParseJson.
inline constexpr std::size_t kMaxJsonBytes = 1'048'576;

/// Longest label of a host name, so that names can be used in one.
inline constexpr std::size_t kMaxNameLength = 63;

inline constexpr std::int64_t kWholeFleetPermille = 1000;

/// Keys of requests are remembered until the longest deadline has passed, which
/// bounds the memory of their home shard.
inline constexpr std::chrono::milliseconds kMaxRequestDeadline =
    std::chrono::minutes(10);
inline constexpr std::chrono::milliseconds kMaxRunTime =
    std::chrono::hours(24 * 30);

/// Far above the largest machine on the market; guards sums against overflow.
inline constexpr resources kMaxTaskSize = {.millicores = 1'024'000,
                                           .memory_mib = 16'777'216,
                                           .accelerators = 1024};
/// 10,000 workers of the largest task size.
inline constexpr resources kMaxQuota = {
    .millicores = 10'000 * kMaxTaskSize.millicores,
    .memory_mib = 10'000 * kMaxTaskSize.memory_mib,
    .accelerators = 10'000 * kMaxTaskSize.accelerators};

inline constexpr std::int64_t kMaxServiceQueue = 100'000;
inline constexpr std::int64_t kMaxBatchQueue = 1'000'000;
inline constexpr std::int64_t kMaxRackLimit = 1'000'000;
inline constexpr std::int64_t kMaxUrgency = 1000;

/// @brief Returns every fault of @p config with its place, for example
/// "services[2].claim.minimum_permille". Empty when the configuration is sound.
findings Check(const configuration& config);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_CHECK_HPP
