#include "skylarkbridge/standin/platform.hpp"

#include <httplib.h>

#include <utility>

namespace skylarkbridge::standin {
namespace {

constexpr char kLoopback[] = "127.0.0.1";

}  // namespace

platform::platform()
    : listener_({.address = {kLoopback, 0},
                 .threads = 64,
                 .lame_duck = std::chrono::milliseconds(0)},
                [this](httplib::Server& server) { Install(server); }) {}

ip_address platform::Address(time_point deadline) {
  return {kLoopback, listener_.WaitForPort(deadline)};
}

void platform::SetVmList(wire::vm_list list) {
  absl::MutexLock lock(&mutex_);
  list_ = std::move(list);
}

void platform::Install(httplib::Server& server) {
  server.Get(
      "/v1/vms", [this](const httplib::Request&, httplib::Response& response) {
        absl::MutexLock lock(&mutex_);
        response.set_content(wire::PrintVmList(list_), "application/json");
      });
}

}  // namespace skylarkbridge::standin
