#ifndef SKYLARKBRIDGE_TELEMETRY_OTLP_JSON_HPP
#define SKYLARKBRIDGE_TELEMETRY_OTLP_JSON_HPP

#include <span>
#include <string>

#include "skylarkbridge/telemetry/span.hpp"

namespace skylarkbridge::telemetry {

/// @brief The process that sends spans, in OTLP's terms the resource.
struct otlp_resource {
  std::string service_name = "skylarkbridge";
  /// For example the id of the entry VM.
  std::string service_instance;
  std::string data_centre;
};

/// @brief Writes one ExportTraceServiceRequest in the JSON form of OTLP/HTTP,
/// on one line without a newline: ids as lower-case hex, times as strings of
/// nanoseconds since 1970. Bytes that are not UTF-8 are replaced.
///
/// Debian 12 packages no OpenTelemetry SDK, so the published form is written
/// with nlohmann-json.
std::string FormatOtlpJson(const otlp_resource& resource,
                           std::span<const finished_span> spans);

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_OTLP_JSON_HPP
