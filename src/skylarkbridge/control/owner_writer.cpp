#include "skylarkbridge/control/owner_writer.hpp"

#include <utility>

namespace skylarkbridge::control {

void owner_writer::Begin(jobs::epoch claim, std::uint64_t first) {
  End();
  claim_ = claim;
  sequence_ = first;
}

void owner_writer::End() {
  batch_.clear();
  under_way_ = false;
  due_ = {};
}

void owner_writer::Write(std::vector<records::keyed_record> batch,
                         std::optional<std::uint64_t> at_end) {
  batch_ = std::move(batch);
  at_end_ = at_end;
}

std::optional<append_call> owner_writer::Next(time_point now,
                                              std::uint64_t number) {
  if (batch_.empty() || under_way_ || now < due_) {
    return std::nullopt;
  }
  under_way_ = true;
  number_ = number;
  sent_ = now;
  return append_call{.number = number,
                     .sequenced = sequenced_write{claim_, sequence_},
                     .expected_end = at_end_,
                     .batch = batch_};
}

bool owner_writer::Handle(const append_reply& reply, time_point now) {
  under_way_ = false;
  if (reply.result == store_result::kDone) {
    batch_.clear();
    ++sequence_;
    return true;
  }
  due_ = reply.result == store_result::kNoAnswer ? now : now + options_.retry;
  return false;
}

std::optional<time_point> owner_writer::NextDeadline() const {
  return batch_.empty() || under_way_ ? std::nullopt
                                      : std::optional<time_point>(due_);
}

}  // namespace skylarkbridge::control
