// Compares requests through the daemon with requests straight to a worker, both
// over the same HTTP library in the same run.

#include <glog/logging.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <memory>
#include <vector>

#include "skylarkbridge/daemon/running_daemon.hpp"
#include "skylarkbridge/standin/callers.hpp"
#include "skylarkbridge/standin/fleet.hpp"

namespace skylarkbridge {
namespace {

constexpr int kRounds = 5;
constexpr std::int64_t kRequests = 4000;

declaration::configuration Declared() {
  declaration::configuration declared;
  declared.teams = {{.name = "bench"}};
  declared.services = {{.name = "label-and-slip",
                        .team = "bench",
                        .default_deadline = std::chrono::seconds(10),
                        .idempotent = true}};
  return declared;
}

struct figures {
  std::vector<double> median;
  std::vector<double> p99;
  std::vector<double> rate;

  void Add(const standin::caller_tally& tally) {
    using microseconds = std::chrono::duration<double, std::micro>;
    median.push_back(microseconds(Quantile(tally, 0.5)).count());
    p99.push_back(microseconds(Quantile(tally, 0.99)).count());
    rate.push_back(static_cast<double>(tally.latencies.size()) /
                   std::chrono::duration<double>(tally.elapsed).count());
  }
};

double Middle(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

void Measure(std::chrono::microseconds service_time) {
  standin::fleet workers({.workers = 8,
                          .worker = {.data_centre = data_centre_id{1},
                                     .service_time = service_time}});
  daemon::running_daemon entry_vm(
      daemon::LoopbackOptions(workers.PlatformAddress()));
  entry_vm.Publish(Declared());
  const ip_address callers_address = entry_vm.CallersAddress();
  std::vector<ip_address> direct_addresses;
  for (const wire::worker_vm& worker : workers.Describe().workers) {
    direct_addresses.push_back(worker.address);
  }
  for (const std::size_t callers : {1, 16, 64}) {
    figures direct;
    figures through;
    const std::int64_t requests = callers == 1 ? kRequests / 4 : kRequests;
    for (int round = 0; round < kRounds; ++round) {
      direct.Add(standin::SendRequests({.entries = direct_addresses,
                                        .callers = callers,
                                        .requests = requests}));
      through.Add(standin::SendRequests({.entries = {callers_address},
                                         .callers = callers,
                                         .requests = requests}));
    }
    std::printf(
        "| %lld | %zu | %.0f | %.0f | %.2f | %.0f | %.0f | %.2f | %.0f | %.0f "
        "| %.2f |\n",
        static_cast<long long>(service_time.count()), callers,
        Middle(direct.median), Middle(through.median),
        Middle(through.median) / Middle(direct.median), Middle(direct.p99),
        Middle(through.p99), Middle(through.p99) / Middle(direct.p99),
        Middle(direct.rate), Middle(through.rate),
        Middle(through.rate) / Middle(direct.rate));
  }
}

}  // namespace
}  // namespace skylarkbridge

int main() {
  google::InitGoogleLogging("entry_bench");
  std::printf(
      "| service time, us | callers | direct p50, us | entry p50, us | ratio | "
      "direct p99, us | entry p99, us | ratio | direct/s | entry/s | ratio |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const std::chrono::microseconds service_time :
       {std::chrono::microseconds(0), std::chrono::microseconds(2000)}) {
    skylarkbridge::Measure(service_time);
  }
  return 0;
}
