#include "skylarkbridge/entry/token.hpp"

#include <cstddef>

namespace skylarkbridge::entry {

bool TokenMatches(std::string_view header, std::string_view token) {
  constexpr std::string_view kPrefix = "Bearer ";
  if (token.empty() || header.size() != kPrefix.size() + token.size() ||
      header.substr(0, kPrefix.size()) != kPrefix) {
    return false;
  }
  const std::string_view given = header.substr(kPrefix.size());
  unsigned difference = 0;
  for (std::size_t i = 0; i < token.size(); ++i) {
    difference |= static_cast<unsigned char>(given[i] ^ token[i]);
  }
  return difference == 0;
}

}  // namespace skylarkbridge::entry
