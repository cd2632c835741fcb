#ifndef SKYLARKBRIDGE_WIRE_PEER_MESSAGE_HPP
#define SKYLARKBRIDGE_WIRE_PEER_MESSAGE_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/coordination/configuration_version.hpp"
#include "skylarkbridge/coordination/member.hpp"
#include "skylarkbridge/coordination/slot_leases.hpp"

/// @brief Messages between entry VMs.
namespace skylarkbridge::wire {

/// @brief First message of each side of a connection.
struct hello {
  coordination::member_entry sender;
  /// VM that the sender means to reach; another one closes the connection, as
  /// an address may have passed to it.
  entry_vm_id receiver;
  /// Shared by all VMs.
  std::string token;

  bool operator==(const hello&) const = default;
};

struct configuration_offer {
  coordination::version_tag version;

  bool operator==(const configuration_offer&) const = default;
};

struct configuration_fetch {
  coordination::version_tag version;

  bool operator==(const configuration_fetch&) const = default;
};

/// @brief A slice of a configuration's text.
struct configuration_part {
  coordination::version_tag version;
  std::uint64_t valid_until = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 1;
  std::string text;

  bool operator==(const configuration_part&) const = default;
};

/// @brief Asks the owner of a shard for slots; also renews and returns them.
struct slot_request {
  shard_id shard;
  coordination::slot_request request;

  bool operator==(const slot_request&) const = default;
};

/// @brief Answer of the owner. Its lease counts from the time at which the
/// holder sent its request, as the two clocks are not comparable.
struct slot_grant {
  shard_id shard;
  coordination::slot_grant grant;

  bool operator==(const slot_grant&) const = default;
};

struct http_header {
  std::string name;
  std::string value;

  bool operator==(const http_header&) const = default;
};

struct forward_request {
  std::uint64_t number = 0;
  std::string service;
  std::string method;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
  std::optional<std::string> idempotency_key;
  bool idempotent = false;
  /// Time left until the caller's deadline when the message was sent.
  std::chrono::nanoseconds time_left{0};
  /// W3C traceparent, or empty.
  std::string trace_parent;

  bool operator==(const forward_request&) const = default;
};

enum class forward_outcome : std::uint8_t { kDone, kNotRun, kUnknown };

struct forward_answer {
  std::uint64_t number = 0;
  forward_outcome outcome = forward_outcome::kUnknown;
  std::uint16_t status = 0;
  std::vector<http_header> headers;
  std::string body;
  /// Zero when the caller is not asked to wait.
  std::chrono::nanoseconds retry_after{0};

  bool operator==(const forward_answer&) const = default;
};

/// @brief The sender shuts down gracefully; its entry carries the status.
struct leaving {
  coordination::member_entry sender;

  bool operator==(const leaving&) const = default;
};

using peer_message = std::variant<hello,
                                  coordination::heartbeat,
                                  coordination::member_update,
                                  configuration_offer,
                                  configuration_fetch,
                                  configuration_part,
                                  slot_request,
                                  slot_grant,
                                  forward_request,
                                  forward_answer,
                                  leaving>;

}  // namespace skylarkbridge::wire

#endif  // SKYLARKBRIDGE_WIRE_PEER_MESSAGE_HPP
