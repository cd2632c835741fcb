#include "skylarkbridge/daemon/running_daemon.hpp"

#include <chrono>
#include <utility>

namespace skylarkbridge::daemon {
namespace {

constexpr std::chrono::seconds kStartTime{20};
constexpr std::chrono::seconds kDrainTime{10};

}  // namespace

running_daemon::running_daemon(daemon_options options)
    : daemon_(std::move(options)),
      thread_(posix_thread::Start("daemon", [this] {
                ended_well_ = static_cast<bool>(daemon_.Run(stop_));
              }).value()) {}

running_daemon::~running_daemon() {
  Stop();
}

ip_address running_daemon::CallersAddress() {
  return {"127.0.0.1", daemon_.CallersPort(boot_clock::now() + kStartTime)};
}

void running_daemon::RequestStop() {
  stop_.Request(boot_clock::now() + kDrainTime);
}

bool running_daemon::Stop() {
  RequestStop();
  thread_.Join();
  return ended_well_;
}

}  // namespace skylarkbridge::daemon
