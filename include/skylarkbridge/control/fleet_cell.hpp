#ifndef SKYLARKBRIDGE_CONTROL_FLEET_CELL_HPP
#define SKYLARKBRIDGE_CONTROL_FLEET_CELL_HPP

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_set.h"
#include "absl/strings/str_cat.h"
#include "skylarkbridge/base/failure.hpp"
#include "skylarkbridge/base/string_view.hpp"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/control/control_metrics.hpp"
#include "skylarkbridge/control/control_options.hpp"
#include "skylarkbridge/control/events.hpp"
#include "skylarkbridge/control/owner_writer.hpp"
#include "skylarkbridge/control/ports.hpp"
#include "skylarkbridge/control/request_writer.hpp"
#include "skylarkbridge/control/text_format.hpp"
#include "skylarkbridge/control/topic_follower.hpp"
#include "skylarkbridge/jobs/fleet_scheduler.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"
#include "skylarkbridge/jobs/ownership.hpp"
#include "skylarkbridge/records/job_record_codec.hpp"

namespace skylarkbridge::control {

/// @brief The state that one VM keeps of one cell: the jobs rebuilt from the
/// cell's log, the requests of callers that are not stored yet, the ownership,
/// and the scheduler while this VM owns the cell.
///
/// All cells run on the control thread and are otherwise independent: each has
/// its own jobs, workers, epochs and topic.
template <fleet_platform Platform>
class fleet_cell {
 public:
  fleet_cell(const control_options& options,
             jobs::cell_id cell,
             const jobs::fleet_map& map,
             Platform& platform,
             control_metrics& metrics)
      : options_(options),
        cell_(cell),
        map_(map),
        follower_pause_(FollowerPause(options, map.cells)),
        platform_(platform),
        metrics_(metrics),
        follower_({topic_kind::kJobs, cell},
                  {.wait = kTailWait, .pause = follower_pause_},
                  options),
        registry_(cell),
        ownership_(options.ownership),
        scheduler_(options.scheduler),
        request_writer_(options.request_writer),
        writer_({.retry_delay = options.owner_writer.retry_delay,
                 .interval = WriteInterval(options, map.cells)}) {}
  fleet_cell(const fleet_cell&) = delete;
  fleet_cell& operator=(const fleet_cell&) = delete;

  /// @brief Handles the store's reply to an append.
  /// @return the requests of callers whose outcome is now known.
  std::vector<request_outcome> Handle(const append_reply& reply,
                                      time_point now);
  /// @brief Applies the records that a read of the cell's log returned.
  void Handle(read_reply reply, time_point now, wall_time wall);
  /// @brief Returns and clears the records of this cell's log that another cell
  /// has to apply as well: those of jobs that run in another cell, or whose
  /// home (the cell whose log accepts and cancels them) is another cell.
  std::vector<jobs::log_record> TakeCrossCellRecords() {
    return std::exchange(cross_cell_records_, {});
  }
  /// @brief Applies a record that was read from the log of another cell.
  void ApplyCrossCellRecord(jobs::log_record record,
                            time_point now,
                            wall_time wall);
  /// @brief Returns and clears the jobs that this cell runs, whose state has
  /// changed, and of which tasks are delegated to other cells. Those that were
  /// dropped are included.
  std::set<jobs::job_id> TakeChangedDelegatingJobs() {
    return std::exchange(changed_delegating_jobs_, {});
  }
  /// @brief Applies the state of a job of which tasks are delegated to this
  /// cell.
  void ApplyDelegatedJob(jobs::job_id job,
                         const jobs::job_state& running,
                         time_point now,
                         wall_time wall);
  /// @brief Drops a job of which this cell only runs delegated tasks.
  void DropDelegatedJob(jobs::job_id job, time_point now);
  /// @brief What the cell's owner has stated about room for tasks of other
  /// cells; nullopt without a statement.
  std::optional<jobs::stated_room> StatedRoom() const;
  void SetRoomInOtherCells(std::vector<jobs::stated_room> rooms) {
    scheduler_.SetRoomInOtherCells(std::move(rooms));
  }
  /// @brief See fleet_scheduler::SetOtherLogsReadUntil.
  void SetOtherLogsReadUntil(std::optional<time_point> until) {
    other_logs_read_until_ = until;
    scheduler_.SetOtherLogsReadUntil(until);
  }
  /// @brief The delegated tasks that this cell has given back, by its log.
  const std::vector<jobs::returned_task>& ReturnedTasks() const {
    return returned_.tasks;
  }
  /// @brief The cell @p from has given back a task of a job that this cell may
  /// run.
  void TaskReturned(jobs::cell_id from,
                    const jobs::returned_task& returned,
                    time_point now) {
    scheduler_.TaskReturned(from, returned, now);
  }
  /// @brief The return of a task needs no record any more.
  void ReturnSettled(const jobs::returned_task& returned, time_point now) {
    scheduler_.ReturnSettled(returned, now);
  }
  /// @brief The return of a task still needs its record.
  void ReturnUnsettled(const jobs::returned_task& returned) {
    scheduler_.ReturnUnsettled(returned);
  }
  /// @brief Passes the reply to an order on to the scheduler.
  template <class OrderReply>
  void Handle(const OrderReply& reply, time_point now) {
    scheduler_.Handle(reply, now);
  }

