#ifndef SKYLARKBRIDGE_COORDINATION_CONFIGURATION_VERSION_HPP
#define SKYLARKBRIDGE_COORDINATION_CONFIGURATION_VERSION_HPP

#include <compare>
#include <cstdint>
#include <string>

#include "skylarkbridge/coordination/digest.hpp"

namespace skylarkbridge::coordination {

/// @brief Number of a configuration version; 0 is "none published yet".
using version_number = std::uint64_t;

/// @brief What peers compare before they pass a configuration on.
struct version_tag {
  version_number number = 0;
  /// Digest of the configuration's canonical text.
  std::uint64_t digest = 0;

  auto operator<=>(const version_tag&) const = default;
};

/// @brief A whole configuration with the place in the log where it holds.
struct known_version {
  version_number number = 0;
  /// Canonical text.
  std::string text;
  /// Offset of the first record of the configuration stream that is not
  /// included.
  std::uint64_t valid_until = 0;

  version_tag Tag() const { return {number, Digest(text)}; }
  bool operator==(const known_version&) const = default;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_CONFIGURATION_VERSION_HPP
