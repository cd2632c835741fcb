#include <arpa/inet.h>

#include <boost/leaf/error.hpp>

#include "peer_check.hpp"
#include "peer_generated.h"
#include "skylarkbridge/wire/frame.hpp"
#include "skylarkbridge/wire/peer_codec.hpp"

namespace skylarkbridge::wire {
namespace {

namespace flat = flatbuffers;

fbs::Member ToMember(const coordination::member_entry& entry) {
  in_addr address{};
  // An unreadable address stays 0.0.0.0, which no peer connects to.
  inet_pton(AF_INET, entry.address.host.c_str(), &address);
  return {entry.vm.value,
          entry.data_centre.value,
          entry.life.incarnation.value,
          entry.life.started_at.time_since_epoch().count(),
          entry.sequence,
          ntohl(address.s_addr),
          entry.address.port,
          static_cast<std::uint8_t>(entry.status)};
}

fbs::Version ToVersion(const coordination::version_tag& version) {
  return {version.number, version.digest};
}

fbs::Ballot ToBallot(const coordination::ballot& ballot) {
  return {ballot.round, ballot.vm.value, ballot.incarnation.value};
}

/// Adds one message to the builder and gives its union entry.
struct body_encoder {
  flat::FlatBufferBuilder& out;

  struct encoded {
    fbs::Body type = fbs::Body_NONE;
    flat::Offset<void> offset;
  };

  encoded operator()(const hello& m) const {
    const auto token = out.CreateString(m.token);
    const fbs::Member sender = ToMember(m.sender);
    return {fbs::Body_Hello,
            fbs::CreateHello(out, &sender, m.receiver.value, token).Union()};
  }
  encoded operator()(const coordination::heartbeat& m) const {
    const fbs::Member sender = ToMember(m.sender);
    const fbs::Version version = ToVersion(m.configuration);
    return {
        fbs::Body_Heartbeat,
        fbs::CreateHeartbeat(out, &sender, &version, m.table_digest).Union()};
  }
  encoded operator()(const coordination::member_update& m) const {
    std::vector<fbs::Member> members;
    for (const auto& entry : m.members) {
      members.push_back(ToMember(entry));
    }
    std::vector<fbs::Upstream> upstreams;
    for (const auto& entry : m.upstreams) {
      upstreams.emplace_back(entry.worker.value,
                             entry.noted_at.time_since_epoch().count(),
                             static_cast<std::uint8_t>(entry.status));
    }
    const auto member_list = out.CreateVectorOfStructs(members);
    const auto upstream_list = out.CreateVectorOfStructs(upstreams);
    return {fbs::Body_MemberUpdate,
            fbs::CreateMemberUpdate(out, member_list, upstream_list).Union()};
  }
  encoded operator()(const configuration_offer& m) const {
    const fbs::Version version = ToVersion(m.version);
    return {fbs::Body_ConfigurationOffer,
            fbs::CreateConfigurationOffer(out, &version).Union()};
  }
  encoded operator()(const configuration_fetch& m) const {
    const fbs::Version version = ToVersion(m.version);
    return {fbs::Body_ConfigurationFetch,
            fbs::CreateConfigurationFetch(out, &version).Union()};
  }
  encoded operator()(const configuration_part& m) const {
    const auto text = out.CreateString(m.text);
    const fbs::Version version = ToVersion(m.version);
    return {fbs::Body_ConfigurationPart,
            fbs::CreateConfigurationPart(out, &version, m.valid_until, m.part,
                                         m.parts, text)
                .Union()};
  }
  encoded operator()(const slot_request& m) const {
    const auto held = Lots(m.request.held);
    const fbs::Ballot holder = ToHolder(m.request.holder);
    const fbs::Ballot lender = ToBallot(m.request.lender);
    return {
        fbs::Body_SlotRequest,
        fbs::CreateSlotRequest(out, m.shard.value, &holder, m.request.sequence,
                               m.request.sent.time_since_epoch().count(),
                               &lender, held, m.request.wanted)
            .Union()};
  }
  encoded operator()(const slot_grant& m) const {
    const auto lent = Lots(m.grant.lent);
    const fbs::Ballot holder = ToHolder(m.grant.holder);
    const fbs::Ballot lender = ToBallot(m.grant.lender);
    return {fbs::Body_SlotGrant,
            fbs::CreateSlotGrant(out, m.shard.value, &holder, &lender,
                                 m.grant.sequence,
                                 m.grant.sent.time_since_epoch().count(),
                                 m.grant.duration.count(), lent, m.grant.keep)
                .Union()};
  }
  encoded operator()(const forward_request& m) const {
    const auto service = out.CreateString(m.service);
    const auto method = out.CreateString(m.method);
    const auto path = out.CreateString(m.path);
    const auto headers = Headers(m.headers);
    const auto body = out.CreateString(m.body);
    const auto key = m.idempotency_key ? out.CreateString(*m.idempotency_key)
                                       : flat::Offset<flat::String>();
    const auto trace = out.CreateString(m.trace_parent);
    return {fbs::Body_ForwardRequest,
            fbs::CreateForwardRequest(out, m.number, service, method, path,
                                      headers, body, key, m.idempotent,
                                      m.time_left.count(), trace)
                .Union()};
  }
  encoded operator()(const forward_answer& m) const {
    const auto headers = Headers(m.headers);
    const auto body = out.CreateString(m.body);
    return {fbs::Body_ForwardAnswer,
            fbs::CreateForwardAnswer(
                out, m.number, static_cast<std::uint8_t>(m.outcome), m.status,
                headers, body, m.retry_after.count())
                .Union()};
  }
  encoded operator()(const leaving& m) const {
    const fbs::Member sender = ToMember(m.sender);
    return {fbs::Body_Leaving, fbs::CreateLeaving(out, &sender).Union()};
  }

