#ifndef SKYLARKBRIDGE_DAEMON_EVENTS_HPP
#define SKYLARKBRIDGE_DAEMON_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 4000 to 4099.
namespace skylarkbridge::daemon {

inline constexpr event_definition kConfigurationInEffect{
    4001, event_severity::kInfo, "configuration_in_effect", "version"};
inline constexpr event_definition kLogDown{4002, event_severity::kWarning,
                                           "log_down", "stream"};
inline constexpr event_definition kLogUp{4003, event_severity::kInfo, "log_up",
                                         "stream"};

inline constexpr event_definition kMemberChanged{4004, event_severity::kInfo,
                                                 "member_changed", "vm status"};
inline constexpr event_definition kDuplicateVm{4005, event_severity::kError,
                                               "duplicate_vm", "vm address"};
inline constexpr event_definition kShardOwned{4006, event_severity::kInfo,
                                              "shard_owned", "shard ballot"};
inline constexpr event_definition kShardLost{4007, event_severity::kWarning,
                                             "shard_lost", "shard reason"};

inline constexpr event_definition kDaemonFailed{4008, event_severity::kError,
                                                "daemon_failed", "error"};

inline constexpr event_definition kEvents[] = {
    kConfigurationInEffect, kLogDown,    kLogUp,     kMemberChanged,
    kDuplicateVm,           kShardOwned, kShardLost, kDaemonFailed};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_EVENTS_HPP
