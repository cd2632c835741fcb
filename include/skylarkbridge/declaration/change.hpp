#ifndef SKYLARKBRIDGE_DECLARATION_CHANGE_HPP
#define SKYLARKBRIDGE_DECLARATION_CHANGE_HPP

#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::declaration {

/// @brief Differences between two lists of teams, services or batch kinds, each
/// list ordered by name.
template <class Item>
struct item_changes {
  std::vector<Item> added;
  /// New content of items that both lists contain.
  std::vector<Item> changed;
  std::vector<std::string> removed;

  bool Empty() const {
    return added.empty() && changed.empty() && removed.empty();
  }
  bool operator==(const item_changes&) const = default;
};

/// @brief What turns one configuration into another.
struct configuration_change {
  item_changes<team> teams;
  item_changes<service> services;
  item_changes<batch_kind> batch_kinds;

  bool Empty() const {
    return teams.Empty() && services.Empty() && batch_kinds.Empty();
  }
  bool operator==(const configuration_change&) const = default;
};

/// @brief Sorts all items by name. Two configurations that declare the same
/// items in another order have the same canonical form.
configuration Canonical(configuration config);

/// @brief Returns the change from @p from to @p to, both of which must have
/// passed Check.
configuration_change MakeChange(const configuration& from,
                                const configuration& to);

/// @brief Applies @p change to @p base and checks the result as a whole.
/// Returns the canonical form. Adds a finding, and returns nothing, for each
/// added item that exists, each changed or removed item that does not exist,
/// and each fault of the result.
std::optional<configuration> ApplyChange(const configuration& base,
                                         const configuration_change& change,
                                         findings& found);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_CHANGE_HPP
