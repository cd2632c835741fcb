#include "peer_check.hpp"

#include <utility>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge::wire {
namespace {

using coordination::heartbeat;
using coordination::member_entry;
using coordination::member_status;
using coordination::member_update;
using coordination::upstream_status;

/// Keeps the first fault that it finds.
class peer_checker {
 public:
  explicit peer_checker(const peer_limits& limits) : limits_(limits) {}

  std::optional<decode_error> Fault() && { return std::move(fault_); }

  void operator()(const hello& m) {
    Member("hello.sender", m.sender);
    Text("hello.token", m.token);
  }
  void operator()(const heartbeat& m) { Member("heartbeat.sender", m.sender); }
  void operator()(const member_update& m) {
    Count("member_update.members", m.members.size(), limits_.entries);
    Count("member_update.upstreams", m.upstreams.size(), limits_.entries);
    for (std::size_t i = 0; i < m.members.size(); ++i) {
      Member(absl::StrCat("member_update.members[", i, "]"), m.members[i]);
    }
    for (std::size_t i = 0; i < m.upstreams.size(); ++i) {
      Enum(absl::StrCat("member_update.upstreams[", i, "].status"),
           m.upstreams[i].status, upstream_status::kGone);
    }
  }
  void operator()(const configuration_offer& /*m*/) {}
  void operator()(const configuration_fetch& /*m*/) {}
  void operator()(const configuration_part& m) {
    Count("configuration_part.parts", m.parts, limits_.parts);
    if (m.part >= m.parts) {
      Add(decode_fault::kOutOfRange, "configuration_part.part",
          absl::StrCat(m.part, " is not below ", m.parts));
    }
  }
  void operator()(const slot_request& m) {
    Count("slot_request.held", m.request.held.size(), limits_.entries);
  }
  void operator()(const slot_grant& m) {
    Count("slot_grant.lent", m.grant.lent.size(), limits_.entries);
    Duration("slot_grant.duration", m.grant.duration);
  }
  void operator()(const forward_request& m) {
    Text("forward_request.service", m.service);
    Text("forward_request.method", m.method);
    Text("forward_request.path", m.path);
    Text("forward_request.trace_parent", m.trace_parent);
    Text("forward_request.idempotency_key", m.idempotency_key.value_or(""));
    Headers("forward_request.headers", m.headers);
    Duration("forward_request.time_left", m.time_left);
  }
  void operator()(const forward_answer& m) {
    Enum("forward_answer.outcome", m.outcome, forward_outcome::kUnknown);
    if (m.status > 999) {
      Add(decode_fault::kOutOfRange, "forward_answer.status",
          absl::StrCat(m.status, " is above 999"));
    }
    Headers("forward_answer.headers", m.headers);
    Duration("forward_answer.retry_after", m.retry_after);
  }
  void operator()(const leaving& m) { Member("leaving.sender", m.sender); }

 private:
  void Add(decode_fault fault, std::string_view place, std::string message) {
    if (!fault_) {
      fault_ = decode_error{fault, std::string(place), std::move(message)};
    }
  }
  template <class E>
  void Enum(std::string_view place, E value, E last) {
    if (value > last) {
      Add(decode_fault::kOutOfRange, place,
          absl::StrCat(static_cast<unsigned>(value), " is not a known value"));
    }
  }
  void Member(std::string_view place, const member_entry& member) {
    Enum(absl::StrCat(ToAbsl(place), ".status"), member.status,
         member_status::kLeft);
  }
  void Count(std::string_view place, std::size_t count, std::size_t limit) {
    if (count > limit) {
      Add(decode_fault::kTooLarge, place,
          absl::StrCat(count, " entries are above ", limit));
    }
  }
  void Text(std::string_view place, std::string_view text) {
    if (text.size() > limits_.text) {
      Add(decode_fault::kTooLarge, place,
          absl::StrCat(text.size(), " bytes are above ", limits_.text));
    }
  }
  void Headers(std::string_view place,
               const std::vector<http_header>& headers) {
    Count(place, headers.size(), limits_.headers);
    for (std::size_t i = 0; i < headers.size(); ++i) {
      const std::string entry = absl::StrCat(ToAbsl(place), "[", i, "]");
      Text(entry + ".name", headers[i].name);
      Text(entry + ".value", headers[i].value);
    }
  }
  void Duration(std::string_view place, std::chrono::nanoseconds duration) {
    if (duration < std::chrono::nanoseconds(0) || duration > limits_.duration) {
      Add(decode_fault::kOutOfRange, place,
          absl::StrCat(duration.count(), " ns is not between 0 and ",
                       limits_.duration.count()));
    }
  }

  const peer_limits& limits_;
  std::optional<decode_error> fault_;
};

}  // namespace

std::optional<decode_error> CheckPeerMessage(const peer_message& message,
                                             const peer_limits& limits) {
  peer_checker checker(limits);
  std::visit([&checker](const auto& m) { checker(m); }, message);
  return std::move(checker).Fault();
}

}  // namespace skylarkbridge::wire
