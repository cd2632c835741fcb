#ifndef SKYLARKBRIDGE_BASE_EVENTS_HPP
#define SKYLARKBRIDGE_BASE_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events 1000 to 1099.
namespace skylarkbridge::base {

/// @brief Lines were left out, as the volume or the reader's pace demanded.
/// `kinds` counts them by event, and by its field `what` where it has one.
inline constexpr event_definition kLogLinesDropped{
    1001, event_severity::kWarning, "log_lines_dropped", "lines kinds"};

inline constexpr event_definition kEvents[] = {kLogLinesDropped};

}  // namespace skylarkbridge::base

#endif  // SKYLARKBRIDGE_BASE_EVENTS_HPP
