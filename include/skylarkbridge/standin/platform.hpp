#ifndef SKYLARKBRIDGE_STANDIN_PLATFORM_HPP
#define SKYLARKBRIDGE_STANDIN_PLATFORM_HPP

#include <boost/leaf/result.hpp>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/gateway/http_listener.hpp"
#include "skylarkbridge/standin/log.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace skylarkbridge::standin {

/// @brief Stand-in for the platform's services: serves the VM list and
/// the log.
class platform {
 public:
  explicit platform(const ip_address& address = {"127.0.0.1", 0});

  /// @brief Body of a supervisor child.
  boost::leaf::result<void> Run(stop_signal& stop) {
    return listener_.Run(stop);
  }

  /// @brief Address once it listens; waits until @p deadline.
  ip_address Address(time_point deadline);

  void SetVmList(wire::vm_list list);
  log& Log() { return log_; }

 private:
  void Install(httplib::Server& server);
  void InstallLog(httplib::Server& server);

  log log_;
  gateway::http_listener listener_;
  absl::Mutex mutex_;
  wire::vm_list list_ ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_PLATFORM_HPP
