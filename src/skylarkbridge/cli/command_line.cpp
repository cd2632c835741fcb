#include <gflags/gflags.h>

#include <algorithm>
#include <ostream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/cli/flags.hpp"
#include "skylarkbridge/cli/subcommand.hpp"

namespace skylarkbridge::cli {
namespace {

void PrintUsage(std::span<const subcommand> table, std::ostream& out) {
  out << "Usage: skylarkbridge SUBCOMMAND [flags] [arguments]\n\n";
  std::size_t width = 0;
  for (const subcommand& command : table) {
    width = std::max(width, command.name.size());
  }
  for (const subcommand& command : table) {
    out << "  " << command.name
        << std::string(width + 2 - command.name.size(), ' ') << command.summary
        << "\n";
  }
  out << "\n\"skylarkbridge SUBCOMMAND --help\" shows flags and examples. "
         "Each flag can also be set\nby the environment variable "
         "SKYLARKBRIDGE_<FLAG>; the command line wins.\n";
}

std::string OperandText(const subcommand& command) {
  std::string text;
  for (const std::string_view operand : command.operands) {
    absl::StrAppend(&text, " ", ToAbsl(operand));
  }
  return text;
}

void PrintHelp(const subcommand& command, std::ostream& out) {
  out << command.summary << "\n\nUsage: skylarkbridge " << command.name
      << " [flags]" << OperandText(command) << "\n\nFlags:\n";
  DescribeFlags(command, out);
  out << "\nExamples:\n";
  for (const std::string_view example : command.examples) {
    out << "  " << example << "\n";
  }
}

void CheckOperands(const subcommand& command,
                   const parsed_arguments& arguments,
                   findings& found) {
  const std::size_t given = arguments.operands.size();
  const std::size_t wanted = command.operands.size();
  if (given == wanted) {
    return;
  }
  found.Add("arguments", wanted == 0
                             ? absl::StrCat("expected none, found ", given)
                             : absl::StrCat("expected", OperandText(command),
                                            ", found ", given));
}

}  // namespace

int RunCommandLine(const std::vector<std::string>& arguments,
                   const environment& variables,
                   std::span<const subcommand> table,
                   std::ostream& out,
                   std::ostream& errors) {
  const gflags::FlagSaver restore_flags;
  if (arguments.empty()) {
    PrintUsage(table, errors);
    return kExitUsage;
  }
  const std::string& name = arguments.front();
  if (name == "--help" || name == "-h" || name == "help") {
    PrintUsage(table, out);
    return kExitDone;
  }
  const auto command =
      std::find_if(table.begin(), table.end(),
                   [&](const subcommand& entry) { return entry.name == name; });
  if (command == table.end()) {
    errors << "unknown subcommand \"" << name << "\"\n\n";
    PrintUsage(table, errors);
    return kExitUsage;
  }
  findings found;
  parsed_arguments parsed = ParseArguments(
      *command, table, std::span(arguments).subspan(1), variables, found);
  if (parsed.help) {
    PrintHelp(*command, out);
    return kExitDone;
  }
  if (!parsed.show_settings) {
    CheckOperands(*command, parsed, found);
  }
  if (!found.Empty()) {
    errors << Format(found) << "\"skylarkbridge " << command->name
           << " --help\" shows the usage.\n";
    return kExitUsage;
  }
  if (parsed.show_settings) {
    ShowSettings(*command, parsed, variables, out);
    return kExitDone;
  }
  command_context context{.operands = std::move(parsed.operands),
                          .variables = variables,
                          .out = out,
                          .errors = errors};
  return command->run(context);
}

}  // namespace skylarkbridge::cli
