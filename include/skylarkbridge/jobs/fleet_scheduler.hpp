#ifndef SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_HPP
#define SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_HPP

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "absl/container/flat_hash_set.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/jobs/fleet_configuration.hpp"
#include "skylarkbridge/jobs/interference_model.hpp"
#include "skylarkbridge/jobs/job_registry.hpp"
#include "skylarkbridge/jobs/job_table.hpp"
#include "skylarkbridge/jobs/orders.hpp"
#include "skylarkbridge/jobs/permit_cache.hpp"
#include "skylarkbridge/jobs/placement.hpp"
#include "skylarkbridge/jobs/scheduling_note.hpp"
#include "skylarkbridge/jobs/worker_session.hpp"

namespace skylarkbridge::jobs {

struct fleet_scheduler_options {
  /// How far ahead each renewal sets the lease of a worker.
  std::chrono::milliseconds lease{5000};
  /// Longest lease that a worker grants.
  std::chrono::milliseconds max_lease{6000};
  /// How long a worker may wait for an end before it answers a renewal.
  std::chrono::milliseconds renewal_wait{1000};
  /// Pause after a renewal that had no answer.
  std::chrono::milliseconds renewal_retry{100};
  /// Renewals while ends wait for the store.
  std::chrono::milliseconds unstored_renewal{400};
  /// A worker refuses an order to start that is older.
  std::chrono::milliseconds start_validity{1500};
  /// An order without an answer is carried out within this time or never.
  std::chrono::milliseconds late_order_limit{15'000};
  /// Longest time that a stop takes.
  std::chrono::milliseconds stop_timeout{400};
  /// Pause after an order to stop that had no answer.
  std::chrono::milliseconds stop_retry{150};
  /// A worker that has answered nothing for so long gets no new work.
  std::chrono::milliseconds quiet_limit{1700};
  /// No new work for a worker that refused or lost an order.
  std::chrono::milliseconds avoid_after_fault{500};
  /// No new work for a worker that failed several runs in a row.
  std::chrono::milliseconds quarantine{3000};
  int failures_for_quarantine = 4;
  /// A worker whose serving task has been over its target for so long gets no
  /// further best-effort tasks until the tail is down.
  std::chrono::milliseconds settle_time{300};
  /// A best-effort task that is further on is not moved for what it harms.
  int evict_below_percent = 70;
  /// The same for a worker with a serving task over its target.
  std::chrono::milliseconds harmed_renewal_wait{400};
  /// Between two passes over the ready tasks while some find no room.
  std::chrono::milliseconds pass_interval{20};
  /// Steps that found no room after which a pass ends.
  int max_misses = 40;
  job_table_options jobs;
  placement_options placement;
  permit_options permits;
};

/// @brief Schedules the tasks of all open jobs on the workers of the fleet, for
/// the VM that owns it.
///
/// Events go in with the time; orders, records to store and notes for the log
/// are collected and taken out. A worker's lists are the truth about what runs;
/// the log is the truth about what has ended.
class fleet_scheduler {
 public:
  explicit fleet_scheduler(fleet_scheduler_options options);

  /// @brief This VM owns the fleet from now on.
  /// @param book all jobs; stays valid until End.
  /// @param leased workers on which an earlier owner may have started tasks.
  /// @param earlier_stop_by until when an earlier owner may give orders.
  void Begin(epoch own,
             const job_registry& book,
             const std::vector<std::string>& leased,
             time_point earlier_stop_by,
             time_point now,
             wall_time wall);
  /// @brief This VM does not own the fleet any more.
  void End();
  bool Active() const { return active_; }
  /// @brief Epoch of this VM's ownership; meaningful while active.
  epoch Own() const { return own_; }
  /// @brief Takes other settings; leases and orders from now on follow them.
  void SetOptions(const fleet_scheduler_options& options) {
    options_ = options;
  }

  void Configure(std::shared_ptr<const fleet_configuration> configuration);
  /// @brief Orders may be given until this time.
  /// @param confirmed when the log last showed that this VM is the owner.
  void AllowOrders(time_point confirmed, time_point until) {
    confirmed_ = confirmed;
    orders_until_ = until;
  }

  /// @param may_have_run the acceptance stands in another cell's log, so an
  /// earlier owner may have read it before and have started tasks.
  void Accepted(job_id job,
                const job_state& state,
                bool may_have_run,
                time_point now,
                wall_time wall);
  void Cancelled(job_id job, time_point now);

  void WorkerListed(const worker_entry& entry, time_point now);
  void WorkerUnlisted(const std::string& worker, time_point now);

