#ifndef SKYLARKBRIDGE_ENTRY_TOKEN_HPP
#define SKYLARKBRIDGE_ENTRY_TOKEN_HPP

#include <string_view>

namespace skylarkbridge::entry {

/// @brief True when @p header is "Bearer " and @p token. The time does not
/// depend on the place of the first difference. An empty token never matches.
bool TokenMatches(std::string_view header, std::string_view token);

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_TOKEN_HPP
