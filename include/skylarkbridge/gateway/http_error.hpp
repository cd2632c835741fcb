#ifndef SKYLARKBRIDGE_GATEWAY_HTTP_ERROR_HPP
#define SKYLARKBRIDGE_GATEWAY_HTTP_ERROR_HPP

#include <string>

namespace skylarkbridge::gateway {

/// @brief A call to the platform did not succeed; payload of
/// boost::leaf::result.
struct call_failure {
  std::string place;
  std::string message;
  /// True when the call may have taken effect all the same.
  bool may_have_happened = true;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_HTTP_ERROR_HPP
