#include <gflags/gflags.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <optional>
#include <ostream>
#include <string>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/declaration/diff.hpp"
#include "skylarkbridge/declaration/json.hpp"

DEFINE_bool(json, false, "print JSON for programs instead of text");

namespace skylarkbridge::cli {
namespace {

/// Reads at most one byte more than ParseJson accepts, so that it reports
/// larger files without their being held in memory.
std::optional<std::string> ReadFile(const std::string& path,
                                    std::ostream& errors) {
  errno = 0;
  std::ifstream file(path, std::ios::binary);
  std::string text(declaration::kMaxJsonBytes + 1, '\0');
  if (file) {
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
  }
  if (!file.is_open() || file.bad()) {
    errors << path << ": "
           << (errno == 0 ? "cannot be read" : std::strerror(errno)) << "\n";
    return std::nullopt;
  }
  text.resize(static_cast<std::size_t>(file.gcount()));
  return text;
}

}  // namespace

std::optional<declaration::configuration> ReadConfiguration(
    const std::string& path,
    std::ostream& errors) {
  const auto text = ReadFile(path, errors);
  if (!text) {
    return std::nullopt;
  }
  findings found;
  auto config = declaration::ParseJson(*text, found);
  for (const finding& item : found.Items()) {
    errors << path << ": " << item.place << ": " << item.message << "\n";
  }
  return config;
}

int RunCheck(command_context& context) {
  const auto config = ReadConfiguration(context.operands[0], context.errors);
  if (!config) {
    return kExitRefused;
  }
  context.out << "no findings: " << config->teams.size() << " teams, "
              << config->services.size() << " services, "
              << config->batch_kinds.size() << " batch kinds\n";
  return kExitDone;
}

int RunDiff(command_context& context) {
  const auto from = ReadConfiguration(context.operands[0], context.errors);
  const auto to = ReadConfiguration(context.operands[1], context.errors);
  if (!from || !to) {
    return kExitRefused;
  }
  const auto changes = declaration::Diff(*from, *to);
  if (FLAGS_json) {
    context.out << declaration::PrintJson(changes);
  } else if (changes.empty()) {
    context.out << "no differences\n";
  } else {
    context.out << declaration::Format(changes);
  }
  return kExitDone;
}

int RunPrint(command_context& context) {
  const auto config = ReadConfiguration(context.operands[0], context.errors);
  if (!config) {
    return kExitRefused;
  }
  context.out << declaration::PrintJson(*config);
  return kExitDone;
}

}  // namespace skylarkbridge::cli
