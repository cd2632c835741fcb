#ifndef SKYLARKBRIDGE_SERVICE_EVENTS_HPP
#define SKYLARKBRIDGE_SERVICE_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events of the service; their numbers are 5200 to 5299.
namespace skylarkbridge::service {

inline constexpr event_definition kServiceStarted{
    5201, event_severity::kInfo, "service_started",
    "vm data_centre callers store incarnation"};
inline constexpr event_definition kServiceStopping{
    5202, event_severity::kInfo, "service_stopping", "grace_ms"};
inline constexpr event_definition kServiceStopped{
    5203, event_severity::kInfo, "service_stopped", "busy settled"};
inline constexpr event_definition kServiceFailed{5204, event_severity::kError,
                                                 "service_failed", "error"};
inline constexpr event_definition kSettingsReloaded{
    5205, event_severity::kInfo, "settings_reloaded",
    "cause changed restart_needed"};
inline constexpr event_definition kSettingsRejected{
    5206, event_severity::kWarning, "settings_rejected", "findings"};
/// Work waited `delay_ms` for a thread of the process.
inline constexpr event_definition kThreadBehind{
    5207, event_severity::kWarning, "thread_behind", "thread delay_ms"};

inline constexpr event_definition kEvents[] = {
    kServiceStarted,   kServiceStopping,  kServiceStopped, kServiceFailed,
    kSettingsReloaded, kSettingsRejected, kThreadBehind};

}  // namespace skylarkbridge::service

#endif  // SKYLARKBRIDGE_SERVICE_EVENTS_HPP
