#ifndef SKYLARKBRIDGE_SCENARIO_SCRIPT_HPP
#define SKYLARKBRIDGE_SCENARIO_SCRIPT_HPP

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// @brief Files of scenarios: commands with their expected output below them.
namespace skylarkbridge::scenario {

/// Largest file that is read, in bytes.
inline constexpr std::size_t kMaxScriptBytes = 1'048'576;

/// @brief Runs one command line and returns its output lines.
using command_runner =
    std::function<std::vector<std::string>(std::string_view command)>;

/// @brief First difference between a script and a run of it.
struct mismatch {
  /// Counted from 1.
  std::size_t line = 0;
  /// None when the script has no line where the run printed one.
  std::optional<std::string> expected;
  std::optional<std::string> actual;
};

/// @brief Runs the commands of @p text and returns it with the output of this
/// run in place of the expected one. Lines that begin with two spaces are
/// output, those that begin with '#' are comments; both kinds and empty lines
/// run nothing.
std::string Rewrite(std::string_view text, const command_runner& run);

/// @brief First line in which @p actual differs from @p expected.
std::optional<mismatch> Compare(std::string_view expected,
                                std::string_view actual);

}  // namespace skylarkbridge::scenario

#endif  // SKYLARKBRIDGE_SCENARIO_SCRIPT_HPP
