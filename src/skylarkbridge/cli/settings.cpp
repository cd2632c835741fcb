#include "skylarkbridge/cli/settings.hpp"

#include <gflags/gflags.h>

#include <set>
#include <string>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/cli/flags.hpp"

DEFINE_string(callers_address,
              "127.0.0.1:8080",
              "where callers are served; port 0 takes any free port");
DEFINE_string(operators_address,
              "127.0.0.1:8081",
              "where operators are served");
DEFINE_string(peers_address,
              "127.0.0.1:8082",
              "where other entry VMs are served");
DEFINE_uint64(entry_vm, 0, "id of this entry VM, from 1");
DEFINE_uint64(data_centre, 0, "id of the data centre of this VM, from 1");
DEFINE_uint64(region, 0, "id of the region of this VM, from 1");
DEFINE_string(peer_address,
              "",
              "addresses of the other entry VMs, separated by commas");
DEFINE_string(worker_address,
              "",
              "addresses of workers known before the VM list answers, "
              "separated by commas");
DEFINE_string(log_address, "", "address of the platform's log service");
DEFINE_string(vm_list_address, "", "address of the platform's VM list");
DEFINE_uint64(caller_threads,
              128,
              "most callers' connections at a time; each holds one thread");
DEFINE_uint64(operator_threads,
              8,
              "most operators' connections at a time; each holds one thread");
DEFINE_uint64(control_mailbox,
              10'000,
              "most messages that wait for the control thread");
DEFINE_uint64(log_buffer,
              10'000,
              "most records that wait while the log is down");
DEFINE_uint64(span_buffer, 4096, "most finished spans that wait for export");
DEFINE_string(drain_time,
              "30s",
              "time from SIGTERM until requests in progress are given up");
DEFINE_string(trace_file,
              "",
              "file to which spans are appended as OTLP/JSON; empty for none");

namespace skylarkbridge::cli {
namespace {

std::string Place(std::string_view flag) {
  return absl::StrCat("flag --", ToAbsl(flag));
}

class settings_reader {
 public:
  explicit settings_reader(findings& found) : found_(found) {}

  ip_address Address(std::string_view flag, const std::string& text) {
    return ParseIpAddress(text, Place(flag), found_).value_or(ip_address{});
  }

  std::optional<ip_address> OptionalAddress(std::string_view flag,
                                            const std::string& text) {
    return text.empty() ? std::nullopt
                        : ParseIpAddress(text, Place(flag), found_);
  }

  std::vector<ip_address> Addresses(std::string_view flag,
                                    const std::string& text) {
    std::vector<ip_address> out;
    if (text.empty()) {
      return out;
    }
    std::size_t i = 0;
    for (const absl::string_view part : absl::StrSplit(text, ',')) {
      const absl::string_view one = absl::StripAsciiWhitespace(part);
      const auto address =
          ParseIpAddress({one.data(), one.size()},
                         absl::StrCat(Place(flag), "[", i++, "]"), found_);
      if (address) {
        out.push_back(*address);
      }
    }
    return out;
  }

 private:
  findings& found_;
};

class settings_checker {
 public:
  findings Run(const daemon_settings& settings) {
    CheckIds(settings);
    CheckListeners(settings);
    CheckList("peer_address", settings.peer_addresses, kMaxPeers);
    CheckList("worker_address", settings.worker_addresses, kMaxWorkers);
    CheckRange("caller_threads", settings.caller_threads, kMaxThreads);
    CheckRange("operator_threads", settings.operator_threads, kMaxThreads);
    CheckRange("control_mailbox", settings.control_mailbox, kMaxBuffer);
    CheckRange("log_buffer", settings.log_buffer, kMaxBuffer);
    CheckRange("span_buffer", settings.span_buffer, kMaxBuffer);
    if (settings.drain_time > kMaxDrainTime) {
      found_.Add(Place("drain_time"),
                 absl::StrCat(settings.drain_time.count(), " ms is above ",
                              kMaxDrainTime.count(), " ms"));
    }
    CheckToken(settings.operator_token);
    return std::move(found_);
  }

 private:
  void CheckIds(const daemon_settings& settings) {
    CheckId("entry_vm", settings.entry_vm.value);
    CheckId("data_centre", settings.data_centre.value);
    CheckId("region", settings.region.value);
  }

