#ifndef SKYLARKBRIDGE_TELEMETRY_EVENTS_HPP
#define SKYLARKBRIDGE_TELEMETRY_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 1100 to 1199.
namespace skylarkbridge::telemetry {

inline constexpr event_definition kSpanExportFailed{
    1101, event_severity::kWarning, "span_export_failed", "spans error"};
inline constexpr event_definition kSpanExportRecovered{
    1102, event_severity::kInfo, "span_export_recovered", "spans_lost"};
inline constexpr event_definition kSpansDropped{
    1103, event_severity::kWarning, "spans_dropped", "spans capacity"};

inline constexpr event_definition kEvents[] = {
    kSpanExportFailed, kSpanExportRecovered, kSpansDropped};

}  // namespace skylarkbridge::telemetry

#endif  // SKYLARKBRIDGE_TELEMETRY_EVENTS_HPP
