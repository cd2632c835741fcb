#ifndef SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/cell_room.hpp"
#include "skylarkbridge/jobs/delegation_targets.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/fleet_scheduler_options.hpp"
#include "skylarkbridge/jobs/interference_model.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"
#include "skylarkbridge/jobs/job_table.hpp"
#include "skylarkbridge/jobs/kept_room.hpp"
#include "skylarkbridge/jobs/late_start_watch.hpp"
#include "skylarkbridge/jobs/late_starts.hpp"
#include "skylarkbridge/jobs/machine_list.hpp"
#include "skylarkbridge/jobs/orders.hpp"
#include "skylarkbridge/jobs/owner_state.hpp"
#include "skylarkbridge/jobs/permit_cache.hpp"
#include "skylarkbridge/jobs/placement.hpp"
#include "skylarkbridge/jobs/placement_pass.hpp"
#include "skylarkbridge/jobs/placement_summary.hpp"
#include "skylarkbridge/jobs/placement_sweep.hpp"
#include "skylarkbridge/jobs/preemption.hpp"
#include "skylarkbridge/jobs/presumed_crash.hpp"
#include "skylarkbridge/jobs/relocation.hpp"
#include "skylarkbridge/jobs/relocation_obstacle.hpp"
#include "skylarkbridge/jobs/restart_backlog.hpp"
#include "skylarkbridge/jobs/restart_cause.hpp"
#include "skylarkbridge/jobs/restart_stages.hpp"
#include "skylarkbridge/jobs/scheduling_note.hpp"
#include "skylarkbridge/jobs/start_limit.hpp"
#include "skylarkbridge/jobs/stated_room.hpp"
#include "skylarkbridge/jobs/target_violation.hpp"
#include "skylarkbridge/jobs/task_returns.hpp"
#include "skylarkbridge/jobs/unmatched_ends.hpp"
#include "skylarkbridge/jobs/worker_session.hpp"

namespace skylarkbridge::jobs {

/// @brief Schedules the tasks of all open jobs on the workers of the fleet.
/// Used by the VM that owns the fleet.
///
/// Does no input or output: callers pass events with the time, and take the
/// orders for the workers, the log records and the notes that result. The
/// reports of the workers are authoritative for running tasks, the log for
/// ended ones.
class fleet_scheduler {
 public:
  explicit fleet_scheduler(fleet_scheduler_options options);

  /// @brief Starts scheduling when this VM has become the owner of the fleet.
  /// @param registry all jobs; must stay valid until EndOwnership.
  /// @param leased workers on which earlier owners may have started tasks.
  /// @param leased_read_at when the record @p leased was read.
  /// @param earlier_orders_until latest time at which an earlier owner sends
  /// orders.
  void BeginOwnership(epoch owned_epoch,
                      const job_registry& registry,
                      const leased_workers& leased,
                      time_point leased_read_at,
                      time_point earlier_orders_until,
                      time_point now,
                      wall_time wall);
  /// @brief Stops scheduling and discards the jobs, workers, permits and
  /// pending orders.
  void EndOwnership();
  bool Active() const { return active_; }
  /// @brief Epoch of this VM's ownership; meaningful while active.
  epoch OwnedEpoch() const { return epoch_; }
  /// @brief Replaces the options; they apply to later leases and orders.
  void SetOptions(const fleet_scheduler_options& options) {
    options_ = options;
  }

  /// @brief Replaces the queues and their settings.
  void Configure(std::shared_ptr<const fleet_configuration> configuration);
  /// @brief Allows orders until @p until.
  /// @param confirmed time of the last log read that showed this VM as owner.
  void AllowOrders(time_point confirmed, time_point until) {
    ownership_confirmed_ = confirmed;
    orders_until_ = until;
  }

  /// @brief Sets the time up to which this VM has read the logs of the other
  /// cells; nullopt while one has not been read to its end. Runs of jobs that
  /// are not known are left alone, and their ends not acknowledged, until the
  /// logs have been read for longer than the runs have been reported.
  void SetOtherLogsReadUntil(std::optional<time_point> until) {
    other_logs_read_until_ = until;
  }

  /// @brief Whether a list of machines, requested now, may show that a worker
  /// is gone: one of an earlier owner for which tasks wait, one that is silent,
  /// or one that may have crashed.
  bool NeedsMachineList(time_point now) const;
  /// @brief A list of machines was read. Workers of earlier owners and silent
  /// ones that neither this list nor the one before it names count as gone;
  /// both have to be requested after the last order of earlier owners.
  void MachinesListed(const machine_list& list);

  /// @brief Adds a job.
  /// @param may_have_run whether an earlier owner may have started tasks of it,
  /// because the job was accepted in the log of another cell.
  void JobAccepted(job_id job,
                   const job_state& state,
                   bool may_have_run,
                   time_point now,
                   wall_time wall);
  /// @brief Takes over the tasks of a job that another cell has delegated to
  /// this one. Has no effect on those that were taken over before.
  void TasksDelegated(job_id job,
                      const job_state& state,
                      time_point now,
                      wall_time wall);
  /// @brief Keeps the delegated tasks that earlier owners have given back from
  /// starting. Call after BeginOwnership.
  /// @param record the last record of them.
  void BeginReturns(const returned_tasks& record);
  /// @brief The cell @p from has given back a task. Has no effect unless this
  /// cell runs its job and the task is still delegated to that cell.
  void TaskReturned(cell_id from,
                    const returned_task& returned,
                    time_point now);
  /// @brief The delegated tasks that this cell has given back.
  std::vector<returned_task> ReturnedTasks() const { return returns_.Tasks(); }
  /// @brief The return of a task needs no record any more; see IsSettled.
  void ReturnSettled(const returned_task& returned, time_point now) {
    returns_.Settle(returned, now);
  }
  /// @brief The return still needs its record.
  void ReturnUnsettled(const returned_task& returned) {
    returns_.Unsettle(returned);
  }
  /// @brief Replaces what the owners of other cells have stated about their
  /// room.
  void SetRoomInOtherCells(std::vector<stated_room> rooms) {
    delegation_targets_.SetRooms(std::move(rooms));
  }
  /// @brief Returns the largest pieces of room that the workers have, or can
  /// have once batch work is stopped, for long-running tasks of other cells.
  room_pieces RoomForOtherCells(time_point now) const;
  /// @brief Removes a job and stops its runs.
  void JobCancelled(job_id job, time_point now);