  void CheckId(std::string_view flag, std::uint64_t value) {
    if (value == 0) {
      found_.Add(Place(flag), "is not set");
    }
  }

  void CheckListeners(const daemon_settings& settings) {
    std::set<std::string> used;
    const auto check = [&](std::string_view flag, const ip_address& address) {
      if (address.port != 0 && !used.insert(Format(address)).second) {
        found_.Add(Place(flag),
                   absl::StrCat(Format(address), " is used twice"));
      }
    };
    check("callers_address", settings.callers_address);
    check("operators_address", settings.operators_address);
    check("peers_address", settings.peers_address);
  }

  void CheckList(std::string_view flag,
                 const std::vector<ip_address>& addresses,
                 std::size_t max) {
    if (addresses.size() > max) {
      found_.Add(Place(flag), absl::StrCat(addresses.size(),
                                           " addresses are more than ", max));
    }
    std::set<std::string> seen;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
      const std::string place = absl::StrCat(Place(flag), "[", i, "]");
      if (addresses[i].port == 0) {
        found_.Add(place, "port 0 cannot be reached");
      }
      if (!seen.insert(Format(addresses[i])).second) {
        found_.Add(place,
                   absl::StrCat(Format(addresses[i]), " is listed twice"));
      }
    }
  }

  void CheckRange(std::string_view flag, std::size_t value, std::size_t max) {
    if (value < 1 || value > max) {
      found_.Add(Place(flag),
                 absl::StrCat(value, " is not between 1 and ", max));
    }
  }

  void CheckToken(const std::string& token) {
    const std::string place =
        absl::StrCat("environment ", ToAbsl(kTokenVariable));
    if (token.empty()) {
      found_.Add(place, "is not set");
    } else if (token.size() < kMinTokenLength) {
      found_.Add(place, absl::StrCat("is shorter than ", kMinTokenLength,
                                     " characters"));
    } else if (token.find_first_not_of(
                   "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
                   "0123456789-._~+/=") != std::string::npos) {
      found_.Add(place, "has a character that a bearer token must not have");
    }
  }

  findings found_;
};

}  // namespace

std::vector<std::string_view> DaemonFlags() {
  return {"callers_address", "operators_address", "peers_address",
          "entry_vm",        "data_centre",       "region",
          "peer_address",    "worker_address",    "log_address",
          "vm_list_address", "caller_threads",    "operator_threads",
          "control_mailbox", "log_buffer",        "span_buffer",
          "drain_time",      "trace_file"};
}

std::optional<daemon_settings> ReadDaemonSettings(const environment& variables,
                                                  findings& found) {
  findings faults;
  settings_reader reader(faults);
  daemon_settings out;
  out.callers_address =
      reader.Address("callers_address", FLAGS_callers_address);
  out.operators_address =
      reader.Address("operators_address", FLAGS_operators_address);
  out.peers_address = reader.Address("peers_address", FLAGS_peers_address);
  out.entry_vm = {FLAGS_entry_vm};
  out.data_centre = {FLAGS_data_centre};
  out.region = {FLAGS_region};
  out.peer_addresses = reader.Addresses("peer_address", FLAGS_peer_address);
  out.worker_addresses =
      reader.Addresses("worker_address", FLAGS_worker_address);
  out.log_address = reader.OptionalAddress("log_address", FLAGS_log_address);
  out.vm_list_address =
      reader.OptionalAddress("vm_list_address", FLAGS_vm_list_address);
  out.caller_threads = FLAGS_caller_threads;
  out.operator_threads = FLAGS_operator_threads;
  out.control_mailbox = FLAGS_control_mailbox;
  out.log_buffer = FLAGS_log_buffer;
  out.span_buffer = FLAGS_span_buffer;
  out.drain_time = ParseDuration(FLAGS_drain_time, Place("drain_time"), faults);
  out.trace_file = FLAGS_trace_file;
  if (const auto token = variables.find(std::string(kTokenVariable));
      token != variables.end()) {
    out.operator_token = token->second;
  }
  faults.Append(Check(out));
  found.Append(faults);
  if (!faults.Empty()) {
    return std::nullopt;
  }
  return out;
}

findings Check(const daemon_settings& settings) {
  return settings_checker().Run(settings);
}

}  // namespace skylarkbridge::cli
