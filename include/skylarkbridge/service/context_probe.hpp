#ifndef SKYLARKBRIDGE_SERVICE_CONTEXT_PROBE_HPP
#define SKYLARKBRIDGE_SERVICE_CONTEXT_PROBE_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/service/delay_monitor.hpp"

namespace skylarkbridge::service {

/// @brief Measures how late the handlers of an io_context run: by how much a
/// timer that expires at regular intervals is handled late.
class context_probe : public std::enable_shared_from_this<context_probe> {
 public:
  context_probe(boost::asio::io_context& context, delay_monitor monitor)
      : timer_(context), monitor_(std::move(monitor)) {}

  /// @brief Starts measuring. The pending handler keeps the probe alive until
  /// Stop.
  void Start() {
    expiry_ = boot_clock::now() + kInterval;
    timer_.expires_after(kInterval);
    timer_.async_wait(
        [self = shared_from_this()](const boost::system::error_code& error) {
          if (error || self->stopped_) {
            return;
          }
          const time_point now = boot_clock::now();
          self->monitor_.Record(now - self->expiry_, now);
          self->Start();
        });
  }
  /// @brief Ends the measurement. Call it while the context is not running, or
  /// from one of its handlers.
  void Stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  static constexpr std::chrono::milliseconds kInterval{200};

  boost::asio::steady_timer timer_;
  delay_monitor monitor_;
  time_point expiry_;
  bool stopped_ = false;
};

}  // namespace skylarkbridge::service

#endif  // SKYLARKBRIDGE_SERVICE_CONTEXT_PROBE_HPP
