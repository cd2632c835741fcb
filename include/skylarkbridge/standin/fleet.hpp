#ifndef SKYLARKBRIDGE_STANDIN_FLEET_HPP
#define SKYLARKBRIDGE_STANDIN_FLEET_HPP

#include <cstddef>
#include <memory>
#include <vector>

#include "skylarkbridge/base/posix_thread.hpp"
#include "skylarkbridge/base/stop_signal.hpp"
#include "skylarkbridge/standin/platform.hpp"
#include "skylarkbridge/standin/worker.hpp"
#include "skylarkbridge/supervisor/supervisor.hpp"

namespace skylarkbridge::standin {

struct fleet_options {
  /// Where the log and the VM list are served; port 0 takes any free one.
  ip_address platform{"127.0.0.1", 0};
  std::size_t workers = 4;
  std::size_t workers_per_rack = 2;
  /// Applied to each worker; its ids are set by the fleet.
  worker_options worker;
};

/// @brief The platform and its workers on loopback, run by a supervisor of
/// their own until the object ends.
class fleet {
 public:
  explicit fleet(const fleet_options& options);
  fleet(const fleet&) = delete;
  fleet& operator=(const fleet&) = delete;
  ~fleet();

  ip_address PlatformAddress() const { return platform_address_; }
  platform& Platform() { return platform_; }
  worker& Worker(std::size_t index) { return *workers_[index]; }
  std::size_t Size() const { return workers_.size(); }
  /// @brief VM list of all workers, live.
  wire::vm_list Describe();
  /// @brief Puts these entry VMs into the VM list, besides all workers.
  void ListEntryVms(std::vector<wire::entry_vm> entry_vms);

 private:
  platform platform_;
  std::vector<std::unique_ptr<worker>> workers_;
  supervisor::supervisor tree_;
  stop_signal stop_;
  posix_thread thread_;
  ip_address platform_address_;
};

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_FLEET_HPP
