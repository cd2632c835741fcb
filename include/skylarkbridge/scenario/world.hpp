#ifndef SKYLARKBRIDGE_SCENARIO_WORLD_HPP
#define SKYLARKBRIDGE_SCENARIO_WORLD_HPP

#include <chrono>
#include <concepts>
#include <string>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"

namespace skylarkbridge::scenario {

/// @brief A part of the decision code with the fakes around it.
template <class T>
concept world = requires(T& part,
                         const T& view,
                         command& line,
                         std::chrono::milliseconds duration) {
  /// Runs the command; false when its words are of another part.
  { part.Run(line) } -> std::same_as<bool>;
  part.Advance(duration);
  /// Invariants that were broken so far.
  { view.Violations() } -> std::same_as<std::vector<std::string>>;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_WORLD_HPP
