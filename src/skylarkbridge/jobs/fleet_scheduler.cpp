#include "skylarkbridge/jobs/fleet_scheduler.hpp"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace skylarkbridge::jobs {
namespace {

/// Safety margin added to each latest lease expiry that this VM computes.
constexpr std::chrono::milliseconds kLeaseMargin{200};
/// Longest time between two calls of Run.
constexpr std::chrono::milliseconds kMaxRunInterval{100};

bool HasFailures(const job_progress& progress) {
  return std::any_of(
      progress.steps.begin(), progress.steps.end(),
      [](const step_progress& step) { return !step.failures.empty(); });
}

}  // namespace

fleet_scheduler::fleet_scheduler(fleet_scheduler_options options)
    : options_(options),
      jobs_(options.jobs),
      sweep_({.total = options.max_unplaced_steps,
              .in_front = options.max_unplaced_in_front}),
      start_limit_(options.start_limit),
      permits_(options.permits) {}

void fleet_scheduler::BeginOwnership(epoch owned_epoch,
                                     const job_registry& registry,
                                     const leased_workers& leased,
                                     time_point leased_read_at,
                                     time_point earlier_orders_until,
                                     time_point now,
                                     wall_time wall) {
  EndOwnership();
  active_ = true;
  epoch_ = owned_epoch;
  last_fence_ = {.owner_epoch = owned_epoch};
  registry_ = &registry;
  jobs_ = job_table(options_.jobs, registry.Cell(), owned_epoch);
  ownership_begun_at_ = now;
  next_takeover_report_ = now + options_.takeover_report_interval;
  earlier_orders_until_ = earlier_orders_until;
  earlier_leases_until_ = LatestLeaseExpiry(earlier_orders_until);
  if (!leased.workers.empty()) {
    late_start_watch_.AddEarlierOwners(earlier_orders_until +
                                       options_.max_order_delay);
  }
  for (const std::string& worker : leased.workers) {
    unreported_workers_[worker].leased_until = earlier_leases_until_;
  }
  for (const auto& [worker, validity] : leased.unreported) {
    // The owner that stored this, and those since, extended no lease there.
    unreported_workers_[worker].leased_until =
        std::min(earlier_leases_until_, leased_read_at + validity);
    stored_unreported_.insert(worker);
  }
  for (const auto& [worker, address] : leased.addresses) {
    if (const auto unreported = unreported_workers_.find(worker);
        unreported != unreported_workers_.end()) {
      unreported->second.address = address;
    }
  }
  jobs_.SetEndsStoredFrom(leased.ends_stored_from);
  ends_stored_from_ =
      leased.ends_stored_from > 0 ? leased.ends_stored_from : owned_epoch;
  if (!unreported_workers_.empty()) {
    store_unreported_at_ = now + options_.unreported_delay;
  }
  for (const auto& [id, state] : registry.Jobs()) {
    if (!state.Ended() && registry.HasTasksHere(state)) {
      jobs_.Add(id, state, !unreported_workers_.empty(), now, wall);
    }
  }
  exhausted_check_pending_ = true;
  placement_pending_ = true;
}

time_point fleet_scheduler::LatestLeaseExpiry(time_point now) const {
  return now + kLeaseMargin +
         std::chrono::duration_cast<std::chrono::milliseconds>(
             options_.max_lease * worker_lease::kMaxClockStretch);
}

void fleet_scheduler::EndOwnership() {
  active_ = false;
  fenced_ = false;
  jobs_ = job_table(options_.jobs);
  workers_.clear();
  unreported_workers_.clear();
  stored_unreported_.clear();
  store_unreported_at_.reset();
  last_machine_list_.reset();
  never_reported_.clear();
  waiting_jobs_since_.clear();
  last_summary_ = {};
  sweep_.Clear();
  reserved_workers_.clear();
  restart_room_.clear();
  delegation_targets_.Clear();
  returns_.Clear();
  blocked_restarts_.clear();
  restart_waits_.clear();
  restart_stages_.Clear();
  restart_report_.reset();
  first_start_deadlines_.clear();
  relocations_.clear();
  relocated_until_.clear();
  relocation_searches_.clear();
  late_starts_.Clear();
  late_start_watch_.Clear();
  unmatched_ends_.Clear();
  has_unmatched_runs_ = false;
  presumed_crashes_.clear();
  start_limit_.Clear();
  placement_counts_ = {};
  permits_.Clear();
  registration_writes_.clear();
  leased_workers_changed_ = false;
  write_number_ = 0;
  orders_.clear();
}

void fleet_scheduler::Configure(
    std::shared_ptr<const fleet_configuration> configuration) {
  configuration_ = std::move(configuration);
  exhausted_check_pending_ = true;
  placement_pending_ = true;
}

void fleet_scheduler::JobAccepted(job_id job,
                                  const job_state& state,
                                  bool may_have_run,
                                  time_point now,
                                  wall_time wall) {
  if (!active_ || state.Ended()) {
    return;
  }
  jobs_.Add(job, state, may_have_run && !unreported_workers_.empty(), now,
            wall);
  exhausted_check_pending_ |= may_have_run;
  if (may_have_run) {
    AdoptRunsKnownLate(job, now);
  }
  placement_pending_ = true;
}

