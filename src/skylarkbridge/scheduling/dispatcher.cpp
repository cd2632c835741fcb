#include "skylarkbridge/scheduling/dispatcher.hpp"

#include <algorithm>

namespace skylarkbridge::scheduling {

dispatcher::dispatcher(dispatcher_options options) : options_(options) {}

request_commands dispatcher::Configure(const declaration::configuration& config,
                                       time_point now) {
  services_.clear();
  for (const declaration::service& declared : config.services) {
    services_[declared.name] = declared;
  }
  request_commands commands;
  StartWaiting(now, commands);
  return commands;
}

request_commands dispatcher::Update(const upstream_state& state,
                                    time_point now) {
  upstream& entry = upstreams_[state.upstream];
  entry.state = state;
  if (state.status == upstream_status::kGone && entry.in_use == 0) {
    upstreams_.erase(state.upstream);
  }
  request_commands commands;
  StartWaiting(now, commands);
  return commands;
}

request_commands dispatcher::Arrive(const request_arrived& event,
                                    time_point now) {
  request_commands commands;
  const auto declared = services_.find(event.service);
  if (declared == services_.end()) {
    Refuse(event.request,
           services_.empty() ? refusal_reason::kNoConfiguration
                             : refusal_reason::kUnknownService,
           commands);
    return commands;
  }
  if (event.deadline <= now) {
    Refuse(event.request, refusal_reason::kDeadlinePassed, commands);
    return commands;
  }
  request& added = requests_[event.request];
  added.arrival = event;
  if (TryStart(added, now, commands)) {
    return commands;
  }
  if (static_cast<std::int64_t>(queue_.size()) >=
      declared->second.queue_limit) {
    requests_.erase(event.request);
    Refuse(event.request, refusal_reason::kQueueFull, commands);
    return commands;
  }
  queue_.push_back(event.request);
  return commands;
}

request_commands dispatcher::Finish(const attempt_finished& event,
                                    time_point now) {
  request_commands commands;
  const auto found = requests_.find(event.request);
  if (found == requests_.end() || !found->second.upstream) {
    return commands;
  }
  request& ended = found->second;
  upstream& server = upstreams_[*ended.upstream];
  --server.in_use;
  if (server.state.status == upstream_status::kGone && server.in_use == 0) {
    upstreams_.erase(*ended.upstream);
  }
  ended.upstream.reset();
  const bool may_retry =
      event.result == attempt_result::kNotStarted ||
      (event.result == attempt_result::kUnknown && ended.arrival.idempotent);
  if (may_retry && ended.attempts < options_.max_attempts &&
      now < ended.arrival.deadline) {
    queue_.push_front(event.request);
  } else {
    finish_request finish{.request = event.request,
                          .outcome = request_outcome::kUnknown};
    if (event.result == attempt_result::kAnswered) {
      finish.outcome = request_outcome::kDone;
    } else if (event.result == attempt_result::kNotStarted &&
               ended.attempts == 1) {
      finish.outcome = request_outcome::kNotRun;
      finish.reason = refusal_reason::kUpstreamRefused;
    }
    commands.emplace_back(finish);
    requests_.erase(found);
  }
  StartWaiting(now, commands);
  return commands;
}

request_commands dispatcher::Cancel(request_id request, time_point) {
  request_commands commands;
  const auto found = requests_.find(request);
  if (found != requests_.end() && !found->second.upstream &&
      found->second.attempts == 0) {
    std::erase(queue_, request);
    requests_.erase(found);
    Refuse(request, refusal_reason::kCancelled, commands);
  }
  return commands;
}

request_commands dispatcher::Tick(time_point now) {
  request_commands commands;
  StartWaiting(now, commands);
  return commands;
}

std::optional<time_point> dispatcher::NextDeadline() const {
  std::optional<time_point> next;
  for (const request_id id : queue_) {
    const time_point deadline = requests_.at(id).arrival.deadline;
    next = next ? std::min(*next, deadline) : deadline;
  }
  return next;
}

std::optional<worker_id> dispatcher::Choose(time_point now) const {
  std::optional<worker_id> best;
  std::int64_t least = 0;
  for (const auto& [id, candidate] : upstreams_) {
    const std::int64_t limit =
        std::min(candidate.state.slots, candidate.state.connections);
    if (candidate.state.status != upstream_status::kLive ||
        candidate.in_use >= limit || candidate.state.lease_deadline <= now) {
      continue;
    }
    if (!best || candidate.in_use < least) {
      best = id;
      least = candidate.in_use;
    }
  }
  return best;
}

bool dispatcher::TryStart(request& waiting,
                          time_point now,
                          request_commands& commands) {
  const std::optional<worker_id> target = Choose(now);
  if (!target) {
    return false;
  }
  ++upstreams_[*target].in_use;
  waiting.upstream = target;
  ++waiting.attempts;
  commands.emplace_back(start_attempt{waiting.arrival.request, waiting.attempts,
                                      *target, waiting.arrival.deadline});
  return true;
}

void dispatcher::StartWaiting(time_point now, request_commands& commands) {
  std::deque<request_id> still_waiting;
  for (const request_id id : queue_) {
    request& waiting = requests_.at(id);
    if (waiting.arrival.deadline <= now) {
      const bool started = waiting.attempts > 0;
      commands.emplace_back(finish_request{
          id, started ? request_outcome::kUnknown : request_outcome::kNotRun,
          refusal_reason::kDeadlinePassed, std::nullopt});
      requests_.erase(id);
    } else if (!TryStart(waiting, now, commands)) {
      still_waiting.push_back(id);
    }
  }
  queue_.swap(still_waiting);
}

void dispatcher::Refuse(request_id id,
                        refusal_reason reason,
                        request_commands& commands) {
  commands.emplace_back(
      finish_request{id, request_outcome::kNotRun, reason, std::nullopt});
}

}  // namespace skylarkbridge::scheduling
