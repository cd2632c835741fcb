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

/// @brief One record of a topic that keeps the newest record of each key.
struct topic_record {
  std::uint64_t offset = 0;
  std::string key;
  /// Nothing where the key is dropped.
  std::optional<std::string> value;
};

/// @brief A read of the newest record of each key, in pages.
struct snapshot_request {
  /// Continues after this key; empty for the first page.
  std::string after;
};

/// @brief A read of the records from an offset on.
struct tail_request {
  std::uint64_t from = 0;
  /// How long the store may wait for a record.
  std::chrono::milliseconds wait{};
};

/// @brief The next read; exactly one of the two is present.
struct read_request {
  std::uint64_t number = 0;
  std::optional<snapshot_request> snapshot;
  std::optional<tail_request> tail;
};

struct snapshot_page {
  std::vector<topic_record> records;
  bool more = false;
  /// Offset after the newest record.
  std::uint64_t end = 0;
};

struct tail_page {
  std::vector<topic_record> records;
  std::uint64_t end = 0;
};

/// @brief What a read brought.
struct reader_update {
  /// In the order in which they apply.
  std::vector<topic_record> records;
  /// A snapshot is complete: keys that it did not name do not exist.
  bool snapshot_complete = false;
  std::set<std::string> snapshot_keys;
};

struct topic_reader_options {
  /// How long a read of the tail may wait for a record.
  std::chrono::milliseconds wait{1000};
  /// Pause between two reads of the tail; batches the records of busy topics.
  std::chrono::milliseconds pause{0};
  /// Pause after a read that failed.
  std::chrono::milliseconds retry{150};
};

/// @brief Follows one topic: a snapshot first, then the tail, and a snapshot
/// again when the history that it needs is gone.
///
/// The pages of a snapshot are not taken at one moment, so the tail is read
/// from the end that the first page stated, and a record is passed on only when
/// it is newer than the one of its key that was passed on before.
class topic_reader {
 public:
  explicit topic_reader(topic_reader_options options) : options_(options) {}

  /// @brief The read to send now, if one is due.
  std::optional<read_request> Next(time_point now);
  /// @brief Reads the tail at once, without waiting for a record, beside a read
  /// that may be waiting.
  std::optional<read_request> Refresh(time_point now);

  reader_update Received(std::uint64_t number, snapshot_page page, time_point now);
  reader_update Received(std::uint64_t number, tail_page page, time_point now);
  /// @brief The records that a read asked for are gone.
  void Trimmed(std::uint64_t number, time_point now);
  void Failed(std::uint64_t number, time_point now);

  void SetPause(std::chrono::milliseconds pause) { options_.pause = pause; }
  /// @brief Reads a snapshot again; replies of calls under way are ignored.
  void Restart(time_point now);

  /// @brief Time up to which the tail has been read to its end.
  std::optional<time_point> CurrentAt() const { return current_at_; }
  bool Failing() const { return failing_; }
  /// @brief Whether a read that Refresh asked for is under way.
  bool Refreshing() const;
  /// @brief Whether the first snapshot, or one after a gap, is not complete.
  bool InSnapshot() const { return in_snapshot_; }
  /// @brief When the next read is due; nothing while one is under way.
  std::optional<time_point> NextDeadline() const;
  std::uint64_t NextOffset() const { return next_; }

 private:
  struct call_state {
    bool snapshot = false;
    bool extra = false;
    std::uint64_t from = 0;
    time_point sent;
    std::chrono::milliseconds wait{};
  };

  std::optional<call_state> Finish(std::uint64_t number);
  bool Newer(const topic_record& record);

  topic_reader_options options_;
  std::uint64_t numbers_ = 0;
  std::map<std::uint64_t, call_state> calls_;
  bool in_snapshot_ = true;
  std::string after_;
  std::uint64_t snapshot_end_ = 0;
  std::set<std::string> snapshot_keys_;
  /// Offsets of the records of a snapshot beyond its stated end.
  std::map<std::string, std::uint64_t> ahead_;
  std::uint64_t next_ = 0;
  time_point due_;
  bool failing_ = false;
  std::optional<time_point> current_at_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_TOPIC_READER_HPP
