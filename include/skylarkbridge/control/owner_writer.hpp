#ifndef SKYLARKBRIDGE_CONTROL_OWNER_WRITER_HPP
#define SKYLARKBRIDGE_CONTROL_OWNER_WRITER_HPP

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/ports.hpp"

namespace skylarkbridge::control {

struct owner_writer_options {
  /// Pause after the store refused a write.
  std::chrono::milliseconds retry{80};
  /// Least time between two writes, so that the owners of all cells stay within
  /// the store's rate.
  std::chrono::microseconds interval{0};
};

/// @brief Writes the owner's records one append after the other, each with the
/// next number. A write without an answer is repeated with its number, which
/// the store takes once.
class owner_writer {
 public:
  explicit owner_writer(owner_writer_options options) : options_(options) {}

  /// @brief Starts a new epoch; numbers begin at @p first.
  void Begin(jobs::epoch claim, std::uint64_t first);
  void End();

  bool Idle() const { return batch_.empty(); }
  /// @brief Takes the records of the next write. Only when idle.
  /// @param expected_end where the log has to end; nothing for anywhere.
  void Write(std::vector<records::keyed_record> batch,
             std::optional<std::uint64_t> expected_end = std::nullopt);

  /// @brief The append to send now, if one is due.
  std::optional<append_call> Next(time_point now, std::uint64_t number);
  bool Owns(std::uint64_t number) const {
    return in_flight_ && append_number_ == number;
  }
  /// @brief When the write was last sent.
  time_point SentAt() const { return sent_at_; }
  /// @brief Returns true when the write is durable.
  bool Handle(const append_reply& reply, time_point now);
  std::optional<time_point> NextDeadline() const;
  /// @brief Whether a next write may be begun.
  bool MayWrite(time_point now) const {
    return Idle() && now >= sent_at_ + options_.interval;
  }

 private:
  const owner_writer_options options_;
  jobs::epoch claim_ = 0;
  std::uint64_t sequence_ = 0;
  std::vector<records::keyed_record> batch_;
  std::optional<std::uint64_t> expected_end_;
  bool in_flight_ = false;
  std::uint64_t append_number_ = 0;
  time_point sent_at_;
  time_point next_attempt_at_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_OWNER_WRITER_HPP
