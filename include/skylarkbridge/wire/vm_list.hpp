#ifndef SKYLARKBRIDGE_WIRE_VM_LIST_HPP
#define SKYLARKBRIDGE_WIRE_VM_LIST_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/resources.hpp"

namespace skylarkbridge::wire {

enum class vm_status { kLive, kLeaving };

/// @brief A worker VM in the platform's list.
struct worker_vm {
  worker_id worker;
  ip_address address;
  data_centre_id data_centre;
  rack_id rack;
  vm_status status = vm_status::kLive;
  std::int64_t slots = 0;
  std::int64_t connections = 0;
  resources capacity;

  bool operator==(const worker_vm&) const = default;
};

/// @brief An entry VM in the platform's list.
struct entry_vm {
  entry_vm_id vm;
  ip_address address;
  data_centre_id data_centre;
  vm_status status = vm_status::kLive;

  bool operator==(const entry_vm&) const = default;
};

/// @brief The platform's lagging list of live and leaving VMs. A VM that is
/// gone is not in the list.
struct vm_list {
  std::vector<worker_vm> workers;
  std::vector<entry_vm> entry_vms;

  bool operator==(const vm_list&) const = default;
};

inline constexpr std::size_t kMaxListedVms = 20'000;

std::string PrintVmList(const vm_list& list);

/// @brief Reads the JSON form. Adds a finding for each fault and returns
/// nothing when there is one.
std::optional<vm_list> ParseVmList(std::string_view text, findings& found);

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_VM_LIST_HPP
