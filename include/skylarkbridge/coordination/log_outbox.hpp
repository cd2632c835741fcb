#ifndef SKYLARKBRIDGE_COORDINATION_LOG_OUTBOX_HPP
#define SKYLARKBRIDGE_COORDINATION_LOG_OUTBOX_HPP

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <variant>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/log_record.hpp"

namespace skylarkbridge::coordination {

struct log_outbox_options {
  /// One append is allowed per interval. 184 VMs at 1.2 s make 153 appends per
  /// second, under half of what the log gives to all.
  std::chrono::milliseconds append_interval{1200};
  /// Appends that an idle VM saves up, so that a single task is accepted
  /// without waiting for the interval.
  std::size_t append_burst = 4;
  /// Time that the first record of a batch waits for others.
  std::chrono::milliseconds batch_delay{20};
  /// Most records of an append; a task in a snapshot counts as a record.
  std::size_t batch_records = 4000;
  /// Most records that wait, over all streams.
  std::size_t capacity = 20'000;
  /// An append without a reply for this time is looked up in the log.
  std::chrono::milliseconds reply_timeout{1000};
  /// The log counts as down when an append stays unresolved for this time.
  std::chrono::milliseconds down_after{3000};
  /// Wait before a failed append is sent again.
  std::chrono::milliseconds retry_delay{500};
};

/// @brief Write these records with one append and report the result with the
/// number.
struct append_records {
  std::uint64_t append = 0;
  log_stream stream = log_stream::kTasks;
  std::vector<log_record> records;
};

/// @brief Read the stream to its end soon; an append has to be resolved.
struct read_to_end {
  log_stream stream = log_stream::kTasks;
};

struct record_durable {
  record_id id;
};

/// @brief The record was not written and will not be.
struct record_refused {
  record_id id;
};

/// @brief A stream went down or came up again, as seen by this VM.
struct log_availability {
  log_stream stream = log_stream::kTasks;
  bool up = true;
};

using outbox_command = std::variant<append_records,
                                    read_to_end,
                                    record_durable,
                                    record_refused,
                                    log_availability>;
using outbox_commands = std::vector<outbox_command>;

/// @brief Result of an append as the gateway saw it.
enum class append_result {
  kWritten,
  /// Proven: nothing was written, for example because the connection was
  /// refused.
  kNotWritten,
  /// No reply, or one that proves nothing.
  kUnknown,
};

/// @brief Why a record was not taken.
enum class add_refusal { kLogDown, kFull };

/// @brief Batches records into appends and resolves lost replies by reading.
///
/// One append per stream is in flight at a time, and an append writes all of
/// its records or the first few, so that the records of a writer stand in the
/// log in the order of their sequence. Readers rely on that to ignore
/// repetitions.
class log_outbox {
 public:
  log_outbox(incarnation_id writer, log_outbox_options options);

  /// @brief Takes a record. Returns its id, or why it was refused.
  std::variant<record_id, add_refusal> Add(record_body body,
                                           time_point now,
                                           wall_time written_at);

  /// @brief An append has ended.
  outbox_commands Finish(std::uint64_t append,
                         append_result result,
                         time_point now);

  /// @brief The stream was read and holds this record.
  outbox_commands Observe(log_stream stream, const record_id& id);

  /// @brief A read that was sent at @p read_sent reached the end of the stream.
  /// Call it after Observe for all records of that read.
  outbox_commands ReachedEnd(log_stream stream,
                             time_point read_sent,
                             time_point now);

  /// @brief Sends what is due and detects lost replies.
  outbox_commands Tick(time_point now);

  /// @brief Time at which Tick is due, if any.
  std::optional<time_point> NextDeadline() const;

  /// @brief False while records of the stream that are waited for are refused.
  bool Up(log_stream stream) const {
    return streams_[static_cast<std::size_t>(stream)].up;
  }
  /// @brief Records that are not yet durable.
  std::size_t Size() const;
  std::uint64_t Appends() const { return appends_; }

 private:
  struct waiting_record {
    log_record record;
    time_point added;
    /// Appends with this record that are not proven to have failed; while
    /// there are any, the record cannot be refused.
    std::uint32_t unproven_appends = 0;
    bool durable = false;
  };
  struct outgoing {
    /// Records of the current append first.
    std::deque<waiting_record> queue;
    std::size_t in_append = 0;
    /// Records of the current append that were read from the log.
    std::size_t observed = 0;
    std::uint64_t append = 0;
    time_point sent;
    /// Since when the first record could not be written.
    std::optional<time_point> failing_since;
    /// Time at which the reply counted as lost; the log must be read first.
    std::optional<time_point> lost_at;
    /// Time of the next append or, after a lost reply, of the next read.
    time_point retry_at;
    bool up = true;
  };

  outgoing& Of(log_stream stream) {
    return streams_[static_cast<std::size_t>(stream)];
  }
  void Complete(log_stream stream, outbox_commands& commands);
  void Fail(outgoing& out, time_point now, outbox_commands& commands);
  void LoseReply(log_stream stream, time_point now, outbox_commands& commands);
  void MarkDownWhenDue(time_point now, outbox_commands& commands);
  static void RefuseUnsent(outgoing& out, outbox_commands& commands);
  void Send(log_stream stream, time_point now, outbox_commands& commands);
  bool Due(const outgoing& out, time_point now) const;
  void Refill(time_point now);

  const incarnation_id writer_;
  const log_outbox_options options_;
  std::array<outgoing, 2> streams_;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t next_append_ = 1;
  std::uint64_t appends_ = 0;
  std::size_t tokens_;
  /// Time at which the next append is earned; nothing while the burst is full.
  std::optional<time_point> next_token_;
};

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_LOG_OUTBOX_HPP
