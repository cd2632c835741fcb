#include "skylarkbridge/jobs/topic_reader.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::jobs {

std::optional<read_request> topic_reader::Next(time_point now) {
  const bool under_way =
      std::any_of(calls_.begin(), calls_.end(),
                  [](const auto& call) { return !call.second.extra; });
  if (under_way || now < due_) {
    return std::nullopt;
  }
  read_request call{.number = ++numbers_};
  calls_[call.number] = {.snapshot = in_snapshot_,
                         .from = next_,
                         .sent = now,
                         .wait = options_.wait};
  if (in_snapshot_) {
    call.snapshot = snapshot_request{after_};
  } else {
    call.tail = tail_request{.from = next_, .wait = options_.wait};
  }
  return call;
}

std::optional<read_request> topic_reader::Refresh(time_point now) {
  if (in_snapshot_) {
    return std::nullopt;
  }
  read_request call{.number = ++numbers_, .tail = tail_request{.from = next_}};
  calls_[call.number] = {.extra = true, .from = next_, .sent = now};
  return call;
}

bool topic_reader::Refreshing() const {
  return std::any_of(calls_.begin(), calls_.end(),
                     [](const auto& call) { return call.second.extra; });
}

void topic_reader::Restart(time_point now) {
  calls_.clear();
  in_snapshot_ = true;
  after_.clear();
  due_ = now;
}

std::optional<topic_reader::call_state> topic_reader::Finish(
    std::uint64_t number) {
  const auto found = calls_.find(number);
  if (found == calls_.end()) {
    return std::nullopt;
  }
  const call_state state = found->second;
  calls_.erase(found);
  return state;
}

reader_update topic_reader::Received(std::uint64_t number,
                               snapshot_page page,
                               time_point now) {
  const std::optional<call_state> call = Finish(number);
  reader_update news;
  if (!call || !in_snapshot_) {
    return news;
  }
  failing_ = false;
  due_ = now;
  if (after_.empty()) {
    snapshot_end_ = page.end;
    snapshot_keys_.clear();
    ahead_.clear();
  }
  for (topic_record& record : page.records) {
    after_ = record.key;
    snapshot_keys_.insert(record.key);
    if (record.offset >= snapshot_end_) {
      ahead_[record.key] = record.offset;
    }
    news.records.push_back(std::move(record));
  }
  if (page.more && !news.records.empty()) {
    return news;
  }
  in_snapshot_ = false;
  after_.clear();
  next_ = snapshot_end_;
  news.snapshot_complete = true;
  news.snapshot_keys = std::exchange(snapshot_keys_, {});
  return news;
}

bool topic_reader::Newer(const topic_record& record) {
  const auto ahead = ahead_.find(record.key);
  if (ahead == ahead_.end()) {
    return true;
  }
  if (record.offset <= ahead->second) {
    return false;
  }
  ahead_.erase(ahead);
  return true;
}

reader_update topic_reader::Received(std::uint64_t number,
                               tail_page page,
                               time_point now) {
  const std::optional<call_state> call = Finish(number);
  reader_update news;
  if (!call || in_snapshot_) {
    return news;
  }
  failing_ = false;
  std::uint64_t reached = call->from;
  for (topic_record& record : page.records) {
    reached = record.offset + 1;
    if (record.offset < next_) {
      continue;
    }
    next_ = record.offset + 1;
    if (Newer(record)) {
      news.records.push_back(std::move(record));
    }
  }
  if (reached >= page.end) {
    // The store waited for a record until it answered.
    const time_point current = page.records.empty()
                                   ? std::min(now, call->sent + call->wait)
                                   : call->sent;
    current_at_ = std::max(current_at_.value_or(current), current);
  }
  if (!call->extra) {
    due_ = reached < page.end ? now : now + options_.pause;
  }
  return news;
}

void topic_reader::Trimmed(std::uint64_t number, time_point now) {
  const std::optional<call_state> call = Finish(number);
  if (!call || in_snapshot_ || call->from < next_) {
    return;
  }
  in_snapshot_ = true;
  after_.clear();
  due_ = now;
}

void topic_reader::Failed(std::uint64_t number, time_point now) {
  const std::optional<call_state> call = Finish(number);
  if (call && !call->extra) {
    due_ = now + options_.retry;
    failing_ = true;
    // The pages of a snapshot continue where they stopped.
  }
}

std::optional<time_point> topic_reader::NextDeadline() const {
  const bool under_way =
      std::any_of(calls_.begin(), calls_.end(),
                  [](const auto& call) { return !call.second.extra; });
  return under_way ? std::nullopt : std::optional<time_point>(due_);
}

}  // namespace skylarkbridge::jobs
