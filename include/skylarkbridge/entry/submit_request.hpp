#ifndef SKYLARKBRIDGE_ENTRY_SUBMIT_REQUEST_HPP
#define SKYLARKBRIDGE_ENTRY_SUBMIT_REQUEST_HPP

#include <optional>
#include <string>
#include <string_view>

#include "skylarkbridge/base/findings.hpp"

namespace skylarkbridge::entry {

/// @brief Reads the kind from {"kind": NAME}. Adds a finding for each fault and
/// returns nothing when there is one.
std::optional<std::string> ReadSubmitRequest(std::string_view body,
                                             findings& found);

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_SUBMIT_REQUEST_HPP
