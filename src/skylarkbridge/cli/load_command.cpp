#include <gflags/gflags.h>

#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "skylarkbridge/cli/commands.hpp"
#include "skylarkbridge/cli/flags.hpp"
#include "skylarkbridge/standin/callers.hpp"
#include "skylarkbridge/standin/submitter.hpp"

DECLARE_uint64(callers);
DECLARE_int64(requests);
DEFINE_string(entry,
              "127.0.0.1:8080",
              "callers' addresses of entry VMs, separated by commas");
DEFINE_string(service, "label-and-slip", "service that the requests go to");
DEFINE_string(kind, "", "batch kind of the tasks; empty submits none");
DEFINE_int64(submit, 100, "number of batch tasks");
DEFINE_string(wait, "60s", "longest time to wait for the tasks");

namespace skylarkbridge::cli {
namespace {

std::vector<ip_address> ReadEntries(findings& found) {
  std::vector<ip_address> entries;
  const std::vector<std::string> items = absl::StrSplit(FLAGS_entry, ',');
  for (std::size_t i = 0; i < items.size(); ++i) {
    const auto entry =
        ParseIpAddress(items[i], absl::StrCat("flag --entry[", i, "]"), found);
    if (entry) {
      entries.push_back(*entry);
    }
  }
  return entries;
}

double Milliseconds(boot_clock::duration time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

nlohmann::ordered_json SendTasks(const ip_address& entry,
                                 std::chrono::milliseconds wait) {
  const standin::submit_tally tally =
      standin::SubmitTasks(entry, FLAGS_kind, FLAGS_submit);
  return {{"accepted", tally.accepted.size()},
          {"not_run", tally.not_run},
          {"unknown", tally.unknown},
          {"ended", standin::AwaitTasks(entry, tally.accepted,
                                        boot_clock::now() + wait)}};
}

}  // namespace

int RunLoad(command_context& context) {
  findings found;
  const std::vector<ip_address> entries = ReadEntries(found);
  const auto wait = ParseDuration(FLAGS_wait, "flag --wait", found);
  if (!found.Empty()) {
    context.errors << Format(found);
    return kExitUsage;
  }
  const standin::caller_tally requests = standin::SendRequests(
      {.entries = entries,
       .path = absl::StrCat("/v1/services/", FLAGS_service),
       .callers = FLAGS_callers,
       .requests = FLAGS_requests});
  nlohmann::ordered_json report = {
      {"requests",
       {{"done", requests.done},
        {"not_run", requests.not_run},
        {"unknown", requests.unknown},
        {"cut_off", requests.cut_off},
        {"wrong", requests.wrong},
        {"p50_ms", Milliseconds(Quantile(requests, 0.5))},
        {"p99_ms", Milliseconds(Quantile(requests, 0.99))}}}};
  if (!FLAGS_kind.empty()) {
    report["tasks"] = SendTasks(entries.front(), wait);
  }
  context.out << report.dump(2) << std::endl;
  return requests.wrong == 0 && requests.cut_off == 0 ? kExitDone
                                                      : kExitRefused;
}

}  // namespace skylarkbridge::cli
