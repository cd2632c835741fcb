#ifndef SKYLARKBRIDGE_STANDIN_SERVICE_WINDOW_HPP
#define SKYLARKBRIDGE_STANDIN_SERVICE_WINDOW_HPP

#include <map>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"

namespace skylarkbridge::standin {

/// @brief Latencies of services on one worker since the last report. Safe to
/// use from many threads.
class service_window {
 public:
  void Record(const std::string& service, boot_clock::duration latency);

  /// @brief One entry per service, and starts the next window.
  std::vector<scheduling::service_latency> Take();

 private:
  absl::Mutex mutex_;
  std::map<std::string, std::vector<boot_clock::duration>> latencies_
      ABSL_GUARDED_BY(mutex_);
};

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_SERVICE_WINDOW_HPP
