#ifndef SKYLARKBRIDGE_GATEWAY_EVENTS_HPP
#define SKYLARKBRIDGE_GATEWAY_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 3000 to 3099.
namespace skylarkbridge::gateway {

inline constexpr event_definition kVmListUnavailable{
    3001, event_severity::kWarning, "vm_list_unavailable", "place error"};
inline constexpr event_definition kWorkerUnavailable{
    3002, event_severity::kWarning, "worker_unavailable", "place error"};
inline constexpr event_definition kWorkerReplyMalformed{
    3003, event_severity::kWarning, "worker_reply_malformed", "worker error"};
inline constexpr event_definition kLogUnavailable{
    3004, event_severity::kWarning, "log_unavailable", "place error"};
inline constexpr event_definition kLogRecordMalformed{
    3005, event_severity::kError, "log_record_malformed", "stream error"};

inline constexpr event_definition kEvents[] = {
    kVmListUnavailable, kWorkerUnavailable, kWorkerReplyMalformed,
    kLogUnavailable, kLogRecordMalformed};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_EVENTS_HPP
