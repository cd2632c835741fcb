#include "skylarkbridge/telemetry/otlp_json.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <string_view>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::telemetry {
namespace {

using nlohmann::ordered_json;

/// STATUS_CODE_ERROR of the OTLP schema.
constexpr int kStatusError = 2;

ordered_json Attribute(std::string_view key, std::string_view value) {
  return {{"key", std::string(key)},
          {"value", {{"stringValue", std::string(value)}}}};
}

std::string Nanoseconds(wall_time time) {
  return std::to_string(time.time_since_epoch().count());
}

bool IsRoot(const span_id& parent) {
  return std::all_of(parent.begin(), parent.end(),
                     [](std::uint8_t byte) { return byte == 0; });
}

ordered_json Span(const finished_span& span) {
  ordered_json out = {{"traceId", ToHex(span.context.trace)},
                      {"spanId", ToHex(span.context.span)}};
  if (!IsRoot(span.parent)) {
    out["parentSpanId"] = ToHex(span.parent);
  }
  out["name"] = span.name;
  out["kind"] = static_cast<int>(span.kind);
  out["startTimeUnixNano"] = Nanoseconds(span.start);
  out["endTimeUnixNano"] = Nanoseconds(span.end);
  out["attributes"] = ordered_json::array();
  for (const span_attribute& attribute : span.attributes) {
    out["attributes"].push_back(Attribute(attribute.key, attribute.value));
  }
  out["status"] = ordered_json::object();
  if (span.error) {
    out["status"]["code"] = kStatusError;
  }
  return out;
}

ordered_json ResourceAttributes(const otlp_resource& resource) {
  ordered_json out = ordered_json::array();
  out.push_back(Attribute("service.name", resource.service_name));
  if (!resource.service_instance.empty()) {
    out.push_back(Attribute("service.instance.id", resource.service_instance));
  }
  if (!resource.data_centre.empty()) {
    out.push_back(Attribute("cloud.availability_zone", resource.data_centre));
  }
  return out;
}

}  // namespace

std::string FormatOtlpJson(const otlp_resource& resource,
                           std::span<const finished_span> spans) {
  ordered_json list = ordered_json::array();
  for (const finished_span& span : spans) {
    list.push_back(Span(span));
  }
  ordered_json scope = {{"scope", {{"name", "skylarkbridge"}}}};
  scope["spans"] = std::move(list);
  ordered_json entry;
  entry["resource"]["attributes"] = ResourceAttributes(resource);
  entry["scopeSpans"] = ordered_json::array();
  entry["scopeSpans"].push_back(std::move(scope));
  ordered_json document;
  document["resourceSpans"] = ordered_json::array();
  document["resourceSpans"].push_back(std::move(entry));
  return document.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

}  // namespace skylarkbridge::telemetry
