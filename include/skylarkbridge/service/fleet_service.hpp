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

/// @brief Asks the control thread to prepare for the end of the process.
struct stop_requested {};

/// @brief The settings changed while the process runs.
struct settings_changed {
  platform::settings settings;
};

/// @brief What the control thread receives.
using control_message = std::variant<control::caller_request,
                                     control::platform_reply,
                                     stop_requested,
                                     settings_changed>;

struct fleet_service_options {
  platform::settings settings;
  /// Where the settings were read; they are read again when they change.
  std::string settings_file;
  /// Between two looks at the settings file.
  std::chrono::milliseconds settings_poll_interval{1000};
  /// Listener for metrics, "IP:PORT"; empty for none.
  std::string metrics_address;
  /// Most messages that wait for the control thread.
  std::size_t mailbox_capacity = 4000;
  /// Least time between the request to stop and the end, in which the platform
  /// takes note that the VM is not ready.
  std::chrono::milliseconds min_drain_time{2500};
  /// Time before the end of the grace at which the process ends in any case.
  std::chrono::milliseconds grace_margin{800};
};

/// @brief The process on an entry VM: the supervisor tree, its threads and what
/// they share.
///
/// The control thread owns the control state. One traffic thread serves callers
/// and the platform's readiness calls, another carries the calls to the store
/// and the workers.
class fleet_service {
 public:
  explicit fleet_service(fleet_service_options options);
  fleet_service(const fleet_service&) = delete;
  fleet_service& operator=(const fleet_service&) = delete;

  /// @brief Runs the tree until @p stop is requested. Fails with `failure` when
  /// the root supervisor gives up.
  boost::leaf::result<void> Run(stop_signal& stop);

  /// @brief Takes no new ownership, is not ready any more, and goes on to
  /// answer. Returns when nothing is left to answer or the grace is over.
  void Drain();

  /// @brief Reads the settings file again. Takes what can change while the
  /// process runs, and logs what needs a restart.
  void Reload(std::string_view cause);
  /// @brief Between two calls of Reload.
  std::chrono::milliseconds SettingsPollInterval() const {
    return options_.settings_poll_interval;
  }

 private:
  /// Carries answers from the control thread to the callers.
  struct answer_sender {
    transport::http_server& server;

    void Answer(std::uint64_t token, const control::caller_answer& answer) {
      server.Respond(token, platform::EncodeAnswer(answer));
    }
  };
  using state = control::control_state<platform::client, answer_sender>;

  void BuildTree();
  boost::leaf::result<void> RunCalls(stop_signal& stop);
  boost::leaf::result<void> RunCallers(stop_signal& stop);
  boost::leaf::result<void> RunControl(stop_signal& stop);
  jobs::fleet_scheduler_options SchedulerOptions(
      const platform::settings& settings) const;
  void Receive(transport::server_request request);
  void Publish(const state& control, time_point now);
  bool Ready() const;
  control::control_options ControlOptions(std::uint64_t incarnation) const;

  const fleet_service_options options_;
  /// The settings in force; touched by the thread of the signals only.
  platform::settings settings_;
  telemetry::metrics_registry metrics_;
  mailbox<control_message> mailbox_;
  boost::asio::io_context calls_context_;
  boost::asio::io_context callers_context_;
  transport::http_client http_;
  transport::http_server callers_;
  transport::http_server readiness_;
  std::unique_ptr<transport::http_server> metrics_server_;
  std::atomic<bool> ready_ = false;
  std::atomic<bool> settled_ = true;
  std::atomic<bool> draining_ = false;
  std::atomic<boot_clock::rep> last_pass_ = 0;
  supervisor::supervisor root_;
};

/// @brief Runs the service until SIGTERM or SIGINT. Returns true when it ended
/// without a failure.
bool ServeUntilTerminated(fleet_service_options options);

}  // namespace skylarkbridge::service

#endif  // SKYLARKBRIDGE_SERVICE_FLEET_SERVICE_HPP
