#ifndef SKYLARKBRIDGE_CONTROL_EVENTS_HPP
#define SKYLARKBRIDGE_CONTROL_EVENTS_HPP

#include "skylarkbridge/base/event_log.hpp"

/// @brief Log events of the control state. Their ids are 5000 to 5199; each
/// lists its fields after its name.
namespace skylarkbridge::control {

inline constexpr event_definition kConfigurationInForce{
    5001, event_severity::kInfo, "configuration_in_force", "version queues"};
inline constexpr event_definition kRecordRejected{
    5002, event_severity::kWarning, "record_rejected", "topic offset error"};
inline constexpr event_definition kStoreLost{5003, event_severity::kWarning,
                                             "store_lost", "topic result"};
inline constexpr event_definition kStoreRegained{5004, event_severity::kInfo,
                                                 "store_regained", "topic"};
/// A record is larger than the store takes. If it is the progress of a job,
/// the job fails.
inline constexpr event_definition kRecordUnstorable{
    5007, event_severity::kWarning, "record_unstorable", "topic key bytes"};
inline constexpr event_definition kSnapshotRead{
    5005, event_severity::kInfo, "snapshot_read", "topic keys next"};
/// A topic was last read to its end `age_ms` ago; `failed` reads have failed
/// since.
inline constexpr event_definition kReadsBehind{5006, event_severity::kWarning,
                                               "reads_behind",
                                               "topic age_ms failed snapshot"};
inline constexpr event_definition kRequestAnswered{
    5010, event_severity::kInfo, "request_answered",
    "job method answer reason version"};
/// The owner of the cell that runs a job, or a VM that claims the cell, has
/// read its acceptance. `offset` is empty if that stands in the log of another
/// cell.
inline constexpr event_definition kJobKnown{
    5011, event_severity::kInfo, "job_known", "job queue cell offset"};
/// The same for the end of the job.
inline constexpr event_definition kJobEnded{5012, event_severity::kInfo,
                                            "job_ended", "job state offset"};
/// This VM sends a claim, which fails if the claim of another VM is stored
/// first.
inline constexpr event_definition kOwnershipClaimed{
    5020, event_severity::kInfo, "ownership_claimed", "cell epoch reason",
    log_class::kRare};
/// This VM has read its own claim from the log and owns the cell. `leased` is
/// the number of workers on which an earlier owner may have started tasks.
inline constexpr event_definition kOwnershipTaken{
    5021, event_severity::kInfo, "ownership_taken", "cell epoch jobs leased",
    log_class::kRare};
inline constexpr event_definition kOwnershipLost{5022, event_severity::kWarning,
                                                 "ownership_lost",
                                                 "cell epoch newest owner"};
/// A new claim or a release of any VM was read from the log.
inline constexpr event_definition kOwnerSeen{
    5023, event_severity::kInfo, "owner_seen", "cell epoch owner released"};
/// A fleet map was read and its cells were created.
inline constexpr event_definition kFleetDivided{5024, event_severity::kInfo,
                                                "fleet_divided", "cells racks"};
/// An append of a new fleet map is sent; another VM's map may be stored first.
inline constexpr event_definition kFleetMapWritten{
    5025, event_severity::kInfo, "fleet_map_written", "cells racks"};
/// Once a second for each cell that this VM owns. `passes`, `cut_by_room`,
/// `cut_by_limit` and `starts` count since the line before; `last_pass` is why
/// the last placement pass ended. `oldest_ms` counts from the end of the last
/// run of the task `oldest`, or else from the time at which this owner added
/// its job. The `kept_` fields are millicores that new tasks don't get.
inline constexpr event_definition kOwnerState{
    5026, event_severity::kInfo, "owner_state",
    "cell epoch jobs steps tasks oldest_ms oldest passes cut_by_room "
    "cut_by_limit last_pass not_reached starts in_flight limit workers usable "
    "free largest_free total long_running runs unconfirmed at_zero "
    "unstored_ends restarts "
    "restart_ms kept_restarts kept_relocations kept_others kept_silent "
    "kept_stops",
    log_class::kRare};
inline constexpr event_definition kWorkerListed{
    5030, event_severity::kInfo, "worker_listed", "worker address state rack"};
inline constexpr event_definition kWorkerUnlisted{5031, event_severity::kInfo,
                                                  "worker_unlisted", "worker"};
/// An entry of the list of workers could not be decoded. Lines are limited in
/// each second and for each worker.
inline constexpr event_definition kWorkerEntryRejected{
    5032, event_severity::kWarning, "worker_entry_rejected",
    "worker offset error"};
/// The whole list of the platform's machines was read, as an owner waits for
/// workers that may be gone.
inline constexpr event_definition kMachinesListed{
    5033, event_severity::kInfo, "machines_listed", "machines took_ms"};
inline constexpr event_definition kScheduling{
    5040, event_severity::kInfo, "scheduling",
    "what run worker detail cell epoch", log_class::kDecision};

/// A run of a cancelled job is still on its worker.
inline constexpr event_definition kCancelDelayed{
    5041, event_severity::kWarning, "cancel_delayed",
    "run worker detail cell epoch"};

/// Once a second for each cell in which a long-running task has waited for its
/// restart for over a second. `reasons` holds the same sums for the tasks that
/// wait for the same.
inline constexpr event_definition kRestartBacklog{
    5042, event_severity::kInfo, "restart_backlog",
    "cell epoch tasks need_millicores smallest_millicores longest_ms reasons",
    log_class::kRare};
/// The waiting tasks for which no line of the same second tells more, several
/// in a line. If there are too many for the second, they follow in turn.
inline constexpr event_definition kRestartQueue{
    5043, event_severity::kInfo, "restart_queue", "cell epoch restarts",
    log_class::kDecision};

inline constexpr event_definition kEvents[] = {kConfigurationInForce,
                                               kRecordRejected,
                                               kStoreLost,
                                               kStoreRegained,
                                               kSnapshotRead,
                                               kReadsBehind,
                                               kRecordUnstorable,
                                               kRequestAnswered,
                                               kJobKnown,
                                               kJobEnded,
                                               kOwnershipClaimed,
                                               kOwnershipTaken,
                                               kOwnershipLost,
                                               kOwnerSeen,
                                               kFleetDivided,
                                               kFleetMapWritten,
                                               kOwnerState,
                                               kWorkerListed,
                                               kWorkerUnlisted,
                                               kWorkerEntryRejected,
                                               kMachinesListed,
                                               kScheduling,
                                               kCancelDelayed,
                                               kRestartBacklog,
                                               kRestartQueue};

}  // namespace skylarkbridge::control

#endif  // SKYLARKBRIDGE_CONTROL_EVENTS_HPP
