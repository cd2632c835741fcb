#ifndef SKYLARKBRIDGE_DECLARATION_CANONICAL_SIZE_HPP
#define SKYLARKBRIDGE_DECLARATION_CANONICAL_SIZE_HPP

#include <cstddef>

#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::declaration {

/// @brief Number of bytes that PrintJson returns, provided that no name needs
/// escaping. Needs no JSON library, so that modules of pure decisions can use
/// Check.
std::size_t CanonicalSize(const configuration& config);

}  // namespace skylarkbridge::declaration

#endif  // SKYLARKBRIDGE_DECLARATION_CANONICAL_SIZE_HPP
