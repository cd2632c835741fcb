#ifndef SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_HPP
#define SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "absl/container/flat_hash_map.h"
#include "skylarkbridge/base/time.hpp"
#include "skylarkbridge/declaration/configuration.hpp"
#include "skylarkbridge/scheduling/batch_options.hpp"
#include "skylarkbridge/scheduling/batch_status.hpp"
#include "skylarkbridge/scheduling/deadline_queue.hpp"
#include "skylarkbridge/scheduling/eviction_budget.hpp"
#include "skylarkbridge/scheduling/kind_table.hpp"
#include "skylarkbridge/scheduling/resource_index.hpp"
#include "skylarkbridge/scheduling/slowdown_model.hpp"
#include "skylarkbridge/scheduling/task_events.hpp"
#include "skylarkbridge/scheduling/task_table.hpp"
#include "skylarkbridge/scheduling/worker_table.hpp"

namespace skylarkbridge::scheduling {

/// @brief Implementation of basic_batch_scheduler. The member functions are
/// defined by topic in the batch_core_*.hpp files.
template <slowdown_estimator Estimator>
class batch_core {
 public:
  batch_core(batch_options options, Estimator estimator)
      : options_(options),
        estimator_(std::move(estimator)),
        budget_(options.interference),
        random_(options.seed) {}

  // batch_core_events.hpp
  void Configure(const declaration::configuration& config, time_point now);
  void Submit(const task_submitted& event, time_point now);
  void CancelTask(task_id id, time_point now);
  void Started(const task_started& event, time_point now);
  /// The task whose current attempt, on its current worker, the event is about.
  /// Counts any other event as stale and returns kNone.
  template <class Event>
  task_index FindAttempt(const Event& event);
  void Finished(const task_finished& event, time_point now);
  void Checkpointed(const task_checkpointed& event, time_point now);
  void Update(const worker_state& state, time_point now);
  void Tick(time_point now);
  std::optional<time_point> NextDeadline() const;

  // batch_core_reports.hpp
  void Report(const usage_report& report, time_point now);

  // batch_core_status.hpp
  std::optional<waiting_status> WaitingStatus(task_id id) const;
  std::optional<worker_allocation> Allocation(worker_id id) const;
  std::vector<worker_id> Workers() const;
  std::vector<kind_status> Kinds() const;
  const batch_counters& Counters() const { return counters_; }

  task_commands TakeCommands() { return std::exchange(commands_, {}); }

 private:
  enum class eviction_cause { kInterference, kShare, kCapacity };
  struct candidate {
    worker_index worker = kNone;
    double cost = 0;
  };

  // batch_core_queues.hpp: queue states of kinds, free capacity of workers and
  // reservations.
  resources LeaseFor(kind_index kind, const task_entry& task) const;
  /// @brief Recomputes the queue state of a kind. With `retry`, a kind in
  /// kInsufficientResources becomes ready again.
  void RefreshKind(kind_index kind, bool retry, time_point now);
  void RefreshTeam(kind_index kind, time_point now);
  void RefreshAllKinds(time_point now);
  void RefreshWorker(worker_index worker, time_point now);
  bool Eligible(const worker_entry& worker, time_point now) const;
  void Reserve(worker_index worker,
               kind_index kind,
               const resources& need,
               time_point until);
  void ClearReservation(worker_index worker);

  // batch_core_placement.hpp
  void Dispatch(time_point now);
  void StartReadyKinds(const queue_key* before, time_point now);
  void FillFreedCapacity(worker_index worker, time_point now);
  /// @brief Starts the head of the queue or, if the head avoids a worker and
  /// cannot be placed elsewhere, the task behind it.
  bool StartNext(kind_index kind, time_point now);
  bool StartTask(task_index task, time_point now);
  bool TryPlaceOn(kind_index kind, worker_index worker, time_point now);
  std::optional<double> PlacementCost(kind_index kind,
                                      const task_entry& task,
                                      const resources& need,
                                      worker_index worker,
                                      time_point now) const;
  /// @brief Returns the largest expected slowdown of any service on the worker
  /// with one more task of the kind, as a fraction of the service's latency.
  double ExpectedSlowdown(const worker_entry& worker,
                          kind_index kind,
                          time_point now) const;
  void Place(task_index task,
             worker_index worker,
             const resources& need,
             time_point now);
  void RecordRun(task_index task,
                 worker_index worker,
                 const resources& lease,
                 time_point now);
  void AddExpectedSlowdown(worker_entry& worker,
                           kind_index kind,
                           double amount);
  void RecomputeExpectedSlowdown(worker_entry& worker);

