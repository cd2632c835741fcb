#ifndef SKYLARKBRIDGE_BASE_TERMINATION_HPP
#define SKYLARKBRIDGE_BASE_TERMINATION_HPP

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge {

/// @brief Blocks SIGTERM and SIGINT in the calling thread and those that it
/// starts later, so that they arrive only where they are waited for.
void BlockTerminationSignals();

/// @brief Waits for SIGTERM or SIGINT. Returns its number.
int WaitForTermination();

/// @brief Blocks SIGHUP as well, so that WaitForSignal reports it.
void BlockReloadSignal();

/// @brief Waits for SIGHUP, SIGTERM or SIGINT until @p deadline. Returns its
/// number, or 0 when none came.
int WaitForSignal(time_point deadline);

/// @brief Wakes the thread in WaitForTermination as SIGTERM would.
void RequestTermination();

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_TERMINATION_HPP
