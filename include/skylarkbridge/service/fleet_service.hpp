#ifndef SKYLARKBRIDGE_SERVICE_FLEET_SERVICE_HPP
#define SKYLARKBRIDGE_SERVICE_FLEET_SERVICE_HPP

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <variant>

#include "platform/client.hpp"
#include "platform/settings.hpp"
#include "skylarkbridge/base/mailbox.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/control/control_state.hpp"
#include "skylarkbridge/supervisor/supervisor.hpp"
#include "skylarkbridge/telemetry/metrics.hpp"
#include "skylarkbridge/transport/http_client.hpp"
#include "skylarkbridge/transport/http_server.hpp"

namespace skylarkbridge::service {

/// @brief Tells the control thread that the process is about to stop.
struct stop_requested {};

/// @brief Tells the control thread that the settings file changed.
struct settings_changed {
  platform::settings settings;
};

/// @brief A message in the control thread's mailbox.
using control_message = std::variant<control::caller_request,
                                     control::platform_reply,
                                     stop_requested,
                                     settings_changed>;

/// @brief Settings of the platform, and options of the process itself.
struct fleet_service_options {
  platform::settings settings;
  /// Path of the settings file.
  std::string settings_file;
  /// Interval at which the settings file is read again.
  std::chrono::milliseconds settings_poll_interval{1000};
  /// Listen address for metrics, "IP:PORT"; empty for none.
  std::string metrics_address;
  /// Capacity of the control thread's mailbox. Requests from callers are
  /// refused when it is full.
  std::size_t mailbox_capacity = 4000;
  /// Minimum time from the stop request to the exit. It gives the platform time
  /// to notice that the VM is not ready.
  std::chrono::milliseconds min_drain_time{2500};
  /// The process stops draining this long before the stop grace is over, even
  /// if work is left. The threads stop in the remaining time.
  std::chrono::milliseconds grace_margin{800};
};

/// @brief The service on an entry VM: the supervisor tree, its threads and the
/// state that they share.
///
/// The control thread owns the control state. One traffic thread serves the
/// requests of callers and the platform's readiness checks, another one sends
/// the requests to the store, the workers and the policy service.
class fleet_service {
 public:
  explicit fleet_service(fleet_service_options options);
  fleet_service(const fleet_service&) = delete;
  fleet_service& operator=(const fleet_service&) = delete;

  /// @brief Runs the supervisor tree until @p stop is requested. Fails with
  /// `failure` when a listener can't be opened or the root supervisor gives up.
  boost::leaf::result<void> Run(stop_signal& stop);

  /// @brief Reports the VM as not ready, acquires no more cells, and still
  /// responds to callers. Returns when no response and no store write is
  /// pending, but not before `min_drain_time`, or when only `grace_margin` of
  /// the stop grace is left.
  void Drain();

  /// @brief Reads the settings file again. Applies the settings that can change
  /// while the process runs, and logs whether a changed address of the store
  /// or of a listener requires a restart.
  void Reload(std::string_view cause);
  /// @brief Interval between two calls of Reload.
  std::chrono::milliseconds SettingsPollInterval() const {
    return options_.settings_poll_interval;
  }

 private:
  /// Sends answers of the control thread to the callers.
  struct answer_sender {
    transport::http_server& server;

    void Answer(std::uint64_t token, const control::caller_answer& answer) {
      server.Respond(token, platform::EncodeAnswer(answer));
    }
  };
  using fleet_control_state =
      control::control_state<platform::client, answer_sender>;

  void BuildTree();
  boost::leaf::result<void> RunOutbound(stop_signal& stop);
  boost::leaf::result<void> RunInbound(stop_signal& stop);
  boost::leaf::result<void> RunControl(stop_signal& stop);
  jobs::fleet_scheduler_options SchedulerOptions(
      const platform::settings& settings) const;
  void EnqueueRequest(transport::server_request request);
  void PublishStatus(const fleet_control_state& state, time_point now);
  bool Ready() const;
  control::control_options ControlOptions(std::uint64_t incarnation) const;

  const fleet_service_options options_;
  /// The newest valid settings; `options_.settings` holds those read at start.
  /// Only used by the thread that waits for signals.
  platform::settings current_settings_;
  telemetry::metrics_registry metrics_;
  mailbox<control_message> mailbox_;
  boost::asio::io_context outbound_context_;
  boost::asio::io_context inbound_context_;
  transport::http_client http_client_;
  /// Server of the callers' requests.
  transport::http_server callers_;
  /// Server of the platform's readiness checks.
  transport::http_server readiness_;
  std::unique_ptr<transport::http_server> metrics_server_;
  std::atomic<bool> ready_ = false;
  /// Whether the control state has no pending query, submission or cell
  /// release.
  std::atomic<bool> settled_ = true;
  std::atomic<bool> draining_ = false;
  /// Time of the control loop's last iteration.
  std::atomic<boot_clock::rep> last_iteration_ = 0;
  supervisor::supervisor root_;
};

/// @brief Runs the service until SIGTERM or SIGINT. Returns true when it ended
/// without a failure.
bool ServeUntilTerminated(fleet_service_options options);

}  // namespace skylarkbridge::service

#endif  // SKYLARKBRIDGE_SERVICE_FLEET_SERVICE_HPP
