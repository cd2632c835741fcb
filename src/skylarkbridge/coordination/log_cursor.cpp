#include "skylarkbridge/coordination/log_cursor.hpp"

#include <algorithm>
#include <utility>

namespace skylarkbridge::coordination {

cursor_commands log_cursor::Receive(std::uint64_t read,
                                    read_page page,
                                    time_point now) {
  cursor_commands commands;
  if (!in_flight_ || in_flight_->read != read) {
    return commands;
  }
  const time_point read_sent = in_flight_->sent;
  in_flight_.reset();
  retry_delay_ = std::chrono::milliseconds(0);
  if (page.end < next_) {
    commands.emplace_back(log_rewound{next_, page.end});
    next_read_ = now + options_.longest_retry_delay;
    caught_up_ = false;
    return commands;
  }
  const log_offset before = next_;
  const auto skip_to = [&](log_offset offset) {
    if (offset > next_) {
      commands.emplace_back(offset_gap{next_, offset});
      next_ = offset;
    }
  };
  skip_to(page.first);
  for (stored_record& stored : page.records) {
    if (stored.offset < next_) {
      continue;
    }
    skip_to(stored.offset);
    ++next_;
    commands.emplace_back(std::move(stored));
  }
  if (next_ >= page.end) {
    commands.emplace_back(reached_end{read_sent});
    caught_up_ = true;
    next_read_ = now + options_.poll_interval;
  } else {
    // An empty page before the end would otherwise be asked for without pause.
    next_read_ =
        next_ > before ? time_point::min() : now + options_.first_retry_delay;
  }
  return commands;
}

void log_cursor::Fail(std::uint64_t read, time_point now) {
  if (!in_flight_ || in_flight_->read != read) {
    return;
  }
  in_flight_.reset();
  caught_up_ = false;
  retry_delay_ = std::clamp(retry_delay_ * 2, options_.first_retry_delay,
                            options_.longest_retry_delay);
  next_read_ = now + retry_delay_;
}

cursor_commands log_cursor::Tick(time_point now) {
  if (in_flight_ && now >= in_flight_->sent + options_.read_timeout) {
    Fail(in_flight_->read, now);
  }
  if (in_flight_ || now < next_read_) {
    return {};
  }
  in_flight_ = read_in_flight{++reads_, now};
  return {read_log{reads_, next_, options_.read_limit}};
}

time_point log_cursor::NextDeadline() const {
  return in_flight_ ? in_flight_->sent + options_.read_timeout : next_read_;
}

}  // namespace skylarkbridge::coordination