  /// @brief Adds or updates a worker in the platform's list.
  void WorkerListed(const worker_entry& entry, time_point now);
  /// @brief Records that the worker's newest entry could not be decoded. Its
  /// runs go on. Does nothing for an unknown worker.
  void WorkerEntryRejected(const std::string& worker);
  /// @brief Records that the platform's list no longer contains the worker.
  void WorkerUnlisted(const std::string& worker, time_point now);

  /// @brief Applies the result of an order or of a permit request.
  void Handle(const renew_reply& reply, time_point now);
  void Handle(const start_reply& reply, time_point now);
  void Handle(const stop_reply& reply, time_point now);
  void Handle(const pace_reply& reply, time_point now);
  void Handle(const permit_reply& reply, time_point now);

  /// @brief Whether a worker has refused an order because it has seen the
  /// fencing token of a later owner, or this owner has no further token. Either
  /// ends the ownership.
  bool Fenced() const { return fenced_; }

  /// @brief Renews leases, retries stop orders, drops runs whose lease has
  /// expired, and places ready tasks. Call after each batch of events and at
  /// NextDeadline.
  void Run(time_point now, wall_time wall);
  /// @brief Latest time at which Run should be called again.
  time_point NextDeadline(time_point now) const;

  /// @brief Earliest time of the next placement pass.
  time_point NextPass() const { return next_pass_; }
  /// @brief What the last placement pass did.
  const placement_summary& LastPass() const { return last_summary_; }

  /// @brief Returns the orders since the last call.
  std::vector<order> TakeOrders();
  /// @brief Returns the notes since the last call.
  std::vector<scheduling_note> TakeNotes();

  /// @brief Starts a log write and returns its records, which may be none.
  /// WriteNumber() then returns its number. Call when the previous write is
  /// durable.
  std::vector<log_record> TakeRecords(time_point now);
  bool HasRecords() const;
  /// @brief Number of the last log write.
  std::uint64_t WriteNumber() const { return write_number_; }
  /// @brief Marks the log writes up to @p number as durable.
  void RecordsStored(std::uint64_t number, time_point now);

  /// @brief Fails a job whose progress is larger than any record that the store
  /// takes. Returns false when the job is not open here.
  bool FailJobWithoutProgress(job_id job);

  /// @brief Number of workers that can get new tasks.
  std::size_t UsableWorkers(time_point now) const;
  /// @brief Number of long-running tasks that wait for their restart.
  std::size_t WaitingRestarts() const;
  /// @brief What kept a long-running task from starting in the last placement
  /// pass; kNone for one that did not wait then.
  restart_obstacle RestartObstacle(const task_ref& task) const;
  /// @brief How long the one that waits longest has waited; zero without one.
  std::chrono::milliseconds LongestRestartWait(time_point now) const;
  /// @brief By stage, the longest time that one of the long-running tasks that
  /// wait has spent in it so far. During a takeover also those count of which
  /// it is not known whether they run.
  restart_stage_times LongestRestartStages(time_point now) const;
  /// @brief Number of long-running tasks whose wait is accounted to stages.
  std::size_t AccountedRestarts() const { return restart_stages_.Size(); }
  /// @brief Returns the waits by stage that have ended since the last call, and
  /// counts those that have exceeded a limit.
  restart_stage_report TakeRestartStages() { return restart_stages_.Take(); }
  /// @brief Returns the report on waiting restarts since the last call, if
  /// there is one.
  std::optional<restart_report> TakeRestartReport();
  /// @brief Number of workers of an earlier owner that have not sent a report.
  std::size_t UnreportedWorkers() const { return unreported_workers_.size(); }
  /// @brief How long tasks have waited for these; zero without one.
  std::chrono::milliseconds TakeoverWait(time_point now) const;
  /// @brief The free room of the workers that can get new tasks.
  cell_room FreeRoom(time_point now) const;
  /// @brief The backlog, the last placement pass and the use of the workers.
  owner_state State(time_point now) const;
  /// @brief The tasks that may start now.
  ready_backlog ReadyBacklog(time_point now) const;
  /// @brief The limit on starts that wait for an answer.
  const start_limit& StartLimit() const { return start_limit_; }
  const job_table& Jobs() const { return jobs_; }
  const std::map<std::string, worker_session>& Workers() const {
    return workers_;
  }

 private:
  using session_map = std::map<std::string, worker_session>;

