#include "skylarkbridge/cli/flags.hpp"

#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <optional>
#include <ostream>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"
#include "absl/time/time.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/cli/settings.hpp"

DEFINE_bool(show_settings,
            false,
            "print the effective settings with their origin and end");

namespace skylarkbridge::cli {
namespace {

constexpr std::string_view kVariablePrefix = "SKYLARKBRIDGE_";

bool Contains(std::span<const std::string_view> names, std::string_view name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

bool Accepts(const subcommand& command, std::string_view flag) {
  return Contains(command.flags, flag) || Contains(kCommonFlags, flag);
}

std::optional<gflags::CommandLineFlagInfo> Info(std::string_view flag) {
  gflags::CommandLineFlagInfo info;
  if (!gflags::GetCommandLineFlagInfo(std::string(flag).c_str(), &info)) {
    return std::nullopt;
  }
  return info;
}

bool IsBool(std::string_view flag) {
  const auto info = Info(flag);
  return info && info->type == "bool";
}

void SetFlag(std::string_view flag,
             const std::string& value,
             const std::string& place,
             findings& found) {
  if (gflags::SetCommandLineOption(std::string(flag).c_str(), value.c_str())
          .empty()) {
    const auto info = Info(flag);
    found.Add(place, absl::StrCat("\"", value, "\" is not a value of type ",
                                  info ? info->type : "unknown"));
  }
}

class argument_reader {
 public:
  argument_reader(const subcommand& command,
                  std::span<const std::string> arguments,
                  findings& found)
      : command_(command), arguments_(arguments), found_(found) {}

  void Read(parsed_arguments& out) {
    while (next_ < arguments_.size()) {
      const std::string& argument = arguments_[next_++];
      if (only_operands_ || argument.size() < 2 || argument[0] != '-') {
        out.operands.push_back(argument);
      } else if (argument == "--") {
        only_operands_ = true;
      } else {
        ReadFlag(argument, out);
      }
    }
  }

 private:
  void ReadFlag(std::string_view argument, parsed_arguments& out) {
    std::string_view name =
        argument.substr(absl::StartsWith(ToAbsl(argument), "--") ? 2 : 1);
    std::optional<std::string> value;
    if (const std::size_t equals = name.find('=');
        equals != std::string_view::npos) {
      value = name.substr(equals + 1);
      name = name.substr(0, equals);
    }
    if (name == "help" || name == "h") {
      out.help = true;
      return;
    }
    const std::string place = absl::StrCat("flag --", ToAbsl(name));
    if (!Accepts(command_, name)) {
      if (!value && name.substr(0, 2) == "no" &&
          Accepts(command_, name.substr(2)) && IsBool(name.substr(2))) {
        name = name.substr(2);
        value = "false";
      } else {
        found_.Add(place, absl::StrCat("not a flag of \"",
                                       ToAbsl(command_.name), "\""));
        return;
      }
    }
    if (!value) {
      if (IsBool(name)) {
        value = "true";
      } else if (next_ < arguments_.size()) {
        value = arguments_[next_++];
      } else {
        found_.Add(place, "needs a value");
        return;
      }
    }
    std::string& origin = out.origins[std::string(name)];
    if (origin == "flag") {
      found_.Add(place, "is given twice");
      return;
    }
    origin = "flag";
    SetFlag(name, *value, place, found_);
  }

  const subcommand& command_;
  std::span<const std::string> arguments_;
  findings& found_;
  std::size_t next_ = 0;
  bool only_operands_ = false;
};

void ReadVariables(const subcommand& command,
                   std::span<const subcommand> table,
                   const environment& variables,
                   parsed_arguments& out,
                   findings& found) {
  for (const auto& [variable, value] : variables) {
    if (!absl::StartsWith(variable, ToAbsl(kVariablePrefix)) ||
        variable == kTokenVariable) {
      continue;
    }
    const std::string place = absl::StrCat("environment ", variable);
    const std::string flag =
        absl::AsciiStrToLower(variable.substr(kVariablePrefix.size()));
    if (VariableName(flag) == variable && Accepts(command, flag)) {
      SetFlag(flag, value, place, found);
      out.origins[flag] = "environment";
    } else if (std::none_of(table.begin(), table.end(),
                            [&](const subcommand& other) {
                              return Accepts(other, flag);
                            })) {
      found.Add(place, "no such setting");
    }
  }
}

}  // namespace

std::string VariableName(std::string_view flag) {
  return absl::StrCat(ToAbsl(kVariablePrefix),
                      absl::AsciiStrToUpper(ToAbsl(flag)));
}

parsed_arguments ParseArguments(const subcommand& command,
                                std::span<const subcommand> table,
                                std::span<const std::string> arguments,
                                const environment& variables,
                                findings& found) {
  parsed_arguments out;
  ReadVariables(command, table, variables, out, found);
  argument_reader(command, arguments, found).Read(out);
  out.show_settings = FLAGS_show_settings;
  return out;
}

void ShowSettings(const subcommand& command,
                  const parsed_arguments& arguments,
                  const environment& variables,
                  std::ostream& out) {
  for (const std::string_view flag : command.flags) {
    const auto origin = arguments.origins.find(std::string(flag));
    const auto info = Info(flag);
    out << "--" << flag << "=" << (info ? info->current_value : "") << "  ("
        << (origin == arguments.origins.end() ? "default" : origin->second)
        << ")\n";
  }
  const auto token = variables.find(std::string(kTokenVariable));
  out << kTokenVariable
      << (token == variables.end() || token->second.empty()
              ? "  (not set)\n"
              : "=(hidden)  (environment)\n");
}

void DescribeFlags(const subcommand& command, std::ostream& out) {
  std::vector<std::string_view> flags = command.flags;
  flags.push_back("show_settings");
  for (const std::string_view flag : flags) {
    const auto info = Info(flag);
    if (!info) {
      continue;
    }
    out << "  --" << flag << (info->type == "bool" ? "" : "=VALUE") << "  "
        << info->description;
    if (info->type != "bool" && !info->default_value.empty()) {
      out << " (default " << info->default_value << ")";
    }
    out << "\n";
  }
}

std::chrono::milliseconds ParseDuration(std::string_view text,
                                        std::string_view place,
                                        findings& found) {
  absl::Duration duration;
  if (!absl::ParseDuration(std::string(text), &duration)) {
    found.Add(place, absl::StrCat("\"", ToAbsl(text),
                                  "\" is not a duration such as 10s or 500ms"));
    return {};
  }
  if (duration < absl::Milliseconds(1) || duration > absl::Hours(24)) {
    found.Add(place, absl::StrCat(ToAbsl(text), " is not between 1ms and 24h"));
    return {};
  }
  return absl::ToChronoMilliseconds(duration);
}

}  // namespace skylarkbridge::cli