  void Handle(const renew_reply& reply, time_point now);
  void Handle(const start_reply& reply, time_point now);
  void Handle(const stop_reply& reply, time_point now);
  void Handle(const pace_reply& reply, time_point now);
  void Handle(const permit_reply& reply, time_point now);

  /// @brief Whether a worker refused an order for a higher epoch.
  bool Fenced() const { return fenced_; }

  /// @brief Renews leases, repeats stops, gives up what is lost, and places
  /// ready tasks. Call after each batch of events and at NextDeadline.
  void Run(time_point now, wall_time wall);
  time_point NextDeadline(time_point now) const;

  std::vector<order> TakeOrders();
  std::vector<scheduling_note> TakeNotes();

  /// @brief Records to write, numbered by StoreNumber; empty when there are
  /// none. Take them when the previous ones are stored.
  std::vector<log_record> TakeRecords();
  bool HasRecords() const;
  /// @brief Number of the records that were taken last.
  std::uint64_t StoreNumber() const { return store_number_; }
  /// @brief The records up to this number are durable.
  void Stored(std::uint64_t number, time_point now);

  /// @brief Workers that get new tasks.
  std::size_t UsableWorkers(time_point now) const;
  const job_table& Jobs() const { return jobs_; }
  const std::map<std::string, worker_session>& Workers() const {
    return workers_;
  }

 private:
  using session_map = std::map<std::string, worker_session>;

  // Workers and their lists.
  void Renew(worker_session& session, time_point now);
  void TakeReport(worker_session& session,
                  std::uint64_t call,
                  const worker_report& report,
                  time_point now);
  void TakeEnds(worker_session& session,
                const worker_report& report,
                time_point now);
  void TakeEnd(worker_session& session, const ended_task& end, time_point now);
  void TakeRunning(worker_session& session,
                   const running_task& row,
                   std::uint64_t call,
                   time_point now);
  void AdoptOrStop(worker_session& session,
                   const running_task& row,
                   time_point now);
  void DropVanished(worker_session& session,
                    std::uint64_t call,
                    const worker_report& report,
                    time_point now);
  void Reborn(worker_session& session, time_point now);
  void ExpireLeases(time_point now);
  void CheckAccounted(time_point now);
  bool Usable(const worker_session& session, time_point now) const;
  void Evacuate(worker_session& session, time_point now);

  // Runs.
  worker_run& AddRun(worker_session& session,
                     const run_ref& run,
                     const step_spec& step);
  /// @brief What a run that a worker reports needs; all of the worker when the
  /// job is not known.
  step_spec NeedOf(const run_ref& run, const worker_session& session) const;
  void RemoveRun(worker_session& session, const run_ref& run);
  void RequestStop(const std::string& worker, const run_ref& run);
  void RequestStops(const std::vector<run_to_stop>& runs, bool detach);
  void SendStops(worker_session& session, time_point now);
  void SendStart(worker_session& session,
                 const run_ref& run,
                 worker_run& state,
                 time_point now);
  worker_target Target(const worker_session& session) const;
  /// Until when a lease lasts that somebody else grants at @p now.
  time_point LongestLease(time_point now) const;