  // Workers and their reports.
  void Renew(worker_session& session, time_point now);
  /// When the next renewal is due; nullopt while the answer to the last one is
  /// awaited.
  static std::optional<time_point> RenewalDue(const worker_session& session);
  /// Whether the reply belongs to an open renewal and decides its outcome.
  static bool IsOpenRenewal(const worker_session& session,
                            const renew_reply& reply);
  /// Schedules the next renewal of a worker that has left one unanswered.
  void RetryRenewal(worker_session& session, time_point now);
  /// The retries of the worker's renewals so far.
  silent_worker SilentWorker(const worker_session& session,
                             time_point now) const;
  /// Whether a start without an answer, also one that is still under way, may
  /// reach the worker.
  bool MayReceiveLateStart(const worker_session& session, time_point now) const;
  /// The number up to which the next renewal acknowledges ended runs; zero for
  /// none.
  static std::uint64_t EndsToAcknowledge(const worker_session& session);
  void ApplyReport(worker_session& session,
                   std::uint64_t renewal_number,
                   const worker_report& report,
                   time_point now);
  void ApplyEndedRuns(worker_session& session,
                      const worker_report& report,
                      time_point now);
  void ApplyEndedRun(worker_session& session,
                     const ended_task& end,
                     time_point now);
  /// Records the end of a run that is on no worker any more.
  void RecordEnd(const ended_task& end, time_point now);
  /// Lets the ends of the worker, up to the first unmatched one, be
  /// acknowledged once the next log write is durable.
  void AcknowledgeAppliedEnds(worker_session& session);
  /// Whether the task of a reported run is not known, but may become known
  /// without a further event at its worker: its job by a log of another cell,
  /// or its occurrence when it is due.
  bool MayBecomeKnown(const run_ref& run, time_point reported_at) const;
  /// Applies the ends and adopts or stops the runs whose tasks have become
  /// known, or that can't become known any more.
  void ResolveUnmatchedRuns(time_point now);
  void ResolveUnmatchedRun(worker_session& session,
                           const run_ref& run,
                           worker_run& state,
                           time_point now);
  /// Adopts the runs of a job that workers reported before it was known.
  void AdoptRunsKnownLate(job_id job, time_point now);
  void AdoptKnownLate(worker_session& session,
                      const run_ref& run,
                      worker_run& state,
                      time_point now);
  void ApplyRunning(worker_session& session,
                    const running_task& task,
                    std::uint64_t renewal_number,
                    time_point now);
  /// Takes over a reported run that this owner did not start, or stops it.
  void AdoptOrStop(worker_session& session,
                   const running_task& task,
                   time_point now);
  void Adopt(worker_session& session,
             const run_ref& run,
             worker_run& state,
             time_point now);
  /// Drops the runs that the report does not list, although its renewal is
  /// recent enough to list them.
  void DropMissingRuns(worker_session& session,
                       std::uint64_t renewal_number,
                       const worker_report& report,
                       time_point now);
  /// Drops a run that its worker does not list. Its task counts as interrupted
  /// only if the run was confirmed before.
  void DropMissingRun(worker_session& session,
                      const run_ref& run,
                      time_point now);
  /// Drops the runs that ended with the restart of a worker. Those that the
  /// first report after it lists, and those that may still start, stay.
  void HandleRestart(worker_session& session,
                     std::uint64_t renewal_number,
                     const worker_report& report,
                     time_point now);
  /// Takes note of the address that has answered the renewal under way. A
  /// worker that has moved gets no tasks until its new address is stored.
  void RecordAddress(worker_session& session);
  /// Ends the life of a worker if the renewal that another one has refused went
  /// to the address of its last report to an owner. Returns whether the session
  /// has ended.
  bool HandleWrongWorker(session_map::iterator refused, time_point now);
  /// Ends the lives of other workers that listened at the address from which
  /// this one has reported.
  void EndReplacedLives(const worker_session& reporting, time_point now);
  /// Drops the runs of a worker whose process has ended, and its session. A
  /// later life under the same id gets a new one.
  /// @param proof what shows that the process has ended.
  void EndLife(session_map::iterator ended,
               scheduling_event proof,
               time_point now);
  /// Whether a list of machines may show that the silent worker is gone before
  /// its lease ends.
  bool MayBeListedAsGone(const worker_session& session, time_point now) const;
  /// Takes note of the silent workers that the list names.
  void RecordListedWorkers(const machine_list& list);
  /// Ends the lives of the silent workers that neither list names.
  void EndGoneLives(const machine_list& list, const machine_list& earlier);
  /// As EndLife, for a worker of an earlier owner that has not reported.
  void EndUnreportedLife(const std::string& worker);
  /// Whether the worker has sent a report to this owner.
  bool HasReported(const std::string& worker) const;
  void ExpireLeases(time_point now);
  /// Whether the run may be on the worker although the lease of the worker has
  /// expired: its start got no answer and may be carried out by a later life.
  bool MayStillStart(const worker_session& session,
                     const worker_run& run,
                     time_point now) const;
  /// Whether the worker is expected to report how the run has ended, although
  /// its lease has expired.
  bool MayReportEnd(const worker_session& session,
                    const worker_run& run,
                    time_point now) const;
  /// The runs that a report lists as running or ended.
  static absl::flat_hash_set<run_ref> ReportedRuns(const worker_report& report);
  /// Raises the fencing token of the orders to the worker, and sends a renewal
  /// with it at once. The incarnation that answers it refuses all orders that
  /// were sent before.
  void RaiseFence(worker_session& session, time_point now);
  /// The token after the last one that this owner has used.
  fencing_token NextFence();
  /// Notes that a worker refused an order. That ends the ownership, unless the
  /// token has been raised since the order was sent.
  void HandleFenced(const worker_session& session, const fencing_token& fence);
  /// Records a crash of the worker for the tasks that were started there
  /// shortly before, and gives up those that crash their workers. The runs stay
  /// in the session.
  /// @param surviving runs that may be on a later life of the worker.
  void RecordCrash(const worker_session& session,
                   const absl::flat_hash_set<run_ref>& surviving);
  /// Records a crash as RecordCrash does, and returns the suspects.
  std::vector<run_ref> HoldResponsible(
      const worker_session& session,
      const absl::flat_hash_set<run_ref>& surviving,
      crash_proof proof);
  /// The task of the run may have been given up for the crash of the worker.
  void FinishGivingUp(const run_ref& run,
                      const std::string& worker,
                      const std::vector<run_to_stop>& stops);

  // Workers that have crashed or are only cut off.
  /// Records the crash of a worker that is silent and not listed. It gives no
  /// task up before it is proved.
  void PresumeCrash(const worker_session& session, time_point now);
  void ProveCrash(const std::string& worker);
  /// The worker has not crashed, or nothing proves that it has.
  void WithdrawCrash(const std::string& worker);
  /// The worker reports: from the life that may have crashed, or another one.
  void ResolvePresumedCrash(const worker_session& session,
                            const worker_report& report);
  /// Another worker reports from the address of one that may have crashed.
  void ProveReplacedCrashes(const worker_session& reporting);
  /// @param earlier the list before, if the two confirm each other; else null.
  void ProveListedCrashes(const machine_list& list,
                          const machine_list* earlier);
  void ForgetUnprovedCrashes(time_point now);
  /// Delays the next start of tasks that have to be given up if a presumed
  /// crash is proved, which a list of machines shows at once.
  void DelayTasksInDoubt(const std::vector<run_ref>& lost, time_point now);

