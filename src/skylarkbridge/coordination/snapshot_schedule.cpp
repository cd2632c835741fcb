#include "skylarkbridge/coordination/snapshot_schedule.hpp"

#include <algorithm>
#include <utility>

#include "skylarkbridge/coordination/digest.hpp"

namespace skylarkbridge::coordination {

void snapshot_schedule::RecordSeen(wall_time written_at) {
  if (!base_) {
    base_ = written_at;
  }
}

void snapshot_schedule::SnapshotSeen(log_offset valid_until,
                                     wall_time written_at) {
  if (valid_until >= valid_until_) {
    valid_until_ = valid_until;
    base_ = base_ ? std::max(*base_, written_at) : written_at;
  }
}

bool snapshot_schedule::Due(log_offset next,
                            std::size_t rank,
                            wall_time now) const {
  if (!base_) {
    return false;
  }
  // Renewed also without new records, as the last snapshot expires too.
  if (now >= *base_ + options_.interval +
                 options_.grace * static_cast<std::int64_t>(rank)) {
    return true;
  }
  const std::uint64_t records = next > valid_until_ ? next - valid_until_ : 0;
  return records >= options_.records + rank * (options_.records / 4);
}

std::size_t SnapshotRank(entry_vm_id self,
                         const std::vector<entry_vm_id>& live,
                         log_stream stream,
                         log_offset last_valid_until) {
  const auto score = [&](entry_vm_id vm) {
    const auto salt =
        Mix(last_valid_until * 2 + (stream == log_stream::kTasks));
    return std::pair(Mix(vm.value ^ salt), vm);
  };
  return static_cast<std::size_t>(std::count_if(
      live.begin(), live.end(),
      [&](entry_vm_id vm) { return vm != self && score(vm) > score(self); }));
}

}  // namespace skylarkbridge::coordination