  void Configure(std::shared_ptr<const jobs::fleet_configuration> next) {
    configuration_ = std::move(next);
    scheduler_.Configure(configuration_);
  }
  void SetSchedulerOptions(const jobs::fleet_scheduler_options& options) {
    scheduler_.SetOptions(options);
  }
  void WorkerListed(const jobs::worker_entry& entry, time_point now);
  /// @brief The worker's newest entry in the list could not be decoded.
  void WorkerEntryRejected(const std::string& worker) {
    scheduler_.WorkerEntryRejected(worker);
  }
  void WorkerUnlisted(const std::string& worker, time_point now);
  /// @brief Marks the known workers that are missing from @p listed, a complete
  /// list, as unlisted.
  void UnlistMissingWorkers(const std::set<std::string>& listed,
                            time_point now);
  /// @brief Returns and clears whether the cell needs the list of workers, as
  /// after this VM has become its owner.
  bool TakeWorkerListRequest() {
    return std::exchange(worker_list_needed_, false);
  }

  /// @brief Whether the cell waits for a reading of the list of machines.
  bool NeedsMachineList(time_point now) const {
    return scheduler_.NeedsMachineList(now);
  }
  /// @brief Applies a whole reading of the list of machines.
  void MachinesListed(const jobs::machine_list& list) {
    scheduler_.MachinesListed(list);
  }

  /// @brief Queues a caller's record for an append to the cell's log. Returns
  /// false when the store can't take it now.
  bool EnqueueAppend(const pending_request& item, time_point now) {
    return request_writer_.Add(item, now);
  }
  /// @brief Whether an earlier request with the same record was abandoned
  /// after an append without an answer, so that the record is possibly stored.
  bool MayBeStored(const records::keyed_record& record) const {
    return request_writer_.MayBeStored(record);
  }
  /// @brief Removes and returns the requests whose deadline has passed.
  std::vector<request_outcome> Expire(time_point now) {
    return request_writer_.Expire(now);
  }

  /// @brief Claims or keeps the ownership, runs the scheduler, and sends its
  /// orders.
  /// @param other_owned_cells number of other cells that this VM owns or
  /// claims.
  /// @param all_read_until time up to which the logs of all cells and the
  /// configuration have been read; empty while one has not been read to its
  /// end, and then this VM claims nothing. An owner needs them all, as jobs
  /// that its cell runs may be recorded in the logs of other cells.
  void Run(std::size_t other_owned_cells,
           std::optional<time_point> all_read_until,
           time_point now,
           wall_time wall);
  /// @brief Sends the appends and reads that are due.
  /// @param may_read_snapshot false while a snapshot of another cell's log is
  /// due: a VM reads them one at a time, as those of all cells at once are too
  /// much for a slow link within the time limit of a read.
  void SendCalls(bool may_read_snapshot, time_point now);
  /// @brief When Run and SendCalls are next due; time_point::max() when nothing
  /// is pending.
  time_point NextDeadline(time_point now) const;
  /// @brief Releases the ownership and makes no further claim.
  void BeginStop(time_point now);
  /// @brief Requests a read of the log that is sent after this call, so that
  /// its result is not older than the call.
  void RequestRefresh() { refresh_requested_ = true; }