  /// The runs that were started shortly before the worker crashed: those that
  /// it has confirmed or, while there are none, those whose start got no
  /// answer.
  std::vector<run_ref> CrashSuspects(
      const worker_session& session,
      const absl::flat_hash_set<run_ref>& surviving) const;
  /// The run among @p suspects to blame for a crash, with the other members of
  /// its gang; none while several may have caused it, nor for a start without
  /// an answer, which may never have been carried out.
  std::vector<run_ref> CrashCulprits(
      const worker_session& session,
      const std::vector<run_ref>& suspects) const;
  /// Whether the runs belong to one task or to one gang.
  bool AreOneUnit(const std::vector<run_ref>& runs) const;
  /// Keeps other tasks away from the worker if the task is suspected of
  /// crashing its workers.
  void IsolateSuspect(worker_session& session,
                      const run_ref& run,
                      worker_run& state,
                      time_point now);
  bool IsSuspected(const task_ref& task) const;
  /// Notes that a report lists the run, and drops the suspicion against its
  /// task once the run has outlived crash_window.
  void RecordSurvival(const run_ref& run, worker_run& state, time_point now);
  /// Once each worker of an earlier owner has sent a report or its lease has
  /// expired, releases the tasks that waited for this.
  void ReleaseTasksOfEarlierOwners(time_point now);
  /// Adds a note while tasks wait for the workers of an earlier owner.
  void ReportDelayedTakeover(time_point now);
  /// A worker of an earlier owner that has not sent a report; empty for none.
  std::string FirstUnreportedWorker() const;
  /// The list of leased workers to store.
  leased_workers LeasedWorkers(time_point now) const;
  /// Whether this owner may extend the worker's lease.
  bool MayExtendLease(const worker_session& session) const;
  /// Whether the worker gets new tasks.
  bool Usable(const worker_session& session, time_point now) const;
  /// The same, for tasks that can start on no other worker: they need not wait
  /// after a start without an answer.
  bool UsableForBoundTasks(const worker_session& session, time_point now) const;

  // Runs.
  worker_run& AddRun(worker_session& session,
                     const run_ref& run,
                     const step_spec& step);
  /// Sets what the run needs and how it is treated.
  static void SetStep(worker_run& state, const step_spec& step);
  static void AddRoom(worker_session& session, const worker_run& state);
  static void SubtractRoom(worker_session& session, const worker_run& state);
  /// @brief The step of a run that a worker reports. When the job is not known,
  /// a step that needs the whole worker.
  step_spec SpecOf(const run_ref& run, const worker_session& session) const;
  void RemoveRun(worker_session& session, const run_ref& run);
  void RequestStop(const std::string& worker, const run_ref& run);
  /// @param detach whether to ignore the ends of these runs.
  void RequestStops(const std::vector<run_to_stop>& runs, bool detach);
  void SendStops(worker_session& session, time_point now);
  void SendStart(worker_session& session,
                 const run_ref& run,
                 const worker_run& state);
  void HandleUnansweredStart(worker_session& session,
                             const start_reply& reply,
                             time_point now);
  /// Records that the start of a run got no answer and that the life which has
  /// reported now does not list the run.
  void RecordLateStart(const worker_session& session,
                       const task_ref& task,
                       const worker_run& run);
  /// Whether the task has left the worker after starts without an answer and
  /// does not choose it again yet.
  bool Avoids(const task_ref& task, const std::string& worker) const;
  /// Whether a task that a late start binds may start elsewhere now, although
  /// the late start may have an effect.
  bool Leaves(const task_ref& task,
              const late_start& start,
              time_point now) const;
  /// Removes the late starts that bind their task no more.
  void RemoveEndedLateStarts(time_point now);
  /// Whether the late start can have no effect any more.
  bool IsOver(const late_start& start, time_point now) const;
  /// Whether the worker may get one more start of the task: it has not left too
  /// many without an answer, or has confirmed another start since.
  static bool MayRepeatStart(const late_start& start,
                             const worker_session& session);
  /// How long a worker gets no new tasks after a start without an answer.
  std::chrono::milliseconds StartBackoff(const worker_session& session) const;
  /// The worker has carried out a start, or has restarted.
  void EndStartBackoff(worker_session& session, time_point now) const;
  worker_target Target(const worker_session& session) const;
  /// Latest expiry of a lease that a worker grants at @p now, by the local
  /// clock and with a margin.
  time_point LatestLeaseExpiry(time_point now) const;

