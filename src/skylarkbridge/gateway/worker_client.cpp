#include "skylarkbridge/gateway/worker_client.hpp"

#include <boost/leaf/handle_errors.hpp>
#include <string>

#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/gateway/events.hpp"

namespace skylarkbridge::gateway {

namespace leaf = boost::leaf;

std::optional<wire::worker_reply> worker_client::Call(
    const wire::worker_command& command) {
  const time_point now = boot_clock::now();
  const worker_id worker = wire::WorkerOf(command);
  connection* target = Connect(worker, now);
  if (target == nullptr || now < target->paused_until) {
    return std::nullopt;
  }
  const std::string path =
      absl::StrCat("/v1/worker/", ToAbsl(wire::NameOf(command)));
  const std::optional<std::string> body = leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(text,
                        target->call.Post(path, wire::EncodeCommand(command),
                                          now + options_.timeout));
        return std::optional(std::move(text));
      },
      [](const call_failure& error) {
        LogEvent(kWorkerUnavailable,
                 {{"place", error.place}, {"error", error.message}});
        return std::optional<std::string>();
      },
      [] { return std::optional<std::string>(); });
  if (!body) {
    target->paused_until = boot_clock::now() + options_.pause;
    return std::nullopt;
  }
  target->reusable_until = boot_clock::now() + options_.max_idle;
  findings found;
  auto reply = wire::DecodeReply(command, *body, found);
  if (!reply) {
    LogEvent(kWorkerReplyMalformed, {{"worker", absl::StrCat(worker.value)},
                                     {"error", Format(found)}});
  }
  return reply;
}

worker_client::connection* worker_client::Connect(worker_id worker,
                                                  time_point now) {
  const std::optional<ip_address> address = addresses_.Find(worker);
  if (!address) {
    connections_.erase(worker);
    return nullptr;
  }
  const auto found = connections_.find(worker);
  if (found != connections_.end() && found->second.address == *address) {
    if (found->second.reusable_until < now) {
      found->second.call = http_call(*address);
      found->second.reusable_until = time_point::max();
    }
    return &found->second;
  }
  connections_.erase(worker);
  return &connections_
              .emplace(worker, connection{.address = *address,
                                          .call = http_call(*address),
                                          .reusable_until = time_point::max()})
              .first->second;
}

}  // namespace skylarkbridge::gateway
