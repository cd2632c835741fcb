#ifndef SKYLARKBRIDGE_CLI_SUBCOMMAND_HPP
#define SKYLARKBRIDGE_CLI_SUBCOMMAND_HPP

#include <iosfwd>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkbridge::cli {

/// Exit codes of the binary.
inline constexpr int kExitDone = 0;
/// The input has findings, or the daemon refused the call.
inline constexpr int kExitRefused = 1;
/// The command line or the settings are wrong; nothing was done.
inline constexpr int kExitUsage = 2;
/// No whole answer came from the daemon; a change may have taken effect.
inline constexpr int kExitNoAnswer = 3;

/// @brief Environment variables of the process, by name.
using environment = std::map<std::string, std::string>;

/// @brief What a subcommand works with. Its flags are read through gflags.
struct command_context {
  /// As many as the subcommand has operands.
  std::vector<std::string> operands;
  const environment& variables;
  std::ostream& out;
  std::ostream& errors;
};

/// @brief One entry of the table of subcommands.
struct subcommand {
  std::string_view name;
  /// One line.
  std::string_view summary;
  /// Names of the arguments that are not flags, for example "FILE".
  std::vector<std::string_view> operands;
  /// Names of the flags that the subcommand accepts, each defined with gflags.
  std::vector<std::string_view> flags;
  /// Whole command lines.
  std::vector<std::string_view> examples;
  /// Returns the exit code.
  int (*run)(command_context& context) = nullptr;
};

/// @brief The subcommands of the binary. A new one is added here.
const std::vector<subcommand>& Subcommands();

/// @brief Reads the command line and the environment, reports all faults
/// together, and runs the subcommand. Flags have the values that they had
/// before when it returns. Not safe to call from two threads, as gflags keeps
/// its values in globals.
/// @param arguments the command line without the name of the program.
/// @return the exit code.
int RunCommandLine(const std::vector<std::string>& arguments,
                   const environment& variables,
                   std::span<const subcommand> table,
                   std::ostream& out,
                   std::ostream& errors);

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_SUBCOMMAND_HPP
