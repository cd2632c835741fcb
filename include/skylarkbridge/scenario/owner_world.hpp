#ifndef SKYLARKBRIDGE_SCENARIO_OWNER_WORLD_HPP
#define SKYLARKBRIDGE_SCENARIO_OWNER_WORLD_HPP

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "skylarkbridge/scenario/command.hpp"

namespace skylarkbridge::scenario {

/// @brief Entry VMs of one data centre that own one shard in turn, with its
/// workers, its task stream, and requests with idempotency keys. Begins with
/// the command `shard`; until then it knows no other.
class owner_world {
 public:
  owner_world();
  ~owner_world();
  owner_world(owner_world&&) noexcept;
  owner_world& operator=(owner_world&&) noexcept;

  /// @brief Runs the command; false when its words are of another part.
  bool Run(command& line);
  void Advance(std::chrono::milliseconds duration);
  std::vector<std::string> Violations() const;

 private:
  struct parts;

  bool Work(command& line);
  bool FaultOfVm(command& line);
  bool FaultOfOthers(command& line);
  bool Show(command& line);

  std::unique_ptr<parts> parts_;
};

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_OWNER_WORLD_HPP
