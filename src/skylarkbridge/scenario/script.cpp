#include "skylarkbridge/scenario/script.hpp"

#include <algorithm>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge::scenario {
namespace {

std::vector<std::string> Lines(std::string_view text) {
  if (text.ends_with('\n')) {
    text.remove_suffix(1);
  }
  return absl::StrSplit(ToAbsl(text), '\n');
}

}  // namespace

std::string Rewrite(std::string_view text, const command_runner& run) {
  std::string result;
  for (const std::string& line : Lines(text)) {
    if (line.starts_with("  ")) {
      continue;
    }
    absl::StrAppend(&result, line, "\n");
    if (line.empty() || line.starts_with('#')) {
      continue;
    }
    for (const std::string& output : run(line)) {
      absl::StrAppend(&result, "  ", output, "\n");
    }
  }
  return result;
}

std::optional<mismatch> Compare(std::string_view expected,
                                std::string_view actual) {
  if (expected == actual) {
    return std::nullopt;
  }
  const std::vector<std::string> wanted = Lines(expected);
  const std::vector<std::string> got = Lines(actual);
  const auto at = [](const std::vector<std::string>& lines, std::size_t i) {
    return i < lines.size() ? std::optional(lines[i]) : std::nullopt;
  };
  std::size_t line = 0;
  while (line < std::max(wanted.size(), got.size()) &&
         at(wanted, line) == at(got, line)) {
    ++line;
  }
  return mismatch{line + 1, at(wanted, line), at(got, line)};
}

}  // namespace skylarkbridge::scenario
