#include "skylarkbridge/daemon/demo.hpp"

#include <algorithm>
#include <iomanip>
#include <memory>
#include <ostream>

#include "skylarkbridge/daemon/running_daemon.hpp"
#include "skylarkbridge/standin/callers.hpp"
#include "skylarkbridge/standin/fleet.hpp"

namespace skylarkbridge::daemon {
namespace {

using standin::caller_tally;

declaration::configuration DemoConfiguration() {
  declaration::configuration declared;
  declared.teams = {{.name = "despacho"}};
  declared.services = {{.name = "label-and-slip",
                        .team = "despacho",
                        .default_deadline = std::chrono::seconds(2),
                        .idempotent = true}};
  return declared;
}

std::int64_t MostAtOnce(standin::fleet& workers) {
  std::int64_t most = 0;
  for (std::size_t i = 0; i < workers.Size(); ++i) {
    most = std::max(most, workers.Worker(i).MostAtOnce());
  }
  return most;
}

void PrintTable(const caller_tally& total,
                std::int64_t most_at_once,
                std::ostream& out) {
  const auto row = [&](const char* name, const auto& value) {
    out << "  " << std::left << std::setw(36) << name << value << "\n";
  };
  const auto milliseconds = [&](double quantile) {
    return std::chrono::duration<double, std::milli>(Quantile(total, quantile))
        .count();
  };
  row("requests done", total.done);
  row("requests not run", total.not_run);
  row("requests unknown", total.unknown);
  row("requests cut off", total.cut_off);
  row("answers of another request", total.wrong);
  row("p50 latency, ms", milliseconds(0.5));
  row("p99 latency, ms", milliseconds(0.99));
  row("most requests at once on a worker", most_at_once);
}

}  // namespace

int RunDemo(const demo_options& options, std::ostream& out) {
  standin::fleet workers({.workers = options.workers,
                          .worker = {.data_centre = data_centre_id{1},
                                     .service_time = options.service_time}});
  out << "stand-ins: " << options.workers << " workers, VM list at "
      << Format(workers.PlatformAddress()) << "\n";
  running_daemon entry_vm(LoopbackOptions(workers.PlatformAddress()));
  if (!entry_vm.Publish(DemoConfiguration())) {
    out << "the configuration was not put into effect\n";
    return 1;
  }
  const ip_address callers = entry_vm.CallersAddress();
  out << "entry VM: callers at " << Format(callers) << "\n";
  const caller_tally total =
      standin::SendRequests({.entries = {callers},
                             .callers = options.callers,
                             .requests = options.requests});
  PrintTable(total, MostAtOnce(workers), out);
  const bool stopped = entry_vm.Stop();
  out << (stopped ? "stopped\n" : "stopped with an error\n");
  return stopped && total.wrong == 0 ? 0 : 1;
}

}  // namespace skylarkbridge::daemon
