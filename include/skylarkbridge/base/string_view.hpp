#ifndef SKYLARKBRIDGE_BASE_STRING_VIEW_HPP
#define SKYLARKBRIDGE_BASE_STRING_VIEW_HPP

#include <string_view>

#include "absl/strings/string_view.h"

namespace skylarkbridge {

/// @brief Converts to Abseil's view, which Debian builds as a type of its own.
inline absl::string_view ToAbsl(std::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_STRING_VIEW_HPP
