#ifndef SKYLARKBRIDGE_CONTROL_STORE_FAKE_HPP
#define SKYLARKBRIDGE_CONTROL_STORE_FAKE_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "skylarkbridge/control/ports.hpp"

namespace skylarkbridge::control {

/// @brief In-memory store of the platform, with topics that keep the newest
/// record of each key, sequenced writes and conditional appends.
class store_fake {
 public:
  append_reply Append(const append_call& call) {
    append_reply reply{.number = call.number, .result = store_result::kDone};
    reply.target = call.target;
    if (std::any_of(call.batch.begin(), call.batch.end(),
                    [this](const records::keyed_record& record) {
                      return record.Bytes() > max_record_bytes_;
                    })) {
      ++rejected_appends_;
      reply.result = store_result::kRejected;
      return reply;
    }
    std::vector<jobs::topic_record>& log = logs_[call.target];
    last_sequenced_write& last_write = last_writes_[call.target];
    if (call.sequenced) {
      const sequenced_write& order = *call.sequenced;
      if (order.epoch < last_write.claim) {
        reply.result = store_result::kFenced;
        return reply;
      }
      if (order.epoch == last_write.claim &&
          order.sequence == last_write.sequence) {
        reply.offset = last_write.last_offset;
        return reply;
      }
      if (order.epoch == last_write.claim &&
          order.sequence != last_write.sequence + 1) {
        reply.result = store_result::kOutOfSequence;
        return reply;
      }
    }
    if (call.expected_end && *call.expected_end != log.size()) {
      reply.result = store_result::kEndMoved;
      return reply;
    }
    reply.offset = log.size();
    if (call.sequenced) {
      last_write = {.claim = call.sequenced->epoch,
                    .sequence = call.sequenced->sequence,
                    .last_offset = reply.offset};
    }
    for (const records::keyed_record& record : call.batch) {
      Put(call.target, record.key, record.value);
    }
    return reply;
  }

  /// @brief Appends one record unconditionally.
  void Put(topic source,
           const std::string& key,
           std::optional<std::string> value) {
    std::vector<jobs::topic_record>& log = logs_[source];
    log.push_back(
        {.offset = log.size(), .key = key, .value = std::move(value)});
  }

  /// @brief Whether the newest record of the key has a value.
  bool Contains(topic source, const std::string& key) const {
    const auto log = logs_.find(source);
    if (log == logs_.end()) {
      return false;
    }
    const auto newest = std::find_if(
        log->second.rbegin(), log->second.rend(),
        [&key](const jobs::topic_record& record) { return record.key == key; });
    return newest != log->second.rend() && newest->value.has_value();
  }

  /// @brief A page of the newest record of each key that sorts after @p after.
  jobs::snapshot_page Snapshot(topic source, const std::string& after) const {
    jobs::snapshot_page page{.end = End(source)};
    std::map<std::string, jobs::topic_record> newest;
    if (const auto log = logs_.find(source); log != logs_.end()) {
      for (const jobs::topic_record& record : log->second) {
        newest[record.key] = record;
      }
    }
    for (const auto& [key, record] : newest) {
      if (key <= after || !record.value) {
        continue;
      }
      if (page.records.size() == kPageRecords) {
        page.more = true;
        break;
      }
      page.records.push_back(record);
    }
    return page;
  }

  /// @brief The records from offset @p from on; nothing when the record at that
  /// offset is trimmed.
  std::optional<jobs::tail_page> Tail(topic source, std::uint64_t from) const {
    if (const auto first_offset = first_offsets_.find(source);
        first_offset != first_offsets_.end() && from < first_offset->second) {
      return std::nullopt;
    }
    jobs::tail_page page{.end = End(source)};
    if (const auto log = logs_.find(source); log != logs_.end()) {
      page.records.assign(
          log->second.begin() + static_cast<std::ptrdiff_t>(
                                    std::min<std::uint64_t>(from, page.end)),
          log->second.end());
    }
    return page;
  }

  /// @brief Offset after the newest record.
  std::uint64_t End(topic source) const {
    const auto log = logs_.find(source);
    return log == logs_.end() ? 0 : log->second.size();
  }

  void SetMaxRecordBytes(std::size_t bytes) { max_record_bytes_ = bytes; }
  /// @brief Number of appends that held a larger record.
  int RejectedAppends() const { return rejected_appends_; }

  /// @brief Trims all topics: Tail can't read the present records any more, but
  /// Snapshot still returns the newest record of each key.
  void Trim() {
    for (const auto& [source, log] : logs_) {
      first_offsets_[source] = log.size();
    }
  }

 private:
  static constexpr std::size_t kPageRecords = 5;

  /// The last sequenced write to a topic.
  struct last_sequenced_write {
    jobs::epoch claim = 0;
    std::uint64_t sequence = 0;
    std::uint64_t last_offset = 0;
  };

  std::size_t max_record_bytes_ = std::numeric_limits<std::size_t>::max();
  int rejected_appends_ = 0;
  std::map<topic, std::vector<jobs::topic_record>> logs_;
  std::map<topic, std::uint64_t> first_offsets_;
  std::map<topic, last_sequenced_write> last_writes_;
};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_STORE_FAKE_HPP
