#ifndef SKYLARKBRIDGE_GATEWAY_VM_LIST_POLLER_HPP
#define SKYLARKBRIDGE_GATEWAY_VM_LIST_POLLER_HPP

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <chrono>
#include <concepts>
#include <utility>

#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/gateway/events.hpp"
#include "skylarkbridge/gateway/http_call.hpp"
#include "skylarkbridge/wire/vm_list.hpp"

namespace skylarkbridge::gateway {

struct vm_list_poller_options {
  ip_address address;
  std::chrono::milliseconds interval = std::chrono::seconds(1);
  std::chrono::milliseconds timeout = std::chrono::seconds(2);
};

/// @brief Reads the platform's VM list again and again and passes it on.
///
/// A failed read is logged and tried again; the last list stays in use.
template <std::invocable<wire::vm_list> Receiver>
class vm_list_poller {
 public:
  vm_list_poller(vm_list_poller_options options, Receiver receiver)
      : options_(std::move(options)), receiver_(std::move(receiver)) {}

  /// @brief Polls until @p stop is requested; the body of a supervisor child.
  boost::leaf::result<void> Run(stop_signal& stop) {
    http_call call(options_.address);
    time_point next = boot_clock::now();
    while (!stop.WaitUntil(next)) {
      Poll(call);
      next = boot_clock::now() + options_.interval;
    }
    return {};
  }

 private:
  void Poll(http_call& call) {
    boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<void> {
          BOOST_LEAF_AUTO(
              body, call.Get("/v1/vms", boot_clock::now() + options_.timeout));
          findings found;
          auto list = wire::ParseVmList(body, found);
          if (!list) {
            return boost::leaf::new_error(failure{"VM list", Format(found)});
          }
          receiver_(std::move(*list));
          return {};
        },
        [](const call_failure& error) {
          LogEvent(kVmListUnavailable,
                   {{"place", error.place}, {"error", error.message}});
        },
        [](const failure& error) {
          LogEvent(kVmListUnavailable,
                   {{"place", error.place}, {"error", error.message}});
        },
        [] {
          LogEvent(kVmListUnavailable, {{"error", "unknown"}});
        });
  }

  const vm_list_poller_options options_;
  Receiver receiver_;
};

}  // namespace skylarkbridge::gateway

#endif  // SKYLARKBRIDGE_GATEWAY_VM_LIST_POLLER_HPP
