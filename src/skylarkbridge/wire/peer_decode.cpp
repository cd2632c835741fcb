#include <arpa/inet.h>

#include <array>
#include <boost/leaf/error.hpp>

#include "peer_check.hpp"
#include "peer_generated.h"
#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::wire {
namespace {

namespace flat = flatbuffers;

// The deepest message is PeerMessage, ForwardRequest, Header.
constexpr flat::uoffset_t kMaxDepth = 8;
// Headers are the only nested tables, and a frame holds no more of them.
constexpr flat::uoffset_t kMaxTables = 8192;

wall_time ToWallTime(std::int64_t nanoseconds) {
  return wall_time(std::chrono::nanoseconds(nanoseconds));
}

coordination::member_entry ToEntry(const fbs::Member& member) {
  const in_addr address{.s_addr = htonl(member.ipv4())};
  std::array<char, INET_ADDRSTRLEN> host{};
  inet_ntop(AF_INET, &address, host.data(), host.size());
  return {.vm = {member.vm()},
          .data_centre = {member.data_centre()},
          .address = {host.data(), member.port()},
          .life = {ToWallTime(member.started_at_ns()), {member.incarnation()}},
          .sequence = member.sequence(),
          .status = static_cast<coordination::member_status>(member.status())};
}

coordination::version_tag ToTag(const fbs::Version& version) {
  return {version.number(), version.digest()};
}

coordination::ballot ToBallot(const fbs::Ballot& ballot) {
  return {ballot.round(), {ballot.vm()}, {ballot.incarnation()}};
}

std::string ToText(const flat::String* text) {
  return text == nullptr ? std::string() : text->str();
}

coordination::slot_holder_id ToHolder(const fbs::Ballot& holder) {
  return {{holder.vm()}, {holder.incarnation()}};
}

time_point ToTimePoint(std::int64_t nanoseconds) {
  return time_point(std::chrono::nanoseconds(nanoseconds));
}

coordination::worker_slots ToLots(
    const flat::Vector<const fbs::SlotLot*>* lots) {
  coordination::worker_slots decoded;
  for (flat::uoffset_t i = 0; lots != nullptr && i < lots->size(); ++i) {
    const fbs::SlotLot* lot = lots->Get(i);
    decoded[{lot->worker()}] = {lot->slots(), lot->connections()};
  }
  return decoded;
}

std::vector<http_header> ToHeaders(
    const flat::Vector<flat::Offset<fbs::Header>>* headers) {
  std::vector<http_header> decoded;
  for (flat::uoffset_t i = 0; headers != nullptr && i < headers->size(); ++i) {
    const fbs::Header* header = headers->Get(i);
    decoded.push_back({header->name()->str(), header->value()->str()});
  }
  return decoded;
}

coordination::member_update ToUpdate(const fbs::MemberUpdate& m) {
  coordination::member_update update;
  const auto* members = m.members();
  for (flat::uoffset_t i = 0; members != nullptr && i < members->size(); ++i) {
    update.members.push_back(ToEntry(*members->Get(i)));
  }
  const auto* upstreams = m.upstreams();
  for (flat::uoffset_t i = 0; upstreams != nullptr && i < upstreams->size();
       ++i) {
    const fbs::Upstream* upstream = upstreams->Get(i);
    update.upstreams.push_back(
        {{upstream->worker()},
         static_cast<coordination::upstream_status>(upstream->status()),
         ToWallTime(upstream->noted_at_ns())});
  }
  return update;
}

forward_request ToForwardRequest(const fbs::ForwardRequest& m) {
  forward_request request{
      .number = m.number(),
      .service = m.service()->str(),
      .method = m.method()->str(),
      .path = m.path()->str(),
      .headers = ToHeaders(m.headers()),
      .body = m.body()->str(),
      .idempotent = m.idempotent(),
      .time_left = std::chrono::nanoseconds(m.time_left_ns()),
      .trace_parent = ToText(m.trace_parent())};
  if (m.idempotency_key() != nullptr) {
    request.idempotency_key = m.idempotency_key()->str();
  }
  return request;
}

/// Nothing for a type that this version does not know.
std::optional<peer_message> ToMessage(const fbs::PeerMessage& message) {
  switch (message.body_type()) {
    case fbs::Body_Hello: {
      const auto& m = *message.body_as_Hello();
      return hello{ToEntry(*m.sender()), {m.receiver()}, m.token()->str()};
    }
    case fbs::Body_Heartbeat: {
      const auto& m = *message.body_as_Heartbeat();
      return coordination::heartbeat{
          ToEntry(*m.sender()), ToTag(*m.configuration()), m.table_digest()};
    }
    case fbs::Body_MemberUpdate:
      return ToUpdate(*message.body_as_MemberUpdate());
    case fbs::Body_ConfigurationOffer:
      return configuration_offer{
          ToTag(*message.body_as_ConfigurationOffer()->version())};
    case fbs::Body_ConfigurationFetch:
      return configuration_fetch{
          ToTag(*message.body_as_ConfigurationFetch()->version())};
    case fbs::Body_ConfigurationPart: {
      const auto& m = *message.body_as_ConfigurationPart();
      return configuration_part{ToTag(*m.version()), m.valid_until(), m.part(),
                                m.parts(), m.text()->str()};
    }
    case fbs::Body_SlotRequest: {
      const auto& m = *message.body_as_SlotRequest();
      return slot_request{{m.shard()},
                          {.holder = ToHolder(*m.holder()),
                           .sequence = m.sequence(),
                           .sent = ToTimePoint(m.sent_ns()),
                           .lender = ToBallot(*m.lender()),
                           .held = ToLots(m.held()),
                           .wanted = m.wanted()}};
    }
    case fbs::Body_SlotGrant: {
      const auto& m = *message.body_as_SlotGrant();
      return slot_grant{{m.shard()},
                        {.holder = ToHolder(*m.holder()),
                         .lender = ToBallot(*m.lender()),
                         .sequence = m.sequence(),
                         .sent = ToTimePoint(m.sent_ns()),
                         .duration = std::chrono::nanoseconds(m.duration_ns()),
                         .lent = ToLots(m.lent()),
                         .keep = m.keep()}};
    }
    case fbs::Body_ForwardRequest:
      return ToForwardRequest(*message.body_as_ForwardRequest());
    case fbs::Body_ForwardAnswer: {
      const auto& m = *message.body_as_ForwardAnswer();
      return forward_answer{
          m.number(),      static_cast<forward_outcome>(m.outcome()),
          m.status(),      ToHeaders(m.headers()),
          m.body()->str(), std::chrono::nanoseconds(m.retry_after_ns())};
    }
    case fbs::Body_Leaving:
      return leaving{ToEntry(*message.body_as_Leaving()->sender())};
    case fbs::Body_NONE:
      break;
  }
  return std::nullopt;
}

}  // namespace

boost::leaf::result<peer_message> DecodePeerMessage(std::string_view body,
                                                    const peer_limits& limits) {
  // The copy is aligned as the generated code expects.
  const std::string aligned(body);
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(aligned.data());
  flat::Verifier verifier(bytes, aligned.size(), kMaxDepth, kMaxTables);
  if (!fbs::VerifyPeerMessageBuffer(verifier)) {
    return boost::leaf::new_error(decode_error{
        decode_fault::kMalformed, "message", "the buffer is not valid"});
  }
  std::optional<peer_message> message = ToMessage(*fbs::GetPeerMessage(bytes));
  if (!message) {
    return boost::leaf::new_error(decode_error{
        decode_fault::kOutOfRange, "message.body", "the type is not known"});
  }
  if (auto fault = CheckPeerMessage(*message, limits)) {
    return boost::leaf::new_error(*std::move(fault));
  }
  return *std::move(message);
}

}  // namespace skylarkbridge::wire
