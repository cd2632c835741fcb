#include <gflags/gflags.h>

#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "skylarkbridge/base/termination.hpp"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/cli/flags.hpp"
#include "skylarkbridge/standin/fleet.hpp"

DECLARE_uint64(workers);
DECLARE_string(service_time);
DEFINE_string(platform_address,
              "127.0.0.1:9000",
              "where the stand-in serves the log and the VM list");
DEFINE_string(entry_vms,
              "",
              "entry VMs for the VM list as ID=PEERS_ADDRESS, separated by "
              "commas, for example 1=127.0.0.1:8082");

namespace skylarkbridge::cli {
namespace {

std::vector<wire::entry_vm> ReadEntryVms(findings& found) {
  std::vector<wire::entry_vm> vms;
  const std::vector<std::string> items =
      absl::StrSplit(FLAGS_entry_vms, ',', absl::SkipEmpty());
  for (std::size_t i = 0; i < items.size(); ++i) {
    const std::string place = absl::StrCat("flag --entry_vms[", i, "]");
    const std::vector<std::string> parts = absl::StrSplit(items[i], '=');
    wire::entry_vm vm{.data_centre = {1}};
    if (parts.size() != 2 || !absl::SimpleAtoi(parts[0], &vm.vm.value)) {
      found.Add(place, absl::StrCat("\"", items[i], "\" is not ID=ADDRESS"));
      continue;
    }
    vm.address = ParseIpAddress(parts[1], place, found).value_or(vm.address);
    vms.push_back(vm);
  }
  return vms;
}

}  // namespace

int RunStandin(command_context& context) {
  findings found;
  const auto address =
      ParseIpAddress(FLAGS_platform_address, "flag --platform_address", found);
  const std::vector<wire::entry_vm> entry_vms = ReadEntryVms(found);
  const auto service_time =
      ParseDuration(FLAGS_service_time, "flag --service_time", found);
  if (FLAGS_workers < 1 || FLAGS_workers > 100) {
    found.Add("flag --workers", "is not between 1 and 100");
  }
  if (!found.Empty()) {
    context.errors << Format(found);
    return kExitUsage;
  }
  BlockTerminationSignals();
  standin::fleet fleet({.platform = *address,
                        .workers = FLAGS_workers,
                        .worker = {.service_time = service_time}});
  fleet.ListEntryVms(entry_vms);
  context.out << "log and VM list at " << Format(fleet.PlatformAddress())
              << ", " << fleet.Size() << " workers" << std::endl;
  WaitForTermination();
  return kExitDone;
}

}  // namespace skylarkbridge::cli
