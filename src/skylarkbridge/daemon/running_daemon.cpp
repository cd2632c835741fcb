#include "skylarkbridge/daemon/running_daemon.hpp"

#include <chrono>
#include <utility>

#include "skylarkbridge/declaration/json.hpp"

namespace skylarkbridge::daemon {
namespace {

constexpr std::chrono::seconds kStartTime{20};
constexpr std::chrono::seconds kDrainTime{10};

}  // namespace

daemon_options LoopbackOptions(const ip_address& platform, entry_vm_id vm) {
  return {.callers = {.address = {"127.0.0.1", 0}},
          .token = kLoopbackToken,
          .vm_list = {.address = platform},
          .router = {.log = {.address = platform}},
          .control = {.vm = vm}};
}

running_daemon::running_daemon(daemon_options options)
    : vm_(options.control.vm),
      data_centre_(options.control.data_centre),
      daemon_(std::move(options)),
      thread_(posix_thread::Start("daemon", [this] {
                ended_well_ = static_cast<bool>(daemon_.Run(stop_));
              }).value()) {}

running_daemon::~running_daemon() {
  Stop();
}

ip_address running_daemon::CallersAddress() {
  return {"127.0.0.1", daemon_.CallersPort(boot_clock::now() + kStartTime)};
}

ip_address running_daemon::OperatorsAddress() {
  return {"127.0.0.1", daemon_.OperatorsPort(boot_clock::now() + kStartTime)};
}

wire::entry_vm running_daemon::Describe() const {
  return {.vm = vm_,
          .address = daemon_.PeersAddress(boot_clock::now() + kStartTime)
                         .value_or(ip_address{"127.0.0.1", 0}),
          .data_centre = data_centre_};
}

bool running_daemon::Publish(const declaration::configuration& configuration,
                             coordination::version_number base) {
  const time_point deadline = boot_clock::now() + kStartTime;
  const entry::publish_answer answer = daemon_.Port().Publish(
      base, declaration::PrintJson(configuration), deadline);
  return answer.outcome == entry::publish_answer::result::kAccepted &&
         daemon_.Port().WaitUntilReady(deadline);
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