  // batch_core_endings.hpp: end of runs and tasks, failures, evictions and
  // removed or reduced worker capacity.
  /// @brief Removes a task from its worker and releases its lease.
  void EndRun(task_index task, time_point now);
  void Requeue(task_index task, time_point now);
  /// @brief Removes a task for good; its id is kept for a while to
  /// recognise late events.
  void EndTask(task_index task, time_point now);
  void Refuse(task_index task,
              task_refusal reason,
              std::string detail,
              time_point now);
  void HandleFailure(task_index task, worker_index worker, time_point now);
  void RequeueOrRefuse(task_index task, time_point now);
  bool Evictable(const task_entry& task) const;
  bool Evict(task_index task, eviction_cause cause, time_point now);
  void OnCheckpointGraceExpired(task_index task, time_point now);
  /// @brief Returns the cost of an eviction in processor seconds: the work lost
  /// and the checkpoint overhead. Tasks that are nearly done count double.
  double LostWork(const task_entry& task, time_point now) const;
  void RemoveWorker(worker_index worker, time_point now);
  void ShrinkToCapacity(worker_index worker, time_point now);

  // batch_core_reclaim.hpp
  void ReclaimRound(time_point now);
  bool ReclaimFor(kind_index kind, time_point now);
  void ReserveForLongWaiting(kind_index kind, time_point now);
  /// @brief Returns the tasks to evict from a worker so that one task of the
  /// kind can run there, least urgent and then cheapest first; nullopt if
  /// evictions cannot free enough.
  std::optional<std::vector<task_index>> FindVictims(worker_index worker,
                                                     kind_index kind,
                                                     const resources& need,
                                                     time_point now) const;
  bool MayEvictFor(const task_entry& victim,
                   kind_index kind,
                   const std::vector<task_index>& chosen) const;

  // batch_core_reports.hpp
  void RecordUsage(worker_index worker,
                   const task_usage& usage,
                   const usage_report& report,
                   time_point now);
  void AdjustLease(task_index task, const resources& used, time_point now);
  void SetLease(task_index task, const resources& lease, time_point now);
  void Throttle(task_index task, std::int64_t permille, time_point now);
  /// @brief Updates the slowdown model from a report and returns the largest
  /// slowdown of any service, as a factor.
  double LearnSlowdown(worker_index worker,
                       const usage_report& report,
                       time_point now);
  void MitigateInterference(worker_index worker,
                            double slowdown,
                            const usage_report& report,
                            time_point now);
  bool ThrottleInterferingTasks(worker_index worker,
                                double excess,
                                time_point now);
  bool EvictInterferingTask(worker_index worker, double excess, time_point now);
  bool RelaxThrottles(worker_index worker, time_point now);
  double TaskSlowdown(const worker_entry& worker, const task_entry& task) const;

  std::uint64_t Random();

  batch_options options_;
  Estimator estimator_;
  eviction_budget budget_;
  std::uint64_t random_;
  task_commands commands_;
  batch_counters counters_;

  task_table tasks_;
  ended_tasks ended_;
  kind_table kinds_;
  worker_table workers_;
  absl::flat_hash_map<std::string, std::uint32_t> services_;
  std::vector<declaration::service> service_declarations_;
  std::uint64_t next_sequence_ = 0;
  /// Total capacity of all known workers.
  resources fleet_capacity_;
  std::size_t quarantined_workers_ = 0;
  resource_index free_resources_;
  resource_index capacities_;
  std::set<queue_key> ready_kinds_;
  std::set<queue_key> unplaced_kinds_;
  std::vector<worker_index> freed_workers_;
  std::vector<worker_index> reserved_workers_;
  std::vector<kind_index> kinds_to_try_;
  deadline_queue deadlines_;
  std::optional<time_point> next_reclaim_;
};

}  // namespace skylarkbridge::scheduling

#endif  // SKYLARKBRIDGE_SCHEDULING_BATCH_CORE_HPP
