#include "skylarkbridge/control/owner_writer.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::control {

void owner_writer::Begin(jobs::epoch epoch, std::uint64_t first_sequence) {
  DiscardWrite();
  epoch_ = epoch;
  sequence_ = first_sequence;
}

void owner_writer::DiscardWrite() {
  batch_.clear();
  rejected_.clear();
  single_records_ = 0;
  in_flight_ = false;
  next_attempt_at_ = {};
}

void owner_writer::Write(std::vector<records::keyed_record> batch,
                         std::optional<std::uint64_t> expected_end) {
  batch_ = std::move(batch);
  expected_end_ = expected_end;
}

std::optional<append_call> owner_writer::Next(time_point now,
                                              std::uint64_t number) {
  if (batch_.empty() || in_flight_ || now < next_attempt_at_) {
    return std::nullopt;
  }
  in_flight_ = true;
  append_number_ = number;
  sent_at_ = now;
  append_records_ = RecordsOfAppend();
  const auto end =
      batch_.begin() + static_cast<std::ptrdiff_t>(append_records_);
  return append_call{.number = number,
                     .sequenced = sequenced_write{epoch_, sequence_},
                     .expected_end = expected_end_,
                     .batch = {batch_.begin(), end}};
}

std::size_t owner_writer::RecordsOfAppend() const {
  if (single_records_ > 0) {
    return 1;
  }
  std::size_t bytes = 0;
  std::size_t records = 0;
  while (records < batch_.size()) {
    bytes += batch_[records].Bytes();
    if (records > 0 && bytes > options_.max_append_bytes) {
      break;
    }
    ++records;
  }
  return records;
}

bool owner_writer::Handle(const append_reply& reply, time_point now) {
  in_flight_ = false;
  const auto end =
      batch_.begin() + static_cast<std::ptrdiff_t>(append_records_);
  if (reply.result == store_result::kDone) {
    batch_.erase(batch_.begin(), end);
    single_records_ -= std::min(single_records_, append_records_);
    expected_end_.reset();
    ++sequence_;
    return batch_.empty();
  }
  if (reply.result == store_result::kRejected) {
    if (append_records_ > 1) {
      single_records_ = append_records_;
    } else {
      rejected_.push_back(std::move(batch_.front()));
      batch_.erase(batch_.begin());
      single_records_ -= std::min<std::size_t>(single_records_, 1);
    }
    next_attempt_at_ = now;
    return batch_.empty();
  }
  next_attempt_at_ = reply.result == store_result::kNoAnswer
                         ? now
                         : now + options_.retry_delay;
  return false;
}

std::optional<time_point> owner_writer::NextDeadline() const {
  return batch_.empty() || in_flight_
             ? std::nullopt
             : std::optional<time_point>(next_attempt_at_);
}

}  // namespace skylarkbridge::control
