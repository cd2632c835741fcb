#ifndef SKYLARKBRIDGE_SCHEDULING_ROUTING_POLICIES_HPP
#define SKYLARKBRIDGE_SCHEDULING_ROUTING_POLICIES_HPP

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <random>

#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Random number generator for routing.
using routing_random = std::mt19937_64;

/// @brief Random number below @p size, which must not be zero.
///
/// Scales the upper 32 bits, which avoids the division of
/// std::uniform_int_distribution. The bias of at most size / 2^32 is negligible
/// for routing.
inline std::size_t RandomBelow(routing_random& random, std::size_t size) {
  return static_cast<std::size_t>(((random() >> 32U) * size) >> 32U);
}

/// @brief Chooses a position in a candidate_view that is not empty.
template <class T>
concept routing_policy = requires(T& policy,
                                  const candidate_view& candidates,
                                  routing_random& random) {
  { policy.Choose(candidates, random) } -> std::same_as<std::size_t>;
};

/// @brief Cost of an upstream by its outstanding attempts.
struct outstanding_cost {
  double operator()(const upstream_entry& entry) const {
    return static_cast<double>(entry.in_use + 1);
  }
};

/// @brief Cost of an upstream by its outstanding attempts times its relative
/// latency.
struct latency_cost {
  double operator()(const upstream_entry& entry) const {
    return static_cast<double>(entry.in_use + 1) * entry.relative_latency;
  }
};

/// @brief Takes the cheaper of two random candidates.
template <class Cost>
struct power_of_two_choices {
  std::size_t Choose(const candidate_view& candidates,
                     routing_random& random) const {
    const std::size_t first = RandomBelow(random, candidates.size());
    const std::size_t second = RandomBelow(random, candidates.size());
    const Cost cost;
    return cost(candidates[second]) < cost(candidates[first]) ? second : first;
  }
};

/// @brief Takes the cheapest of all candidates; linear in their number.
template <class Cost>
struct full_scan {
  std::size_t Choose(const candidate_view& candidates,
                     routing_random& random) const {
    const Cost cost;
    // Starts at a random candidate, so that ties aren't always won by the first
    // one.
    const std::size_t start = RandomBelow(random, candidates.size());
    std::size_t best = start;
    for (std::size_t step = 1; step < candidates.size(); ++step) {
      const std::size_t at = (start + step) % candidates.size();
      if (cost(candidates[at]) < cost(candidates[best])) {
        best = at;
      }
    }
    return best;
  }
};

/// @brief Takes a random candidate.
struct random_choice {
  std::size_t Choose(const candidate_view& candidates,
                     routing_random& random) const {
    return RandomBelow(random, candidates.size());
  }
};

/// @brief Takes candidates in turn. Added and removed candidates change the
/// order, so some may be skipped or repeated in one turn.
struct round_robin {
  std::size_t next = 0;

  std::size_t Choose(const candidate_view& candidates, routing_random&) {
    return next++ % candidates.size();
  }
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ROUTING_POLICIES_HPP
