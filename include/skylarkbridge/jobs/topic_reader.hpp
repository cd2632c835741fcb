#ifndef SKYLARKBRIDGE_JOBS_TOPIC_READER_HPP
#define SKYLARKBRIDGE_JOBS_TOPIC_READER_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "skylarkbridge/base/time.hpp"

namespace skylarkbridge::jobs {

/// @brief A record of a topic, which retains the newest record of each key.
struct topic_record {
  std::uint64_t offset = 0;
  std::string key;
  /// Nullopt for a record that deletes the key.
  std::optional<std::string> value;
};

/// @brief Reads a page of the newest record of each key, ordered by key.
struct snapshot_request {
  /// Last key of the page before; empty for the first page.
  std::string after;
};

/// @brief Reads the records from an offset on.
struct tail_request {
  std::uint64_t from = 0;
  /// How long the store may wait for a record before it replies.
  std::chrono::milliseconds wait{};
};

/// @brief A read to send; either `snapshot` or `tail` is present.
struct read_request {
  /// Number of the request, which its reply must state.
  std::uint64_t number = 0;
  std::optional<snapshot_request> snapshot;
  std::optional<tail_request> tail;
};

struct snapshot_page {
  std::vector<topic_record> records;
  /// Further pages follow.
  bool more = false;
  /// Offset after the newest record.
  std::uint64_t end = 0;
};

struct tail_page {
  std::vector<topic_record> records;
  /// Offset after the newest record of the topic.
  std::uint64_t end = 0;
};

/// @brief New records of a topic.
struct reader_update {
  /// In the order in which they must be applied.
  std::vector<topic_record> records;
  /// A snapshot was read to its end; keys that it does not contain were
  /// deleted.
  bool snapshot_complete = false;
  /// All keys of the snapshot, once it is complete.
  std::set<std::string> snapshot_keys;
};

struct topic_reader_options {
  /// How long a read of the tail waits for a record.
  std::chrono::milliseconds wait{1000};
  /// Delay between two reads of the tail; batches the records of busy topics.
  std::chrono::milliseconds pause{0};
  /// Delay after a failed read.
  std::chrono::milliseconds retry{150};
  /// A read of a snapshot page that has no answer after this time is sent a
  /// second time. The first answer counts.
  std::chrono::milliseconds snapshot_repeat{1200};
};

/// @brief Follows a topic: reads a snapshot, then the tail, and a new snapshot
/// when the store has trimmed records that the reader has not read yet.
///
/// The pages of a snapshot are taken at different times. The tail is therefore
/// read from the end that the first page stated, and skips records that are not
/// newer than the record of their key in the snapshot.
class topic_reader {
 public:
  explicit topic_reader(topic_reader_options options) : options_(options) {}

  /// @brief Returns the read to send now, if one is due.
  std::optional<read_request> Next(time_point now);
  /// @brief Returns a read of the tail that does not wait for a record, in
  /// addition to the regular read. Nullopt while a snapshot is being read.
  std::optional<read_request> Refresh(time_point now);

  /// @brief Takes the reply to a read and returns its new records. Replies to
  /// unknown requests are ignored.
  reader_update Received(std::uint64_t number,
                         snapshot_page page,
                         time_point now);
  reader_update Received(std::uint64_t number, tail_page page, time_point now);
  /// @brief The store no longer has the records of a read.
  void Trimmed(std::uint64_t number, time_point now);
  /// @brief A read failed. Unless Refresh returned it, it is repeated after a
  /// delay.
  void Failed(std::uint64_t number, time_point now);

  void SetPause(std::chrono::milliseconds pause) { options_.pause = pause; }
  /// @brief Starts again with a snapshot. Replies to reads in flight are
  /// ignored.
  void Restart(time_point now);

  /// @brief All records that were written before this time have been read;
  /// nullopt before the first complete read of the tail.
  std::optional<time_point> CompleteUntil() const { return complete_until_; }
  /// @brief Age that CompleteUntil reaches between two reads while the topic
  /// has no new records, without the time that the calls take.
  std::chrono::milliseconds RegularAge() const {
    return options_.wait + options_.pause;
  }
  /// @brief Whether the last regular read failed.
  bool Failing() const { return failing_; }
  /// @brief Whether a read that Refresh returned is in flight.
  bool Refreshing() const;
  /// @brief Whether the first snapshot, or one after trimmed records, is not
  /// complete.
  bool InSnapshot() const { return in_snapshot_; }
  /// @brief Time when the next read is due; nullopt while one is in flight.
  std::optional<time_point> NextDeadline() const;
  /// @brief Offset after the newest record that was read from the tail.
  std::uint64_t NextOffset() const { return next_offset_; }

 private:
  struct pending_read {
    bool snapshot = false;
    /// When to send a read of a snapshot page again if it has no answer.
    time_point repeat_at;
    /// A read that Refresh returned.
    bool refresh = false;
    std::uint64_t from = 0;
    time_point sent_at;
    std::chrono::milliseconds wait{};
  };

  std::optional<pending_read> TakePending(std::uint64_t number);
  /// When the regular read in flight is to be sent a second time: now or
  /// earlier if there is none, time_point::max() if it is not to be repeated.
  time_point RepeatAt() const;
  void DiscardSnapshotReads();
  /// Whether the record is newer than that of its key in the snapshot.
  bool IsNewer(const topic_record& record);

  topic_reader_options options_;
  std::uint64_t last_number_ = 0;
  std::map<std::uint64_t, pending_read> pending_reads_;
  bool in_snapshot_ = true;
  /// Last key of the snapshot that was read.
  std::string last_key_;
  /// End of the topic that the first page of the snapshot stated.
  std::uint64_t snapshot_end_ = 0;
  std::set<std::string> snapshot_keys_;
  /// Offsets of snapshot records at or after `snapshot_end_`, by key.
  std::map<std::string, std::uint64_t> ahead_of_tail_;
  std::uint64_t next_offset_ = 0;
  time_point next_read_at_;
  bool failing_ = false;
  std::optional<time_point> complete_until_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_TOPIC_READER_HPP
