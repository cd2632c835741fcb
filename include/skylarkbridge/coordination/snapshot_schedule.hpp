#ifndef SKYLARKBRIDGE_COORDINATION_SNAPSHOT_SCHEDULE_HPP
#define SKYLARKBRIDGE_COORDINATION_SNAPSHOT_SCHEDULE_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "skylarkbridge/base/ids.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/coordination/log_record.hpp"

namespace skylarkbridge::coordination {

struct snapshot_schedule_options {
  /// Half of the time that the log keeps a record, or less.
  std::chrono::seconds interval{600};
  /// Records after the last snapshot that make a new one due before the
  /// interval ends; bounds what a starting VM has to read.
  std::uint64_t records = 50'000;
  /// A VM waits this long per VM that ranks before it, so that a VM that died
  /// is replaced and usually one snapshot is written.
  std::chrono::seconds grace{15};
};

/// @brief Decides when this VM writes a snapshot of a stream.
class snapshot_schedule {
 public:
  explicit snapshot_schedule(snapshot_schedule_options options)
      : options_(options) {}

  /// @brief A record was read. The first one starts the first interval.
  void RecordSeen(wall_time written_at);

  /// @brief A complete snapshot was read or has been sent by this VM.
  void SnapshotSeen(log_offset valid_until, wall_time written_at);

  /// @brief True when this VM must write a snapshot now.
  /// @param next offset up to which the stream was folded.
  /// @param rank number of live VMs that are to write it before this one.
  bool Due(log_offset next, std::size_t rank, wall_time now) const;

  /// @brief Offset that the last snapshot covers; the input of SnapshotRank.
  log_offset LastValidUntil() const { return valid_until_; }

 private:
  const snapshot_schedule_options options_;
  std::optional<wall_time> base_;
  log_offset valid_until_ = 0;
};

/// @brief Number of @p live VMs that score higher than @p self for the next
/// snapshot of the stream. The order changes with each snapshot, so that the
/// work moves round the VMs.
std::size_t SnapshotRank(entry_vm_id self,
                         const std::vector<entry_vm_id>& live,
                         log_stream stream,
                         log_offset last_valid_until);

}  // namespace skylarkbridge::coordination

#endif  // SKYLARKBRIDGE_COORDINATION_SNAPSHOT_SCHEDULE_HPP
