#include "skylarkbridge/daemon/request_table.hpp"

#include <utility>
#include <variant>

namespace skylarkbridge::daemon {
namespace {

request_id RequestOf(const scheduling::request_command& command) {
  return std::visit([](const auto& one) { return one.request; }, command);
}

}  // namespace

void request_table::Handle(request_message message, time_point now) {
  const scheduling::request_arrived& arrived = message.request.arrived;
  replies_[arrived.request] = std::move(message.reply);
  Carry(dispatcher_.Arrive(arrived, now), now);
}

void request_table::Handle(attempt_message message, time_point now) {
  const scheduling::attempt_finished& finished = message.attempt.finished;
  const auto used = used_.find({finished.request, finished.attempt});
  if (used != used_.end()) {
    slots_.Release(used->second);
    used_.erase(used);
  }
  replies_[finished.request] = std::move(message.reply);
  Carry(dispatcher_.Finish(finished, now), now);
}

void request_table::Configure(const declaration::configuration& configuration,
                              time_point now) {
  Carry(dispatcher_.Configure(configuration, now), now);
}

void request_table::Update(const scheduling::upstream_state& state,
                           time_point now) {
  Carry(dispatcher_.Update(state, now), now);
}

void request_table::Tick(time_point now) {
  Carry(dispatcher_.Tick(now), now);
}

std::optional<time_point> request_table::NextDeadline() const {
  return dispatcher_.NextDeadline();
}

void request_table::Carry(scheduling::request_commands commands,
                          time_point now) {
  while (!commands.empty()) {
    scheduling::request_commands more;
    for (const scheduling::request_command& command : commands) {
      if (Deliver(command, now)) {
        continue;
      }
      // The traffic thread stopped waiting or no slot is held, so the attempt
      // never starts.
      if (const auto* start =
              std::get_if<scheduling::start_attempt>(&command)) {
        auto next = dispatcher_.Finish(
            {.request = start->request,
             .attempt = start->attempt,
             .result = scheduling::attempt_result::kNotStarted},
            now);
        more.insert(more.end(), next.begin(), next.end());
      }
    }
    commands = std::move(more);
  }
}

bool request_table::Deliver(scheduling::request_command command,
                            time_point now) {
  if (const auto* finish = std::get_if<scheduling::finish_request>(&command);
      finish != nullptr &&
      finish->outcome != scheduling::request_outcome::kDone) {
    ended_.push_back(*finish);
  }
  const auto found = replies_.find(RequestOf(command));
  if (found == replies_.end()) {
    return false;
  }
  auto* start = std::get_if<scheduling::start_attempt>(&command);
  if (start != nullptr) {
    const auto ends_by = slots_.Use(start->upstream, start->deadline, now);
    if (!ends_by) {
      return false;
    }
    start->deadline = *ends_by;
    used_[{start->request, start->attempt}] = start->upstream;
  }
  const std::shared_ptr<entry::request_reply> reply = std::move(found->second);
  replies_.erase(found);
  if (reply->Set(
          std::visit([](const auto& one) { return entry::request_order(one); },
                     command))) {
    return true;
  }
  if (start != nullptr) {
    slots_.Release(start->upstream);
    used_.erase({start->request, start->attempt});
  }
  return false;
}

}  // namespace skylarkbridge::daemon
