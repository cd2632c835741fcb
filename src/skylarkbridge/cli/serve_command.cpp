#include <ostream>

#include "skylarkbridge/base/termination.hpp"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/cli/settings.hpp"
#include "skylarkbridge/daemon/served_daemon.hpp"

namespace skylarkbridge::cli {
namespace {

/// Faults that matter to `serve` only.
findings CheckForServe(const daemon_settings& settings) {
  findings found;
  if (!settings.log_address) {
    found.Add("flag --log_address", "is missing");
  }
  if (!settings.vm_list_address) {
    found.Add("flag --vm_list_address", "is missing");
  }
  if (settings.operator_token.empty()) {
    found.Add("environment SKYLARKBRIDGE_TOKEN", "is missing");
  }
  if (!settings.peer_addresses.empty()) {
    found.Add("flag --peer_address",
              "is not used by serve; the VM list names the entry VMs");
  }
  if (!settings.worker_addresses.empty()) {
    found.Add("flag --worker_address",
              "is not used by serve; the VM list names the workers");
  }
  return found;
}

daemon::daemon_options ToOptions(const daemon_settings& settings) {
  daemon::daemon_options options;
  options.callers = {.address = settings.callers_address,
                     .threads = settings.caller_threads};
  options.operators = {.address = settings.operators_address,
                       .threads = settings.operator_threads};
  options.token = settings.operator_token;
  options.vm_list.address = *settings.vm_list_address;
  options.router.log.address = *settings.log_address;
  options.router.log.task_stream =
      "tasks-" + std::to_string(settings.data_centre.value);
  options.peers.listener.address = settings.peers_address;
  options.control.vm = settings.entry_vm;
  options.control.data_centre = settings.data_centre;
  options.control.log.outbox.capacity = settings.log_buffer;
  options.trace_file = settings.trace_file;
  options.span_buffer = settings.span_buffer;
  options.mailbox_capacity = settings.control_mailbox;
  return options;
}

}  // namespace

int RunServe(command_context& context) {
  findings found;
  const auto settings = ReadDaemonSettings(context.variables, found);
  if (settings) {
    found.Append(CheckForServe(*settings));
  }
  if (!found.Empty()) {
    context.errors << Format(found);
    return kExitUsage;
  }
  return daemon::ServeUntilTerminated(ToOptions(*settings),
                                      settings->drain_time)
             ? kExitDone
             : kExitRefused;
}

}  // namespace skylarkbridge::cli
