#ifndef SKYLARKBRIDGE_JOBS_JOB_RECORD_HPP
#define SKYLARKBRIDGE_JOBS_JOB_RECORD_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/job_spec.hpp"
#include "skylarkbridge/jobs/stated_room.hpp"

namespace skylarkbridge::jobs {

/// @brief Position of a record in the log of jobs.
using log_offset = std::uint64_t;

enum class job_status { kOpen, kCompleted, kFailed };

/// @brief Numbers of the failed runs of one task. Stored as a set, because
/// after a takeover workers report finished runs again, in any order across
/// workers, and each failure must count only once.
using failed_runs = std::set<run_number>;

/// @brief What a run says about whether its task crashes its workers.
enum class crash_evidence {
  /// The task was suspected before the run. How the run ended is not known: if
  /// its owner dies, the next owner counts it as suspected.
  kPending,
  /// Its worker crashed shortly after the start. Other tasks had been started
  /// there as well.
  kSuspected,
  /// As above, and the task had been kept apart from others that may have
  /// crashed the worker.
  kBlamed,
};

/// @brief Runs of one task that its worker may have crashed under. Stored by
/// run, so that no crash counts twice.
using crashed_runs = std::map<run_number, crash_evidence>;

/// @brief A task that the cell which runs its job has given to another cell,
/// because its own workers have no room for it. After the other cell has given
/// it back, the entry names the cell that runs the job.
struct delegated_task {
  cell_id cell = 0;
  /// Lowest number of a run that the cell starts: all earlier runs have lower
  /// numbers. It rises with each delegation of the task, and so identifies it.
  run_number first_run = 1;
  /// Epoch of the owner of the other cell whose statement of room was used. No
  /// owner with a lower epoch starts the task, so this one may start it at
  /// once. 0 in records of versions that didn't store it.
  epoch owner_epoch = 0;

  bool operator==(const delegated_task&) const = default;
};

/// @brief Completed, started and delegated tasks, and failed and crashed runs,
/// of one occurrence of a step.
struct step_progress {
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;
  /// Whether each task is done, by index; empty while none is.
  std::vector<bool> done;
  /// Failed runs by index of the task.
  std::map<std::uint32_t, failed_runs> failures;
  /// Whether each task of a long-running step has been started, by index; empty
  /// while none has, and in records of versions that didn't store it.
  std::vector<bool> started;
  /// Crashed runs by index of the task.
  std::map<std::uint32_t, crashed_runs> crashes;
  /// Number of the last run of each task of a long-running step that is known
  /// to have ended, by index of the task. All earlier runs have ended as well.
  /// It is stored before the task starts again.
  std::map<std::uint32_t, run_number> last_ended_runs;
  /// Tasks that were given to another cell, by index. An entry is replaced by
  /// that of the next delegation, and never removed.
  std::map<std::uint32_t, delegated_task> delegations;
  /// When the last run of a long-running task ended, by index, for each task
  /// that waited for its next run when the record was written, here or in the
  /// cell that it was delegated to. In milliseconds; empty in records of
  /// versions that didn't store it.
  std::map<std::uint32_t, wall_time> waiting_since;

  bool operator==(const step_progress&) const = default;
};

/// @brief Durable state of a job, besides the specification that the caller
/// submitted.
struct job_progress {
  /// Whether a worker has begun any task.
  bool started = false;
  job_status status = job_status::kOpen;
  /// Steps of occurrences that are not complete.
  std::vector<step_progress> steps;
  /// All occurrences below this one are complete. 0 in records of versions that
  /// didn't store it.
  std::uint32_t complete_occurrences = 0;

