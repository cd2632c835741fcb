#ifndef SKYLARKBRIDGE_SCENARIO_FLEET_WORLD_HPP
#define SKYLARKBRIDGE_SCENARIO_FLEET_WORLD_HPP

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"

namespace skylarkbridge::scenario {

/// @brief Requests and batch tasks on the workers of one data centre: one
/// dispatcher, one batch scheduler, and hand-written fakes around them.
class fleet_world {
 public:
  fleet_world();
  ~fleet_world();
  fleet_world(fleet_world&&) noexcept;
  fleet_world& operator=(fleet_world&&) noexcept;

  /// @brief Runs the command; false when its words are of another part.
  bool Run(command& line);
  void Advance(std::chrono::milliseconds duration);
  std::vector<std::string> Violations() const;

 private:
  struct parts;

  bool Declare(command& line);
  bool Work(command& line);
  bool Fault(command& line);
  bool Show(command& line);

  std::unique_ptr<parts> parts_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_FLEET_WORLD_HPP
