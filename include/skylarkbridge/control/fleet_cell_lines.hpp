#ifndef SKYLARKBRIDGE_CONTROL_FLEET_CELL_LINES_HPP
#define SKYLARKBRIDGE_CONTROL_FLEET_CELL_LINES_HPP

#include "skylarkbridge/control/fleet_cell.hpp"

/// @brief Member functions of fleet_cell that write the event log on its jobs
/// and its scheduler.
namespace skylarkbridge::control {

template <fleet_platform Platform>
void fleet_cell<Platform>::LogJobKnown(jobs::job_id job,
                                       std::optional<std::uint64_t> offset) {
  metrics_.jobs_read.Add();
  if (!IsOwnerOrClaiming()) {
    return;
  }
  const jobs::job_state& state = *registry_.Find(job);
  LogEvent(kJobKnown, {{"job", jobs::Format(job)},
                       {"queue", state.queue},
                       {"cell", FormatCell()},
                       {"offset", offset ? absl::StrCat(*offset) : ""}});
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LogJobEnded(jobs::job_id job,
                                       std::optional<std::uint64_t> offset) {
  metrics_.job_ends_read.Add();
  if (!IsOwnerOrClaiming()) {
    return;
  }
  const auto state =
      registry_.ReportedState(job).value_or(jobs::reported_state::kFailed);
  LogEvent(kJobEnded, {{"job", jobs::Format(job)},
                       {"state", std::string(Name(state))},
                       {"offset", offset ? absl::StrCat(*offset) : ""}});
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LogSchedulingNotes() {
  for (const jobs::scheduling_note& note : scheduler_.TakeNotes()) {
    metrics_.Count(note.event);
    std::string detail = note.detail;
    if (note.restart_wait) {
      metrics_.restart_seconds.Record(*note.restart_wait);
      metrics_.Count(*note.restart_cause);
      absl::StrAppend(&detail, " waited_ms ", note.restart_wait->count());
    }
    if (note.queue_place) {
      absl::StrAppend(&detail, " ", Format(*note.queue_place));
    }
    if (note.restart_cause) {
      absl::StrAppend(&detail, " ", Format(*note.restart_cause));
    }
    if (note.delegation_obstacle) {
      absl::StrAppend(&detail, " stays_for ",
                      ToAbsl(Name(*note.delegation_obstacle)));
    }
    if (note.relocation_refusal) {
      absl::StrAppend(&detail, " ", Format(*note.relocation_refusal));
    }
    if (note.longest_stage) {
      absl::StrAppend(&detail, " ", Format(*note.longest_stage));
    }
    LogEvent(kScheduling, {{"what", std::string(Name(note.event))},
                           {"run", Format(note.run)},
                           {"worker", note.worker},
                           {"detail", std::move(detail)},
                           {"cell", FormatCell()},
                           {"epoch", absl::StrCat(ownership_.OwnEpoch())}});
  }
  metrics_.Count(scheduler_.TakeRestartStages());
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LogRestartReport() {
  const std::optional<jobs::restart_report> report =
      scheduler_.TakeRestartReport();
  if (!report) {
    return;
  }
  const jobs::restart_group& all = report->backlog.all;
  LogEvent(kRestartBacklog,
           {{"cell", FormatCell()},
            {"epoch", absl::StrCat(ownership_.OwnEpoch())},
            {"tasks", absl::StrCat(all.tasks)},
            {"need_millicores", absl::StrCat(all.need_millicores)},
            {"smallest_millicores", absl::StrCat(all.smallest_need_millicores)},
            {"longest_ms", absl::StrCat(all.longest_wait.count())},
            {"reasons", FormatReasons(report->backlog)}});
  LogQueuedRestarts(report->others);
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LogQueuedRestarts(
    std::span<const jobs::queued_restart> restarts) {
  // A longer line could exceed the 4 KB that are written of one.
  constexpr std::size_t kRestartsPerLine = 24;
  for (std::size_t first = 0; first < restarts.size();
       first += kRestartsPerLine) {
    const std::size_t count =
        std::min(kRestartsPerLine, restarts.size() - first);
    LogEvent(kRestartQueue,
             {{"cell", FormatCell()},
              {"epoch", absl::StrCat(ownership_.OwnEpoch())},
              {"restarts", FormatQueue(restarts.subspan(first, count))}});
  }
}

template <fleet_platform Platform>
void fleet_cell<Platform>::LogState(time_point now) {
  if (now < next_state_line_) {
    return;
  }
  next_state_line_ = now + kStateInterval;
  const jobs::owner_state state = scheduler_.State(now);
  const jobs::placement_counts counts = state.counts.Since(logged_counts_);
  logged_counts_ = state.counts;
  metrics_.SetKeptRoom(cell_, state.kept);
  const auto text = [](auto number) { return absl::StrCat(number); };
  LogEvent(kOwnerState,
           {{"cell", FormatCell()},
            {"epoch", text(ownership_.OwnEpoch())},
            {"jobs", text(state.open_jobs)},
            {"steps", text(state.ready.steps)},
            {"tasks", text(state.ready.tasks)},
            {"oldest_ms", text(state.ready.oldest_wait.count())},
            {"oldest", Format(jobs::run_ref{state.ready.oldest, 0})},
            {"passes", text(counts.passes)},
            {"cut_by_room", text(counts.cut_by_unplaced_steps)},
            {"cut_by_limit", text(counts.cut_by_start_limit)},
            {"last_pass", std::string(Name(state.pass.ended_by))},
            {"not_reached", text(state.pass.not_reached)},
            {"starts", text(counts.starts)},
            {"in_flight", text(state.starts_in_flight)},
            {"limit", text(state.start_limit)},
            {"workers", text(state.workers)},
            {"usable", text(state.usable_workers)},
            {"free", text(state.free_millicores)},
            {"largest_free", text(state.largest_free_millicores)},
            {"total", text(state.total_millicores)},
            {"long_running", text(state.long_running_millicores)},
            {"runs", text(state.runs.all)},
            {"unconfirmed", text(state.runs.unconfirmed)},
            {"at_zero", text(state.runs.at_zero_speed)},
            {"unstored_ends", text(state.runs.unstored_ends)},
            {"restarts", text(state.waiting_restarts)},
            {"restart_ms", text(state.longest_restart_wait.count())},
            {"kept_restarts", text(state.kept.for_restarts)},
            {"kept_relocations", text(state.kept.for_relocations)},
            {"kept_others", text(state.kept.for_other_tasks)},
            {"kept_silent", text(state.kept.for_silent_workers)},
            {"kept_stops", text(state.kept.by_stops)}});
}

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_FLEET_CELL_LINES_HPP
