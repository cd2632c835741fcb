#ifndef SKYLARKBRIDGE_JOBS_SCHEDULING_NOTE_HPP
#define SKYLARKBRIDGE_JOBS_SCHEDULING_NOTE_HPP

#include <chrono>
#include <optional>
#include <string>

#include "skylarkbridge/jobs/delegation_obstacle.hpp"
#include "skylarkbridge/jobs/ids.hpp"
#include "skylarkbridge/jobs/relocation_obstacle.hpp"
#include "skylarkbridge/jobs/restart_backlog.hpp"
#include "skylarkbridge/jobs/restart_cause.hpp"
#include "skylarkbridge/jobs/restart_stages.hpp"

namespace skylarkbridge::jobs {

/// @brief Kinds of notes; text_format.hpp maps them to the names in the
/// event log.
enum class scheduling_event {
  kStartOrdered,
  kStartRefused,
  kStartUncertain,
  kRunAdopted,
  kUnexpectedRun,
  /// A worker reports a run whose task is not known yet.
  kRunUnmatched,
  kRunEnded,
  /// A worker reports the end of a run whose task is not known yet. It is kept
  /// and not acknowledged.
  kEndUnmatched,
  /// An unmatched end was applied, or its job is in no log.
  kEndMatched,
  kRunLost,
  kStopOrdered,
  kPaceOrdered,
  /// The worker sent its first report to this owner.
  kWorkerAccounted,
  kWorkerRestarted,
  /// Another worker answers at the address of the worker, whose process has
  /// ended with all its runs.
  kWorkerReplaced,
  /// The list of machines shows that the process of an earlier owner's worker
  /// has ended.
  kWorkerGone,
  /// The first of a series of renewals without a usable answer.
  kWorkerQuiet,
  kWorkerQuarantined,
  kLeaseExpired,
  /// Tasks have waited for the reports of an earlier owner's workers for over
  /// fleet_scheduler_options::takeover_report_interval.
  kTakeoverDelayed,
  /// No task waits for the workers of an earlier owner any more.
  kUnaccountedReleased,
  /// A long-running task has waited for its restart for over
  /// fleet_scheduler_options::restart_report_delay.
  kRestartDelayed,
  /// A long-running task that waited for its restart was delegated to another
  /// cell.
  kTaskDelegated,
  /// A delegated task that waited for its restart was given back to the cell
  /// that runs its job.
  kTaskReturned,
  /// This cell has taken back a task that it had delegated.
  kTaskTakenBack,
  /// A long-running run will be stopped and restarted on another worker, so
  /// that a larger waiting task gets its room.
  kRelocationPlanned,
  /// A run of a cancelled job has been on its worker for over
  /// fleet_scheduler_options::cancel_report_delay since the cancellation was
  /// read.
  kCancelDelayed,
  /// A worker is silent and not listed: it has crashed or is only cut off.
  kCrashPresumed,
  /// Such a worker has crashed.
  kCrashProved,
  /// Such a worker has come back without a crash, or nothing has proved one.
  kCrashWithdrawn,
  /// A worker crashed shortly after it had been ordered to start the run.
  kCrashSuspected,
  /// The job of a task that crashes its workers has failed.
  kTaskGivenUp,
};

/// @brief A decision or an observation of the scheduler, for the event log.
struct scheduling_note {
  scheduling_event event = scheduling_event::kStartOrdered;
  /// Zero where the note concerns a worker as a whole.
  run_ref run;
  std::string worker;
  /// The values on which the decision was based.
  std::string detail;
  /// For the start of a long-running task that has run before: the time since
  /// its last run ended.
  std::optional<std::chrono::milliseconds> restart_wait;
  /// For the same, and for a restart that is delayed.
  std::optional<jobs::restart_cause> restart_cause;
  /// For the same: the stage in which the task has waited longest so far.
  std::optional<longest_restart_stage> longest_stage;
  /// For a restart that is delayed.
  std::optional<jobs::queue_place> queue_place;
  /// For the same: why no other cell runs the task.
  std::optional<jobs::delegation_obstacle> delegation_obstacle;
  /// For the same: why no smaller run makes room for the task.
  std::optional<jobs::relocation_refusal> relocation_refusal;
  /// For the reported end of a run of a cancelled job: the time since this VM
  /// read the cancellation.
  std::optional<std::chrono::milliseconds> cancel_wait;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_SCHEDULING_NOTE_HPP
