#include "skylarkbridge/daemon/demo.hpp"

#include <algorithm>
#include <iomanip>
#include <map>
#include <ostream>
#include <string>

#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/termination.hpp"
#include "skylarkbridge/daemon/running_daemon.hpp"
#include "skylarkbridge/standin/callers.hpp"
#include "skylarkbridge/standin/fleet.hpp"
#include "skylarkbridge/standin/submitter.hpp"

namespace skylarkbridge::daemon {
namespace {

using standin::caller_tally;

constexpr std::chrono::seconds kTaskTime{60};

declaration::configuration DemoConfiguration() {
  declaration::configuration declared;
  declared.teams = {{.name = "despacho"}};
  declared.services = {{.name = "label-and-slip",
                        .team = "despacho",
                        .default_deadline = std::chrono::seconds(2),
                        .idempotent = true}};
  declared.batch_kinds = {{.name = "colour-match",
                           .team = "despacho",
                           .size = {.millicores = 2000, .memory_mib = 2048},
                           .run_time = std::chrono::milliseconds(200),
                           .idempotent = true,
                           .checkpoints = true}};
  return declared;
}

/// What the workers saw.
struct worker_tally {
  std::int64_t most_at_once = 0;
  std::int64_t task_runs = 0;
  std::int64_t evictions = 0;
};

worker_tally ReadWorkers(standin::fleet& workers) {
  worker_tally tally;
  for (std::size_t i = 0; i < workers.Size(); ++i) {
    standin::worker& worker = workers.Worker(i);
    tally.most_at_once = std::max(tally.most_at_once, worker.MostAtOnce());
    for (const standin::task_run& run :
         worker.Tasks().Runs(boot_clock::now())) {
      ++tally.task_runs;
      tally.evictions +=
          run.result == coordination::attempt_end::kStopped ? 1 : 0;
    }
  }
  return tally;
}

struct demo_result {
  caller_tally requests;
  standin::submit_tally submitted;
  std::map<std::string, std::int64_t> tasks;
};

demo_result SendAll(const demo_options& options,
                    const ip_address& callers,
                    std::ostream& out) {
  demo_result result;
  out << "sending " << options.tasks << " batch tasks and " << options.requests
      << " requests" << std::endl;
  posix_thread submitter = posix_thread::Start("submitters", [&] {
                             result.submitted = standin::SubmitTasks(
                                 callers, "colour-match", options.tasks);
                           }).value();
  result.requests = standin::SendRequests({.entries = {callers},
                                           .callers = options.callers,
                                           .requests = options.requests});
  out << "requests answered; waiting for the tasks" << std::endl;
  submitter.Join();
  result.tasks = standin::AwaitTasks(callers, result.submitted.accepted,
                                     boot_clock::now() + kTaskTime);
  return result;
}

void PrintTable(const demo_result& result,
                const worker_tally& workers,
                coordination::version_number version,
                std::ostream& out) {
  const auto row = [&](const char* name, const auto& value) {
    out << "  " << std::left << std::setw(36) << name << value << "\n";
  };
  const caller_tally& requests = result.requests;
  const auto milliseconds = [&](double quantile) {
    return std::chrono::duration<double, std::milli>(
               Quantile(requests, quantile))
        .count();
  };
  const auto tasks = [&](const char* outcome) {
    const auto found = result.tasks.find(outcome);
    return found == result.tasks.end() ? 0 : found->second;
  };
  row("configuration version in effect", version);
  row("requests done", requests.done);
  row("requests not run", requests.not_run);
  row("requests unknown", requests.unknown);
  row("requests cut off", requests.cut_off);
  row("answers of another request", requests.wrong);
  row("p50 latency, ms", milliseconds(0.5));
  row("p99 latency, ms", milliseconds(0.99));
  row("tasks accepted", result.submitted.accepted.size());
  row("tasks refused as not run", result.submitted.not_run);
  row("tasks unknown", result.submitted.unknown + tasks("unknown"));
  row("tasks done", tasks("succeeded"));
  row("tasks failed", tasks("failed"));
  row("tasks still open", tasks("open"));
  row("task attempts on workers", workers.task_runs);
  row("evictions", workers.evictions);
  row("most requests at once on a worker", workers.most_at_once);
}

void PrintHints(const ip_address& callers,
                const ip_address& operators,
                std::ostream& out) {
  const std::string to_callers = "http://" + Format(callers);
  const std::string to_operators = "http://" + Format(operators);
  out << "Try:\n  curl -i -d 'kit 7' " << to_callers
      << "/v1/services/label-and-slip\n  curl -i -d '{\"kind\": "
         "\"colour-match\"}' "
      << to_callers << "/v1/tasks\n  curl -H 'Authorization: Bearer "
      << kLoopbackToken << "' " << to_operators
      << "/v1/status\n  SKYLARKBRIDGE_TOKEN=" << kLoopbackToken
      << " build/src/skylarkbridge/skylarkbridge status --operator_address "
      << Format(operators) << "\nStop with Ctrl-C." << std::endl;
}

}  // namespace

int RunDemo(const demo_options& options, std::ostream& out) {
  BlockTerminationSignals();
  standin::fleet workers({.workers = options.workers,
                          .worker = {.service_time = options.service_time}});
  out << "stand-ins: " << options.workers << " workers; log and VM list at "
      << Format(workers.PlatformAddress()) << "\n";
  running_daemon entry_vm(LoopbackOptions(workers.PlatformAddress()));
  workers.ListEntryVms({entry_vm.Describe()});
  if (!entry_vm.Publish(DemoConfiguration())) {
    out << "the configuration was not put into effect\n";
    return 1;
  }
  const ip_address callers = entry_vm.CallersAddress();
  out << "entry VM: callers at " << Format(callers) << ", operators at "
      << Format(entry_vm.OperatorsAddress()) << "\n";
  const demo_result result = SendAll(options, callers, out);
  const entry::configuration_answer version =
      entry_vm.Get().Port().Configuration(boot_clock::now() + kTaskTime);
  PrintTable(result, ReadWorkers(workers), version.version, out);
  if (options.keep) {
    PrintHints(callers, entry_vm.OperatorsAddress(), out);
    WaitForTermination();
  }
  const bool stopped = entry_vm.Stop();
  out << (stopped ? "stopped\n" : "stopped with an error\n");
  return stopped && result.requests.wrong == 0 ? 0 : 1;
}

}  // namespace skylarkbridge::daemon
