#ifndef SKYLARKBRIDGE_SCHEDULING_ROUTER_HPP
#define SKYLARKBRIDGE_SCHEDULING_ROUTER_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "skylarkbridge/scheduling/routing_policies.hpp"
#include "skylarkbridge/scheduling/upstream_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Chooses an upstream for an attempt with a routing policy.
template <routing_policy Policy>
class router {
 public:
  explicit router(std::uint64_t seed) : random_(seed) {}

  /// @brief Chooses one of @p candidates that is not in @p tried, if any.
  /// Starts at the choice of the policy and checks at most tried.size() + 1
  /// candidates.
  std::optional<upstream_index> Choose(const candidate_view& candidates,
                                       std::span<const upstream_index> tried) {
    if (candidates.size() == 0) {
      return std::nullopt;
    }
    const std::size_t chosen = policy_.Choose(candidates, random_);
    const std::size_t steps = std::min(tried.size() + 1, candidates.size());
    for (std::size_t step = 0; step < steps; ++step) {
      const upstream_index index =
          candidates.Index((chosen + step) % candidates.size());
      if (std::ranges::find(tried, index) == tried.end()) {
        return index;
      }
    }
    return std::nullopt;
  }

  /// @brief Random number generator of the policy.
  routing_random& Random() { return random_; }

 private:
  Policy policy_;
  routing_random random_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_ROUTER_HPP
