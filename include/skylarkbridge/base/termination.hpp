#ifndef SKYLARKBRIDGE_BASE_TERMINATION_HPP
#define SKYLARKBRIDGE_BASE_TERMINATION_HPP

namespace skylarkbridge {

/// @brief Blocks SIGTERM and SIGINT in the calling thread and those that it
/// starts later, so that they arrive only where they are waited for.
void BlockTerminationSignals();

/// @brief Waits for SIGTERM or SIGINT. Returns its number.
int WaitForTermination();

/// @brief Wakes the thread in WaitForTermination as SIGTERM would.
void RequestTermination();

}  // namespace skylarkbridge

#endif  // SKYLARKBRIDGE_BASE_TERMINATION_HPP
