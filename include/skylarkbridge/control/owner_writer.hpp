#ifndef SKYLARKBRIDGE_CONTROL_OWNER_WRITER_HPP
#define SKYLARKBRIDGE_CONTROL_OWNER_WRITER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/ports.hpp"

namespace skylarkbridge::control {

struct owner_writer_options {
  /// Pause before a write is repeated; none after store_result::kNoAnswer.
  std::chrono::milliseconds retry_delay{80};
  /// Minimum time between two writes, so that the owners of all cells together
  /// stay within the store's write rate.
  std::chrono::microseconds interval{0};
  /// Largest sum of the records of one append; a larger write takes several.
  std::size_t max_append_bytes = 2'097'152;
};

/// @brief Writes the owner's records, one append at a time, with consecutive
/// sequence numbers. A write without an answer is repeated under its sequence
/// number, so that the store applies it only once. A record that the store
/// rejects is left out, so that the others are written.
class owner_writer {
 public:
  explicit owner_writer(owner_writer_options options) : options_(options) {}

  /// @brief Starts an epoch whose sequence numbers begin at @p first_sequence.
  void Begin(jobs::epoch epoch, std::uint64_t first_sequence);
  /// @brief Discards the current write.
  void DiscardWrite();

  bool Idle() const { return batch_.empty(); }
  /// @brief Sets the records of the next write. Call only when idle.
  /// @param expected_end offset at which the log has to end for the store to
  /// accept the write; nothing for an unconditional write.
  void Write(std::vector<records::keyed_record> batch,
             std::optional<std::uint64_t> expected_end = std::nullopt);

  /// @brief The append to send now, if one is due.
  /// @param number identifies the append in its reply.
  std::optional<append_call> Next(time_point now, std::uint64_t number);
  /// @brief Whether @p number is the append in flight.
  bool IsInFlight(std::uint64_t number) const {
    return in_flight_ && append_number_ == number;
  }
  /// @brief When an append was last sent.
  time_point SentAt() const { return sent_at_; }
  /// @brief Adds a record to the present write, which need not be under way any
  /// more.
  void Add(records::keyed_record record) {
    batch_.push_back(std::move(record));
  }
  /// @brief Returns and clears the records that the store has rejected.
  std::vector<records::keyed_record> TakeRejected() {
    return std::exchange(rejected_, {});
  }
  /// @brief Handles the reply to the append in flight. Returns true when the
  /// whole write is durable, but for the rejected records.
  bool Handle(const append_reply& reply, time_point now);
  /// @brief When the next attempt is due; nothing when none is waiting.
  std::optional<time_point> NextDeadline() const;
  /// @brief Whether the next write may begin: none is under way, and the
  /// interval has passed.
  bool MayWrite(time_point now) const {
    return Idle() && now >= sent_at_ + options_.interval;
  }

 private:
  const owner_writer_options options_;
  jobs::epoch epoch_ = 0;
  std::uint64_t sequence_ = 0;
  /// Number of the first records of the write that one append takes.
  std::size_t RecordsOfAppend() const;

  /// The records that are not durable yet.
  std::vector<records::keyed_record> batch_;
  std::vector<records::keyed_record> rejected_;
  /// Records of the append in flight, or of the last one.
  std::size_t append_records_ = 0;
  /// The store has rejected an append of this many records. They are written
  /// one by one, which shows the one that it does not take.
  std::size_t single_records_ = 0;
  std::optional<std::uint64_t> expected_end_;
  bool in_flight_ = false;
  std::uint64_t append_number_ = 0;
  time_point sent_at_;
  time_point next_attempt_at_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_OWNER_WRITER_HPP