  // Placement.
  ready_step Rank(const open_job& job,
                  const queue_configuration& queue,
                  const step_ref& ref,
                  time_point now) const;
  std::vector<ready_step> OrderedReadySteps(time_point now) const;
  void PlaceReadySteps(time_point now);
  /// Looks for room for the waiting steps.
  placement_summary PlaceSteps(placement_pass& pass, time_point now);
  best_effort_demand ComputeDemand(interference_views& views) const;
  /// The best-effort images that wait or run, without the workers they suit.
  std::vector<image_demand> BestEffortImages() const;
  /// Share of the other images' demand that falls on the worker when each image
  /// spreads evenly over its suitable workers, times the number of workers.
  /// Used as a penalty, so that a worker is left to images which few workers
  /// suit.
  double CompetingDemand(const step_spec& spec,
                         const worker_session& session,
                         const best_effort_demand& demand) const;
  /// Whether an earlier step of the pass shows that this one has no room. False
  /// for a step that has to be looked at for other reasons.
  bool IsKnownWithoutRoom(const ready_step& ranked,
                          const placement_pass& pass) const;
  step_outcome PlaceStep(const ready_step& ranked,
                         placement_pass& pass,
                         time_point now);
  /// Keeps room for the ready tasks that late starts bind to their workers, so
  /// that nothing else gets it before them.
  void KeepRoomOfBoundTasks(placement_pass& pass, time_point now) const;
  void KeepRoomOfBoundTask(const task_ref& task,
                           placement_pass& pass,
                           time_point now) const;
  /// Makes the room that was kept for members of a gang available to it.
  void ReleaseRoomOfGang(const step_ref& ref, placement_pass& pass) const;
  void KeepRoomOfBoundMembers(const step_ref& ref,
                              placement_pass& pass,
                              time_point now) const;
  /// Moves the members that late starts bind to their workers to the front, as
  /// the others can start elsewhere.
  void BoundMembersFirst(const step_ref& ref,
                         std::vector<std::uint32_t>& members) const;
  /// Places the tasks with late starts that PlaceRestarts does not handle,
  /// ahead of others that could start on any worker. Returns false when some
  /// have to wait.
  bool PlaceTasksWithLateStarts(placement_pass& pass, time_point now);
  /// The worker to which a late start binds its task, empty while it gets no
  /// start of it; all other workers once the late start does not bind it.
  std::vector<placement_candidate> LateStartCandidates(
      const late_start& late,
      const step_ref& ref,
      const step_spec& step,
      const queue_configuration& queue,
      placement_pass& pass,
      time_point now) const;
  /// The ready tasks of the step that PlaceRestarts and
  /// PlaceTasksWithLateStarts do not handle.
  std::vector<std::uint32_t> TasksToPlace(const step_ref& ref,
                                          const step_spec& step,
                                          time_point now) const;
  /// Candidates for the step, with the room that is reserved on them so far.
  std::vector<placement_candidate>& CandidatesForStep(
      const step_ref& ref,
      const step_spec& step,
      const queue_configuration& queue,
      placement_pass& pass,
      time_point now) const;
  /// Reserves room for a task that is not placed; otherwise other tasks would
  /// use up all room that becomes free. Returns the worker; null when none can
  /// have enough room.
  const placement_candidate* ReserveRoom(
      const task_ref& task,
      const step_spec& step,
      std::vector<placement_candidate>& candidates,
      placement_pass& pass) const;
  /// Reserves room on the candidate.
  static void ReserveRoomOn(placement_candidate& candidate,
                            const task_ref& task,
                            const step_spec& step,
                            placement_pass& pass);
  /// Places the tasks, with the permits that the queue requires. Returns false
  /// when some found no room.
  bool PlaceOnCandidates(const ready_step& ranked,
                         const step_spec& step,
                         const queue_configuration& queue,
                         const std::vector<std::uint32_t>& ready,
                         std::vector<placement_candidate>& candidates,
                         time_point now);
  /// The same.
  /// @param refused what was refused on these candidates in the same pass.
  step_outcome PlaceReadyTasks(const ready_step& ranked,
                               const step_spec& step,
                               const queue_configuration& queue,
                               const std::vector<std::uint32_t>& ready,
                               std::vector<placement_candidate>& candidates,
                               refused_shapes& refused,
                               time_point now);
  /// Starts all tasks of the gang or none; returns false for none.
  bool PlaceGang(const step_ref& ref,
                 const step_spec& step,
                 const std::vector<std::uint32_t>& ready,
                 std::vector<placement_candidate> candidates,
                 time_point now);
  void StartTask(worker_session& session,
                 const step_spec& step,
                 const run_ref& run,
                 time_point now);
  /// The candidates for which the step has a valid permit.
  std::vector<placement_candidate> Permitted(
      const step_ref& ref,
      const std::vector<placement_candidate>& candidates,
      time_point now) const;
  /// Requests permits for further candidates, those with the most room first.
  void RequestPermits(const step_ref& ref,
                      const placement_policy_timing& policy,
                      const std::vector<placement_candidate>& candidates,
                      time_point now);
  /// Returns false when tasks of the step found no room.
  step_outcome PlaceTasks(const ready_step& ranked,
                          const step_spec& step,
                          const queue_configuration& queue,
                          const std::vector<std::uint32_t>& ready,
                          std::vector<placement_candidate>& candidates,
                          refused_shapes& refused,
                          time_point now);
  /// As jobs::ChooseWorker, for one task. Keeps a task that is suspected of
  /// crashing its workers away from those on which another one was started
  /// shortly before.
  std::optional<std::size_t> ChooseWorkerFor(
      const task_ref& task,
      const step_spec& step,
      const std::vector<placement_candidate>& candidates,
      const placement_options& options,
      time_point now) const;
  /// The usable workers for steps of this kind; computed once in each pass.
  std::vector<placement_candidate>& Candidates(const step_spec& spec,
                                               const queue_configuration& queue,
                                               placement_pass& pass,
                                               time_point now) const;
  /// The worker as a candidate for steps of this kind; nullopt when it must not
  /// get best-effort tasks now.
  std::optional<placement_candidate> CandidateOn(const worker_session& session,
                                                 const step_spec& spec,
                                                 placement_pass& pass,
                                                 time_point now) const;
  void CountServingTasks(const std::string& image,
                         placement_candidate& candidate) const;
  /// Counts the tasks of the step on each worker, with those for which room is
  /// reserved there.
  void CountSiblings(const step_ref& ref,
                     const placement_pass& pass,
                     std::vector<placement_candidate>& candidates) const;
  /// Counts the placement pass that has ended.
  void CountPass(const placement_summary& pass);
  run_counts CountRuns() const;
  kept_room KeptRoom(time_point now) const;
  /// Adds the reservations of the last pass.
  void AddReservations(kept_room& kept) const;
  /// Whether less than half of the capacity of the usable workers is in use.
  bool IsUnderused(time_point now) const;
  /// Updates waiting_jobs_since_.
  void UpdateWaitingJobs(time_point now);
  bool IsStarving(job_id job, time_point now) const;
  /// Time by which the job should complete.
  time_point Objective(const open_job& job,
                       const queue_configuration* queue) const;
  const queue_configuration* Queue(job_id job) const;
  /// Failed runs after which a task of the job is given up; nullopt while this
  /// is not known.
  std::optional<std::uint32_t> MaxAttempts(job_id id) const;
  /// Fails the jobs with a task that has used up its attempts while its limit
  /// was not known.
  void FailExhaustedJobs();

