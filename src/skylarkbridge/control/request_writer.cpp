#include "skylarkbridge/control/request_writer.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::control {

bool request_writer::Add(pending_request item, time_point now) {
  if (waiting_.size() >= options_.max_waiting) {
    return false;
  }
  if (StoreDown(now)) {
    // One request at a time finds out whether the store is back.
    if (!under_way_.empty() || now < next_probe_) {
      return false;
    }
    next_probe_ = now + options_.probe_interval;
  }
  item.deadline -= options_.answer_margin;
  item.uncertain |= MayBeStored(item.record);
  waiting_.push_back(std::move(item));
  return true;
}

request_outcome request_writer::GiveUp(pending_request item) {
  if (item.uncertain && doubts_.insert(item.record.key).second) {
    doubts_by_age_.push_back(item.record.key);
    if (doubts_by_age_.size() > options_.max_uncertain_keys) {
      doubts_.erase(doubts_by_age_.front());
      doubts_by_age_.pop_front();
    }
  }
  return {std::move(item), false};
}

void request_writer::StoreAnswered() {
  failing_since_.reset();
}

bool request_writer::StoreDown(time_point now) const {
  return failing_since_ && now >= *failing_since_ + options_.down_after;
}

std::optional<append_call> request_writer::Next(time_point now,
                                                std::uint64_t number) {
  if (waiting_.empty() || now < due_ ||
      under_way_.size() >= options_.max_appends) {
    return std::nullopt;
  }
  append_call call{.number = number};
  std::vector<pending_request>& items = under_way_[number];
  std::size_t bytes = 0;
  while (!waiting_.empty() && items.size() < options_.max_batch_records &&
         bytes < options_.max_batch_bytes) {
    bytes += waiting_.front().record.value.value_or("").size();
    call.batch.push_back(waiting_.front().record);
    items.push_back(std::move(waiting_.front()));
    waiting_.pop_front();
  }
  return call;
}

std::vector<request_outcome> request_writer::Handle(const append_reply& reply,
                                                    time_point now) {
  std::vector<request_outcome> results;
  const auto found = under_way_.find(reply.number);
  if (found == under_way_.end()) {
    return results;
  }
  std::vector<pending_request> items = std::move(found->second);
  under_way_.erase(found);
  if (reply.result == store_result::kDone) {
    failing_since_.reset();
    due_ = now;
    for (pending_request& item : items) {
      results.push_back({std::move(item), true});
    }
    return results;
  }
  if (!failing_since_) {
    failing_since_ = now;
  }
  due_ = now + options_.retry;
  for (auto item = items.rbegin(); item != items.rend(); ++item) {
    item->uncertain |= reply.result == store_result::kNoAnswer;
    if (StoreDown(now)) {
      results.push_back(GiveUp(std::move(*item)));
    } else {
      waiting_.push_front(std::move(*item));
    }
  }
  return results;
}

std::vector<request_outcome> request_writer::Expire(time_point now) {
  std::vector<request_outcome> results;
  std::erase_if(waiting_, [&](pending_request& item) {
    if (now < item.deadline) {
      return false;
    }
    results.push_back(GiveUp(std::move(item)));
    return true;
  });
  return results;
}

std::optional<time_point> request_writer::NextDeadline() const {
  std::optional<time_point> next;
  for (const pending_request& item : waiting_) {
    const time_point at = std::min(item.deadline, due_);
    next = next ? std::min(*next, at) : at;
  }
  return next;
}

}  // namespace skylarkbridge::control