  bool operator==(const job_progress&) const = default;
};

/// @brief The cells to which tasks of a job are delegated. One of them is the
/// cell that runs the job if another cell has given a task back.
std::set<cell_id> DelegatedCells(const job_progress& progress);

/// @brief A job was accepted.
struct job_accepted {
  job_id job;
  std::string queue;
  wall_time accepted_at{};
  job_spec spec;
  /// The cell that runs the job. It differs from the home cell when the home
  /// cell has more long-running work than other cells.
  cell_id cell = 0;
  /// The queue's settings when the job was accepted, as SettingsOfTasks. They
  /// hold while the configuration has no such queue. Nullopt in records of
  /// versions that didn't store them.
  std::optional<queue_configuration> settings;
};

/// @brief The caller cancelled the job.
struct job_cancelled {
  job_id job;
};

/// @brief New progress of a job; replaces the progress recorded before.
struct job_advanced {
  job_id job;
  job_progress progress;
};

/// @brief The records of an ended job were deleted.
struct job_dropped {
  job_id job;
};

/// @brief An entry VM claims the ownership of a cell, confirms it or releases
/// it.
struct ownership_record {
  /// Epoch of the claim.
  epoch claim_epoch = 0;
  std::string vm;
  /// Random number of the process, which distinguishes claims that several
  /// processes make with the same epoch.
  std::uint64_t incarnation = 0;
  bool released = false;
  /// How long any earlier owner may still give orders, counted from the write
  /// of this record.
  std::chrono::milliseconds predecessor_validity{};
  /// Processor time that the VM has for each of the cells that it owns, in
  /// thousandths of a core. 0 in records of versions that didn't store it.
  std::int64_t millicores_per_cell = 0;
  /// Room of the cell for long-running tasks of other cells. Empty while the
  /// owner takes none.
  room_pieces room;

  bool operator==(const ownership_record&) const = default;
};

/// @brief Workers on which this owner or an earlier one may have started tasks.
/// If a successor can't reach one of them, it waits until the worker's lease
/// has expired.
struct leased_workers {
  /// Epoch of the owner's claim.
  epoch claim_epoch = 0;
  std::vector<std::string> workers;
  /// Those among them that have not reported to the owner, with the time until
  /// which a lease of an earlier owner may run, counted from the write of this
  /// record. The owner extends their leases only after they have reported and a
  /// later record no longer contains them here. Empty in records of versions
  /// that didn't store it.
  std::map<std::string, std::chrono::milliseconds> unreported;
  /// First epoch from which on each owner has stored
  /// step_progress::last_ended_runs; 0 in records of versions that didn't.
  epoch ends_stored_from = 0;
  /// Address at which each worker last answered an owner. An owner starts tasks
  /// at no other address before it has stored it. Empty in records of versions
  /// that didn't store it.
  std::map<std::string, std::string> addresses;

  bool operator==(const leased_workers&) const = default;
};

/// @brief A delegated task that this cell gives back to the cell that runs its
/// job. No owner of this cell starts it under this delegation again.
struct returned_task {
  task_ref task;
  /// delegated_task::first_run of the delegation that ends.
  run_number first_run = 1;
  /// Lowest number of its next run: all runs that this cell started have lower
  /// numbers.
  run_number next_run = 1;
  /// The crashes that are held against the task, those before the delegation
  /// included. Empty in records of versions that didn't store it.
  crashed_runs crashes = {};
  /// When its last run ended, in milliseconds. Nullopt in records of versions
  /// that didn't store it.
  std::optional<wall_time> waiting_since = std::nullopt;

  bool operator==(const returned_task&) const = default;
};

/// @brief The delegated tasks that the owners of this cell have given back.
struct returned_tasks {
  /// Epoch of the owner's claim.
  epoch claim_epoch = 0;
  /// One entry for each task, for its newest delegation that was given back.
  std::vector<returned_task> tasks;

  bool operator==(const returned_tasks&) const = default;
};

/// @brief One record of the log of jobs.
using log_record = std::variant<job_accepted,
                                job_cancelled,
                                job_advanced,
                                job_dropped,
                                ownership_record,
                                leased_workers,
                                returned_tasks>;

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_JOB_RECORD_HPP