void fleet_scheduler::TasksDelegated(job_id job,
                                     const job_state& state,
                                     time_point now,
                                     wall_time wall) {
  if (!active_ || state.Ended()) {
    return;
  }
  const bool may_have_run = !unreported_workers_.empty();
  if (jobs_.Find(job) == nullptr) {
    jobs_.Add(job, state, may_have_run, now, wall);
  } else {
    jobs_.AddDelegatedTasks(job, state, may_have_run, now);
  }
  ApplyReturns(job);
  AdoptRunsKnownLate(job, now);
  placement_pending_ = true;
}

void fleet_scheduler::JobCancelled(job_id job, time_point now) {
  if (!active_) {
    return;
  }
  RequestStops(jobs_.Remove(job), false);
  const auto is_of_job = [job](const auto& entry) {
    return entry.first.job == job;
  };
  std::erase_if(restart_waits_, is_of_job);
  std::erase_if(first_start_deadlines_, is_of_job);
  for (auto& [id, session] : workers_) {
    for (auto& [run, state] : session.runs) {
      if (run.task.job == job) {
        state.stop_wanted = true;
      }
    }
    SendStops(session, now);
  }
}

void fleet_scheduler::Run(time_point now, wall_time wall) {
  if (!active_) {
    return;
  }
  ReportDelayedCancels(now);
  if (now >= orders_until_) {
    EnterOwnershipStage(now);
    return;
  }
  jobs_.SetClocks({.now = now, .wall = wall});
  jobs_.StartDue(wall);
  ResolveUnmatchedRuns(now);
  ExpireLeases(now);
  ForgetUnprovedCrashes(now);
  RemoveEndedLateStarts(now);
  late_start_watch_.RemoveOver(now);
  ReleaseTasksOfEarlierOwners(now);
  ReportDelayedTakeover(now);
  FailExhaustedJobs();
  for (auto& [id, session] : workers_) {
    StopOverdueRuns(session, now);
    SendStops(session, now);
    if (const auto due = RenewalDue(session); due && now >= *due) {
      Renew(session, now);
    }
  }
  PlaceReadySteps(now);
  UpdateRestartStages(now);
  ReportDelayedRestarts(now);
}

time_point fleet_scheduler::NextDeadline(time_point now) const {
  time_point next = now + kMaxRunInterval;
  if (!active_ || now >= orders_until_) {
    return next;
  }
  for (const auto& [id, session] : workers_) {
    if (const auto due = RenewalDue(session)) {
      next = std::min(next, *due);
    }
  }
  return next;
}

std::vector<order> fleet_scheduler::TakeOrders() {
  return std::exchange(orders_, {});
}

std::vector<scheduling_note> fleet_scheduler::TakeNotes() {
  return std::exchange(notes_, {});
}

bool fleet_scheduler::HasRecords() const {
  if (!active_) {
    return false;
  }
  const bool has_unwritten_ended_runs =
      std::any_of(workers_.begin(), workers_.end(), [this](const auto& entry) {
        const auto& waiting = entry.second.pending_ended_runs;
        return !waiting.empty() && waiting.back().second > write_number_;
      });
  return leased_workers_changed_ || jobs_.HasChanges() ||
         returns_.HasChanges() || has_unwritten_ended_runs;
}

std::vector<log_record> fleet_scheduler::TakeRecords(time_point now) {
  ++write_number_;
  std::vector<log_record> records;
  for (job_advanced& change : jobs_.TakeChanges()) {
    records.emplace_back(std::move(change));
  }
  if (auto returned = returns_.TakeChanges()) {
    records.emplace_back(
        returned_tasks{.claim_epoch = epoch_, .tasks = std::move(*returned)});
  }
  if (std::exchange(leased_workers_changed_, false)) {
    leased_workers leased = LeasedWorkers(now);
    for (const auto& [worker, validity] : leased.unreported) {
      stored_unreported_.insert(worker);
    }
    for (const auto& [id, session] : workers_) {
      if (session.has_reported && !session.registered) {
        registration_writes_.try_emplace(id, write_number_);
      }
    }
    records.emplace_back(std::move(leased));
  }
  return records;
}

leased_workers fleet_scheduler::LeasedWorkers(time_point now) const {
  leased_workers leased{.claim_epoch = epoch_,
                        .ends_stored_from = ends_stored_from_};
  std::set<std::string> workers;
  for (const auto& [id, session] : workers_) {
    if (session.has_reported) {
      workers.insert(id);
      leased.addresses[id] = session.reported_address;
    }
  }
  const bool store_unreported =
      !store_unreported_at_ || now >= *store_unreported_at_;
  for (const auto& [worker, unreported] : unreported_workers_) {
    if (unreported.ended || !workers.insert(worker).second) {
      continue;
    }
    if (!unreported.address.empty()) {
      leased.addresses[worker] = unreported.address;
    }
    if (store_unreported || stored_unreported_.contains(worker)) {
      leased.unreported[worker] = std::chrono::ceil<std::chrono::milliseconds>(
          unreported.leased_until - now);
    }
  }
  leased.workers = {workers.begin(), workers.end()};
  return leased;
}