  bool IsOwner() const { return ownership_.IsOwner(); }
  /// @brief Whether this VM owns the cell or has a claim under way.
  bool IsOwnerOrClaiming() const { return claiming_ || ownership_.IsOwner(); }
  /// @brief Whether the cell's scheduler runs on this VM.
  bool Active() const { return scheduler_.Active(); }
  /// @brief Whether an owner of the cell may have started tasks on the worker,
  /// by the cell's log.
  bool MayRunTasksOn(const std::string& worker) const {
    return leased_ids_.contains(worker);
  }
  jobs::epoch NewestEpoch() const { return ownership_.NewestEpoch(); }
  /// @brief Whether no request of a caller is left to write, and the release,
  /// if any, has been written.
  bool Drained() const {
    return request_writer_.Idle() && !pending_release_ &&
           (!releasing_ || writer_.Idle());
  }
  /// @brief Returns how long ago the log was read to its end, and logs when
  /// the reads are behind.
  std::chrono::milliseconds ReportLogAge(time_point now) {
    return follower_.ReportAge(now);
  }
  std::size_t WaitingRequests() const { return request_writer_.Waiting(); }
  const jobs::topic_reader& Reader() const { return follower_.Reader(); }
  const jobs::job_registry& Registry() const { return registry_; }
  const jobs::fleet_scheduler& Scheduler() const { return scheduler_; }

 private:
  /// How long the store may hold a read at the end of the log until there is a
  /// new record.
  static constexpr std::chrono::milliseconds kTailWait{800};
  /// A VM that has read the other logs earlier than this claims no cell: it may
  /// not know that a delegated task was given back, the record of which is
  /// removed after twice this time.
  static constexpr std::chrono::seconds kMaxClaimReadAge{30};
  /// Age at which a statement of room is not used any more. An owner confirms
  /// it every 400 ms.
  static constexpr std::chrono::milliseconds kMaxRoomAge{2000};
  /// Interval of the lines on the state of the owner.
  static constexpr std::chrono::milliseconds kStateInterval{1000};

  // Following the log.
  void ApplyRecords(const jobs::reader_update& update,
                    time_point now,
                    wall_time wall);
  void ApplyRecord(jobs::log_record record,
                   std::uint64_t offset,
                   time_point now,
                   wall_time wall);
  void Apply(jobs::job_accepted record,
             std::uint64_t offset,
             time_point now,
             wall_time wall);
  void Apply(const jobs::job_cancelled& record,
             std::uint64_t offset,
             time_point now);
  void Apply(jobs::job_advanced record, std::uint64_t offset, time_point now);
  void Apply(const jobs::job_dropped& record);
  void Apply(const jobs::ownership_record& record, time_point now);
  /// The record with which a known job was accepted.
  jobs::job_accepted AcceptedRecord(jobs::job_id job) const;
  void DropMissingJobs(const std::set<std::string>& keys);
  /// Records that the state of a job changes, if this cell runs the job and has
  /// delegated tasks of it.
  void NoteDelegatingJob(jobs::job_id job);

  // Ownership.
  void MaintainOwnership(std::size_t other_owned_cells,
                         std::optional<time_point> all_read_until,
                         time_point now,
                         wall_time wall);
  void HandleClaimReply(const append_reply& reply, time_point now);
  void BeginOwnership(time_point now, wall_time wall);
  void LoseOwnership(std::string_view reason);
  void WriteOwnerRecords(std::size_t other_owned_cells, time_point now);
  /// The jobs whose records this cell's log needs no more. A job is dropped by
  /// its home cell first: a VM that finds its acceptance and no progress would
  /// run it again.
  std::vector<jobs::job_id> JobsToDrop(time_point now) const;
  /// Handles a record that the store never takes; to repeat it would hold up
  /// all others for good. The job whose progress it is fails. Returns the
  /// record of that, to be written with the others.
  std::optional<records::keyed_record> FailUnstorable(
      const records::keyed_record& record);
  void SendOrders(time_point now);
  time_point OrderDeadline(const jobs::order& order, time_point now) const;
  void Send(append_call append, time_point now);

