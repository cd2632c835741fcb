#ifndef SKYLARKBRIDGE_CLI_FLAGS_HPP
#define SKYLARKBRIDGE_CLI_FLAGS_HPP

#include <chrono>
#include <iosfwd>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/cli/subcommand.hpp"

namespace skylarkbridge::cli {

/// Flags that every subcommand accepts.
inline constexpr std::string_view kCommonFlags[] = {"help", "show_settings"};

/// @brief The arguments of one subcommand, split.
struct parsed_arguments {
  std::vector<std::string> operands;
  bool help = false;
  bool show_settings = false;
  /// "flag" or "environment", by flag name, for values that are not defaults.
  std::map<std::string, std::string> origins;
};

/// @brief Name of the variable that sets a flag, SKYLARKBRIDGE_<FLAG>.
std::string VariableName(std::string_view flag);

/// @brief Sets the gflags of @p command from the environment and then from the
/// command line. Adds each unknown flag, bad value and unknown variable to
/// @p found.
/// @param table all subcommands; a variable of any of them is known.
parsed_arguments ParseArguments(const subcommand& command,
                                std::span<const subcommand> table,
                                std::span<const std::string> arguments,
                                const environment& variables,
                                findings& found);

/// @brief Prints each flag of @p command with its value and origin, and whether
/// the token is set, but not the token.
void ShowSettings(const subcommand& command,
                  const parsed_arguments& arguments,
                  const environment& variables,
                  std::ostream& out);

/// @brief Prints one line per flag: name, description, default.
void DescribeFlags(const subcommand& command, std::ostream& out);

/// @brief Reads a duration such as "10s" or "1500ms" that is above zero. Adds a
/// finding and returns zero when the text is none.
std::chrono::milliseconds ParseDuration(std::string_view text,
                                        std::string_view place,
                                        findings& found);

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_FLAGS_HPP
