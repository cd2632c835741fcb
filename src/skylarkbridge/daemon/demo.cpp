#include "skylarkbridge/daemon/demo.hpp"

#include <httplib.h>

#include <algorithm>
#include <atomic>
#include <iomanip>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "absl/cleanup/cleanup.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/daemon/daemon.hpp"
#include "skylarkbridge/standin/platform.hpp"
#include "skylarkbridge/standin/worker.hpp"

namespace skylarkbridge::daemon {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kStartTime{10};
constexpr std::chrono::seconds kDrainTime{10};

std::shared_ptr<const declaration::configuration> DemoConfiguration() {
  declaration::configuration declared;
  declared.teams = {{.name = "despacho"}};
  declared.services = {{.name = "label-and-slip",
                        .team = "despacho",
                        .default_deadline = std::chrono::seconds(2),
                        .idempotent = true}};
  return std::make_shared<const declaration::configuration>(
      std::move(declared));
}

/// The stand-ins, as children of one supervisor.
class demo_platform {
 public:
  explicit demo_platform(const demo_options& options) : tree_("standins", {}) {
    tree_.Add({.name = "platform", .run = [this](stop_signal& stop) {
                 return platform_.Run(stop);
               }});
    for (std::size_t i = 0; i < options.workers; ++i) {
      workers_.push_back(std::make_unique<standin::worker>(
          standin::worker_options{.worker = worker_id{i + 1},
                                  .data_centre = data_centre_id{1},
                                  .rack = rack_id{i / 2 + 1},
                                  .service_time = options.service_time}));
      standin::worker* one = workers_.back().get();
      tree_.Add({.name = absl::StrCat("worker", i + 1),
                 .run = [one](stop_signal& stop) { return one->Run(stop); }});
    }
  }

  boost::leaf::result<void> Run(stop_signal& stop) { return tree_.Run(stop); }

  ip_address Start() {
    const time_point deadline = boot_clock::now() + kStartTime;
    wire::vm_list list;
    for (const auto& one : workers_) {
      list.workers.push_back(one->Describe(deadline));
    }
    platform_.SetVmList(std::move(list));
    return platform_.Address(deadline);
  }

  std::int64_t MostAtOnce() const {
    std::int64_t most = 0;
    for (const auto& one : workers_) {
      most = std::max(most, one->MostAtOnce());
    }
    return most;
  }

 private:
  standin::platform platform_;
  std::vector<std::unique_ptr<standin::worker>> workers_;
  supervisor::supervisor tree_;
};

struct tally {
  std::int64_t done = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t wrong = 0;
  std::vector<boot_clock::duration> latencies;
};

void Add(const tally& part, tally& total) {
  total.done += part.done;
  total.not_run += part.not_run;
  total.unknown += part.unknown;
  total.wrong += part.wrong;
  total.latencies.insert(total.latencies.end(), part.latencies.begin(),
                         part.latencies.end());
}

tally CallMany(const ip_address& entry,
               std::size_t caller,
               std::atomic<std::int64_t>& left) {
  httplib::Client client(entry.host, entry.port);
  client.set_keep_alive(true);
  client.set_tcp_nodelay(true);
  tally seen;
  while (true) {
    const std::int64_t number = left.fetch_sub(1);
    if (number <= 0) {
      return seen;
    }
    const std::string body = absl::StrCat("kit ", number, " of ", caller);
    const time_point start = boot_clock::now();
    const httplib::Result answer =
        client.Post("/v1/services/label-and-slip", body, "text/plain");
    seen.latencies.push_back(boot_clock::now() - start);
    const std::string outcome =
        answer ? answer->get_header_value("Skylarkbridge-Outcome") : "unknown";
    if (outcome == "done") {
      ++seen.done;
      seen.wrong += answer->body == body ? 0 : 1;
    } else if (outcome == "not-run") {
      ++seen.not_run;
    } else {
      ++seen.unknown;
    }
  }
}

tally CallFromAll(const ip_address& entry, const demo_options& options) {
  std::atomic<std::int64_t> left = options.requests;
  std::vector<tally> parts(options.callers);
  {
    std::vector<posix_thread> threads;
    for (std::size_t i = 0; i < options.callers; ++i) {
      threads.push_back(posix_thread::Start("caller", [&, i] {
                          parts[i] = CallMany(entry, i, left);
                        }).value());
    }
  }
  tally total;
  for (const tally& part : parts) {
    Add(part, total);
  }
  std::sort(total.latencies.begin(), total.latencies.end());
  return total;
}

double QuantileMilliseconds(const std::vector<boot_clock::duration>& sorted,
                            double quantile) {
  if (sorted.empty()) {
    return 0;
  }
  const auto index = static_cast<std::size_t>(
      quantile * static_cast<double>(sorted.size() - 1));
  return std::chrono::duration<double, std::milli>(sorted[index]).count();
}

void PrintTable(const tally& total,
                std::int64_t most_at_once,
                std::ostream& out) {
  const auto row = [&](const char* name, const auto& value) {
    out << "  " << std::left << std::setw(34) << name << value << "\n";
  };
  row("requests done", total.done);
  row("requests not run", total.not_run);
  row("requests unknown", total.unknown);
  row("answers of another request", total.wrong);
  row("p50 latency, ms", QuantileMilliseconds(total.latencies, 0.5));
  row("p99 latency, ms", QuantileMilliseconds(total.latencies, 0.99));
  row("most requests at once on a worker", most_at_once);
}

}  // namespace

int RunDemo(const demo_options& options, std::ostream& out) {
  stop_signal stop_platform;
  demo_platform platform(options);
  posix_thread platform_thread =
      posix_thread::Start("standins", [&] {
        static_cast<void>(platform.Run(stop_platform));
      }).value();
  const absl::Cleanup end_platform = [&] {
    stop_platform.Request(boot_clock::now() + kDrainTime);
  };
  const ip_address platform_address = platform.Start();
  out << "stand-ins: " << options.workers << " workers, VM list at "
      << Format(platform_address) << "\n";

  stop_signal stop_daemon;
  daemon entry_vm({.callers = {.address = {"127.0.0.1", 0}},
                   .vm_list = {.address = platform_address,
                               .interval = milliseconds(200)}});
  bool daemon_ok = false;
  posix_thread daemon_thread =
      posix_thread::Start("daemon", [&] {
        daemon_ok = static_cast<bool>(entry_vm.Run(stop_daemon));
      }).value();
  entry_vm.Configure(DemoConfiguration());
  const ip_address entry{"127.0.0.1",
                         entry_vm.CallersPort(boot_clock::now() + kStartTime)};
  out << "entry VM: callers at " << Format(entry) << "\n";
  const tally total = CallFromAll(entry, options);
  PrintTable(total, platform.MostAtOnce(), out);
  stop_daemon.Request(boot_clock::now() + kDrainTime);
  daemon_thread.Join();
  out << (daemon_ok ? "stopped\n" : "stopped with an error\n");
  return daemon_ok && total.wrong == 0 ? 0 : 1;
}

}  // namespace skylarkbridge::daemon
