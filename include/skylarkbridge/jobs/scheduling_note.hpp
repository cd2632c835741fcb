#ifndef SKYLARKBRIDGE_JOBS_SCHEDULING_NOTE_HPP
#define SKYLARKBRIDGE_JOBS_SCHEDULING_NOTE_HPP

#include <string>

#include "skylarkbridge/jobs/ids.hpp"

namespace skylarkbridge::jobs {

enum class scheduling_event {
  kStartOrdered,
  kStartRefused,
  kStartUncertain,
  kRunAdopted,
  kUnexpectedRun,
  kRunEnded,
  kRunLost,
  kStopOrdered,
  kPaceOrdered,
  kWorkerAccounted,
  kWorkerRestarted,
  kWorkerQuiet,
  kWorkerQuarantined,
  kLeaseExpired,
  kUnaccountedReleased,
};

/// @brief A decision or an observation of the scheduler, for the log.
struct scheduling_note {
  scheduling_event event = scheduling_event::kStartOrdered;
  /// Zero where the note concerns a worker as a whole.
  run_ref run;
  std::string worker;
  /// The inputs that decided it.
  std::string detail;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_SCHEDULING_NOTE_HPP
