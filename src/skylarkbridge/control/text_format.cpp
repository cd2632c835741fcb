#include "skylarkbridge/control/text_format.hpp"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "skylarkbridge/base/string_view.hpp"

namespace skylarkbridge::control {

std::string_view Name(jobs::scheduling_event event) {
  using jobs::scheduling_event;
  switch (event) {
    case scheduling_event::kStartOrdered:
      return "start_ordered";
    case scheduling_event::kStartRefused:
      return "start_refused";
    case scheduling_event::kStartUncertain:
      return "start_uncertain";
    case scheduling_event::kRunAdopted:
      return "run_adopted";
    case scheduling_event::kUnexpectedRun:
      return "unexpected_run";
    case scheduling_event::kRunUnmatched:
      return "run_unmatched";
    case scheduling_event::kRunEnded:
      return "run_ended";
    case scheduling_event::kEndUnmatched:
      return "end_unmatched";
    case scheduling_event::kEndMatched:
      return "end_matched";
    case scheduling_event::kRunLost:
      return "run_lost";
    case scheduling_event::kStopOrdered:
      return "stop_ordered";
    case scheduling_event::kPaceOrdered:
      return "pace_ordered";
    case scheduling_event::kWorkerAccounted:
      return "worker_accounted";
    case scheduling_event::kWorkerRestarted:
      return "worker_restarted";
    case scheduling_event::kWorkerReplaced:
      return "worker_replaced";
    case scheduling_event::kWorkerGone:
      return "worker_gone";
    case scheduling_event::kWorkerQuiet:
      return "worker_quiet";
    case scheduling_event::kWorkerQuarantined:
      return "worker_quarantined";
    case scheduling_event::kLeaseExpired:
      return "lease_expired";
    case scheduling_event::kTakeoverDelayed:
      return "takeover_delayed";
    case scheduling_event::kUnaccountedReleased:
      return "unaccounted_released";
    case scheduling_event::kRestartDelayed:
      return "restart_delayed";
    case scheduling_event::kTaskDelegated:
      return "task_delegated";
    case scheduling_event::kTaskReturned:
      return "task_returned";
    case scheduling_event::kTaskTakenBack:
      return "task_taken_back";
    case scheduling_event::kRelocationPlanned:
      return "relocation_planned";
    case scheduling_event::kCancelDelayed:
      return "cancel_delayed";
    case scheduling_event::kCrashPresumed:
      return "crash_presumed";
    case scheduling_event::kCrashProved:
      return "crash_proved";
    case scheduling_event::kCrashWithdrawn:
      return "crash_withdrawn";
    case scheduling_event::kCrashSuspected:
      return "crash_suspected";
    case scheduling_event::kTaskGivenUp:
      return "task_given_up";
  }
  return "unknown";
}

std::string_view Name(jobs::claim_reason reason) {
  using jobs::claim_reason;
  switch (reason) {
    case claim_reason::kVacant:
      return "vacant";
    case claim_reason::kSilent:
      return "silent";
    case claim_reason::kMoreProcessorTime:
      return "more_processor_time";
  }
  return "unknown";
}

std::string_view Name(jobs::restart_obstacle obstacle) {
  using jobs::restart_obstacle;
  switch (obstacle) {
    case restart_obstacle::kNone:
      return "nothing";
    case restart_obstacle::kRetryDelay:
      return "retry_delay";
    case restart_obstacle::kUnstoredEnd:
      return "unstored_end";
    case restart_obstacle::kUnreportedWorkers:
      return "unreported_workers";
    case restart_obstacle::kNoUsableWorker:
      return "usable_worker";
    case restart_obstacle::kNoEligibleWorker:
      return "eligible_worker";
    case restart_obstacle::kPlacementPolicy:
      return "placement_policy";
    case restart_obstacle::kRoom:
      return "room";
    case restart_obstacle::kIsolation:
      return "isolation";
    case restart_obstacle::kLateStart:
      return "late_start";
    case restart_obstacle::kGangMembers:
      return "gang";
  }
  return "unknown";
}

std::string_view Name(jobs::restart_stage stage) {
  using jobs::restart_stage;
  switch (stage) {
    case restart_stage::kFirstStart:
      return "first_start";
    case restart_stage::kOwnership:
      return "ownership";
    case restart_stage::kTakeover:
      return "takeover";
    case restart_stage::kNextPass:
      return "next_pass";
    case restart_stage::kRetryDelay:
      return "retry_delay";
    case restart_stage::kUnstoredEnd:
      return "unstored_end";
    case restart_stage::kWorker:
      return "worker";
    case restart_stage::kPlacementPolicy:
      return "placement_policy";
    case restart_stage::kRoom:
      return "room";
    case restart_stage::kIsolation:
      return "isolation";
    case restart_stage::kGang:
      return "gang";
    case restart_stage::kLateStart:
      return "late_start";
    case restart_stage::kStartOrder:
      return "start_order";
  }
  return "unknown";
}

std::string_view Name(jobs::restart_release release) {
  using jobs::restart_release;
  switch (release) {
    case restart_release::kNone:
      return "";
    case restart_release::kNewWorker:
      return "new_worker";
    case restart_release::kReturnedWorker:
      return "returned_worker";
    case restart_release::kCancelledRun:
      return "cancelled_run";
    case restart_release::kEndedRun:
      return "ended_run";
    case restart_release::kOther:
      return "other";
  }
  return "unknown";
}

std::string_view Name(jobs::delegation_obstacle obstacle) {
  using jobs::delegation_obstacle;
  switch (obstacle) {
    case delegation_obstacle::kNone:
      return "nothing";
    case delegation_obstacle::kNotReady:
      return "not_ready";
    case delegation_obstacle::kGang:
      return "gang";
    case delegation_obstacle::kLabel:
      return "label";
    case delegation_obstacle::kPlacementPolicy:
      return "placement_policy";
    case delegation_obstacle::kRepeatingJob:
      return "repeating_job";
    case delegation_obstacle::kCheckpoint:
      return "checkpoint";
    case delegation_obstacle::kLateStart:
      return "late_start";
    case delegation_obstacle::kReturnLimit:
      return "return_limit";
    case delegation_obstacle::kShortWait:
      return "short_wait";
    case delegation_obstacle::kNoStatedRoom:
      return "no_stated_room";
  }
  return "unknown";
}

std::string_view Name(jobs::relocation_obstacle obstacle) {
  using jobs::relocation_obstacle;
  switch (obstacle) {
    case relocation_obstacle::kNone:
      return "nothing";
    case relocation_obstacle::kGang:
      return "gang";
    case relocation_obstacle::kPlacementPolicy:
      return "placement_policy";
    case relocation_obstacle::kLateStart:
      return "late_start";
    case relocation_obstacle::kFirstStart:
      return "first_start";
    case relocation_obstacle::kReservedRoom:
      return "reserved_room";
    case relocation_obstacle::kShortWait:
      return "short_wait";
    case relocation_obstacle::kSearchLimit:
      return "search_limit";
    case relocation_obstacle::kNoSmallerRun:
      return "no_smaller_run";
    case relocation_obstacle::kTooLittleRoom:
      return "too_little_room";
    case relocation_obstacle::kGangRun:
      return "gang_run";
    case relocation_obstacle::kImmovableRun:
      return "immovable_run";
    case relocation_obstacle::kKeptRoom:
      return "kept_room";
    case relocation_obstacle::kMovedLately:
      return "moved_lately";
    case relocation_obstacle::kRunLimit:
      return "run_limit";
    case relocation_obstacle::kDisruptionBudget:
      return "disruption_budget";
    case relocation_obstacle::kNoTarget:
      return "no_target";
  }
  return "unknown";
}

std::string_view Name(jobs::pass_end end) {
  using jobs::pass_end;
  switch (end) {
    case pass_end::kAllLookedAt:
      return "complete";
    case pass_end::kUnplacedLimit:
      return "unplaced_steps";
    case pass_end::kStartLimit:
      return "start_limit";
  }
  return "unknown";
}

std::string_view Name(answer_kind kind) {
  switch (kind) {
    case answer_kind::kAccepted:
      return "accepted";
    case answer_kind::kState:
      return "state";
    case answer_kind::kPending:
      return "pending";
    case answer_kind::kCancelled:
      return "cancelled";
    case answer_kind::kNoQueue:
      return "no_queue";
    case answer_kind::kNoJob:
      return "no_job";
    case answer_kind::kInvalid:
      return "invalid";
    case answer_kind::kNotRun:
      return "not_run";
    case answer_kind::kUncertain:
      return "uncertain";
  }
  return "unknown";
}

std::string_view Name(jobs::reported_state state) {
  using jobs::reported_state;
  switch (state) {
    case reported_state::kQueued:
      return "queued";
    case reported_state::kRunning:
      return "running";
    case reported_state::kCompleted:
      return "completed";
    case reported_state::kFailed:
      return "failed";
    case reported_state::kCancelled:
      return "cancelled";
  }
  return "unknown";
}

std::string_view Name(store_result result) {
  switch (result) {
    case store_result::kDone:
      return "done";
    case store_result::kRefused:
      return "refused";
    case store_result::kRejected:
      return "rejected";
    case store_result::kFenced:
      return "fenced";
    case store_result::kEndMoved:
      return "end_moved";
    case store_result::kOutOfSequence:
      return "out_of_sequence";
    case store_result::kNotSent:
      return "not_sent";
    case store_result::kNoAnswer:
      return "no_answer";
  }
  return "unknown";
}

std::string_view Name(topic_kind kind) {
  switch (kind) {
    case topic_kind::kConfiguration:
      return "configuration";
    case topic_kind::kWorkers:
      return "workers";
    case topic_kind::kFleetMap:
      return "fleet_map";
    case topic_kind::kJobs:
      return "jobs";
  }
  return "unknown";
}

std::string Format(const topic& source) {
  return source.kind == topic_kind::kJobs ? absl::StrCat("jobs.", source.cell)
                                          : std::string(Name(source.kind));
}

std::string Format(const jobs::run_ref& run) {
  if (run == jobs::run_ref()) {
    return {};
  }
  return run.run == 0 ? jobs::Format(run.task)
                      : absl::StrCat(jobs::Format(run.task), "/", run.run);
}

std::string Format(const jobs::queue_place& place) {
  return absl::StrCat("place ", place.place, " of ", place.tasks);
}

std::string FormatQueue(std::span<const jobs::queued_restart> restarts) {
  return absl::StrJoin(
      restarts, "; ",
      [](std::string* text, const jobs::queued_restart& restart) {
        absl::StrAppend(text, Format(restart.run), " ", Format(restart.place),
                        " waited_ms ", restart.waited.count(),
                        " need_millicores ", restart.need_millicores,
                        " waited_for ", ToAbsl(Name(restart.obstacle)));
      });
}

std::string FormatReasons(const jobs::restart_backlog& backlog) {
  return absl::StrJoin(
      backlog.by_obstacle, "; ", [](std::string* text, const auto& entry) {
        const auto& [obstacle, group] = entry;
        absl::StrAppend(text, ToAbsl(Name(obstacle)), " tasks ", group.tasks,
                        " need_millicores ", group.need_millicores,
                        " smallest_millicores ", group.smallest_need_millicores,
                        " longest_ms ", group.longest_wait.count());
      });
}

std::string Format(const jobs::restart_cause& cause) {
  std::string text = absl::StrCat("waited_for ", ToAbsl(Name(cause.obstacle)));
  if (cause.release != jobs::restart_release::kNone) {
    absl::StrAppend(&text, " released_by ", ToAbsl(Name(cause.release)));
  }
  if (cause.removed_run.run != 0) {
    absl::StrAppend(&text, " ", Format(cause.removed_run));
  }
  return text;
}

std::string Format(const jobs::longest_restart_stage& longest) {
  return absl::StrCat("longest_stage ", ToAbsl(Name(longest.stage)),
                      " stage_ms ", longest.time.count());
}

std::string Format(const jobs::relocation_refusal& refusal) {
  std::string text =
      absl::StrCat("no_relocation_for ", ToAbsl(Name(refusal.obstacle)));
  if (!refusal.runs.empty()) {
    absl::StrAppend(&text, " runs");
  }
  for (const auto& [obstacle, count] : refusal.runs) {
    absl::StrAppend(&text, " ", ToAbsl(Name(obstacle)), " ", count);
  }
  return text;
}

}  // namespace skylarkbridge::control
