#ifndef SKYLARKBRIDGE_DECLARATION_STRUCTURE_HPP
#define SKYLARKBRIDGE_DECLARATION_STRUCTURE_HPP

#include <string_view>

#include "skylarkbridge/base/findings.hpp"

namespace skylarkbridge::declaration {

/// @brief Checks size, syntax, nesting and duplicate keys of JSON input before
/// a document is built from it. Returns false when it must not be read.
bool CheckStructure(std::string_view text, findings& found);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_STRUCTURE_HPP
