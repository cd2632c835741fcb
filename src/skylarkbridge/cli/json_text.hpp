#ifndef SKYLARKBRIDGE_CLI_JSON_TEXT_HPP
#define SKYLARKBRIDGE_CLI_JSON_TEXT_HPP

#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkbridge::cli {

/// @brief Parses an answer, keeping the order of its keys. Nothing when it is
/// not JSON or deeper than 32 levels.
std::optional<nlohmann::ordered_json> ParseAnswer(std::string_view text);

/// @brief Writes JSON for people: one "key: value" per line with nested values
/// indented, and a list of flat objects as a table. A daemon that answers with
/// more fields needs no change here.
std::string FormatJsonText(const nlohmann::ordered_json& value);

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_JSON_TEXT_HPP
