#ifndef SKYLARKBRIDGE_DECLARATION_JSON_HPP
#define SKYLARKBRIDGE_DECLARATION_JSON_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/declaration/change.hpp"
#include "skylarkbridge/declaration/check.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::declaration {

/// The deepest valid input has 5 levels.
inline constexpr std::size_t kMaxJsonDepth = 8;
/// Findings beyond this number are counted but not listed.
inline constexpr std::size_t kMaxFindings = 1000;

/// @brief Prints the canonical form: items by name, keys in declared order, an
/// indent of two spaces, durations as integers with the unit in the key, and a
/// newline at the end. Equal configurations give equal bytes. ParseJson accepts
/// the result for each configuration that passes Check.
std::string PrintJson(const configuration& config);

/// @brief Reads a configuration and checks it (see Check). Optional keys that
/// are missing take their defaults. Adds every fault with its place to
/// @p found, and returns nothing when there was one.
std::optional<configuration> ParseJson(std::string_view text, findings& found);

/// @brief Prints a change in the same form as a configuration.
std::string PrintChangeJson(const configuration_change& change);

/// @brief Reads a change. Adds every fault of the form to @p found, and returns
/// nothing when there was one. ApplyChange checks the content.
std::optional<configuration_change> ParseChangeJson(std::string_view text,
                                                    findings& found);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_JSON_HPP