  // Restarts of long-running tasks.
  /// Places the long-running tasks that have run before, ahead of all other
  /// tasks: those that have waited longest come first. Reserves room for the
  /// rest, also during their retry delay. Returns false when some found no
  /// room.
  bool PlaceRestarts(placement_pass& pass, time_point now);
  bool PlaceRestart(const waiting_restart& restart,
                    placement_pass& pass,
                    time_point now);
  /// Places all members of a gang or none. Reserves room for all that wait, as
  /// soon as one does, and stops other runs there after preemption_delay.
  /// @param first the member that has waited longest.
  bool PlaceGangRestart(const waiting_restart& first,
                        placement_pass& pass,
                        time_point now);
  /// Why a gang whose members are not all ready is not placed.
  /// @param first the member that has waited longest.
  static restart_obstacle ObstacleOfIncompleteGang(const waiting_restart& first,
                                                   time_point now);
  /// Records why the members of a gang that wait were not started.
  void BlockGang(const step_ref& ref,
                 restart_obstacle obstacle,
                 placement_pass& pass) const;
  /// Returns false when some member of the gang can have no room.
  bool ReserveRoomForGang(const step_ref& ref,
                          const step_spec& step,
                          std::vector<placement_candidate>& candidates,
                          placement_pass& pass) const;
  /// Stops runs on the workers on which room is reserved for the gang.
  void PreemptForGang(const step_ref& ref,
                      const std::vector<placement_candidate>& candidates,
                      const placement_pass& pass,
                      time_point now);
  /// How long the task could have started here. Waits for the end of its run
  /// to be stored, for a takeover and for the retry delay do not count.
  /// @param may_start_since when this began, unless it is known already.
  std::chrono::milliseconds WaitForRoom(const waiting_restart& restart,
                                        time_point may_start_since,
                                        time_point now);
  /// Lets the unplaced tasks of a long-running step that has begun wait as
  /// restarts do, once they have waited for first_start_patience.
  void WaitAsRestarts(const step_ref& ref,
                      const step_spec& step,
                      time_point now);
  /// Delegates the task to another cell that has room for it. Returns false
  /// when the task stays here.
  /// @param waited how long the task could have started here.
  bool DelegateRestart(const waiting_restart& restart,
                       std::chrono::milliseconds waited,
                       const step_spec& step,
                       const queue_configuration& queue,
                       time_point now);
  /// Gives a task that was delegated to this cell back to the cell that runs
  /// its job, as another cell has room for it.
  void ReturnTask(const task_ref& task, std::string detail);
  /// Gives back the delegated tasks that have crashed too many workers, so that
  /// the cell that runs their job can fail it.
  void ReturnTasksToGiveUp();
  /// Keeps the tasks of the job that were given back from starting.
  void ApplyReturns(job_id job);
  /// Why a restart that may start now was not placed.
  restart_obstacle ObstacleOf(
      const step_spec& step,
      const queue_configuration& queue,
      const std::vector<placement_candidate>& candidates,
      const std::vector<placement_candidate>& permitted) const;
  /// Why a restart that is placed on the worker was not placed earlier.
  restart_cause CauseOfRestart(const task_ref& task,
                               const worker_session& session) const;
  restart_release ReleaseOf(const worker_session& session,
                            std::uint64_t blocked_pass) const;
  /// Begins to account a wait to its stages, unless it is known.
  /// @param known_since as waiting_restart::known_since: the time before it is
  /// accounted by the owner and the cell in which the task waited then.
  void BeginRestartStages(const task_ref& task, time_point known_since);
  /// Enters the stages that the last placement pass has found.
  void EnterBlockedStages(time_point now);
  /// No task can start, as this owner may give no orders.
  void EnterOwnershipStage(time_point now);
  /// Counts the waits up to now and removes those that are over.
  void UpdateRestartStages(time_point now);
  restart_wait_outcome OutcomeOfWait(const task_ref& task) const;
  /// Whether a worker has confirmed that it runs the task.
  bool HasConfirmedRun(const task_ref& task, const task_state& state) const;
  /// Leaves room for the long-running tasks on silent workers, which have to
  /// restart elsewhere unless the worker comes back.
  void ReserveForExpectedRestarts(placement_pass& pass, time_point now) const;
  void ReserveForExpectedRestart(const task_ref& task,
                                 placement_pass& pass,
                                 time_point now) const;
  /// Stops runs on the worker on which room is reserved for the task, unless
  /// the runs that are being stopped there free enough.
  void PreemptRuns(const task_ref& task,
                   const placement_candidate& reserved_on,
                   time_point now);
  /// The runs on the worker that can be stopped and started again later.
  std::vector<preemptible_run> PreemptibleRuns(const worker_session& session,
                                               time_point now) const;
  /// @param waiting the tasks in the order in which they are placed.
  std::vector<queued_restart> RestartQueue(
      const std::vector<waiting_restart>& waiting,
      time_point now) const;
  /// The next part of the tasks that are not reported in full.
  /// @param reported the places of those that are.
  std::vector<queued_restart> ListOtherRestarts(
      std::vector<queued_restart> queue,
      const std::set<std::size_t>& reported);
  /// Reports the tasks that wait for their restart, once one has waited long,
  /// and adds notes on some of them.
  void ReportDelayedRestarts(time_point now);
  /// @param needed by this restart and those of its service that are placed
  /// before it.
  void ReportDelayedRestart(const waiting_restart& restart,
                            const queue_place& place,
                            const resources& needed,
                            time_point now);
  /// Why the task has not been moved to another cell.
  delegation_obstacle DelegationObstacle(const waiting_restart& restart,
                                         const step_spec& step,
                                         const queue_configuration& queue,
                                         time_point now) const;