 private:
  static fbs::Ballot ToHolder(const coordination::slot_holder_id& holder) {
    return {0, holder.vm.value, holder.incarnation.value};
  }
  flat::Offset<flat::Vector<const fbs::SlotLot*>> Lots(
      const coordination::worker_slots& lots) const {
    std::vector<fbs::SlotLot> encoded_lots;
    encoded_lots.reserve(lots.size());
    for (const auto& [worker, room] : lots) {
      encoded_lots.emplace_back(worker.value,
                                static_cast<std::uint32_t>(room.slots),
                                static_cast<std::uint32_t>(room.connections));
    }
    return out.CreateVectorOfStructs(encoded_lots);
  }
  flat::Offset<flat::Vector<flat::Offset<fbs::Header>>> Headers(
      const std::vector<http_header>& headers) const {
    std::vector<flat::Offset<fbs::Header>> encoded_headers;
    for (const http_header& header : headers) {
      const auto name = out.CreateString(header.name);
      const auto value = out.CreateString(header.value);
      encoded_headers.push_back(fbs::CreateHeader(out, name, value));
    }
    return out.CreateVector(encoded_headers);
  }
};

}  // namespace

boost::leaf::result<std::string> EncodePeerMessage(const peer_message& message,
                                                   const peer_limits& limits) {
  if (auto fault = CheckPeerMessage(message, limits)) {
    return boost::leaf::new_error(*std::move(fault));
  }
  flat::FlatBufferBuilder builder;
  const auto body = std::visit(body_encoder{builder}, message);
  builder.Finish(fbs::CreatePeerMessage(builder, body.type, body.offset));
  if (builder.GetSize() > kMaxFrameBytes - kFrameHeaderBytes) {
    return boost::leaf::new_error(decode_error{
        decode_fault::kTooLarge, "message", "does not fit into a frame"});
  }
  return std::string(reinterpret_cast<const char*>(builder.GetBufferPointer()),
                     builder.GetSize());
}

}  // namespace skylarkbridge::wire
