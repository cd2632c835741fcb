#ifndef SKYLARKBRIDGE_DAEMON_RUNNING_DAEMON_HPP
#define SKYLARKBRIDGE_DAEMON_RUNNING_DAEMON_HPP

#include <memory>

#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/daemon/daemon.hpp"
#include "skylarkbridge/declaration/configuration.hpp"

namespace skylarkbridge::daemon {

/// @brief Token of daemons with LoopbackOptions.
inline constexpr char kLoopbackToken[] = "loopback-demonstration";

/// @brief Options of a daemon on loopback with free ports, for a platform at
/// @p platform.
daemon_options LoopbackOptions(const ip_address& platform,
                               entry_vm_id vm = entry_vm_id{1});

/// @brief A daemon on a thread of this process; for the demo, benchmarks and
/// tests. It is stopped when the object ends.
class running_daemon {
 public:
  explicit running_daemon(daemon_options options);
  running_daemon(const running_daemon&) = delete;
  running_daemon& operator=(const running_daemon&) = delete;
  ~running_daemon();

  daemon& Get() { return daemon_; }
  ip_address CallersAddress();
  ip_address OperatorsAddress();
  /// @brief Entry for the VM list, so that other entry VMs find this one.
  wire::entry_vm Describe() const;

  /// @brief Publishes @p configuration on version @p base and waits until it is
  /// in effect and an upstream is known. Returns false when that fails.
  bool Publish(const declaration::configuration& configuration,
               coordination::version_number base = 0);

  /// @brief Asks for a graceful stop; returns at once.
  void RequestStop();
  /// @brief Stops gracefully. Returns false when the daemon ended with an
  /// error.
  bool Stop();

 private:
  const entry_vm_id vm_;
  const data_centre_id data_centre_;
  daemon daemon_;
  stop_signal stop_;
  bool ended_well_ = false;
  posix_thread thread_;
};

}  // namespace skylarkbridge::daemon

#endif  // SKYLARKBRIDGE_DAEMON_RUNNING_DAEMON_HPP
