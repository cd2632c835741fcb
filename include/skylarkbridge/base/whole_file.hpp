#ifndef SKYLARKBRIDGE_BASE_WHOLE_FILE_HPP
#define SKYLARKBRIDGE_BASE_WHOLE_FILE_HPP

#include <fstream>
#include <iterator>
#include <optional>
#include <string>

namespace skylarkbridge {

/// @brief The bytes of a file; nothing when it can't be opened.
inline std::optional<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_WHOLE_FILE_HPP
