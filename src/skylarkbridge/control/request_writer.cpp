#include "skylarkbridge/control/request_writer.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::control {

bool request_writer::Add(pending_request request, time_point now) {
  if (waiting_.size() >= options_.max_waiting) {
    return false;
  }
  if (StoreDown(now)) {
    // While the store is down, one request at a time is admitted as a probe.
    if (!in_flight_.empty() || now < next_probe_) {
      return false;
    }
    next_probe_ = now + options_.probe_interval;
  }
  request.deadline -= options_.answer_margin;
  request.uncertain |= MayBeStored(request.record);
  waiting_.push_back(std::move(request));
  return true;
}

request_outcome request_writer::GiveUp(pending_request request) {
  if (request.uncertain && uncertain_keys_.insert(request.record.key).second) {
    uncertain_keys_by_age_.push_back(request.record.key);
    if (uncertain_keys_by_age_.size() > options_.max_uncertain_keys) {
      uncertain_keys_.erase(uncertain_keys_by_age_.front());
      uncertain_keys_by_age_.pop_front();
    }
  }
  return {std::move(request), false};
}

void request_writer::StoreAnswered() {
  failing_since_.reset();
}

bool request_writer::StoreDown(time_point now) const {
  return failing_since_ && now >= *failing_since_ + options_.down_after;
}

std::optional<append_call> request_writer::Next(time_point now,
                                                std::uint64_t number) {
  if (waiting_.empty() || now < next_append_ ||
      in_flight_.size() >= options_.max_appends) {
    return std::nullopt;
  }
  append_call call{.number = number};
  std::vector<pending_request>& requests = in_flight_[number];
  requests = TakeBatch();
  for (const pending_request& request : requests) {
    call.batch.push_back(request.record);
  }
  return call;
}

std::vector<pending_request> request_writer::TakeBatch() {
  std::vector<pending_request> requests;
  std::size_t bytes = 0;
  while (!waiting_.empty() && requests.size() < options_.max_batch_records &&
         bytes < options_.max_batch_bytes) {
    const bool alone = waiting_.front().alone;
    if (alone && !requests.empty()) {
      break;
    }
    bytes += waiting_.front().record.Bytes();
    requests.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
    if (alone) {
      break;
    }
  }
  return requests;
}

std::vector<request_outcome> request_writer::HandleRejected(
    std::vector<pending_request> requests) {
  if (requests.size() == 1) {
    request_outcome outcome = GiveUp(std::move(requests.front()));
    outcome.rejected = true;
    return {std::move(outcome)};
  }
  for (auto request = requests.rbegin(); request != requests.rend();
       ++request) {
    request->alone = true;
    waiting_.push_front(std::move(*request));
  }
  return {};
}

std::vector<request_outcome> request_writer::Handle(const append_reply& reply,
                                                    time_point now) {
  std::vector<request_outcome> results;
  const auto found = in_flight_.find(reply.number);
  if (found == in_flight_.end()) {
    return results;
  }
  std::vector<pending_request> requests = std::move(found->second);
  in_flight_.erase(found);
  if (reply.result == store_result::kDone) {
    failing_since_.reset();
    next_append_ = now;
    for (pending_request& request : requests) {
      results.push_back({std::move(request), true});
    }
    return results;
  }
  if (reply.result == store_result::kRejected) {
    failing_since_.reset();
    next_append_ = now;
    return HandleRejected(std::move(requests));
  }
  if (!failing_since_) {
    failing_since_ = now;
  }
  next_append_ = now + options_.retry_pause;
  for (auto request = requests.rbegin(); request != requests.rend();
       ++request) {
    request->uncertain |= reply.result == store_result::kNoAnswer;
    if (StoreDown(now)) {
      results.push_back(GiveUp(std::move(*request)));
    } else {
      waiting_.push_front(std::move(*request));
    }
  }
  return results;
}

std::vector<request_outcome> request_writer::Expire(time_point now) {
  std::vector<request_outcome> results;
  std::erase_if(waiting_, [&](pending_request& request) {
    if (now < request.deadline) {
      return false;
    }
    results.push_back(GiveUp(std::move(request)));
    return true;
  });
  return results;
}

std::optional<time_point> request_writer::NextDeadline() const {
  // Further appends wait for the answer to one in flight.
  const time_point next_append = in_flight_.size() >= options_.max_appends
                                     ? time_point::max()
                                     : next_append_;
  std::optional<time_point> next;
  for (const pending_request& request : waiting_) {
    const time_point at = std::min(request.deadline, next_append);
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

}  // namespace skylarkbridge::control