  // The event log.
  /// Counts a job that this cell runs, and logs it if this VM owns or claims
  /// the cell: the lines of all VMs would be more than those of all decisions.
  /// @param offset in the cell's log; nullopt in that of another cell.
  void LogJobKnown(jobs::job_id job, std::optional<std::uint64_t> offset);
  /// The same for the end of such a job.
  void LogJobEnded(jobs::job_id job, std::optional<std::uint64_t> offset);
  void LogSchedulingNotes();
  /// Logs the report on waiting restarts, if there is a new one.
  void LogRestartReport();
  void LogQueuedRestarts(std::span<const jobs::queued_restart> restarts);
  /// Logs the state of the owner once a second, and sets the gauges of the room
  /// that it keeps.
  void LogState(time_point now);
  std::string FormatCell() const { return absl::StrCat(cell_); }

  const control_options options_;
  const jobs::cell_id cell_;
  const jobs::fleet_map& map_;
  const std::chrono::milliseconds follower_pause_;
  Platform& platform_;
  control_metrics& metrics_;
  std::shared_ptr<const jobs::fleet_configuration> configuration_;
  topic_follower follower_;
  jobs::job_registry registry_;
  jobs::leased_workers leased_;
  jobs::returned_tasks returned_;
  /// When leased_ was first read.
  time_point leased_read_at_;
  /// The workers in leased_.
  absl::flat_hash_set<std::string> leased_ids_;
  jobs::ownership ownership_;
  jobs::fleet_scheduler scheduler_;
  request_writer request_writer_;
  owner_writer writer_;
  std::vector<jobs::log_record> cross_cell_records_;
  std::set<jobs::job_id> changed_delegating_jobs_;
  /// Ended jobs of other home cells whose progress stands in this cell's log
  /// while their acceptance is not known, each with the time since when. Either
  /// it has not been read yet, or the home cell has dropped the job.
  std::map<jobs::job_id, time_point> progress_without_job_;
  std::optional<time_point> other_logs_read_until_;
  bool refresh_requested_ = false;
  /// The snapshot of this cell waits for that of another cell.
  bool snapshot_deferred_ = false;
  bool worker_list_needed_ = false;

  std::uint64_t last_append_number_ = 0;
  /// Send times of the appends in flight, by append number.
  std::map<std::uint64_t, time_point> append_sent_at_;
  /// A claim is under way. It takes effect once it is read from the log.
  bool claiming_ = false;
  /// This VM's claim has been read from the log; the next Run begins the
  /// ownership.
  bool own_claim_read_ = false;
  time_point claim_sent_at_;
  /// An attempt to write the claim had no answer, so the claim is possibly
  /// stored.
  bool claim_in_doubt_ = false;
  /// When the store rejected the repeat of a claim in doubt. A later read of
  /// the log shows whether the claim is stored.
  std::optional<time_point> claim_refused_at_;
  /// Identifies the scheduler's records in the owner's last write; passed to
  /// scheduler_.RecordsStored() once they are stored.
  std::uint64_t written_batch_number_ = 0;
  /// The release has been passed to the writer.
  bool releasing_ = false;
  /// The release, held back while an earlier write is under way.
  std::optional<records::keyed_record> pending_release_;
  bool stopping_ = false;
  time_point next_state_line_;
  /// The counts of the last line on the state of the owner.
  jobs::placement_counts logged_counts_;
};

}  // namespace skylarkbridge::control

#include "skylarkbridge/control/fleet_cell_lines.hpp"
#include "skylarkbridge/control/fleet_cell_log.hpp"
#include "skylarkbridge/control/fleet_cell_owner.hpp"

#endif  // SKYLARKBRIDGE_CONTROL_FLEET_CELL_HPP
