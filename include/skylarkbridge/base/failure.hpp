#ifndef SKYLARKBRIDGE_BASE_FAILURE_HPP
#define SKYLARKBRIDGE_BASE_FAILURE_HPP

#include <string>

namespace skylarkbridge {

/// @brief Error payload that a component ends with; carried by
/// boost::leaf::result.
struct failure {
  /// Where it happened, for example "listener 127.0.0.1:8080".
  std::string place;
  std::string message;

  bool operator==(const failure&) const = default;
};

/// @brief "place: message".
inline std::string Format(const failure& error) {
  return error.place + ": " + error.message;
}

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_FAILURE_HPP
