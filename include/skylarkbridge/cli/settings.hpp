#ifndef SKYLARKBRIDGE_CLI_SETTINGS_HPP
#define SKYLARKBRIDGE_CLI_SETTINGS_HPP

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/cli/subcommand.hpp"

namespace skylarkbridge::cli {

/// Holds the operators' token; it is never a flag, as command lines are shown
/// by process lists.
inline constexpr std::string_view kTokenVariable = "SKYLARKBRIDGE_TOKEN";
/// Shorter tokens can be guessed.
inline constexpr std::size_t kMinTokenLength = 16;

inline constexpr std::size_t kMaxThreads = 4096;
inline constexpr std::size_t kMaxBuffer = 1'000'000;
/// 23 data centres with 8 entry VMs make 184.
inline constexpr std::size_t kMaxPeers = 1000;
/// The fleet of the target size.
inline constexpr std::size_t kMaxWorkers = 8000;
inline constexpr std::chrono::milliseconds kMaxDrainTime =
    std::chrono::minutes(10);

/// @brief Settings of a daemon.
struct daemon_settings {
  ip_address callers_address{"127.0.0.1", 8080};
  ip_address operators_address{"127.0.0.1", 8081};
  ip_address peers_address{"127.0.0.1", 8082};

  entry_vm_id entry_vm;
  data_centre_id data_centre;
  region_id region;

  /// Where other entry VMs listen for peers.
  std::vector<ip_address> peer_addresses;
  /// Workers known before the VM list answers.
  std::vector<ip_address> worker_addresses;
  /// Nothing when the daemon runs without a log.
  std::optional<ip_address> log_address;
  /// Nothing when the daemon knows only `worker_addresses`.
  std::optional<ip_address> vm_list_address;

  /// Each open connection of a caller holds one thread.
  std::size_t caller_threads = 128;
  std::size_t operator_threads = 8;

  /// Most messages that wait for the control thread.
  std::size_t control_mailbox = 10'000;
  /// Most records that wait while the log is down.
  std::size_t log_buffer = 10'000;
  /// Most finished spans that wait for export.
  std::size_t span_buffer = 4096;

  /// Time from SIGTERM until requests in progress are given up.
  std::chrono::milliseconds drain_time = std::chrono::seconds(30);
  /// File to which spans are appended; empty for none.
  std::string trace_file;
  /// From kTokenVariable.
  std::string operator_token;

  bool operator==(const daemon_settings&) const = default;
};

/// @brief Names of the flags that ReadDaemonSettings reads.
std::vector<std::string_view> DaemonFlags();

/// @brief Reads the settings from the flags and the token from @p variables,
/// and checks them. Adds every fault to @p found with its place, for example
/// "flag --peer_address[2]", and returns nothing when there was one.
std::optional<daemon_settings> ReadDaemonSettings(const environment& variables,
                                                  findings& found);

/// @brief Faults of the values that reading them one by one does not show:
/// ranges, addresses that are used twice, the token.
findings Check(const daemon_settings& settings);

}  // namespace skylarkbridge::cli

#endif  // SKYLARKBRIDGE_CLI_SETTINGS_HPP
