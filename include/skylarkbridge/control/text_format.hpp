#ifndef SKYLARKBRIDGE_CONTROL_TEXT_FORMAT_HPP
#define SKYLARKBRIDGE_CONTROL_TEXT_FORMAT_HPP

#include <span>
#include <string>
#include <string_view>

#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/jobs/owner_state.hpp"
#include "skylarkbridge/jobs/ownership.hpp"
#include "skylarkbridge/jobs/restart_backlog.hpp"
#include "skylarkbridge/jobs/restart_stages.hpp"
#include "skylarkbridge/jobs/scheduling_note.hpp"

namespace skylarkbridge::control {

/// @brief Names for log lines and metrics.
std::string_view Name(jobs::scheduling_event event);
std::string_view Name(answer_kind kind);
std::string_view Name(jobs::reported_state state);
std::string_view Name(store_result result);
std::string_view Name(topic_kind kind);
std::string_view Name(jobs::claim_reason reason);
std::string_view Name(jobs::restart_obstacle obstacle);
std::string_view Name(jobs::restart_release release);
std::string_view Name(jobs::restart_stage stage);
std::string_view Name(jobs::pass_end end);
std::string_view Name(jobs::delegation_obstacle obstacle);
std::string_view Name(jobs::relocation_obstacle obstacle);
/// @brief "jobs.CELL" for the jobs of a cell, else the name of the kind.
std::string Format(const topic& source);

/// @brief "JOB.OCCURRENCE.STEP.INDEX/RUN"; empty when the run number is zero.
std::string Format(const jobs::run_ref& run);
/// @brief "place N of M".
std::string Format(const jobs::queue_place& place);
/// @brief "RUN place N of M waited_ms N need_millicores N waited_for OBSTACLE"
/// for each task, separated by "; ".
std::string FormatQueue(std::span<const jobs::queued_restart> restarts);
/// @brief "OBSTACLE tasks N need_millicores N smallest_millicores N longest_ms
/// N" for each obstacle, separated by "; ".
std::string FormatReasons(const jobs::restart_backlog& backlog);
/// @brief "waited_for OBSTACLE", with "released_by RELEASE" where it applies,
/// and the run that left the worker.
std::string Format(const jobs::restart_cause& cause);
/// @brief "longest_stage STAGE stage_ms N".
std::string Format(const jobs::longest_restart_stage& longest);
/// @brief "no_relocation_for OBSTACLE", followed by "runs" and the number of
/// runs for each obstacle where a search has looked at runs.
std::string Format(const jobs::relocation_refusal& refusal);

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_TEXT_FORMAT_HPP
