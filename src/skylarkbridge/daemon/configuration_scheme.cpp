#include "skylarkbridge/daemon/configuration_scheme.hpp"

#include "skylarkbridge/declaration/change.hpp"
#include "skylarkbridge/declaration/diff.hpp"
#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::daemon {
namespace {

/// The configuration before the first version declares nothing.
declaration::configuration ParseBase(const std::string& text) {
  findings ignored;
  return text.empty() ? declaration::configuration{}
                      : declaration::ParseJson(text, ignored)
                            .value_or(declaration::configuration{});
}

}  // namespace

std::optional<std::string> json_configuration_scheme::Check(
    const std::string& text,
    findings& found) const {
  const auto parsed = declaration::ParseJson(text, found);
  return parsed ? std::optional(declaration::PrintJson(*parsed)) : std::nullopt;
}

std::optional<std::string> json_configuration_scheme::Apply(
    const std::string& base,
    const std::string& change,
    findings& found) const {
  const auto parsed = declaration::ParseChangeJson(change, found);
  if (!parsed) {
    return std::nullopt;
  }
  const auto result = declaration::ApplyChange(ParseBase(base), *parsed, found);
  return result ? std::optional(declaration::PrintJson(*result)) : std::nullopt;
}

std::vector<std::string> json_configuration_scheme::Changes(
    const std::string& from,
    const std::string& to) const {
  std::vector<std::string> lines;
  for (const declaration::item_change& change :
       declaration::Diff(ParseBase(from), ParseBase(to))) {
    lines.push_back(declaration::Format(change));
  }
  return lines;
}

}  // namespace skylarkbridge::daemon