  // Relocation of long-running runs.
  /// The run while it is on its first worker; null after that.
  const worker_run* FindRelocatedRun(const relocation& move) const;
  /// Whether the run is being stopped or has ended.
  bool HasBegun(const relocation& move) const;
  /// Whether a relocation for the waiting task has begun.
  bool HasBegunRelocation(const task_ref& waiting) const;
  /// Relocates a run for a restart that fits no place.
  void RelocateForRestart(const restart_without_room& waiting,
                          placement_pass& pass,
                          time_point now);
  /// Whether the run is to be stopped for the waiting task, or its task waits
  /// for its restart.
  bool IsUnderWay(const task_ref& waiting,
                  const relocation& move,
                  time_point now) const;
  /// Removes the relocations that are over, and keeps the room for the tasks of
  /// the others.
  void KeepRoomOfRelocatedRuns(placement_pass& pass, time_point now);
  void ReserveRoomOnTarget(const relocation& move,
                           placement_pass& pass,
                           time_point now) const;
  /// Releases the room that is kept for runs which are not being stopped yet.
  /// Restarts may take it; other tasks have been kept from reserving it.
  void OfferTargetsToRestarts(placement_pass& pass) const;
  /// Whether the target still has room for the run, or can have it once batch
  /// work is stopped.
  bool TargetHasRoom(const relocation& move,
                     placement_pass& pass,
                     time_point now) const;
  /// Makes the room that was kept for a waiting restart available to it.
  void ReleaseKeptRoom(const task_ref& task, placement_pass& pass) const;
  /// Reserves room on a worker from which a smaller run is relocated, for a
  /// task for which no worker can have room otherwise. Returns that worker once
  /// the run is being stopped.
  const placement_candidate* ReserveRoomByRelocation(
      const waiting_restart& restart,
      const step_spec& step,
      const queue_configuration& queue,
      placement_pass& pass,
      time_point now);
  /// Searches a run to relocate, unless the task has been searched for lately
  /// or the pass has no search left. Keeps the reason when it finds none.
  std::optional<relocation> FindRelocation(const waiting_restart& restart,
                                           const step_spec& step,
                                           const queue_configuration& queue,
                                           placement_pass& pass,
                                           time_point now);
  /// Chooses a run to relocate, or says why the move of one run does not do.
  std::variant<relocation, relocation_refusal> PlanRelocation(
      const waiting_restart& restart,
      const step_spec& step,
      const queue_configuration& queue,
      placement_pass& pass,
      time_point now);
  /// The smaller runs on the workers that the waiting task may use.
  /// @param refusal counts those that cannot be relocated.
  std::vector<relocatable_run> RelocatableRuns(const task_ref& waiting,
                                               const step_spec& step,
                                               const queue_configuration& queue,
                                               placement_pass& pass,
                                               relocation_refusal& refusal,
                                               time_point now) const;
  /// What keeps the run on its worker; kNone when it may be relocated.
  relocation_obstacle ObstacleToRelocate(const run_ref& run,
                                         const worker_run& state,
                                         const placement_pass& pass) const;
  /// Why no run is relocated for a restart that waits.
  relocation_refusal RelocationRefusal(const waiting_restart& restart,
                                       const step_spec& step,
                                       const queue_configuration& queue,
                                       time_point now) const;
  /// Whether the stop of the task's run leaves no more tasks of its step
  /// unavailable than the step allows for stops of the system.
  bool IsWithinDisruptionBudget(const task_ref& task, time_point now) const;
  /// Whether a worker reports that the task is fully available.
  bool IsAvailable(const task_ref& task,
                   const task_state& state,
                   time_point now) const;
  /// Another worker that has room for the task of the run, or can have it once
  /// batch work is stopped; empty for none.
  std::string FindRelocationTarget(const relocatable_run& run,
                                   placement_pass& pass,
                                   time_point now) const;
  /// Stops the run once the reserved room on its next worker is free. Returns
  /// whether it is being stopped.
  bool StopRelocatedRun(const task_ref& waiting,
                        const relocation& move,
                        const placement_pass& pass,
                        time_point now);

  // Evacuation of draining workers.
  /// Updates evacuation_state of a worker that was listed.
  /// @param added whether it was not known before.
  void UpdateEvacuation(worker_session& session,
                        bool added,
                        time_point now) const;
  /// Whether a run on a draining worker has to be stopped now. A long-running
  /// run goes on until PlaceLeavingRuns has found room for its task, or until
  /// evacuation::stop_by. Another one is stopped if it can resume from a
  /// checkpoint but would not end before the worker leaves.
  bool MustLeave(const worker_session& session,
                 const run_ref& run,
                 const worker_run& state,
                 time_point now) const;
  /// Stops the runs of a draining worker that must leave it.
  void Evacuate(worker_session& session, time_point now);
  /// Stops the long-running runs of a worker that is about to leave.
  static void StopOverdueRuns(worker_session& session, time_point now);
  /// The long-running runs on draining workers whose tasks are placed one by
  /// one, largest first, as large pieces of room are the rarest.
  std::vector<leaving_run> LeavingRuns();
  /// Keeps the room of those that are being stopped because their tasks have
  /// found room.
  void KeepRoomOfLeavingRuns(const std::vector<leaving_run>& leaving,
                             placement_pass& pass,
                             time_point now) const;
  /// Reserves room for the tasks of the others, and stops those that have found
  /// room. Returns false when some have not.
  bool PlaceLeavingRuns(const std::vector<leaving_run>& leaving,
                        placement_pass& pass,
                        time_point now);
  /// Returns false when the task of the run has found no room.
  bool PlaceLeavingRun(const leaving_run& leaving,
                       placement_pass& pass,
                       time_point now);

  // Runs of cancelled jobs.
  /// Adds notes on the runs that should have been stopped.
  void ReportDelayedCancels(time_point now);
  /// When this VM read the job's cancellation; nullopt for any other job.
  std::optional<time_point> CancelledAt(job_id job) const;

