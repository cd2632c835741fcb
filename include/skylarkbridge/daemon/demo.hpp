#ifndef SKYLARKBRIDGE_DAEMON_DEMO_HPP
#define SKYLARKBRIDGE_DAEMON_DEMO_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iosfwd>

namespace skylarkbridge::daemon {

struct demo_options {
  std::size_t workers = 4;
  std::size_t callers = 16;
  std::int64_t requests = 2000;
  /// Batch tasks that run at the same time.
  std::int64_t tasks = 200;
  std::chrono::microseconds service_time = std::chrono::milliseconds(2);
  /// Leaves everything up after the run until the process is interrupted.
  bool keep = false;
};

/// @brief Runs a daemon and stand-ins of the platform on loopback, sends
/// requests and batch tasks, and prints a table. Returns the exit code.
int RunDemo(const demo_options& options, std::ostream& out);

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_DEMO_HPP
