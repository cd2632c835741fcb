#ifndef SKYLARKBRIDGE_COORDINATION_CONFIGURATION_EVENTS_HPP
#define SKYLARKBRIDGE_COORDINATION_CONFIGURATION_EVENTS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/findings.hpp"
#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/coordination/log_cursor.hpp"
#include "skylarkbridge/coordination/log_record.hpp"

/// @brief What the fold of the configuration stream reports.
namespace skylarkbridge::coordination {

/// @brief This version is in effect on this VM from now on; offer it to peers.
struct configuration_in_effect {
  version_tag version;

  bool operator==(const configuration_in_effect&) const = default;
};

struct publish_accepted {
  record_id record;
  version_tag version;

  bool operator==(const publish_accepted&) const = default;
};

/// @brief Another record on the same base came first in the log.
struct publish_conflict {
  record_id record;
  version_number base = 0;
  /// Record that won on this base; nothing when it is no longer remembered.
  std::optional<record_id> winner;
  version_tag latest;
  /// What changed from the base to the latest version, one line per change.
  std::vector<std::string> changes;

  bool operator==(const publish_conflict&) const = default;
};

struct publish_invalid {
  record_id record;
  std::vector<finding> faults;

  bool operator==(const publish_invalid&) const = default;
};

/// @brief Two texts carry the same version number. The one in effect stays
/// until a higher number comes.
struct configuration_diverged {
  version_tag here;
  version_tag there;

  bool operator==(const configuration_diverged&) const = default;
};

/// @brief A version from a peer was not taken.
struct peer_version_refused {
  version_tag version;
  std::vector<finding> faults;

  bool operator==(const peer_version_refused&) const = default;
};

/// @brief Ask the peer for the text of this version.
struct fetch_configuration {
  entry_vm_id peer;
  version_tag version;

  bool operator==(const fetch_configuration&) const = default;
};

/// @brief The fold starts again from a snapshot; read the stream from
/// @p offset on.
struct configuration_replaced {
  log_offset offset = 0;

  bool operator==(const configuration_replaced&) const = default;
};

using configuration_event = std::variant<configuration_in_effect,
                                         publish_accepted,
                                         publish_conflict,
                                         publish_invalid,
                                         configuration_diverged,
                                         peer_version_refused,
                                         fetch_configuration,
                                         configuration_replaced,
                                         snapshot_seen>;
using configuration_event_list = std::vector<configuration_event>;

enum class configuration_state {
  /// Neither the log nor a peer has told yet; traffic is refused.
  kUnknown,
  /// The log was read to its end and holds no configuration.
  kNonePublished,
  kInEffect,
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_CONFIGURATION_EVENTS_HPP
