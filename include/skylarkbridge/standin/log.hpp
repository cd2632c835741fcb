#ifndef SKYLARKBRIDGE_STANDIN_LOG_HPP
#define SKYLARKBRIDGE_STANDIN_LOG_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"
#include "skylarkbridge/wire/log_protocol.hpp"

namespace skylarkbridge::standin {

/// @brief Stand-in for the platform's log service, with the faults that it is
/// known for. Safe to use from many threads.
class log {
 public:
  /// @brief Adds records. Returns the offset of the first one; nothing while
  /// the log is down.
  std::optional<coordination::log_offset> Append(
      const std::string& stream,
      std::vector<std::string> records);

  /// @brief Records from @p offset on; nothing while the log is down.
  std::optional<wire::raw_page> Read(const std::string& stream,
                                     coordination::log_offset offset,
                                     std::size_t limit) const;

  void SetUp(bool up);
  /// @brief The next @p count appends take effect, and their reply is lost.
  void LoseReplies(int count);
  /// @brief Whether the reply to an append that took effect is to be lost.
  bool TakeLostReply();
  /// @brief Removes the records before @p offset.
  void Trim(const std::string& stream, coordination::log_offset offset);

  std::int64_t Appends() const;

 private:
  struct stream_records {
    coordination::log_offset first = 0;
    std::deque<std::string> records;
  };

  mutable absl::Mutex mutex_;
  std::map<std::string, stream_records> streams_ ABSL_GUARDED_BY(mutex_);
  bool up_ ABSL_GUARDED_BY(mutex_) = true;
  int lost_replies_ ABSL_GUARDED_BY(mutex_) = 0;
  std::int64_t appends_ ABSL_GUARDED_BY(mutex_) = 0;
};

}  // namespace skylarkbridge::standin

#endif  // SKYLARKBRIDGE_STANDIN_LOG_HPP
