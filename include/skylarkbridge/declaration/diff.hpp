#ifndef SKYLARKBRIDGE_DECLARATION_DIFF_HPP
#define SKYLARKBRIDGE_DECLARATION_DIFF_HPP

#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::declaration {

enum class item_kind { kTeam, kService, kBatchKind };
enum class change_action { kAdded, kChanged, kRemoved };

/// @brief "team", "service" or "batch kind".
std::string_view Name(item_kind kind);
/// @brief "added", "changed" or "removed".
std::string_view Name(change_action action);

/// @brief One field that differs.
struct field_change {
  /// Path within the item, for example "claim.cap_permille".
  std::string field;
  /// For example "cap".
  std::string label;
  /// For example "permille"; empty when the field has none.
  std::string unit;
  std::string old_value;
  std::string new_value;

  bool operator==(const field_change&) const = default;
};

/// @brief One item that was added, changed or removed.
struct item_change {
  item_kind kind = item_kind::kTeam;
  change_action action = change_action::kAdded;
  std::string name;
  /// Filled for changed items only.
  std::vector<field_change> fields;

  bool operator==(const item_change&) const = default;
};

/// @brief Lists all differences: teams, services, batch kinds; each by action
/// and name. Both configurations must have passed Check.
std::vector<item_change> Diff(const configuration& from,
                              const configuration& to);

/// @brief One change in words, for example
/// "service despacho: cap 600 -> 700 permille".
std::string Format(const item_change& change);
/// @brief One line per change, each ended by a newline.
std::string Format(const std::vector<item_change>& changes);
/// @brief Prints the changes as a JSON array, for programs.
std::string PrintJson(const std::vector<item_change>& changes);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_DIFF_HPP
