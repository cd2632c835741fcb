#ifndef SKYLARKBRIDGE_DAEMON_CONFIGURATION_SCHEME_HPP
#define SKYLARKBRIDGE_DAEMON_CONFIGURATION_SCHEME_HPP

#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/base/findings.hpp"

namespace skylarkbridge::daemon {

/// @brief Reads, checks and compares configurations in the JSON form of module
/// declaration, for the configuration ledger.
struct json_configuration_scheme {
  std::optional<std::string> Check(const std::string& text,
                                   findings& found) const;
  std::optional<std::string> Apply(const std::string& base,
                                   const std::string& change,
                                   findings& found) const;
  std::vector<std::string> Changes(const std::string& from,
                                   const std::string& to) const;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_CONFIGURATION_SCHEME_HPP
