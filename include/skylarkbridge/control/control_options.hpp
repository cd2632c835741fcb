#ifndef SKYLARKBRIDGE_CONTROL_CONTROL_OPTIONS_HPP
#define SKYLARKBRIDGE_CONTROL_CONTROL_OPTIONS_HPP

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "skylarkbridge/control/owner_writer.hpp"
#include "skylarkbridge/control/request_writer.hpp"
#include "skylarkbridge/jobs/fleet_bootstrap.hpp"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"
#include "skylarkbridge/jobs/machine_list_reader.hpp"
#include "skylarkbridge/jobs/ownership.hpp"

namespace skylarkbridge::control {

/// @brief Timeouts, intervals and limits of the control state.
struct control_options {
  jobs::fleet_bootstrap_options bootstrap;
  jobs::ownership_options ownership;
  jobs::fleet_scheduler_options scheduler;
  jobs::machine_list_reader_options machine_list_reader;
  request_writer_options request_writer;
  owner_writer_options owner_writer;
  /// Sequence number of a claim, which is the first write of its epoch. It has
  /// to be set to a new value whenever the process starts: the store would take
  /// two claims for one epoch with equal numbers for a single repeated write.
  std::uint64_t first_sequence = 1;
  /// Time limits of a single call to the store.
  std::chrono::milliseconds append_timeout{800};
  std::chrono::milliseconds read_timeout{400};
  /// The same for the configuration, whose record can be large.
  std::chrono::milliseconds configuration_read_timeout{400};
  /// Longer than read_timeout, since a page of 1 MB takes about a second on a
  /// 10 Mbit/s link.
  std::chrono::milliseconds snapshot_timeout{4000};
  /// Time limit of a single order to a worker, other than a renewal.
  std::chrono::milliseconds order_timeout{700};
  /// Whether the platform serves a list of its machines.
  bool has_machine_list = true;
  /// Time limit of a request for one page of the list of machines.
  std::chrono::milliseconds machine_page_timeout{1000};
  /// Pause between two reads of a cell's log by a follower, which is a VM that
  /// doesn't own the cell. It is multiplied by the number of cells, divided by
  /// ownership.processor_share, and clamped to the bounds below.
  std::chrono::milliseconds follower_pause_per_cell{25};
  std::chrono::milliseconds min_follower_pause{200};
  std::chrono::milliseconds max_follower_pause{1500};
  /// Pause between two reads of a cell's log by the VM that owns the cell.
  std::chrono::milliseconds owner_pause{25};
  /// A query for a job that has not ended is answered without another read of
  /// the log if the last read is not older than this.
  std::chrono::milliseconds max_state_age{250};
  /// A query for the number of pending jobs of a queue is answered without
  /// another read of the logs if the last reads are not older than this.
  std::chrono::milliseconds max_pending_age{1500};
  /// How long a query for a known job waits for a read of the log. After it the
  /// caller is told the last known state.
  std::chrono::milliseconds refresh_timeout{250};
  /// How long a request for an unknown job, or a query for the number of
  /// pending jobs, waits for a read of the log.
  std::chrono::milliseconds lookup_timeout{1000};
  /// How long a caller waits for its answer.
  std::chrono::milliseconds default_caller_timeout{2500};
  /// When a caller should repeat a request that was not run or is uncertain.
  std::chrono::milliseconds retry_after{1000};
  /// A VM is ready only if it has read the log of each cell within this time.
  std::chrono::milliseconds max_log_age_when_ready{4000};
  /// How long an ended job stays in the log, so that callers can query it.
  std::chrono::seconds ended_job_retention{150};
  /// Largest number of ended jobs that one write of the owner removes from the
  /// log.
  std::size_t max_drops_per_write = 50;
  /// Largest record that the store takes.
  std::size_t max_record_bytes = 262'144;
  /// Appends per second that the store accepts from all VMs together.
  double store_writes_per_second = 800;
  /// Fraction of store_writes_per_second that is left to the owners of all
  /// cells together.
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
