#ifndef SKYLARKBRIDGE_ENTRY_CALLER_REQUEST_HPP
#define SKYLARKBRIDGE_ENTRY_CALLER_REQUEST_HPP

#include <optional>
#include <string>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/gateway/upstream_client.hpp"
#include "skylarkbridge/telemetry/trace_context.hpp"

namespace httplib {
struct Request;
}

namespace skylarkbridge::entry {

struct caller_request_limits {
  std::size_t max_headers = 64;
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_key_bytes = 256;
};

/// @brief A caller's request, read and checked.
struct caller_request {
  std::string service;
  time_point deadline;
  bool idempotent = false;
  /// Set only for requests that are not idempotent.
  std::string idempotency_key;
  telemetry::trace_context trace;
  /// What the upstream gets, less the trace header of the hop.
  gateway::upstream_request forwarded;
};

/// @brief Reads the headers and the path of a request to a declared service.
///
/// The path is "/v1/services/NAME" followed by the path at the upstream. Adds a
/// finding for each fault and returns nothing when there is one.
std::optional<caller_request> ReadCallerRequest(
    const httplib::Request& request,
    const declaration::service& service,
    const std::string& upstream_path,
    const caller_request_limits& limits,
    time_point now,
    findings& found);

}  // namespace skylarkbridge::entry

#endif  // SKYLARKBRIDGE_ENTRY_CALLER_REQUEST_HPP
