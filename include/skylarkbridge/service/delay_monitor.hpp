#ifndef SKYLARKBRIDGE_SERVICE_DELAY_MONITOR_HPP
#define SKYLARKBRIDGE_SERVICE_DELAY_MONITOR_HPP

#include <chrono>
#include <string>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/service/events.hpp"
#include "skylarkbridge/telemetry/latency_histogram.hpp"

namespace skylarkbridge::service {

/// @brief Records how long work waits for a thread, and logs thread_behind when
/// that is too long. Used by one thread.
class delay_monitor {
 public:
  /// Delay from which on an event is logged. A call passes through the thread
  /// several times, and a read of the store has to end 400 ms after its wait.
  static constexpr std::chrono::milliseconds kMaxDelay{200};
  /// Interval between two events.
  static constexpr std::chrono::milliseconds kReportInterval{1000};

  delay_monitor(std::string thread, telemetry::latency_histogram& delays)
      : thread_(std::move(thread)), delays_(delays) {}

  /// @brief Records the delay of work that began at @p now. Returns whether an
  /// event was logged.
  bool Record(std::chrono::nanoseconds delay, time_point now) {
    delays_.Record(delay);
    if (delay < kMaxDelay || now < next_report_) {
      return false;
    }
    next_report_ = now + kReportInterval;
    LogEvent(
        kThreadBehind,
        {{"thread", thread_},
         {"delay_ms",
          absl::StrCat(
              std::chrono::floor<std::chrono::milliseconds>(delay).count())}});
    return true;
  }

 private:
  const std::string thread_;
  telemetry::latency_histogram& delays_;
  time_point next_report_;
};

}  // namespace skylarkbridge::service

#endif  // SKYLARKBRIDGE_SERVICE_DELAY_MONITOR_HPP
