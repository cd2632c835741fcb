#include "skylarkbridge/service/fleet_service.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <csignal>
#include <exception>
#include <memory>
#include <optional>
#include <random>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/termination.hpp"
#include "skylarkbridge/base/whole_file.hpp"
#include "skylarkbridge/jobs/vm_capacity.hpp"
#include "skylarkbridge/service/context_probe.hpp"
#include "skylarkbridge/service/delay_monitor.hpp"
#include "skylarkbridge/service/events.hpp"

namespace skylarkbridge::service {
namespace {

namespace asio = boost::asio;
namespace leaf = boost::leaf;

/// The VM is not ready when the control loop has not iterated for this long.
constexpr std::chrono::milliseconds kControlLoopTimeout{1500};
/// Interval at which Drain checks whether work is left.
constexpr std::chrono::milliseconds kDrainPollInterval{50};
/// Maximum number of connections to one worker or service.
constexpr std::size_t kMaxConnectionsPerAddress = 12;
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr std::string_view kPlainText = "text/plain";
/// Cause that the periodic check passes to Reload. With this cause, Reload does
/// not log an unchanged file.
constexpr std::string_view kPeriodicCheckCause = "check";

wall_time WallNow() {
  return std::chrono::time_point_cast<wall_time::duration>(
      std::chrono::system_clock::now());
}

/// Runs the context until @p stop is requested. Fails with `failure` when a
/// handler throws.
leaf::result<void> RunContext(asio::io_context& context,
                              stop_signal& stop,
                              std::string_view name) {
  context.restart();
  const auto work = asio::make_work_guard(context);
  stop.OnRequest([&context](time_point) { context.stop(); });
  try {
    context.run();
  } catch (const std::exception& error) {
    return leaf::new_error(failure{std::string(name), error.what()});
  }
  return {};
}

jobs::vm_capacity Capacity(const platform::settings& settings) {
  return {.processor_share = settings.processor_share,
          .link_mbps = settings.link_mbps};
}

/// Returns a random 52-bit number that identifies one run of the control
/// thread.
std::uint64_t GenerateIncarnation() {
  std::random_device device;
  return std::uint64_t{device()} << 20U ^ device();
}

}  // namespace

fleet_service::fleet_service(fleet_service_options options)
    : options_(std::move(options)),
      current_settings_(options_.settings),
      mailbox_(options_.mailbox_capacity),
      outbound_context_(1),
      inbound_context_(1),
      http_client_(outbound_context_,
                   {.max_connections = kMaxConnectionsPerAddress}),
      callers_(inbound_context_,
               {.address = options_.settings.callers_address},
               [this](transport::server_request request) {
                 EnqueueRequest(std::move(request));
               }),
      readiness_(inbound_context_,
                 {.address = options_.settings.readiness_address},
                 [this](const transport::server_request& request) {
                   readiness_.Respond(
                       request.token,
                       {.status = Ready() ? kOk : kUnavailable, .body = "{}"});
                 }),
      root_("fleet", {.strategy = supervisor::restart_strategy::kRestForOne}) {
  if (!options_.metrics_address.empty()) {
    metrics_server_ = std::make_unique<transport::http_server>(
        inbound_context_,
        transport::http_server_options{.address = options_.metrics_address},
        [this](const transport::server_request& request) {
          metrics_server_->Respond(request.token,
                                   {.status = kOk,
                                    .body = metrics_.PrometheusText(),
                                    .content_type = std::string(kPlainText)});
        });
  }
  BuildTree();
}

void fleet_service::BuildTree() {
  root_.Add({.name = "calls",
             .run = [this](stop_signal& stop) { return RunOutbound(stop); }});
  root_.Add({.name = "callers",
             .run = [this](stop_signal& stop) { return RunInbound(stop); }});
  root_.Add({.name = "control",
             .run = [this](stop_signal& stop) { return RunControl(stop); }});
}

leaf::result<void> fleet_service::Run(stop_signal& stop) {
  BOOST_LEAF_CHECK(callers_.Listen());
  BOOST_LEAF_CHECK(readiness_.Listen());
  if (metrics_server_) {
    BOOST_LEAF_CHECK(metrics_server_->Listen());
  }
  return root_.Run(stop);
}

leaf::result<void> fleet_service::RunOutbound(stop_signal& stop) {
  const auto probe = std::make_shared<context_probe>(
      outbound_context_,
      delay_monitor("calls",
                    metrics_.Latency("skylarkbridge_calls_delay_seconds",
                                     "How late the thread that handles the "
                                     "replies of the store and the workers "
                                     "handles a timer")));
  probe->Start();
  leaf::result<void> result = RunContext(outbound_context_, stop, "calls");
  probe->Stop();
  return result;
}

leaf::result<void> fleet_service::RunInbound(stop_signal& stop) {
  return RunContext(inbound_context_, stop, "callers");
}

void fleet_service::EnqueueRequest(transport::server_request request) {
  const std::uint64_t token = request.token;
  const time_point deadline =
      request.received + control::control_options().default_caller_timeout;
  if (!mailbox_.TrySend(
          platform::DecodeCallerRequest(std::move(request), deadline))) {
    callers_.Respond(token,
                     platform::EncodeAnswer(
                         {.kind = control::answer_kind::kNotRun,
                          .retry_after = control::control_options().retry_after,
                          .reason = "overloaded"}));
  }
}

jobs::fleet_scheduler_options fleet_service::SchedulerOptions(
    const platform::settings& settings) const {
  jobs::fleet_scheduler_options options;
  options.max_lease = settings.max_lease;
  options.lease = std::min(options.lease, settings.max_lease);
  options.stop_timeout = settings.task_stop_timeout;
  return options;
}

control::control_options fleet_service::ControlOptions(
    std::uint64_t incarnation) const {
  const platform::settings& settings = options_.settings;
  const jobs::vm_capacity capacity = Capacity(settings);
  control::control_options options;
  options.bootstrap.division.workers_per_cell = jobs::WorkersPerCell(capacity);
  options.configuration_read_timeout =
      options.read_timeout + jobs::LargestRecordTime(capacity);
  options.scheduler = SchedulerOptions(settings);
  options.ownership.vm = settings.vm;
  options.ownership.incarnation = incarnation;
  options.ownership.processor_share = jobs::UsableProcessorShare(capacity);
  options.store_writes_per_second = settings.store_writes_per_second;
  options.max_record_bytes = settings.store_record_bytes;
  options.owner_writer.max_append_bytes = settings.store_append_bytes;
  options.has_machine_list = !settings.machines_address.empty();
  // Random, so that two claims of one epoch use different sequence numbers.
  options.first_sequence = incarnation;
  options.ended_job_retention = std::chrono::ceil<std::chrono::seconds>(
      settings.status_retention + settings.status_retention / 4);
  return options;
}

leaf::result<void> fleet_service::RunControl(stop_signal& stop) {
  mailbox_.Reopen();
  stop.OnRequest([this](time_point) { mailbox_.Close(); });
  const std::uint64_t incarnation = GenerateIncarnation();
  platform::client client(
      http_client_,
      {.store_address = options_.settings.store_address,
       .policy_address = options_.settings.policy_address,
       .machines_address = options_.settings.machines_address,
       .max_tail_page_kb = jobs::MaxTailPageKb(Capacity(options_.settings))},
      [this](control::platform_reply reply) {
        mailbox_.SendUnbounded(std::move(reply));
      });
  answer_sender answers{callers_};
  fleet_control_state state(ControlOptions(incarnation), client, answers,
                            metrics_);
  LogEvent(kServiceStarted, {{"vm", options_.settings.vm},
                             {"data_centre", options_.settings.data_centre},
                             {"callers", options_.settings.callers_address},
                             {"store", options_.settings.store_address},
                             {"incarnation", absl::StrCat(incarnation)}});
  if (draining_) {
    state.BeginStop(boot_clock::now(), WallNow());
  }
  telemetry::latency_histogram& lateness =
      metrics_.Latency("skylarkbridge_pass_lateness_seconds",
                       "By how much a pass of the control thread began after "
                       "its deadline");
  delay_monitor mailbox_wait(
      "control",
      metrics_.Latency("skylarkbridge_mailbox_wait_seconds",
                       "How long the first message of each batch waited for "
                       "the control thread"));
  time_point now = boot_clock::now();
  while (!stop.Requested()) {
    state.Run(now, WallNow());
    PublishStatus(state, now);
    const time_point deadline = state.NextDeadline(now);
    mailbox_batch<control_message> batch = mailbox_.ReceiveBatch(deadline);
    now = boot_clock::now();
    lateness.Record(now - deadline);
    if (batch.first_sent_at) {
      mailbox_wait.Record(now - *batch.first_sent_at, now);
    }
    for (control_message& message : batch.messages) {
      if (auto* const request =
              std::get_if<control::caller_request>(&message)) {
        state.Handle(std::move(*request), now, WallNow());
      } else if (auto* const reply =
                     std::get_if<control::platform_reply>(&message)) {
        state.Handle(std::move(*reply), now, WallNow());
      } else if (const auto* const changed =
                     std::get_if<settings_changed>(&message)) {
        state.SetSchedulerOptions(SchedulerOptions(changed->settings));
      } else {
        state.BeginStop(now, WallNow());
      }
    }
  }
  return {};
}

void fleet_service::PublishStatus(const fleet_control_state& state,
                                  time_point now) {
  ready_ = state.Ready(now);
  settled_ = state.Drained();
  last_iteration_ = now.time_since_epoch().count();
}

bool fleet_service::Ready() const {
  const time_point last_iteration{boot_clock::duration(last_iteration_)};
  return ready_ && !draining_ &&
         boot_clock::now() < last_iteration + kControlLoopTimeout;
}

void fleet_service::Drain() {
  const time_point start = boot_clock::now();
  const time_point end =
      start + options_.settings.stop_grace - options_.grace_margin;
  LogEvent(kServiceStopping,
           {{"grace_ms", absl::StrCat(options_.settings.stop_grace.count())}});
  draining_ = true;
  callers_.Drain();
  mailbox_.SendUnbounded(stop_requested{});
  // Only used to sleep.
  const stop_signal never_requested;
  time_point now = start;
  while (now < end) {
    never_requested.WaitUntil(now + kDrainPollInterval);
    now = boot_clock::now();
    if (now >= start + options_.min_drain_time && settled_ &&
        callers_.ActiveConnections() == 0) {
      break;
    }
  }
  LogEvent(kServiceStopped,
           {{"busy", absl::StrCat(callers_.ActiveConnections())},
            {"settled", settled_ ? "yes" : "no"}});
}

void fleet_service::Reload(std::string_view cause) {
  findings errors;
  const std::optional<std::string> text = ReadWholeFile(options_.settings_file);
  if (!text) {
    errors.Add("settings", "can't be read");
  }
  const platform::settings reloaded =
      text ? platform::ParseSettings(*text, errors) : current_settings_;
  if (!errors.Empty()) {
    LogEvent(kSettingsRejected, {{"findings", Format(errors)}});
    return;
  }
  const bool changed = reloaded != current_settings_;
  if (changed || cause != kPeriodicCheckCause) {
    const bool restart_needed =
        reloaded.store_address != current_settings_.store_address ||
        reloaded.callers_address != current_settings_.callers_address ||
        reloaded.readiness_address != current_settings_.readiness_address;
    LogEvent(kSettingsReloaded,
             {{"cause", std::string(cause)},
              {"changed", changed ? "yes" : "no"},
              {"restart_needed", restart_needed ? "yes" : "no"}});
  }
  if (changed) {
    current_settings_ = reloaded;
    mailbox_.SendUnbounded(settings_changed{reloaded});
  }
}

bool ServeUntilTerminated(fleet_service_options options) {
  BlockTerminationSignals();
  BlockReloadSignal();
  fleet_service service(std::move(options));
  stop_signal stop;
  bool succeeded = false;
  const auto run = [&] {
    succeeded = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
          BOOST_LEAF_CHECK(service.Run(stop));
          return true;
        },
        [](const failure& error) {
          LogEvent(kServiceFailed, {{"error", Format(error)}});
          return false;
        },
        [] {
          LogEvent(kServiceFailed, {{"error", "unknown"}});
          return false;
        });
    RequestTermination();
  };
  posix_thread service_thread = posix_thread::Start("fleet", run).value();
  // WaitForSignal returns 0 on a timeout.
  for (int signal = 0; signal == 0 || signal == SIGHUP;) {
    signal = WaitForSignal(boot_clock::now() + service.SettingsPollInterval());
    if (signal == SIGHUP) {
      service.Reload("signal");
    } else if (signal == 0) {
      service.Reload(kPeriodicCheckCause);
    }
  }
  service.Drain();
  // The threads stop within the `grace_margin` that Drain leaves.
  stop.Request(boot_clock::now() + std::chrono::milliseconds(300));
  service_thread.Join();
  return succeeded;
}

}  // namespace skylarkbridge::service
