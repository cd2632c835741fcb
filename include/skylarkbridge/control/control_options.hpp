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

struct control_options {
  jobs::founding_options founding;
  jobs::ownership_options ownership;
  jobs::fleet_scheduler_options scheduler;
  request_writer_options request_writer;
  owner_writer_options writer;
  /// First number of the owner's writes; drawn at the start of the process, so
  /// that two claims of one epoch differ.
  std::uint64_t first_sequence = 1;
  /// Limits of one call to the store.
  std::chrono::milliseconds append_timeout{800};
  std::chrono::milliseconds read_timeout{400};
  /// A page of a megabyte takes a second on a link of 10 Mbit/s.
  std::chrono::milliseconds snapshot_timeout{4000};
  /// Limits of one order.
  std::chrono::milliseconds order_timeout{700};
  std::chrono::milliseconds renewal_timeout{500};
  /// Pause between reads of a cell's log by a VM that doesn't own the cell: for
  /// each cell, divided by the VM's share of a core, within the bounds.
  std::chrono::milliseconds follower_pause_per_cell{25};
  std::chrono::milliseconds min_follower_pause{200};
  std::chrono::milliseconds max_follower_pause{1500};
  std::chrono::milliseconds owner_pause{25};
  /// An open job's state is read again from the log when it is older.
  std::chrono::milliseconds max_state_age{250};
  /// The same for the number of waiting jobs of a queue.
  std::chrono::milliseconds max_pending_age{1500};
  /// Longest wait for such a read; the known state is told then.
  std::chrono::milliseconds refresh_timeout{250};
  /// Longest wait of a caller for a fresh read of the log.
  std::chrono::milliseconds lookup_timeout{1000};
  /// A caller that names no limit waits so long.
  std::chrono::milliseconds default_caller_timeout{2500};
  /// What is refused comes back after this time.
  std::chrono::milliseconds retry_after{1000};
  /// A VM that has not read the log for so long is not ready.
  std::chrono::milliseconds max_log_age_when_ready{4000};
  /// How long a job's state can be asked for after its end.
  std::chrono::seconds ended_job_retention{150};
  std::size_t max_drops_per_write = 50;
  /// Writing calls a second that the store takes of all VMs together.
  double store_writes_per_second = 800;
  /// Part of them that the owners of all cells share.
  double owner_write_share = 0.5;
};

/// @brief Pause of a VM that follows the log of a cell it doesn't own.
std::chrono::milliseconds FollowerPause(const control_options& options,
                                        jobs::cell_id cells);

/// @brief Least time between two writes of one owner.
std::chrono::microseconds WriteInterval(const control_options& options,
                                        jobs::cell_id cells);

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_CONTROL_OPTIONS_HPP
