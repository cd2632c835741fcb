#ifndef SKYLARKBRIDGE_SUPERVISOR_EVENTS_HPP
#define SKYLARKBRIDGE_SUPERVISOR_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 2000 to 2099.
namespace skylarkbridge::supervisor {

inline constexpr event_definition kChildStarted{
    2001, event_severity::kInfo, "child_started", "supervisor child"};
inline constexpr event_definition kChildFailed{
    2002, event_severity::kWarning, "child_failed", "supervisor child error"};
inline constexpr event_definition kRestartLimitReached{
    2003, event_severity::kError, "restart_limit_reached",
    "supervisor child restarts"};
inline constexpr event_definition kChildStopped{
    2004, event_severity::kInfo, "child_stopped", "supervisor child"};

inline constexpr event_definition kEvents[] = {
    kChildStarted, kChildFailed, kRestartLimitReached, kChildStopped};

}  // namespace skylarkbridge::supervisor

#endif  // SKYLARKBRIDGE_SUPERVISOR_EVENTS_HPP