  // Placement.
  struct ready_step {
    int priority = 0;
    /// 0 while the job can meet its objective, 1 while it can end late, 2 when
    /// it is worth nothing more.
    int lateness = 0;
    /// Work that is left for each unit of worth.
    double cost = 0;
    /// The step is long-running and has begun: its tasks go first, and room is
    /// kept for them.
    bool restart = false;
    /// Nothing runs of the job though the fleet is underused: one task of it
    /// goes first, beside whatever else runs.
    bool starves = false;
    step_ref ref;
  };
  ready_step Rank(const open_job& job,
                  const queue_configuration& queue,
                  const step_ref& ref,
                  time_point now) const;
  std::vector<ready_step> OrderedReadySteps(time_point now) const;
  void Place(time_point now);
  /// Demand for best-effort tasks of one image, and the workers on which they
  /// do no harm.
  struct image_demand {
    step_spec example;
    /// Of all best-effort tasks that wait or run.
    double share = 0;
    absl::flat_hash_set<std::string> harmless;
  };
  using best_effort_demand = std::map<std::string, image_demand>;
  struct candidate_lists {
    /// By service, image and whether the step is best-effort.
    std::map<std::tuple<std::string, std::string, bool>,
             std::vector<placement_candidate>>
        by_kind;
    std::optional<best_effort_demand> demand;
    /// Room by worker that is kept for tasks which found none yet.
    absl::flat_hash_map<std::string, resources> kept;
    /// The workers on which it is kept, by task.
    std::map<task_ref, std::string> kept_for;
  };
  best_effort_demand Demand() const;
  /// Demand of other images for the worker, against what they would find on
  /// every worker; scarce workers are left to the images that have no others.
  double BestEffortDemand(const step_spec& spec,
                          const worker_session& session,
                          const best_effort_demand& demand) const;
  /// Returns false when tasks of the step found no room.
  bool PlaceStep(const ready_step& ranked,
                 candidate_lists& lists,
                 time_point now);
  /// Keeps room for each task of the step that is not placed, so that smaller
  /// tasks don't take each bit of room that falls free.
  void KeepRoom(const step_ref& ref,
                const step_spec& step,
                std::vector<placement_candidate>& candidates,
                candidate_lists& lists) const;
  bool PlaceGang(const step_ref& ref,
                 const step_spec& step,
                 const std::vector<std::uint32_t>& ready,
                 std::vector<placement_candidate> candidates,
                 time_point now);
  void StartTask(worker_session& session,
                 const step_spec& step,
                 const run_ref& run,
                 time_point now);
  /// Those of the candidates that the policy is known to allow for the step.
  std::vector<placement_candidate> Permitted(
      const step_ref& ref,
      const std::vector<placement_candidate>& candidates,
      time_point now) const;
  /// Asks the policy about further candidates, those with the most room first.
  void AskForPermits(const step_ref& ref,
                     const placement_policy_timing& policy,
                     const std::vector<placement_candidate>& candidates,
                     time_point now);
  /// Returns false when tasks of the step found no room.
  bool PlaceTasks(const ready_step& ranked,
                  const step_spec& step,
                  const std::vector<std::uint32_t>& ready,
                  std::vector<placement_candidate>& candidates,
                  time_point now);
  std::vector<placement_candidate>& Candidates(const step_spec& spec,
                                               const queue_configuration& queue,
                                               candidate_lists& lists,
                                               time_point now) const;
  void CountImages(const std::string& image,
                   placement_candidate& candidate) const;
  void CountSiblings(const step_ref& ref,
                     std::vector<placement_candidate>& candidates) const;
  /// Whether less than half of the capacity of the usable workers is in use.
  bool Underused(time_point now) const;
  /// Notes the ready jobs of which nothing runs, and since when.
  void NoteIdleJobs(time_point now);
  bool Starves(job_id job, time_point now) const;
  time_point Objective(const open_job& job,
                       const queue_configuration* queue) const;
  const queue_configuration* Queue(job_id job) const;

  // Interference of best-effort tasks with serving ones.
  void LearnInterference(worker_session& session);
  double ExpectedHarm(const step_spec& step,
                      const worker_session& session) const;
  /// Notes since when a serving task is over its target.
  static void NoteTail(worker_run& run, time_point now);
  void AdjustPaces(worker_session& session, time_point now);
  /// How much a best-effort task raises tails that are over their targets.
  double Blame(const worker_session& session, const worker_run& state) const;
  void MoveMostHarmful(worker_session& session, time_point now);
  void AdjustPace(worker_session& session,
                  const run_ref& run,
                  worker_run& state,
                  std::optional<time_point> over_since,
                  time_point now);

  void Note(scheduling_event event,
            const run_ref& run,
            const std::string& worker,
            std::string detail = {});

  fleet_scheduler_options options_;
  bool active_ = false;
  bool fenced_ = false;
  epoch own_ = 0;
  time_point orders_until_;
  time_point confirmed_;
  std::shared_ptr<const fleet_configuration> configuration_;
  const job_registry* book_ = nullptr;
  job_table jobs_;
  session_map workers_;
  /// Workers of an earlier owner that have not been accounted for.
  std::set<std::string> unaccounted_;
  time_point unaccounted_until_;
  bool leased_changed_ = false;
  std::uint64_t store_number_ = 0;
  /// Number of the records that name the newest worker as leased.
  std::map<std::string, std::uint64_t> registering_;
  /// Since when nothing runs of a job with ready tasks, on an underused fleet.
  std::map<job_id, time_point> idle_jobs_;
  bool place_wanted_ = false;
  time_point next_pass_;
  /// Where the last pass kept room; it gathers on the same worker.
  std::map<task_ref, std::string> kept_for_;
  permit_cache permits_;
  interference_model interference_;
  std::vector<order> orders_;
  std::vector<scheduling_note> notes_;
};

}  // namespace skylarkbridge::jobs

#endif  // SKYLARKBRIDGE_JOBS_FLEET_SCHEDULER_HPP
