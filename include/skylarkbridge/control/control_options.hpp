#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_OPTIONS_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "skylarkbridge/control/owner_writer.hpp"
#include "skylarkbridge/control/request_writer.hpp"
#include "skylarkbridge/jobs/fleet_founding.hpp"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"
#include "skylarkbridge/jobs/ownership.hpp"

namespace skylarkbridge::control {

/// @brief Timeouts, intervals and limits of the control state.
struct control_options {
  jobs::founding_options bootstrap;
  jobs::ownership_options ownership;
  jobs::fleet_scheduler_options scheduler;
  request_writer_options request_writer;
  owner_writer_options owner_writer;
  /// Sequence number of a claim, which is the first write of its epoch. It is
  /// drawn anew when the process starts, so that two claims for the same epoch
  /// differ.
  std::uint64_t first_sequence = 1;
  /// Time limits of a single call to the store.
  std::chrono::milliseconds append_timeout{800};
  std::chrono::milliseconds read_timeout{400};
  /// Longer than read_timeout, since a page of 1 MB takes about a second on a
  /// 10 Mbit/s link.
  std::chrono::milliseconds snapshot_timeout{4000};
  /// Time limits of a single order to a worker.
  std::chrono::milliseconds order_timeout{700};
  std::chrono::milliseconds renewal_timeout{500};
  /// Pause between two reads of a cell's log by a VM that doesn't own the cell.
  /// It is multiplied by the number of cells, divided by the VM's share of a
  /// core, and clamped to the bounds below.
  std::chrono::milliseconds follower_pause_per_cell{25};
  std::chrono::milliseconds min_follower_pause{200};
  std::chrono::milliseconds max_follower_pause{1500};
  /// The same pause for the VM that owns the cell.
  std::chrono::milliseconds owner_pause{25};
  /// Before a caller is told the state of an open job, the log is read again if
  /// the last read is older than this.
  std::chrono::milliseconds max_state_age{250};
  /// The same for the number of pending jobs of a queue.
  std::chrono::milliseconds max_pending_age{1500};
  /// Longest wait for such a read of a known job's log. After it the caller is
  /// told the last known state.
  std::chrono::milliseconds refresh_timeout{250};
  /// Longest wait for such a read when the job is unknown, or for the number of
  /// pending jobs.
  std::chrono::milliseconds lookup_timeout{1000};
  /// How long a caller waits for its answer.
  std::chrono::milliseconds default_caller_timeout{2500};
  /// When a caller should repeat a request that was not run or is uncertain.
  std::chrono::milliseconds retry_after{1000};
  /// A VM is not ready when its last read of any cell's log is older.
  std::chrono::milliseconds max_log_age_when_ready{4000};
  /// How long an ended job stays in the log, so that callers can query it.
  std::chrono::seconds ended_job_retention{150};
  /// Ended jobs that one write of the owner removes from the log at most.
  std::size_t max_drops_per_write = 50;
  /// Appends per second that the store accepts from all VMs together.
  double store_writes_per_second = 800;
  /// Fraction of them that the owners of all cells share.
  double owner_write_share = 0.5;
};

/// @brief Pause between two reads of the log of a cell that this VM doesn't
/// own, in a fleet of @p cells cells.
std::chrono::milliseconds FollowerPause(const control_options& options,
                                        jobs::cell_id cells);

/// @brief Shortest interval between two writes of one owner, in a fleet of
/// @p cells cells.
std::chrono::microseconds WriteInterval(const control_options& options,
                                        jobs::cell_id cells);

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_OPTIONS_HPP