bool fleet_scheduler::MayExtendLease(const worker_session& session) const {
  return session.registered ||
         !stored_unreported_.contains(session.entry.worker);
}

void fleet_scheduler::RecordsStored(std::uint64_t number, time_point now) {
  for (auto entry = registration_writes_.begin();
       entry != registration_writes_.end();) {
    if (entry->second > number) {
      ++entry;
      continue;
    }
    if (const auto worker = workers_.find(entry->first);
        worker != workers_.end()) {
      worker->second.registered = true;
      worker->second.changes.joined = last_pass_;
      worker->second.next_renewal = now;
    }
    placement_pending_ = true;
    entry = registration_writes_.erase(entry);
  }
  jobs_.ChangesStored(number);
  for (auto& [id, session] : workers_) {
    bool acknowledge = false;
    while (!session.pending_ended_runs.empty() &&
           session.pending_ended_runs.front().second <= number) {
      session.last_durable_ended_run = session.pending_ended_runs.front().first;
      session.pending_ended_runs.pop_front();
      acknowledge = true;
    }
    if (acknowledge) {
      session.next_renewal = now;
    }
  }
}

bool fleet_scheduler::FailJobWithoutProgress(job_id job) {
  const bool open = jobs_.Find(job) != nullptr;
  RequestStops(jobs_.FailWithoutProgress(job), true);
  return open;
}

void fleet_scheduler::ReleaseTasksOfEarlierOwners(time_point now) {
  if (unreported_workers_.empty()) {
    return;
  }
  if (store_unreported_at_ && now >= *store_unreported_at_) {
    store_unreported_at_.reset();
    leased_workers_changed_ = true;
  }
  std::erase_if(unreported_workers_, [this, now](const auto& unreported) {
    if (unreported.second.ended || HasReported(unreported.first)) {
      return true;
    }
    // A new owner may have extended the lease, as in ExpireLeases.
    const time_point leased_until = unreported.second.leased_until;
    const bool expired =
        now >= leased_until && ownership_confirmed_ >= leased_until;
    if (expired) {
      never_reported_.insert(unreported.first);
    }
    return expired;
  });
  if (!unreported_workers_.empty()) {
    return;
  }
  // A successor must not wait for the same workers again.
  leased_workers_changed_ = true;
  store_unreported_at_.reset();
  const std::vector<task_ref> released = jobs_.UnreportedLongRunningTasks();
  for (const task_ref& task : released) {
    blocked_restarts_[task] = {.obstacle = restart_obstacle::kUnreportedWorkers,
                               .pass = last_pass_};
    restart_stages_.Begin(task, *jobs_.Find(task)->wait_known_since,
                          restart_stage::kTakeover);
    restart_stages_.Enter(task, restart_stage::kNextPass, now);
  }
  const auto waited =
      std::chrono::floor<std::chrono::milliseconds>(now - ownership_begun_at_);
  AddNote(scheduling_event::kUnaccountedReleased, {},
          never_reported_.empty() ? "" : *never_reported_.begin(),
          absl::StrCat("waited_ms ", waited.count(), " unreported ",
                       never_reported_.size(), " restarts ", released.size()));
  jobs_.AllowUnreportedTasks(epoch_);
  exhausted_check_pending_ = true;
  placement_pending_ = true;
}

const queue_configuration* fleet_scheduler::Queue(job_id id) const {
  const open_job* job = jobs_.Find(id);
  if (job == nullptr) {
    return nullptr;
  }
  const queue_configuration* configured =
      configuration_ == nullptr ? nullptr : configuration_->Find(job->queue);
  if (configured != nullptr) {
    return configured;
  }
  // An accepted job goes on when its queue is removed.
  return job->settings ? &*job->settings : nullptr;
}

std::optional<std::uint32_t> fleet_scheduler::MaxAttempts(job_id id) const {
  const queue_configuration* queue = Queue(id);
  return queue == nullptr ? std::nullopt : queue->max_attempts;
}

void fleet_scheduler::FailExhaustedJobs() {
  if (!std::exchange(exhausted_check_pending_, false)) {
    return;
  }
  std::vector<job_id> ids;
  for (const auto& [id, job] : jobs_.Jobs()) {
    if (HasFailures(job.progress)) {
      ids.push_back(id);
    }
  }
  for (const job_id id : ids) {
    if (const auto max_attempts = MaxAttempts(id)) {
      RequestStops(jobs_.FailIfExhausted(id, *max_attempts), true);
    }
  }
}

worker_target fleet_scheduler::Target(const worker_session& session) const {
  return {.worker = session.entry.worker,
          .address = session.entry.address,
          .fence = session.fence};
}

void fleet_scheduler::AddNote(scheduling_event event,
                              const run_ref& run,
                              const std::string& worker,
                              std::string detail) {
  notes_.push_back({event, run, worker, std::move(detail)});
}

}  // namespace skylarkbridge::jobs
