#ifndef SKYLARKBRIDGE_TELEMETRY_TRACE_CONTEXT_HPP
#define SKYLARKBRIDGE_TELEMETRY_TRACE_CONTEXT_HPP

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkbridge::telemetry {

using trace_id = std::array<std::uint8_t, 16>;
using span_id = std::array<std::uint8_t, 8>;

/// @brief Place of a span in a trace, as in the W3C header `traceparent`.
struct trace_context {
  trace_id trace{};
  span_id span{};
  bool sampled = true;

  bool operator==(const trace_context&) const = default;
};

/// @brief Reads a `traceparent` of version 00. Returns nothing when it is
/// malformed or all zero.
std::optional<trace_context> ParseTraceparent(std::string_view header);

/// @brief Writes a `traceparent` of version 00.
std::string FormatTraceparent(const trace_context& context);

/// @brief Lower-case hexadecimal digits.
std::string ToHex(const trace_id& id);
std::string ToHex(const span_id& id);

/// @brief Starts a trace with random ids.
trace_context NewTrace();

/// @brief A new span of the same trace.
trace_context NewSpan(const trace_context& parent);

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_TRACE_CONTEXT_HPP
