#ifndef SKYLARKBRIDGE_DAEMON_SERVED_DAEMON_HPP
#define SKYLARKBRIDGE_DAEMON_SERVED_DAEMON_HPP

#include <chrono>

#include "skylarkbridge/daemon/daemon.hpp"

namespace skylarkbridge::daemon {

/// @brief Runs a daemon until SIGTERM or SIGINT, then stops it gracefully
/// within @p drain_time. Returns false when the daemon ended with an error,
/// which is logged as event 4008.
bool ServeUntilTerminated(daemon_options options,
                          std::chrono::milliseconds drain_time);

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_SERVED_DAEMON_HPP