  // Interference of best-effort tasks with serving tasks.
  void UpdateInterferenceModel(worker_session& session);
  /// For a serving step: probability that its task would be over its target on
  /// the worker. For a best-effort step: sum of the increases of that
  /// probability for the serving tasks there. Zero for any other step.
  double InterferenceRisk(const step_spec& step,
                          const worker_session& session,
                          interference_views& views) const;
  /// The risk for a best-effort step.
  double BestEffortRisk(std::string_view image,
                        std::int64_t millicores,
                        const worker_session& session,
                        interference_views& views) const;
  const interference_view& ViewOf(const worker_session& session,
                                  interference_views& views) const;
  interference_view ComputeView(const worker_session& session) const;
  /// Updates the start times of the current series of reports over or under
  /// the target of a serving task.
  static void TrackTargetViolation(worker_run& run, time_point now);
  void AdjustPaces(worker_session& session, time_point now);
  /// Largest increase of the log ratio of tail latency to target that a
  /// best-effort task causes for a serving task over its target.
  double ImpactOnViolatedTargets(const worker_session& session,
                                 const worker_run& state) const;
  /// Stops the best-effort task that contributes most to a violated target.
  void EvictWorstInterferer(worker_session& session, time_point now);
  /// Whether the predicted tail latencies stay below their targets when the
  /// best-effort task works at its full speed.
  bool CanResume(const worker_session& session, const worker_run& state) const;
  /// The speed that a best-effort run is to have; nullopt to leave it as it is.
  std::optional<int> WantedSpeed(const worker_session& session,
                                 const worker_run& state,
                                 const target_violation& violation,
                                 time_point now) const;
  /// Whether a best-effort run on the worker may stand still.
  static bool HasPausedRun(const worker_session& session);
  /// Whether the run may have stood still for longer than
  /// fleet_scheduler_options::max_pause.
  bool PausedTooLong(const worker_run& run, time_point now) const;
  /// Whether the run is to be stopped because it stands still, so that its task
  /// can start elsewhere.
  bool StopsPausedRun(const run_ref& run,
                      const worker_run& state,
                      const target_violation& violation,
                      time_point now) const;
  void StopPausedRun(const worker_session& session,
                     const run_ref& run,
                     worker_run& state,
                     time_point now);
  void AdjustPace(worker_session& session,
                  const run_ref& run,
                  worker_run& state,
                  const target_violation& violation,
                  time_point now);

  void AddNote(scheduling_event event,
               const run_ref& run,
               const std::string& worker,
               std::string detail = {});

  fleet_scheduler_options options_;
  bool active_ = false;
  bool fenced_ = false;
  epoch epoch_ = 0;
  fencing_token last_fence_;
  time_point orders_until_;
  time_point ownership_confirmed_;
  std::shared_ptr<const fleet_configuration> configuration_;
  const job_registry* registry_ = nullptr;
  job_table jobs_;
  session_map workers_;
  std::map<std::string, unreported_worker> unreported_workers_;
  /// Workers that were stored as leased_workers::unreported.
  std::set<std::string> stored_unreported_;
  /// When the unreported workers are stored, unless all have reported.
  std::optional<time_point> store_unreported_at_;
  /// Latest time at which an earlier owner sends orders.
  time_point earlier_orders_until_;
  /// Latest expiry of a lease from an earlier owner.
  time_point earlier_leases_until_;
  /// The last list of machines that was requested after earlier_orders_until_.
  std::optional<machine_list> last_machine_list_;
  /// Workers of earlier owners that sent no report until their leases expired.
  std::set<std::string> never_reported_;
  time_point ownership_begun_at_;
  time_point next_takeover_report_;
  /// As leased_workers::ends_stored_from.
  epoch ends_stored_from_ = 0;
  bool leased_workers_changed_ = false;
  std::uint64_t write_number_ = 0;
  /// Number of the log write that first lists a worker as leased, by worker.
  std::map<std::string, std::uint64_t> registration_writes_;
  /// For each job with ready tasks but none on a worker: since when it has
  /// waited in an underused fleet.
  std::map<job_id, time_point> waiting_jobs_since_;
  bool placement_pending_ = false;
  bool exhausted_check_pending_ = false;
  time_point next_pass_;
  /// Number of the last placement pass.
  std::uint64_t last_pass_ = 0;
  placement_counts placement_counts_;
  placement_summary last_summary_;
  placement_sweep sweep_;
  /// Worker on which the last pass reserved room, by task. The next pass
  /// prefers the same worker, so that enough room can accumulate there.
  std::map<task_ref, std::string> reserved_workers_;
  /// Room that the last pass reserved for restarts, by worker.
  absl::flat_hash_map<std::string, resources> restart_room_;
  delegation_targets delegation_targets_;
  task_returns returns_;
  /// The restarts that the last pass did not place, and those that waited for
  /// the workers of an earlier owner until after it.
  std::map<task_ref, blocked_restart> blocked_restarts_;
  /// Kept when a start is refused, as the wait goes on.
  std::map<task_ref, restart_wait> restart_waits_;
  restart_stages restart_stages_;
  /// Tasks of long-running steps that have begun, without a run and without
  /// room, each with the time from which it waits as a restart does.
  std::map<task_ref, time_point> first_start_deadlines_;
  /// By the waiting task that gets the room; at most one for each.
  std::map<task_ref, relocation> relocations_;
  /// The tasks that were relocated lately, each with the time before which it
  /// is not relocated again.
  std::map<task_ref, time_point> relocated_until_;
  /// Waiting restarts for which a run to relocate was searched in vain lately.
  std::map<task_ref, relocation_search> relocation_searches_;
  late_starts late_starts_;
  late_start_watch late_start_watch_;
  unmatched_ends unmatched_ends_;
  /// Some worker_run::unmatched may be set.
  bool has_unmatched_runs_ = false;
  /// By worker.
  std::map<std::string, presumed_crash> presumed_crashes_;
  std::optional<time_point> other_logs_read_until_;
  start_limit start_limit_;
  time_point next_restart_report_;
  std::optional<restart_report> restart_report_;
  /// The last task in restart_report::others.
  task_ref last_listed_restart_;
  time_point next_cancel_report_;
  permit_cache permits_;
  interference_model interference_;
  std::vector<order> orders_;
  std::vector<scheduling_note> notes_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_HPP
