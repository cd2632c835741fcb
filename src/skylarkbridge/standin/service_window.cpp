#include "skylarkbridge/standin/service_window.hpp"

#include <algorithm>
#include <chrono>

namespace skylarkbridge::standin {

void service_window::Record(const std::string& service,
                            boot_clock::duration latency) {
  absl::MutexLock lock(&mutex_);
  latencies_[service].push_back(latency);
}

std::vector<scheduling::service_latency> service_window::Take() {
  absl::MutexLock lock(&mutex_);
  std::vector<scheduling::service_latency> window;
  for (auto& [service, latencies] : latencies_) {
    std::sort(latencies.begin(), latencies.end());
    const std::size_t index = latencies.size() * 99 / 100;
    window.push_back(
        {.service = service,
         .requests = static_cast<std::int64_t>(latencies.size()),
         .p99 = std::chrono::duration_cast<std::chrono::microseconds>(
             latencies[index])});
  }
  latencies_.clear();
  return window;
}

}  // namespace skylarkbridge::standin
