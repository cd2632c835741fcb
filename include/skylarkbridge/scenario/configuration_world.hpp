#ifndef SKYLARKBRIDGE_SCENARIO_CONFIGURATION_WORLD_HPP
#define SKYLARKBRIDGE_SCENARIO_CONFIGURATION_WORLD_HPP

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"

namespace skylarkbridge::scenario {

/// @brief Entry VMs of several data centres with their membership and their
/// folds of the configuration stream. Begins with the command `centres`; until
/// then it knows no other.
class configuration_world {
 public:
  configuration_world();
  ~configuration_world();
  configuration_world(configuration_world&&) noexcept;
  configuration_world& operator=(configuration_world&&) noexcept;

  /// @brief Runs the command; false when its words are of another part.
  bool Run(command& line);
  void Advance(std::chrono::milliseconds duration);
  std::vector<std::string> Violations() const;

 private:
  struct parts;

  bool Work(command& line);
  bool Fault(command& line);
  bool Show(command& line);

  std::unique_ptr<parts> parts_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_CONFIGURATION_WORLD_HPP
