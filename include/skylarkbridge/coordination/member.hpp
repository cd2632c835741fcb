#ifndef SKYLARKBRIDGE_COORDINATION_MEMBER_HPP
#define SKYLARKBRIDGE_COORDINATION_MEMBER_HPP

#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/ip_address.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/configuration_version.hpp"

/// @brief Members, the messages between them, and news about them.
namespace skylarkbridge::coordination {

/// @brief Later values win over earlier ones at the same sequence.
enum class member_status : std::uint8_t {
  kAlive,
  /// Silent, and not yet declared dead.
  kSuspected,
  /// Finishes what it has and takes nothing new.
  kLeaving,
  kDead,
  kLeft,
};

/// @brief For example "alive".
constexpr std::string_view Name(member_status status) {
  switch (status) {
    case member_status::kAlive:
      return "alive";
    case member_status::kSuspected:
      return "suspected";
    case member_status::kLeaving:
      return "leaving";
    case member_status::kDead:
      return "dead";
    case member_status::kLeft:
      return "left";
  }
  return "";
}

/// @brief One process on a VM. Incarnations are random, so the start time
/// orders them.
struct member_life {
  wall_time started_at;
  incarnation_id incarnation;

  // clang-tidy 14 takes the 0 in rewritten comparisons for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const member_life&) const = default;
};

/// @brief What is known of one entry VM.
struct member_entry {
  entry_vm_id vm;
  data_centre_id data_centre;
  ip_address address;
  member_life life;
  /// Raised by the member itself to refute news about it, or with a status
  /// that it announces.
  std::uint64_t sequence = 0;
  member_status status = member_status::kAlive;

  bool operator==(const member_entry&) const = default;
};

/// @brief True when @p news replaces @p known.
inline bool Supersedes(const member_entry& news, const member_entry& known) {
  if (news.life != known.life) {
    return news.life > known.life;
  }
  if (news.sequence != known.sequence) {
    return news.sequence > known.sequence;
  }
  return news.status > known.status;
}

enum class upstream_status : std::uint8_t { kLive, kLeaving, kGone };

/// @brief What is known of one worker; the latest observation wins.
struct upstream_entry {
  worker_id worker;
  upstream_status status = upstream_status::kLive;
  wall_time noted_at;

  bool operator==(const upstream_entry&) const = default;
};

/// @brief Sent regularly to every member of the data centre and to contacts in
/// others.
struct heartbeat {
  member_entry sender;
  version_tag configuration;
  /// Digest of the sender's members; a difference starts an exchange.
  std::uint64_t table_digest = 0;

  bool operator==(const heartbeat&) const = default;
};

/// @brief News, or a page of a member's table.
struct member_update {
  std::vector<member_entry> members;
  std::vector<upstream_entry> upstreams;

  bool operator==(const member_update&) const = default;
};

/// @brief An entry of the platform's lagging VM list.
struct listed_vm {
  entry_vm_id vm;
  data_centre_id data_centre;
  ip_address address;
  bool leaving = false;
};

struct send_heartbeat {
  entry_vm_id to;
  ip_address address;
  heartbeat message;
};

struct send_update {
  entry_vm_id to;
  ip_address address;
  member_update message;
};

/// @brief The status, life or address of a member changed.
struct member_news {
  member_entry member;
};

struct upstream_news {
  upstream_entry upstream;
};

/// @brief Another process heartbeats with the id of this VM.
struct duplicate_vm {
  member_entry other;
};

using membership_command = std::variant<send_heartbeat,
                                        send_update,
                                        member_news,
                                        upstream_news,
                                        duplicate_vm>;
using membership_commands = std::vector<membership_command>;

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_MEMBER_HPP
