#ifndef SKYLARKBRIDGE_SCENARIO_DECLARED_WORDS_HPP
#define SKYLARKBRIDGE_SCENARIO_DECLARED_WORDS_HPP

#include <algorithm>
#include <utility>
#include <vector>

#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scenario/command.hpp"
#include "skylarkbridge/scenario/fleet_fake.hpp"

namespace skylarkbridge::scenario {

/// @brief Adds the item, or replaces the one of the same name.
template <class Item>
void Replace(std::vector<Item>& items, Item item) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [&](const Item& other) { return other.name == item.name; });
  if (found == items.end()) {
    items.push_back(std::move(item));
  } else {
    *found = std::move(item);
  }
}

declaration::share ReadShare(command& line);
declaration::service ReadService(command& line);
/// @brief Reads the declared kind, and into @p truth what its tasks really do.
declaration::batch_kind ReadKind(command& line, true_behaviour& truth);
fleet_worker ReadWorker(command& line);

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_DECLARED_WORDS_HPP
