#include "skylarkbridge/control/owner_writer.hpp"

#include <utility>

namespace skylarkbridge::control {

void owner_writer::Begin(jobs::epoch epoch, std::uint64_t first_sequence) {
  DiscardWrite();
  epoch_ = epoch;
  sequence_ = first_sequence;
}

void owner_writer::DiscardWrite() {
  batch_.clear();
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
  return append_call{.number = number,
                     .sequenced = sequenced_write{epoch_, sequence_},
                     .expected_end = expected_end_,
                     .batch = batch_};
}

bool owner_writer::Handle(const append_reply& reply, time_point now) {
  in_flight_ = false;
  if (reply.result == store_result::kDone) {
    batch_.clear();
    ++sequence_;
    return true;
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
