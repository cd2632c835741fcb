#ifndef SKYLARKBRIDGE_COORDINATION_LOG_CURSOR_HPP
#define SKYLARKBRIDGE_COORDINATION_LOG_CURSOR_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/log_record.hpp"

namespace skylarkbridge::coordination {

struct log_cursor_options {
  /// Most records of one read.
  std::size_t read_limit = 5000;
  /// Wait between reads at the end of the stream.
  std::chrono::milliseconds poll_interval{200};
  /// A read without a reply for this time counts as failed.
  std::chrono::milliseconds read_timeout{2000};
  std::chrono::milliseconds first_retry_delay{200};
  /// The wait doubles with each failure up to this value.
  std::chrono::milliseconds longest_retry_delay{5000};
};

/// @brief Read records from @p offset on and report the page with the number.
struct read_log {
  std::uint64_t read = 0;
  log_offset offset = 0;
  std::size_t limit = 0;

  bool operator==(const read_log&) const = default;
};

/// @brief Offsets from @p begin to before @p end were trimmed or skipped.
struct offset_gap {
  log_offset begin = 0;
  log_offset end = 0;

  bool operator==(const offset_gap&) const = default;
};

/// @brief The log's end lies before records that were read; its records were
/// lost or replaced.
struct log_rewound {
  log_offset expected = 0;
  log_offset end = 0;

  bool operator==(const log_rewound&) const = default;
};

/// @brief All records that the stream held at @p read_sent were delivered.
struct reached_end {
  time_point read_sent;

  bool operator==(const reached_end&) const = default;
};

using cursor_command =
    std::variant<read_log, stored_record, offset_gap, log_rewound, reached_end>;
using cursor_commands = std::vector<cursor_command>;

/// @brief Reply to a read.
struct read_page {
  /// Oldest offset that the log still holds.
  log_offset first = 0;
  /// Offset that the next appended record will get.
  log_offset end = 0;
  std::vector<stored_record> records;
};

/// @brief Reads a stream in the order of its offsets.
class log_cursor {
 public:
  explicit log_cursor(log_cursor_options options) : options_(options) {}

  /// @brief Continues at @p offset, for example after a snapshot.
  void Seek(log_offset offset) {
    next_ = offset;
    in_flight_.reset();
    ReadSoon();
  }

  /// @brief Delivers the records of a page in order, each gap before the
  /// record that follows it. A page of an older read is ignored.
  cursor_commands Receive(std::uint64_t read, read_page page, time_point now);

  /// @brief A read has failed.
  void Fail(std::uint64_t read, time_point now);

  /// @brief Reads at the next Tick instead of at the next poll.
  void ReadSoon() { next_read_ = time_point::min(); }

  cursor_commands Tick(time_point now);
  time_point NextDeadline() const;

  /// @brief Offset of the next record to be delivered.
  log_offset Next() const { return next_; }
  /// @brief True once the end was reached since the last Seek or failure.
  bool CaughtUp() const { return caught_up_; }

 private:
  struct read_in_flight {
    std::uint64_t read = 0;
    time_point sent;
  };

  const log_cursor_options options_;
  log_offset next_ = 0;
  std::optional<read_in_flight> in_flight_;
  std::uint64_t reads_ = 0;
  time_point next_read_ = time_point::min();
  std::chrono::milliseconds retry_delay_{0};
  bool caught_up_ = false;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_LOG_CURSOR_HPP
