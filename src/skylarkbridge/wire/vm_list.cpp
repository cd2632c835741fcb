#include "skylarkbridge/wire/vm_list.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/encoding/bounded_parse.hpp"
#include "skylarkbridge/encoding/print_json.hpp"

namespace skylarkbridge::wire {
namespace {

using json = nlohmann::ordered_json;

/// Sums of such amounts over a whole list don't overflow.
constexpr std::int64_t kMaxAmount = 1'000'000'000'000;

std::string_view StatusName(vm_status status) {
  return status == vm_status::kLive ? "live" : "leaving";
}

/// Reads the fields of one object and collects what is wrong with them.
class field_reader {
 public:
  field_reader(const json& object, std::string place, findings& found)
      : object_(object), place_(std::move(place)), found_(found) {}

  std::int64_t Number(const char* key) {
    const auto field = object_.find(key);
    if (field == object_.end() || !field->is_number_unsigned() ||
        !std::in_range<std::int64_t>(field->get<std::uint64_t>())) {
      Fault(key, "is not a non-negative integer");
      return 0;
    }
    return field->get<std::int64_t>();
  }

  std::int64_t Amount(const char* key) {
    const std::int64_t amount = Number(key);
    if (amount > kMaxAmount) {
      Fault(key, "is too large");
      return 0;
    }
    return amount;
  }

  ip_address Address(const char* key) {
    const auto field = object_.find(key);
    if (field == object_.end() || !field->is_string()) {
      Fault(key, "is not an address");
      return {};
    }
    return ParseIpAddress(field->get<std::string>(),
                          absl::StrCat(place_, ".", key), found_)
        .value_or(ip_address{});
  }

  vm_status Status() {
    const auto field = object_.find("status");
    if (field == object_.end() || (*field != "live" && *field != "leaving")) {
      Fault("status", "is neither \"live\" nor \"leaving\"");
      return vm_status::kLive;
    }
    return *field == "live" ? vm_status::kLive : vm_status::kLeaving;
  }

 private:
  void Fault(const char* key, const char* message) {
    found_.Add(absl::StrCat(place_, ".", key), message);
  }

  const json& object_;
  std::string place_;
  findings& found_;
};

worker_vm ReadWorker(const json& object, std::string place, findings& found) {
  field_reader reader(object, std::move(place), found);
  worker_vm worker;
  worker.worker.value = reader.Number("id");
  worker.address = reader.Address("address");
  worker.data_centre.value = reader.Number("data_centre");
  worker.rack.value = reader.Number("rack");
  worker.status = reader.Status();
  worker.slots = reader.Amount("slots");
  worker.connections = reader.Amount("connections");
  worker.capacity = {.millicores = reader.Amount("millicores"),
                     .memory_mib = reader.Amount("memory_mib"),
                     .accelerators = reader.Amount("accelerators")};
  return worker;
}

entry_vm ReadEntryVm(const json& object, std::string place, findings& found) {
  field_reader reader(object, std::move(place), found);
  entry_vm vm;
  vm.vm.value = reader.Number("id");
  vm.address = reader.Address("address");
  vm.data_centre.value = reader.Number("data_centre");
  vm.status = reader.Status();
  return vm;
}

template <class T, class Read>
std::vector<T> ReadArray(const json& object,
                         const char* key,
                         Read read,
                         findings& found) {
  std::vector<T> items;
  const auto array = object.find(key);
  if (array == object.end() || !array->is_array() ||
      array->size() > kMaxListedVms) {
    found.Add(key, absl::StrCat("is not an array of at most ", kMaxListedVms,
                                " VMs"));
    return items;
  }
  items.reserve(array->size());
  for (std::size_t i = 0; i < array->size(); ++i) {
    const std::string place = absl::StrCat(key, "[", i, "]");
    if (!(*array)[i].is_object()) {
      found.Add(place, "is not an object");
      continue;
    }
    items.push_back(read((*array)[i], place, found));
  }
  return items;
}

}  // namespace

std::string PrintVmList(const vm_list& list) {
  json workers = json::array();
  for (const worker_vm& worker : list.workers) {
    workers.push_back({{"id", worker.worker.value},
                       {"address", Format(worker.address)},
                       {"data_centre", worker.data_centre.value},
                       {"rack", worker.rack.value},
                       {"status", StatusName(worker.status)},
                       {"slots", worker.slots},
                       {"connections", worker.connections},
                       {"millicores", worker.capacity.millicores},
                       {"memory_mib", worker.capacity.memory_mib},
                       {"accelerators", worker.capacity.accelerators}});
  }
  json entry_vms = json::array();
  for (const entry_vm& vm : list.entry_vms) {
    entry_vms.push_back({{"id", vm.vm.value},
                         {"address", Format(vm.address)},
                         {"data_centre", vm.data_centre.value},
                         {"status", StatusName(vm.status)}});
  }
  return encoding::PrintJson(
      json{{"workers", workers}, {"entry_vms", entry_vms}});
}

std::optional<vm_list> ParseVmList(std::string_view text, findings& found) {
  const json document = encoding::ParseJsonOrDiscard<json>(text);
  if (!document.is_object()) {
    found.Add("VM list", "is not a JSON object");
    return std::nullopt;
  }
  findings faults;
  vm_list list;
  list.workers = ReadArray<worker_vm>(document, "workers", &ReadWorker, faults);
  list.entry_vms =
      ReadArray<entry_vm>(document, "entry_vms", &ReadEntryVm, faults);
  found.Append(faults);
  if (!faults.Empty()) {
    return std::nullopt;
  }
  return list;
}

}  // namespace skylarkbridge::wire
