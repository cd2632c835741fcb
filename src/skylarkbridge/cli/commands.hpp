#ifndef SKYLARKBRIDGE_CLI_COMMANDS_HPP
#define SKYLARKBRIDGE_CLI_COMMANDS_HPP

#include <optional>
#include <string>

#include "skylarkbridge/cli/subcommand.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

/// The functions in the table of subcommands.
namespace skylarkbridge::cli {

int RunCheck(command_context& context);
int RunDiff(command_context& context);
int RunPrint(command_context& context);

int RunPublish(command_context& context);
int RunStatus(command_context& context);
int RunTasks(command_context& context);
int RunTask(command_context& context);
int RunCancel(command_context& context);
int RunDrain(command_context& context);

int RunDemo(command_context& context);
int RunServe(command_context& context);
int RunFleet(command_context& context);
int RunExplain(command_context& context);
int RunStandin(command_context& context);
int RunLoad(command_context& context);

/// @brief Reads a configuration file and reports its findings as
/// "FILE: place: message". Nothing when there were any.
std::optional<declaration::configuration> ReadConfiguration(
    const std::string& path,
    std::ostream& errors);

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_COMMANDS_HPP
