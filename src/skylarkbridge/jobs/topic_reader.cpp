#include "skylarkbridge/jobs/topic_reader.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::jobs {
namespace {

/// Reads of one snapshot page that may be in flight at a time.
constexpr std::size_t kMaxSnapshotReads = 2;

}  // namespace

time_point topic_reader::RepeatAt() const {
  time_point repeat_at = time_point::min();
  std::size_t snapshot_reads = 0;
  for (const auto& [number, read] : pending_reads_) {
    if (read.snapshot) {
      ++snapshot_reads;
      repeat_at = std::max(repeat_at, read.repeat_at);
    } else if (!read.refresh) {
      return time_point::max();
    }
  }
  return snapshot_reads < kMaxSnapshotReads ? repeat_at : time_point::max();
}

void topic_reader::DiscardSnapshotReads() {
  std::erase_if(pending_reads_,
                [](const auto& read) { return read.second.snapshot; });
}

std::optional<read_request> topic_reader::Next(time_point now) {
  if (now < std::max(next_read_at_, RepeatAt())) {
    return std::nullopt;
  }
  read_request request{.number = ++last_number_};
  pending_reads_[request.number] = {.snapshot = in_snapshot_,
                                    .repeat_at = now + options_.snapshot_repeat,
                                    .from = next_offset_,
                                    .sent_at = now,
                                    .wait = options_.wait};
  if (in_snapshot_) {
    request.snapshot = snapshot_request{last_key_};
  } else {
    request.tail = tail_request{.from = next_offset_, .wait = options_.wait};
  }
  return request;
}

std::optional<read_request> topic_reader::Refresh(time_point now) {
  if (in_snapshot_) {
    return std::nullopt;
  }
  read_request request{.number = ++last_number_,
                       .tail = tail_request{.from = next_offset_}};
  pending_reads_[request.number] = {
      .refresh = true, .from = next_offset_, .sent_at = now};
  return request;
}

bool topic_reader::Refreshing() const {
  return std::any_of(pending_reads_.begin(), pending_reads_.end(),
                     [](const auto& read) { return read.second.refresh; });
}

void topic_reader::Restart(time_point now) {
  pending_reads_.clear();
  in_snapshot_ = true;
  last_key_.clear();
  next_read_at_ = now;
}

std::optional<topic_reader::pending_read> topic_reader::TakePending(
    std::uint64_t number) {
  const auto found = pending_reads_.find(number);
  if (found == pending_reads_.end()) {
    return std::nullopt;
  }
  const pending_read pending = found->second;
  pending_reads_.erase(found);
  return pending;
}

reader_update topic_reader::Received(std::uint64_t number,
                                     snapshot_page page,
                                     time_point now) {
  const std::optional<pending_read> pending = TakePending(number);
  reader_update update;
  if (!pending || !in_snapshot_) {
    return update;
  }
  DiscardSnapshotReads();
  failing_ = false;
  next_read_at_ = now;
  if (last_key_.empty()) {
    snapshot_end_ = page.end;
    snapshot_keys_.clear();
    ahead_of_tail_.clear();
  }
  for (topic_record& record : page.records) {
    last_key_ = record.key;
    snapshot_keys_.insert(record.key);
    if (record.offset >= snapshot_end_) {
      ahead_of_tail_[record.key] = record.offset;
    }
    update.records.push_back(std::move(record));
  }
  if (page.more && !update.records.empty()) {
    return update;
  }
  in_snapshot_ = false;
  last_key_.clear();
  next_offset_ = snapshot_end_;
  update.snapshot_complete = true;
  update.snapshot_keys = std::exchange(snapshot_keys_, {});
  return update;
}

bool topic_reader::IsNewer(const topic_record& record) {
  const auto ahead = ahead_of_tail_.find(record.key);
  if (ahead == ahead_of_tail_.end()) {
    return true;
  }
  if (record.offset <= ahead->second) {
    return false;
  }
  ahead_of_tail_.erase(ahead);
  return true;
}

reader_update topic_reader::Received(std::uint64_t number,
                                     tail_page page,
                                     time_point now) {
  const std::optional<pending_read> pending = TakePending(number);
  reader_update update;
  if (!pending || in_snapshot_) {
    return update;
  }
  failing_ = false;
  std::uint64_t read_until = pending->from;
  for (topic_record& record : page.records) {
    read_until = record.offset + 1;
    if (record.offset < next_offset_) {
      continue;
    }
    next_offset_ = record.offset + 1;
    if (IsNewer(record)) {
      update.records.push_back(std::move(record));
    }
  }
  if (read_until >= page.end) {
    // The store sends an empty reply only after its wait, so no record was
    // written until the wait ended.
    const time_point current =
        page.records.empty() ? std::min(now, pending->sent_at + pending->wait)
                             : pending->sent_at;
    complete_until_ = std::max(complete_until_.value_or(current), current);
  }
  if (!pending->refresh) {
    next_read_at_ = read_until < page.end ? now : now + options_.pause;
  }
  return update;
}

void topic_reader::Trimmed(std::uint64_t number, time_point now) {
  const std::optional<pending_read> pending = TakePending(number);
  if (pending && !in_snapshot_ && pending->from >= next_offset_) {
    Restart(now);
  }
}

void topic_reader::Failed(std::uint64_t number, time_point now) {
  const std::optional<pending_read> pending = TakePending(number);
  if (pending && !pending->refresh) {
    // `last_key_` is unchanged, so a snapshot continues with the page that
    // failed.
    next_read_at_ = now + options_.retry;
    failing_ = true;
  }
}

std::optional<time_point> topic_reader::NextDeadline() const {
  const time_point next = std::max(next_read_at_, RepeatAt());
  return next == time_point::max() ? std::nullopt
                                   : std::optional<time_point>(next);
}

}  // namespace skylarkbridge::jobs
